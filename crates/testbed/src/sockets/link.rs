//! The fault proxy: a way between two parties that carries bytes with a delay and can fail in either direction. Silent
//! keeps connections and loses nothing of them: what was sent comes when the way is open again, as after a cut that TCP
//! outlives. A way that refuses has no listener, and one that resets ends all that it carries.

use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

/// Parts of a stream that are on their way in one direction at most; more waits unread.
const ON_THE_WAY: usize = 64;
/// Bytes of one part at most.
const PART: usize = 16 * 1024;
/// Connections that wait to be taken.
const BACKLOG: u32 = 256;

/// How a way is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct State {
    /// Whether new connections are taken.
    pub listens: bool,
    /// Time that bytes take, to the far end and back.
    pub delay: (Duration, Duration),
    /// Whether bytes are held up, to the far end and back.
    pub silent: (bool, bool),
    /// Grows with each reset of all connections.
    pub resets: u32,
}

impl Default for State {
    fn default() -> Self {
        State {
            listens: true,
            delay: (Duration::ZERO, Duration::ZERO),
            silent: (false, false),
            resets: 0,
        }
    }
}

/// A way that is being kept up; ended with all its connections when dropped.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<State>,
    _task: AbortOnDropHandle<()>,
}

impl Link {
    /// A way from an address of its own to another's.
    ///
    /// # Errors
    /// Where the system gives no port.
    pub async fn open(from: SocketAddr, to: SocketAddr, state: State) -> std::io::Result<Link> {
        let listener = listen(from)?;
        let address = listener.local_addr()?;
        let (state, changes) = watch::channel(state);
        let task = AbortOnDropHandle::new(tokio::spawn(keep(address, to, listener, changes)));
        Ok(Link {
            address,
            state,
            _task: task,
        })
    }

    /// Where it is entered.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it is.
    pub fn set(&self, change: impl FnOnce(&mut State)) {
        self.state.send_if_modified(|state| {
            let before = *state;
            change(state);
            *state != before
        });
    }

    /// Its far end has died: what it carries is reset, and new connections are refused.
    pub fn dies(&self) {
        self.set(|state| (state.listens, state.resets) = (false, state.resets + 1));
    }
}

/// A listener whose address can be taken again at once after it was closed.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn keep(
    at: SocketAddr,
    to: SocketAddr,
    listener: TcpListener,
    mut state: watch::Receiver<State>,
) {
    let mut listener = Some(listener);
    let mut carried = JoinSet::new();
    loop {
        let listens = state.borrow_and_update().listens;
        if listens && listener.is_none() {
            // Taken by another meanwhile: as good as refused until it is free again.
            listener = listen(at).ok();
        } else if !listens {
            listener = None;
        }
        tokio::select! {
            changed = state.changed() => if changed.is_err() { return },
            taken = take(listener.as_ref()) => if let Ok(stream) = taken {
                carried.spawn(carry(stream, to, state.clone()));
            },
            Some(_) = carried.join_next() => {}
        }
    }
}

async fn take(listener: Option<&TcpListener>) -> std::io::Result<TcpStream> {
    match listener {
        Some(listener) => Ok(listener.accept().await?.0),
        None => std::future::pending().await,
    }
}

/// Carries one connection until both directions have ended, one has broken, or all are reset.
async fn carry(near: TcpStream, to: SocketAddr, mut state: watch::Receiver<State>) {
    let resets = state.borrow_and_update().resets;
    let far = match TcpStream::connect(to).await {
        Ok(far) => far,
        Err(_) => return drop(near.set_zero_linger()),
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let Ok(ends) = [near.as_fd(), far.as_fd()]
        .map(|end| end.try_clone_to_owned())
        .into_iter()
        .collect()
    else {
        return;
    };
    let ends: Vec<OwnedFd> = ends;
    // Halves that shut nothing down when they are dropped: a reset must not look like an end.
    let (near_in, near_out) = tokio::io::split(near);
    let (far_in, far_out) = tokio::io::split(far);
    let there = one_way(near_in, far_out, state.clone(), |state| {
        (state.delay.0, state.silent.0)
    });
    let back = one_way(far_in, near_out, state.clone(), |state| {
        (state.delay.1, state.silent.1)
    });
    let both = async { tokio::try_join!(there, back).is_ok() };
    let ended_well = tokio::select! {
        well = both => well,
        _ = state.wait_for(|state| state.resets != resets) => false,
    };
    if !ended_well {
        // As a dying process does it: what the other side still sends is answered with a reset.
        for end in &ends {
            let _ = socket2::SockRef::from(end).set_linger(Some(Duration::ZERO));
        }
    }
}

async fn one_way(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut state: watch::Receiver<State>,
    part: fn(&State) -> (Duration, bool),
) -> std::io::Result<()> {
    let (send, mut parts) = mpsc::channel::<(Instant, Bytes)>(ON_THE_WAY);
    let delay = state.clone();
    let read = async move {
        let mut buffer = vec![0; PART];
        loop {
            let count = from.read(&mut buffer).await?;
            let (delay, _) = part(&delay.borrow());
            // An empty part is the end of the stream, which takes its time as well.
            let whole = (
                Instant::now() + delay,
                Bytes::copy_from_slice(&buffer[..count]),
            );
            if send.send(whole).await.is_err() || count == 0 {
                return Ok::<_, std::io::Error>(());
            }
        }
    };
    let write = async move {
        while let Some((due, bytes)) = parts.recv().await {
            tokio::time::sleep_until(due).await;
            // The owner of the way is gone: so is the way.
            let open = state.wait_for(|state| !part(state).1).await;
            open.map_err(|_| std::io::ErrorKind::ConnectionAborted)?;
            if bytes.is_empty() {
                return to.shutdown().await;
            }
            to.write_all(&bytes).await?;
        }
        Ok(())
    };
    tokio::try_join!(read, write).map(drop)
}
