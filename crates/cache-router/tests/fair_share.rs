//! How the work of client connections is divided: a quantum at once, and turns for those that have more to do.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cache_router::fair_share::{BulkTurns, FairShare, INTERVAL, Peer, QUANTUM, Work};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

/// Longer than any wait in these tests, in virtual time.
const LONG_TIME: Duration = Duration::from_secs(60);

/// The numbers of the connections that did a quantum of work, in order.
type Turns = Arc<Mutex<Vec<u64>>>;

/// Starts a connection that always has more to do.
fn start_bulk(number: u64, queue: &Arc<BulkTurns>, turns: &Turns) {
    let (mut share, turns) = (
        FairShare::new(Peer::Client(number), queue.clone()),
        turns.clone(),
    );
    tokio::spawn(async move {
        loop {
            share.wait_for_more().await;
            turns.lock().unwrap().push(number);
            share.charge(Work::Input(QUANTUM));
        }
    });
}

#[tokio::test(start_paused = true)]
async fn between_two_polls_of_the_sockets_one_bulk_connection_does_one_quantum() {
    // Guards against requests that wait for the work of all bulk connections at each step of their way.
    const CONNECTIONS: usize = 50;
    let (queue, turns) = (Arc::default(), Turns::default());
    for number in 0..CONNECTIONS as u64 {
        start_bulk(number, &queue, &turns);
    }
    yield_now().await;
    // Each connection has done its first quantum at once.
    let mut done = turns.lock().unwrap().len();
    assert_eq!(done, CONNECTIONS);
    for _ in 0..10 * CONNECTIONS {
        // The runtime polls the sockets before it resumes a task that yields.
        yield_now().await;
        let now_done = turns.lock().unwrap().len();
        assert!(now_done <= done + 1, "{now_done} after {done}");
        done = now_done;
    }
    assert!(done > 2 * CONNECTIONS, "{done}: bulk connections go on");
}

#[tokio::test(start_paused = true)]
async fn bulk_connections_have_their_turns_in_order() {
    let (queue, turns) = (Arc::default(), Turns::default());
    for number in 0..3 {
        start_bulk(number, &queue, &turns);
    }
    while turns.lock().unwrap().len() < 12 {
        yield_now().await;
    }
    assert_eq!(turns.lock().unwrap()[..12], [0, 1, 2].repeat(4));
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_waits_for_its_client_does_not_hold_the_turn() {
    let queue = Arc::<BulkTurns>::default();
    let mut first = FairShare::new(Peer::Client(1), queue.clone());
    let mut second = FairShare::new(Peer::Client(2), queue);
    for share in [&mut first, &mut second] {
        share.charge(Work::Input(QUANTUM));
        assert!(share.is_used_up());
    }
    first.wait_for_more().await;
    let blocked = timeout(LONG_TIME, second.wait_for_more()).await;
    assert!(blocked.is_err(), "the first connection has the turn");
    first.end_turn();
    let resumed = timeout(LONG_TIME, second.wait_for_more()).await;
    assert!(resumed.is_ok() && !second.is_used_up());
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_stops_waiting_or_ends_loses_nothing_for_the_others() {
    let queue = Arc::<BulkTurns>::default();
    let mut shares: Vec<_> = (0..3)
        .map(|number| FairShare::new(Peer::Client(number), queue.clone()))
        .collect();
    for share in &mut shares {
        share.charge(Work::Input(QUANTUM));
    }
    shares[0].wait_for_more().await;
    let stopped = timeout(LONG_TIME, shares[1].wait_for_more()).await;
    assert!(stopped.is_err());
    drop(shares.remove(0));
    let resumed = timeout(LONG_TIME, shares[1].wait_for_more()).await;
    assert!(resumed.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_had_nothing_to_do_has_one_quantum_for_each_interval() {
    let mut share = FairShare::new(Peer::Client(1), Arc::default());
    share.charge(Work::Input(QUANTUM));
    share.resume();
    assert!(share.is_used_up(), "within the interval");
    tokio::time::sleep(INTERVAL).await;
    share.resume();
    assert!(!share.is_used_up(), "after the interval");
    let since = Instant::now();
    share.wait_for_more().await;
    assert_eq!(since.elapsed(), Duration::ZERO);
}

#[test]
fn commands_and_requests_use_up_a_share_as_bytes_do() {
    for (work, most) in [
        (Work::Input(1), QUANTUM),
        (Work::Output(1), QUANTUM),
        (Work::Command, 1_000),
        (Work::Request, 64),
    ] {
        let mut share = FairShare::new(Peer::Client(1), Arc::default());
        let mut done = 0;
        while !share.is_used_up() {
            share.charge(work);
            done += 1;
        }
        assert!(done <= most, "{work:?}: {done}");
    }
}
