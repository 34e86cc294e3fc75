//! A fault proxy: a link between two parties that carries bytes with a delay and can fail in either direction.
//!
//! A stalled direction keeps its connections and loses nothing: what was sent arrives once the direction is open again,
//! as after a network cut that TCP outlives. A link that does not listen refuses connections, and a reset ends all that
//! it carries.
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

/// Chunks in transit in one direction of a connection at most; what exceeds them stays unread.
const MAX_CHUNKS_IN_TRANSIT: usize = 64;
/// Bytes of one chunk at most.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// The condition of one direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DirectionState {
    /// Time that bytes take.
    pub delay: Duration,
    /// Whether bytes are held back.
    pub stalled: bool,
}

/// The condition of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkState {
    /// Whether new connections are accepted.
    pub listens: bool,
    /// From the party that connects to the far end.
    pub forward: DirectionState,
    /// From the far end back to the party that connected.
    pub backward: DirectionState,
    /// Times that all connections were reset.
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

/// A link in operation; ended with all its connections when it is dropped.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    _acceptor: AbortOnDropHandle<()>,
}

impl Link {
    /// Opens a link that is entered at `from` and leads to `to`. It must be called within a runtime.
    ///
    /// # Errors
    /// Where the system gives no port.
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

    /// Where the link is entered.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the link's condition.
    pub fn update(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_if_modified(|state| {
            let before = *state;
            change(state);
            *state != before
        });
    }

    /// The far end's process has died: its connections are reset, and new ones are refused.
    pub fn fail(&self) {
        self.update(|state| {
            state.listens = false;
            state.resets += 1;
        });
    }
}

/// Accepts connections while the link listens, and carries each in a task of its own.
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
            // Bound by another party meanwhile: connections are refused until it is free again.
            listener = listen(address).ok();
        } else if !listens {
            listener = None;
        }
        tokio::select! {
            changed = state.changed() => if changed.is_err() { return },
            accepted = accept(listener.as_ref()) => if let Ok(stream) = accepted {
                connections.spawn(carry_connection(stream, to, state.clone()));
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// The next connection; never, without a listener.
async fn accept(listener: Option<&TcpListener>) -> std::io::Result<TcpStream> {
    match listener {
        Some(listener) => Ok(listener.accept().await?.0),
        None => std::future::pending().await,
    }
}

/// Carries one connection until both directions have ended, one of them fails, or the link is reset.
async fn carry_connection(near: TcpStream, to: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let resets = state.borrow_and_update().resets;
    let far = match TcpStream::connect(to).await {
        Ok(far) => far,
        Err(_) => return drop(near.set_zero_linger()),
    };
    // Only a matter of speed: the connection works without.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let Ok(sockets) = [near.as_fd(), far.as_fd()]
        .map(|socket| socket.try_clone_to_owned())
        .into_iter()
        .collect::<std::io::Result<Vec<OwnedFd>>>()
    else {
        return;
    };
    // Halves that shut nothing down when they are dropped: a reset must not look like an orderly end.
    let (near_in, near_out) = tokio::io::split(near);
    let (far_in, far_out) = tokio::io::split(far);
    let forward = carry_direction(near_in, far_out, state.clone(), |state| state.forward);
    let backward = carry_direction(far_in, near_out, state.clone(), |state| state.backward);
    let both = async { tokio::try_join!(forward, backward).is_ok() };
    let ended_in_order = tokio::select! {
        in_order = both => in_order,
        _ = state.wait_for(|state| state.resets != resets) => false,
    };
    if !ended_in_order {
        // As a dying process does it: what the other party still sends is answered with a reset.
        for socket in &sockets {
            let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Bytes on their way through a link.
struct Chunk {
    due: Instant,
    /// Empty at the end of the stream, which takes its time as well.
    bytes: Bytes,
}

/// Carries the bytes of one direction, each chunk after the delay that held when it was read.
async fn carry_direction(
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
            // The link was dropped, and its connections end with it.
            .map_err(|_| std::io::ErrorKind::ConnectionAborted)?;
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&bytes).await?;
    }
    Ok(())
}
