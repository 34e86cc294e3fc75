//! Links between two endpoints on loopback: they forward, delay, stall, reset and refuse.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use testbed::sockets::link::{Link, LinkState};
use testbed::sockets::loopback::listen;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Expected bytes and connections arrive within this time on a machine of any speed.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a test waits to confirm that nothing arrives.
const SILENCE_WINDOW: Duration = Duration::from_millis(100);
/// One-way delay.
const DELAY: Duration = Duration::from_millis(30);

/// Loopback address with port 0, so that the system chooses a free port.
fn any_address() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Starts a server that sends back everything that it receives.
async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind(any_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut input, mut output) = stream.split();
                tokio::io::copy(&mut input, &mut output).await
            });
        }
    });
    address
}

async fn link_to_echo() -> Link {
    Link::open(
        any_address(),
        start_echo_server().await,
        LinkState::default(),
    )
    .unwrap()
}

async fn connect(link: &Link) -> TcpStream {
    TcpStream::connect(link.address()).await.unwrap()
}

/// Connects as soon as the link accepts connections again.
async fn connect_when_open(link: &Link) -> TcpStream {
    let connected = async {
        loop {
            if let Ok(stream) = TcpStream::connect(link.address()).await {
                return stream;
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(ARRIVAL_TIMEOUT, connected)
        .await
        .unwrap()
}

/// Sends a text and reads the same number of bytes.
async fn exchange(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    let mut echo = vec![0; text.len()];
    stream.read_exact(&mut echo).await?;
    Ok(echo)
}

/// Waits until connections to an address are refused.
async fn wait_until_refused(address: SocketAddr) {
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_link_carries_bytes_in_both_directions() {
    let link = link_to_echo().await;
    let mut stream = connect(&link).await;
    assert_eq!(exchange(&mut stream, b"one").await.unwrap(), b"one");
}

#[tokio::test]
async fn a_delay_applies_to_both_directions_of_open_connections() {
    let link = link_to_echo().await;
    let mut stream = connect(&link).await;
    assert_eq!(exchange(&mut stream, b"one").await.unwrap(), b"one");
    link.update(|state| {
        state.forward.delay = DELAY;
        state.backward.delay = DELAY;
    });
    let before = tokio::time::Instant::now();
    assert_eq!(exchange(&mut stream, b"two").await.unwrap(), b"two");
    assert!(before.elapsed() >= 2 * DELAY);
}

#[tokio::test]
async fn a_stalled_direction_loses_nothing_and_keeps_the_order() {
    let link = link_to_echo().await;
    link.update(|state| {
        state.forward.delay = DELAY;
        state.backward.delay = DELAY;
    });
    let mut stream = connect(&link).await;
    assert_eq!(exchange(&mut stream, b"one").await.unwrap(), b"one");
    // The delay may also change while the connection is open.
    link.update(|state| {
        state.forward.delay = Duration::ZERO;
        state.backward.delay = Duration::ZERO;
        state.backward.stalled = true;
    });
    stream.write_all(b"three").await.unwrap();
    let mut byte = [0; 8];
    let nothing_received = tokio::time::timeout(SILENCE_WINDOW, stream.read(&mut byte)).await;
    assert!(
        nothing_received.is_err(),
        "no bytes may arrive through a stalled direction"
    );
    stream.write_all(b"four").await.unwrap();
    link.update(|state| state.backward.stalled = false);
    let mut echo = vec![0; 9];
    tokio::time::timeout(ARRIVAL_TIMEOUT, stream.read_exact(&mut echo))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(echo, b"threefour");
}

#[tokio::test]
async fn a_failed_link_resets_and_refuses_until_it_listens_again() {
    let link = link_to_echo().await;
    let mut stream = connect(&link).await;
    assert_eq!(exchange(&mut stream, b"one").await.unwrap(), b"one");
    link.update(|state| state.backward.stalled = true);
    link.update(|state| state.backward.stalled = false);
    link.fail();
    let mut byte = [0; 8];
    let reset = tokio::time::timeout(ARRIVAL_TIMEOUT, stream.read(&mut byte))
        .await
        .unwrap();
    assert_eq!(reset.unwrap_err().kind(), ErrorKind::ConnectionReset);
    wait_until_refused(link.address()).await;
    link.update(|state| state.listens = true);
    let mut stream = connect_when_open(&link).await;
    assert_eq!(exchange(&mut stream, b"five").await.unwrap(), b"five");
}

#[tokio::test]
async fn a_dropped_link_ends_its_connections_and_refuses_new_ones() {
    let link = link_to_echo().await;
    let mut stream = connect(&link).await;
    assert_eq!(exchange(&mut stream, b"one").await.unwrap(), b"one");
    let address = link.address();
    drop(link);
    let mut byte = [0; 8];
    let read = tokio::time::timeout(ARRIVAL_TIMEOUT, stream.read(&mut byte))
        .await
        .unwrap();
    assert_eq!(read.unwrap_or(0), 0);
    wait_until_refused(address).await;
}

#[tokio::test]
async fn a_link_to_a_closed_port_resets_its_connections() {
    let closed_address = listen(any_address()).unwrap().local_addr().unwrap();
    let link = Link::open(any_address(), closed_address, LinkState::default()).unwrap();
    let mut stream = connect(&link).await;
    let failed = tokio::time::timeout(ARRIVAL_TIMEOUT, exchange(&mut stream, b"one"))
        .await
        .unwrap();
    assert!(failed.is_err());
}
