//! A fault-injecting TCP proxy between two endpoints. It delays bytes, and can fail in either direction.
//!
//! A stalled direction keeps its connections and loses no bytes: they arrive when the stall ends, as after a network
//! partition that TCP survives. A link that does not listen refuses connections, and a reset ends all its connections.
//!
//! Tasks: a [`Link`] owns the task that accepts connections, and that task owns one task for each connection. Dropping
//! the link ends them all.

use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use super::loopback::listen;

/// Maximum number of chunks in transit in one direction of a connection. Further bytes stay unread in the socket.
const MAX_CHUNKS_IN_TRANSIT: usize = 64;
/// Maximum size of a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// State of one direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DirectionState {
    /// Time that bytes take to pass.
    pub delay: Duration,
    /// Whether bytes are held back.
    pub stalled: bool,
}

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkState {
    /// Whether new connections are accepted.
    pub listens: bool,
    /// Direction from the connecting client to the target.
    pub forward: DirectionState,
    /// Direction from the target back to the client.
    pub backward: DirectionState,
    /// How often all connections were reset.
    pub resets: u32,
}

impl Default for LinkState {
    fn default() -> Self {
        LinkState {
            listens: true,
            forward: DirectionState::default(),
            backward: DirectionState::default(),
            resets: 0,
        }
    }
}

/// A running link. Dropping it ends its connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    _acceptor: AbortOnDropHandle<()>,
}

impl Link {
    /// Opens a link that listens at `from` and forwards connections to `to`. It must be called within a Tokio runtime.
    ///
    /// # Errors
    /// Returns an error if the system provides no port.
    pub fn open(from: SocketAddr, to: SocketAddr, state: LinkState) -> std::io::Result<Link> {
        let listener = listen(from)?;
        let address = listener.local_addr()?;
        let (state, changes) = watch::channel(state);
        let acceptor = tokio::spawn(accept_connections(address, to, listener, changes));
        Ok(Link {
            address,
            state,
            _acceptor: AbortOnDropHandle::new(acceptor),
        })
    }

    /// The address that the link listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the link's state.
    pub fn update(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_if_modified(|state| {
            let before = *state;
            change(state);
            *state != before
        });
    }

    /// Simulates the death of the target's process: resets all connections, and refuses new ones.
    pub fn fail(&self) {
        self.update(|state| {
            state.listens = false;
            state.resets += 1;
        });
    }
}

/// Accepts connections while the link listens, and proxies each in its own task.
async fn accept_connections(
    address: SocketAddr,
    to: SocketAddr,
    listener: TcpListener,
    mut state: watch::Receiver<LinkState>,
) {
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let listens = state.borrow_and_update().listens;
        if listens && listener.is_none() {
            // The address may be in use. Connections are then refused until a later attempt to bind it succeeds.
            listener = listen(address).ok();
        } else if !listens {
            listener = None;
        }
        tokio::select! {
            changed = state.changed() => if changed.is_err() { return },
            accepted = accept(listener.as_ref()) => if let Ok(stream) = accepted {
                connections.spawn(proxy_connection(stream, to, state.clone()));
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Accepts the next connection. Without a listener, it never completes.
async fn accept(listener: Option<&TcpListener>) -> std::io::Result<TcpStream> {
    match listener {
        Some(listener) => Ok(listener.accept().await?.0),
        None => std::future::pending().await,
    }
}

/// Proxies one connection until both directions have ended, one of them fails, or the link is reset.
async fn proxy_connection(
    client_stream: TcpStream,
    to: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    let resets = state.borrow_and_update().resets;
    let target_stream = match TcpStream::connect(to).await {
        Ok(target_stream) => target_stream,
        Err(_) => return drop(client_stream.set_zero_linger()),
    };
    // Best effort: TCP_NODELAY only affects latency.
    let _ = client_stream.set_nodelay(true);
    let _ = target_stream.set_nodelay(true);
    let Ok(sockets) = [client_stream.as_fd(), target_stream.as_fd()]
        .map(|socket| socket.try_clone_to_owned())
        .into_iter()
        .collect::<std::io::Result<Vec<OwnedFd>>>()
    else {
        return;
    };
    // These halves do not shut down the socket when they are dropped, so that a reset does not look like an orderly
    // close.
    let (client_in, client_out) = tokio::io::split(client_stream);
    let (target_in, target_out) = tokio::io::split(target_stream);
    let forward = proxy_direction(client_in, target_out, state.clone(), |state| state.forward);
    let backward = proxy_direction(target_in, client_out, state.clone(), |state| state.backward);
    let both = async { tokio::try_join!(forward, backward).is_ok() };
    let closed_cleanly = tokio::select! {
        clean = both => clean,
        _ = state.wait_for(|state| state.resets != resets) => false,
    };
    if !closed_cleanly {
        // Closes with a reset, as a dying process does: bytes that the other side still sends are answered with a
        // reset.
        for socket in &sockets {
            let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Bytes in transit through a link.
struct Chunk {
    due: Instant,
    /// Empty at the end of the stream, which is delayed like any other bytes.
    bytes: Bytes,
}

/// Proxies one direction. Each chunk has the delay that was set when it was read.
async fn proxy_direction(
    from: ReadHalf<TcpStream>,
    to: WriteHalf<TcpStream>,
    state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
) -> std::io::Result<()> {
    let (sender, chunks) = mpsc::channel(MAX_CHUNKS_IN_TRANSIT);
    let read = read_chunks(from, sender, state.clone(), direction);
    let write = write_chunks(chunks, to, state, direction);
    tokio::try_join!(read, write).map(drop)
}

async fn read_chunks(
    mut from: ReadHalf<TcpStream>,
    chunks: mpsc::Sender<Chunk>,
    state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
) -> std::io::Result<()> {
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        let delay = direction(&state.borrow()).delay;
        let chunk = Chunk {
            due: Instant::now() + delay,
            bytes: Bytes::copy_from_slice(&buffer[..count]),
        };
        if chunks.send(chunk).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut chunks: mpsc::Receiver<Chunk>,
    mut to: WriteHalf<TcpStream>,
    mut state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
) -> std::io::Result<()> {
    while let Some(Chunk { due, bytes }) = chunks.recv().await {
        tokio::time::sleep_until(due).await;
        state
            .wait_for(|state| !direction(state).stalled)
            .await
            // The link was dropped, which ends its connections.
            .map_err(|_| std::io::ErrorKind::ConnectionAborted)?;
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&bytes).await?;
    }
    Ok(())
}
