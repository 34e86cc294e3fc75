//! The starts of servers, as the endpoint table derives them from lists and from clocks that may be wrong.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod fleet;

use std::collections::HashMap;
use std::sync::Arc;

use cache_router::clock::{Clock, Moment, UnixTime};
use cache_router::event_loop::endpoints::EndpointTable;
use cache_router::message::EndpointListUpdate;
use routing_policy::settings::Deployment;
use routing_policy::{Endpoint, ListUpdate, Micros};

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// True time at the start of each test, in microseconds since the epoch.
const TEST_START: Micros = 1_800_000_000 * SECOND;
/// Errors and steps of clocks, in seconds.
const CLOCK_ERRORS: [i64; 5] = [-3_600, -3, 0, 3, 3_600];

/// A router's endpoint table. The router's clock shows true time.
struct RouterTable {
    table: EndpointTable,
    /// How far the router's wall clock is ahead, in seconds.
    wall_clock_error: i64,
    /// How far discovery's clock is ahead, in seconds.
    discovery_error: i64,
}

impl RouterTable {
    fn new(wall_clock_error: i64) -> Self {
        let deployment = routing_policy::settings::read(b"{}").unwrap();
        RouterTable::with_deployment(deployment, wall_clock_error)
    }

    fn with_deployment(deployment: Deployment, wall_clock_error: i64) -> Self {
        RouterTable {
            table: EndpointTable::new(Arc::new(deployment)),
            wall_clock_error,
            discovery_error: 0,
        }
    }

    /// Returns discovery's stamp for a true time, in milliseconds.
    fn stamp(&self, at: Micros) -> u64 {
        clock_reading(at, self.discovery_error) / 1_000
    }

    /// Applies a list of servers with their stamps; returns the endpoints for the policy.
    fn apply(&mut self, at: Micros, kind: ListUpdate, servers: &[(&str, u64)]) -> Vec<Endpoint> {
        let endpoints: Vec<_> = servers
            .iter()
            .map(|(name, stamp)| {
                serde_json::json!({
                    "name": name, "address": "127.0.0.1:1", "status": "active", "since_ms": stamp,
                })
            })
            .collect();
        let is_complete = kind != ListUpdate::Delta;
        let update = serde_json::json!({
            "index": 1, "snapshot": is_complete, "endpoints": endpoints,
        });
        let update: EndpointListUpdate = serde_json::from_value(update).unwrap();
        let unix = UnixTime::from_micros(clock_reading(at, self.wall_clock_error));
        self.table
            .apply(&update, kind, Moment { at, unix })
            .endpoints
    }

    fn starts(&mut self, at: Micros, kind: ListUpdate, servers: &[(&str, u64)]) -> Vec<Micros> {
        let endpoints = self.apply(at, kind, servers);
        endpoints.iter().map(|endpoint| endpoint.started).collect()
    }
}

/// Returns the reading of a clock that is ahead by this many seconds.
fn clock_reading(at: Micros, seconds: i64) -> Micros {
    at.saturating_add_signed(seconds * SECOND as i64)
}

#[test]
fn a_restart_is_dated_within_its_bounds_and_later_than_the_previous_process() {
    for wall_clock_error in CLOCK_ERRORS {
        for discovery_error in CLOCK_ERRORS {
            for step in CLOCK_ERRORS {
                let mut router = RouterTable::new(wall_clock_error);
                router.discovery_error = discovery_error;
                let old = router.stamp(TEST_START - 30 * SECOND);
                let first = router.starts(TEST_START, ListUpdate::Full, &[("a", old)]);
                router.wall_clock_error += step;
                router.discovery_error += step;
                let new = router.stamp(TEST_START + 2 * SECOND);
                let listed_at = TEST_START + 3 * SECOND;
                let starts = router.starts(listed_at, ListUpdate::Delta, &[("a", new)]);
                let case = format!("{wall_clock_error} {discovery_error} {step}: {starts:?}");
                assert!((TEST_START..=listed_at).contains(&starts[0]), "{case}");
                assert!(starts[0] > first[0], "a restart: {case}");
                if router.wall_clock_error == router.discovery_error {
                    assert_eq!(starts[0], TEST_START + 2 * SECOND, "{case}");
                }
            }
        }
    }
}

#[test]
fn a_new_server_is_never_dated_too_early_and_is_dated_exactly_if_clocks_agree() {
    for error in CLOCK_ERRORS {
        let mut router = RouterTable::new(error);
        router.apply(TEST_START, ListUpdate::Full, &[("a", 0)]);
        let started = TEST_START + 10 * SECOND;
        let listed_at = started + SECOND / 2;
        // The list is confirmed two seconds before the start.
        router.table.confirm(started - 2 * SECOND);
        let stamp = router.stamp(started);
        let starts = router.starts(listed_at, ListUpdate::Delta, &[("new", stamp)]);
        let expected = if error == 0 { started } else { listed_at };
        assert_eq!(starts[0], expected, "error {error}");
    }
}

#[test]
fn an_old_process_that_is_listed_late_keeps_its_age_if_earlier_starts_show_that_clocks_agree() {
    let mut router = RouterTable::new(0);
    router.apply(TEST_START, ListUpdate::Full, &[("a", 0)]);
    let old = router.stamp(TEST_START - HOUR);
    let unconfirmed = router.starts(TEST_START + SECOND, ListUpdate::Delta, &[("b", old)]);
    assert_eq!(unconfirmed, [TEST_START + SECOND]);
    let restart = router.stamp(TEST_START + 2 * SECOND);
    router.apply(
        TEST_START + 3 * SECOND,
        ListUpdate::Delta,
        &[("a", restart)],
    );
    let confirmed = router.starts(TEST_START + 4 * SECOND, ListUpdate::Delta, &[("c", old)]);
    assert_eq!(confirmed, [TEST_START - HOUR]);
}

#[test]
fn a_server_that_returns_to_the_list_counts_as_restarted_only_if_its_stamp_has_changed() {
    for error in CLOCK_ERRORS {
        let mut router = RouterTable::new(error);
        let (a, b) = (
            router.stamp(TEST_START - HOUR),
            router.stamp(TEST_START - 2 * HOUR),
        );
        let first = router.starts(TEST_START, ListUpdate::Full, &[("a", a), ("b", b)]);
        router.apply(TEST_START + SECOND, ListUpdate::Full, &[("b", b)]);
        let returned = router.starts(
            TEST_START + 5 * SECOND,
            ListUpdate::Full,
            &[("a", a), ("b", b)],
        );
        assert_eq!(returned, first, "error {error}");
        router.apply(TEST_START + 6 * SECOND, ListUpdate::Full, &[("b", b)]);
        // The list without the server arrives after the server's restart.
        let started = TEST_START + 11 * SECOND / 2;
        let restart = router.stamp(started);
        let listed_at = TEST_START + 8 * SECOND;
        let starts = router.starts(listed_at, ListUpdate::Delta, &[("a", restart)]);
        let possible = TEST_START + 5 * SECOND..=listed_at;
        assert!(possible.contains(&starts[0]), "error {error}: {starts:?}");
        assert!(error != 0 || starts[0] == started, "{starts:?}");
    }
}

#[test]
fn with_a_wall_clock_that_is_behind_only_the_newest_servers_of_the_first_list_are_cold() {
    let mut router = RouterTable::new(-3_600);
    let ages = [50 * 60, 20 * 60, 5 * 60, 61 * 60].map(|age| age * SECOND);
    let names = ["a", "b", "c", "d"];
    let servers: Vec<_> = names
        .iter()
        .zip(ages)
        .map(|(name, age)| (*name, router.stamp(TEST_START - age)))
        .collect();
    let starts = router.starts(TEST_START, ListUpdate::Cached, &servers);
    assert_eq!(
        starts[2], TEST_START,
        "the newest is assumed to have started now"
    );
    assert_eq!(starts[0], TEST_START - 45 * 60 * SECOND);
    assert_eq!(starts[1], TEST_START - 15 * 60 * SECOND);
    assert_eq!(starts[3], TEST_START - 60 * SECOND);
}

#[test]
fn servers_dated_too_early_by_a_wall_clock_that_is_ahead_are_corrected_after_a_restart() {
    let mut router = RouterTable::new(3_600);
    let servers = [
        ("cold", router.stamp(TEST_START - SECOND)),
        ("warm", router.stamp(TEST_START - HOUR)),
        ("old", router.stamp(TEST_START - 2 * HOUR)),
    ];
    let first = router.apply(TEST_START, ListUpdate::Full, &servers);
    assert_eq!(first[0].started, TEST_START - SECOND - HOUR);
    let restart = router.stamp(TEST_START + 3 * SECOND);
    let listed_at = TEST_START + 6 * SECOND;
    let updated = router.apply(listed_at, ListUpdate::Delta, &[("old", restart)]);
    let starts: HashMap<_, _> = updated
        .iter()
        .map(|updated| (updated.id, updated.started))
        .collect();
    assert_eq!(
        starts.len(),
        2,
        "the restarted and the cold one: {starts:?}"
    );
    assert_eq!(starts[&first[2].id], listed_at);
    assert_eq!(
        starts[&first[0].id], TEST_START,
        "no later than it was first listed"
    );
}

#[test]
fn a_common_shift_of_all_stamps_is_not_a_restart_and_a_later_change_is_one() {
    for step in [-3_600, -30, 30, 3_600] {
        let mut router = RouterTable::new(0);
        let ages = [5, 7_200, 100, 60, 40].map(|age| age * SECOND);
        let names = ["a", "b", "c", "d", "e"];
        let stamped = |router: &RouterTable, jitter: u64| -> Vec<(&str, u64)> {
            let ages = names.iter().zip(ages).enumerate();
            ages.map(|(i, (name, age))| (*name, router.stamp(TEST_START - age) + i as u64 * jitter))
                .collect()
        };
        let servers = stamped(&router, 0);
        let before = router.starts(TEST_START, ListUpdate::Full, &servers);
        router.discovery_error = step;
        // Discovery computes each stamp separately, so that they differ by some milliseconds.
        let servers = stamped(&router, 7);
        let after = router.starts(TEST_START + SECOND, ListUpdate::Full, &servers);
        assert_eq!(after, before, "step {step}");
        let restart = router.stamp(TEST_START + 2 * SECOND);
        let starts = router.starts(
            TEST_START + 3 * SECOND,
            ListUpdate::Delta,
            &[("b", restart)],
        );
        assert!(starts[0] > TEST_START, "step {step}: {starts:?}");
    }
}

#[test]
fn servers_that_restart_together_are_cold_when_clocks_are_wrong() {
    for error in CLOCK_ERRORS {
        let names = ["a", "b", "c", "d", "e"];
        // The servers had first started hours apart, or all together.
        for apart in [HOUR, 0] {
            let mut router = RouterTable::new(error);
            let old = names.iter().zip(1..);
            let servers: Vec<_> = old
                .map(|(name, age)| (*name, router.stamp(TEST_START - HOUR - age * apart)))
                .collect();
            router.apply(TEST_START, ListUpdate::Full, &servers);
            router.discovery_error -= 3_600;
            let servers = names.map(|name| (name, router.stamp(TEST_START + SECOND)));
            let starts = router.starts(TEST_START + 2 * SECOND, ListUpdate::Full, &servers);
            assert!(
                starts.iter().all(|at| *at > TEST_START),
                "{error}: {starts:?}"
            );
        }
    }
}

#[test]
fn servers_that_restart_with_the_same_spacing_as_before_count_as_restarted() {
    let mut router = RouterTable::new(0);
    let at = |router: &RouterTable, begin: Micros| {
        let offsets = [0, 20, 40, 60].map(|seconds| router.stamp(begin + seconds * SECOND));
        let names = ["a", "b", "c", "d"];
        [0, 1, 2, 3].map(|i| (names[i], offsets[i]))
    };
    let servers = at(&router, TEST_START - HOUR);
    router.apply(TEST_START, ListUpdate::Full, &servers);
    let servers = at(&router, TEST_START + 30 * SECOND);
    let starts = router.starts(TEST_START + 95 * SECOND, ListUpdate::Full, &servers);
    let expected = [30, 50, 70, 90].map(|seconds| TEST_START + seconds * SECOND);
    assert_eq!(starts, expected);
}

#[test]
fn an_earlier_stamp_in_the_first_list_than_in_the_cached_one_is_a_restart() {
    let mut router = RouterTable::new(0);
    let cached = router.stamp(TEST_START - 10 * SECOND);
    let before = router.starts(TEST_START, ListUpdate::Cached, &[("a", cached)]);
    let first = router.stamp(TEST_START - 30 * SECOND);
    let starts = router.starts(TEST_START + SECOND, ListUpdate::Full, &[("a", first)]);
    assert!(starts[0] > before[0], "{before:?} {starts:?}");
}

#[test]
fn out_of_range_stamps_do_not_affect_other_servers() {
    let extreme = [u64::MAX, u64::MAX / 1_000, i64::MAX as u64, 1, 0];
    for stamp in extreme {
        for other in extreme {
            let mut router = RouterTable::new(0);
            let cold = router.stamp(TEST_START - SECOND);
            let list = [("x", stamp), ("cold", cold)];
            let starts = router.starts(TEST_START, ListUpdate::Full, &list);
            assert!(starts[0] <= TEST_START, "{starts:?}");
            assert_eq!(starts[1], TEST_START - SECOND, "{stamp}");
            let behind = RouterTable::new(-3_600).starts(TEST_START, ListUpdate::Full, &list);
            assert_eq!(behind[1], TEST_START, "{stamp}");
            let at = TEST_START + SECOND;
            let changed = router.starts(at, ListUpdate::Full, &[("x", other), ("cold", cold)]);
            assert!(changed[0] <= at, "{changed:?}");
            assert!(changed[1] >= TEST_START - SECOND, "{stamp} {other}");
            if stamp != other && other != 0 {
                assert!(changed[0] >= TEST_START, "{stamp} {other}: {changed:?}");
            }
        }
    }
}

#[test]
fn with_a_wall_clock_at_the_epoch_ages_are_relative_to_the_newest_server() {
    let mut router = RouterTable::new(0);
    let clock = Clock::start_at(UnixTime::from_micros(0));
    router.wall_clock_error = -((clock.now() / SECOND) as i64);
    let warm = router.stamp(TEST_START - 10 * HOUR);
    let cold = router.stamp(TEST_START - SECOND);
    let servers = [("warm", warm), ("cold", cold)];
    let starts = router.starts(clock.now(), ListUpdate::Cached, &servers);
    let now = clock.now();
    assert!(now - starts[0] > 9 * HOUR, "{now}: {starts:?}");
    assert!(now - starts[1] < HOUR, "{now}: {starts:?}");
}
