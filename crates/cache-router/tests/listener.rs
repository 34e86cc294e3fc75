//! The listener, with scripted failures of accept(2).
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::future;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cache_router::client_context::ClientContext;
use cache_router::clock::Clock;
use cache_router::lifecycle::LifecyclePhase;
use cache_router::listener::{ConnectionSource, listen};
use cache_router::memory_budget::MemoryBudget;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

/// The total number of client slots.
const SLOTS: usize = 8;

/// The result of a call of accept(2).
enum Accepted {
    Connection(TcpStream),
    Failure(i32),
}

/// The results of accept(2) in order. Further calls wait forever.
struct Script(Mutex<std::vec::IntoIter<Accepted>>);

impl ConnectionSource for Script {
    async fn accept(&self) -> io::Result<TcpStream> {
        let next = self.0.lock().unwrap().next();
        match next {
            Some(Accepted::Connection(stream)) => Ok(stream),
            Some(Accepted::Failure(errno)) => Err(io::Error::from_raw_os_error(errno)),
            None => future::pending().await,
        }
    }
}

/// Both ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.unwrap(), accepted.unwrap().0)
}

fn context(phase: LifecyclePhase) -> (Arc<ClientContext>, watch::Sender<LifecyclePhase>) {
    let (events, _) = mpsc::channel(16);
    let (phase_sender, lifecycle) = watch::channel(phase);
    let deployment = routing_policy::settings::read(br#"{"classes":[{"name":"read"}]}"#).unwrap();
    let context = ClientContext {
        deployment: Arc::new(deployment),
        clock: Clock::start(),
        events,
        lifecycle,
        connection_slots: Arc::new(Semaphore::new(SLOTS)),
        reserved_slots: 1,
        closable_connections: Arc::default(),
        request_slots: Arc::new(Semaphore::new(16)),
        request_memory: MemoryBudget::new(1024 * 1024),
        reply_memory: MemoryBudget::new(1024 * 1024),
        memory_usage: Arc::default(),
        incomplete_commands: Arc::default(),
        bulk_turns: Arc::default(),
    };
    (Arc::new(context), phase_sender)
}

/// Returns how long it takes until a connection is accepted after a series of failures.
async fn accepted_after(phase: LifecyclePhase, failures: Vec<i32>) -> Duration {
    let (_client, server) = connection().await;
    let mut script: Vec<_> = failures.into_iter().map(Accepted::Failure).collect();
    script.push(Accepted::Connection(server));
    let (context, _phase) = context(phase);
    let listener = Script(Mutex::new(script.into_iter()));
    let since = Instant::now();
    let listening = tokio::spawn(listen(listener, context.clone()));
    while context.connection_slots.available_permits() == SLOTS {
        assert!(
            !listening.is_finished(),
            "the listener ended before it accepted the connection"
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    listening.abort();
    since.elapsed()
}

const PHASES: [LifecyclePhase; 2] = [LifecyclePhase::Ready, LifecyclePhase::Draining];

#[tokio::test(start_paused = true)]
async fn the_connection_after_a_failed_one_is_accepted_at_once() {
    for phase in PHASES {
        let failures = vec![libc::ECONNABORTED, libc::EINTR, libc::EPROTO];
        let waited = accepted_after(phase, failures).await;
        assert!(waited <= Duration::from_millis(1), "{phase:?}: {waited:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_queued_connection_is_accepted_soon_after_descriptors_were_exhausted() {
    for phase in PHASES {
        let waited = accepted_after(phase, vec![libc::EMFILE; 4]).await;
        let allowed = Duration::from_millis(4)..=Duration::from_millis(40);
        assert!(allowed.contains(&waited), "{phase:?}: {waited:?}");
    }
}
