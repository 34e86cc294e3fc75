//! The pool of connections to servers: how many it keeps while they are idle.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::sync::Arc;

use cache_router::clock::Clock;
use cache_router::connection_pool::{ConnectionPool, ConnectionState, MAX_IDLE_CONNECTIONS};
use cache_router::message::{AttemptId, ServerProtocol, ServerTarget};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const ATTEMPT: AttemptId = AttemptId {
    request: 1,
    number: 0,
};

#[tokio::test]
async fn the_connection_that_has_been_idle_for_longest_gives_way_where_too_many_are() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings =
        r#"{"classes": [{"name": "read", "goalTimeUs": 100000, "deadlineUs": 1000000}]}"#;
    let deployment = routing_policy::settings::read(settings.as_bytes()).unwrap();
    let (events, _events) = mpsc::channel(4096);
    let mut pool = ConnectionPool::new(1024, Arc::new(deployment), Clock::start(), events);
    let most = MAX_IDLE_CONNECTIONS as u64;
    let in_use = 1;
    for id in 1..=most + 3 {
        let target = ServerTarget {
            server: id as u32,
            address,
            protocol: ServerProtocol::Resp,
        };
        assert!(pool.open(target, 0));
        assert_eq!(pool.assign_to_waiting(id, Some(address), id), None);
        if id == in_use {
            let attempt = ATTEMPT;
            assert_eq!(pool.take_idle(1, attempt, id), Some(id));
        }
    }
    let is_idle = |id: &u64| {
        let state = pool.state(*id).map(|(_, state)| state);
        state == Some(ConnectionState::Idle(*id))
    };
    let idle: Vec<_> = (1..=most + 3).filter(is_idle).collect();
    let newest: Vec<_> = (4..=most + 3).collect();
    assert_eq!(idle, newest, "those used last stay");
    assert!(pool.state(in_use).is_some(), "one in use is not counted");
    assert_eq!(pool.take_idle(2, ATTEMPT, most + 4), None);
}
