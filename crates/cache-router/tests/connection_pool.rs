//! The limit on idle connections of the pool of connections to servers.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::sync::Arc;

use cache_router::clock::Clock;
use cache_router::connection_pool::{ConnectionPool, ConnectionState, MAX_IDLE_CONNECTIONS};
use cache_router::memory_budget::MemoryBudget;
use cache_router::message::{AttemptId, ServerProtocol, ServerTarget};
use cache_router::server_connection::ServerConnectionContext;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const ATTEMPT: AttemptId = AttemptId {
    request: 1,
    number: 0,
};

#[tokio::test]
async fn the_longest_idle_connection_is_closed_when_there_are_too_many() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings =
        r#"{"classes": [{"name": "read", "goalTimeUs": 100000, "deadlineUs": 1000000}]}"#;
    let deployment = routing_policy::settings::read(settings.as_bytes()).unwrap();
    let (events, _events) = mpsc::channel(4096);
    let context = ServerConnectionContext {
        deployment: Arc::new(deployment),
        clock: Clock::start(),
        events,
        reply_memory: MemoryBudget::new(1024 * 1024),
        memory_usage: Arc::default(),
        bulk_turns: Arc::default(),
    };
    let mut pool = ConnectionPool::new(1024, context);
    let limit = MAX_IDLE_CONNECTIONS as u64;
    let in_use = 1;
    for id in 1..=limit + 3 {
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
    let idle: Vec<_> = (1..=limit + 3).filter(is_idle).collect();
    let newest: Vec<_> = (4..=limit + 3).collect();
    assert_eq!(idle, newest, "the most recently used ones are kept");
    assert!(
        pool.state(in_use).is_some(),
        "a connection in use does not count"
    );
    assert_eq!(pool.take_idle(2, ATTEMPT, limit + 4), None);
}
