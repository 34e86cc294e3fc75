//! The endpoint table with the number of servers of the largest fleet.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use cache_router::clock::{Clock, Moment};
use cache_router::event_loop::endpoints::EndpointTable;
use cache_router::message::{DiscoveredEndpoint, EndpointListUpdate};
use routing_policy::ListUpdate;

const SERVERS: u32 = 3_200;

fn table() -> EndpointTable {
    let settings =
        r#"{"classes": [{"name": "read", "goalTimeUs": 100000, "deadlineUs": 1000000}]}"#;
    let deployment = routing_policy::settings::read(settings.as_bytes()).unwrap();
    EndpointTable::new(Arc::new(deployment))
}

/// Creates a complete list of numbered servers.
fn list(numbers: impl Iterator<Item = u32>) -> EndpointListUpdate {
    let endpoint = |number| DiscoveredEndpoint {
        name: format!("s-{number}"),
        address: format!("127.0.0.1:{}", 10_000 + number),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        status: "active".into(),
        weight: 1.0,
        started_ms: 0,
    };
    EndpointListUpdate {
        version: 1,
        is_complete: true,
        endpoints: numbers.map(endpoint).collect(),
    }
}

#[test]
fn a_complete_list_removes_all_servers_that_it_does_not_name() {
    let mut table = table();
    table.apply(
        &list(1..=SERVERS),
        ListUpdate::Full,
        Moment::now(Clock::start()),
    );
    let before: Vec<_> = table.server_ids().collect();
    assert_eq!(before.len(), SERVERS as usize);
    let applied = table.apply(
        &list((1..=SERVERS).step_by(2)),
        ListUpdate::Full,
        Moment::now(Clock::start()),
    );
    assert_eq!(applied.removed.len(), SERVERS as usize / 2);
    let kept: Vec<_> = table.server_ids().collect();
    let listed: Vec<_> = applied
        .endpoints
        .iter()
        .map(|endpoint| endpoint.id)
        .collect();
    assert_eq!(kept.len(), listed.len());
    assert!(listed.iter().all(|id| kept.contains(id)));
    assert!(applied.removed.iter().all(|id| !kept.contains(id)));
}

/// Returns the shortest time of several runs. Each run applies complete lists of `servers` servers until 6,400 servers
/// were applied, which is twice the 3,200 of the largest fleet.
fn time_to_apply(servers: u32) -> Duration {
    let update = list(1..=servers);
    let apply_all = |_| {
        let mut table = table();
        let start = Instant::now();
        for _ in 0..2 * SERVERS / servers {
            table.apply(&update, ListUpdate::Full, Moment::now(Clock::start()));
        }
        start.elapsed()
    };
    (0..7).map(apply_all).min().unwrap()
}

#[test]
fn the_cost_per_server_hardly_depends_on_the_length_of_the_list() {
    let ratio = time_to_apply(SERVERS).as_secs_f64() / time_to_apply(SERVERS / 16).as_secs_f64();
    // A linear search of the list for each server makes the ratio five.
    assert!(ratio < 3.0, "{ratio}");
}
