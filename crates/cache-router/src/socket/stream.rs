//! A connected socket whose reads and writes handle short counts, interrupted calls and a temporary lack of memory.
//!
//! Readiness is edge triggered. If a read or write of the runtime itself transfers fewer bytes than the buffer holds,
//! the runtime takes the socket as drained and waits for the next edge, which never comes if the kernel has more data.
//! Here a socket is taken as drained only when a call reports that it would block.

use std::future::{Future, poll_fn};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf, Ready};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use super::errors::{ErrorMeaning, classify, is_not_ready};

/// How often an interrupted call is made without a pause. If it is still interrupted, the error is returned, and the
/// caller may retry it after a pause.
const MAX_INTERRUPTED_CALLS: usize = 16;
/// The pause before a call is retried that failed for lack of resources on this machine.
pub const LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(5);
/// A connection counts as lost if its calls have failed for lack of resources on this machine for this long.
pub const LOCAL_FAILURE_TIMEOUT: Duration = Duration::from_secs(1);

/// The operations that [`SocketStream`] needs of a non-blocking socket.
pub trait RawSocket {
    /// Polls until the socket may be readable.
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Polls until the socket may be writable.
    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads what is available, without waiting.
    ///
    /// # Errors
    /// As recv(2).
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes as much as the kernel accepts, without waiting.
    ///
    /// # Errors
    /// As send(2).
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Shuts down the sending side.
    ///
    /// # Errors
    /// As shutdown(2).
    fn shutdown_write(&self) -> io::Result<()>;
}

impl RawSocket for TcpStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        TcpStream::poll_read_ready(self, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        TcpStream::poll_write_ready(self, context)
    }

    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        TcpStream::try_read(self, buffer)
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        TcpStream::try_write(self, bytes)
    }

    fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(self).shutdown(Shutdown::Write)
    }
}

/// A connected socket that retries interrupted calls and calls that failed for lack of local resources.
pub struct SocketStream<S = TcpStream> {
    socket: S,
    read_retry: LocalRetry,
    write_retry: LocalRetry,
}

impl SocketStream<TcpStream> {
    /// Wraps a connected socket and sets `TCP_NODELAY`, so that small writes are sent at once.
    pub fn new(socket: TcpStream) -> Self {
        // If this fails, communication is only slower.
        let _ = socket.set_nodelay(true);
        SocketStream::from_raw(socket)
    }

    /// Waits until the socket may be readable.
    ///
    /// # Errors
    /// If the runtime shuts down.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Waits until the socket may be writable.
    ///
    /// # Errors
    /// If the runtime shuts down.
    pub async fn writable(&self) -> io::Result<()> {
        self.socket.writable().await
    }

    /// Waits until the socket may be ready for some of `interest`. Returns for what.
    ///
    /// # Errors
    /// If the runtime shuts down.
    pub async fn ready(&self, interest: Interest) -> io::Result<Ready> {
        self.socket.ready(interest).await
    }

    /// Whether there is known to be something to read, or the peer to have closed its sending side.
    pub async fn is_read_ready(&self) -> bool {
        tokio::select! {
            biased;
            _ = self.ready(Interest::READABLE) => true,
            () = std::future::ready(()) => false,
        }
    }

    /// Whether the peer is known to have closed its sending side, also if unread input precedes the close.
    pub async fn is_read_closed(&self) -> bool {
        tokio::select! {
            biased;
            ready = self.ready(Interest::READABLE) => {
                ready.map_or(true, |ready| ready.is_read_closed())
            }
            () = std::future::ready(()) => false,
        }
    }

    /// Appends the available input to a buffer, without waiting. A count of 0 means that the peer has closed its side,
    /// if the buffer had free space.
    ///
    /// # Errors
    /// As recv(2); [`is_not_ready`] is true for the error if there is nothing to read.
    pub fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        retry_interrupted(|| self.socket.try_read_buf(buffer))
    }

    /// Writes as much as the kernel accepts, without waiting.
    ///
    /// # Errors
    /// As send(2); [`is_not_ready`] is true for the error if the kernel accepts nothing now.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        retry_interrupted(|| self.socket.try_write(bytes))
    }
}

impl<S: RawSocket> SocketStream<S> {
    /// Wraps a connected, non-blocking socket.
    pub fn from_raw(socket: S) -> Self {
        SocketStream {
            socket,
            read_retry: LocalRetry::default(),
            write_retry: LocalRetry::default(),
        }
    }

    /// Waits until the kernel accepts at least the first byte. Returns how many bytes it accepted. Unlike `poll_write`,
    /// it does not retry when this machine is short of resources: the bytes could become out of date during the pause.
    ///
    /// # Errors
    /// As send(2).
    pub async fn begin_write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            poll_fn(|context| self.socket.poll_write_ready(context)).await?;
            match retry_interrupted(|| self.socket.try_write(bytes)) {
                Err(error) if is_not_ready(&error) => {}
                result => return result,
            }
        }
    }

    /// Shuts down the sending side. Data that the kernel has buffered is still sent.
    ///
    /// # Errors
    /// As shutdown(2): the connection has ended already.
    pub fn shutdown_write(&self) -> io::Result<()> {
        retry_interrupted(|| self.socket.shutdown_write())
    }
}

impl<S: RawSocket + Unpin> AsyncRead for SocketStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            ready!(this.read_retry.poll_pause(context));
            ready!(this.socket.poll_read_ready(context))?;
            match retry_interrupted(|| this.socket.try_read(buffer.initialize_unfilled())) {
                Ok(count) => {
                    buffer.advance(count);
                    this.read_retry.record_success();
                    return Poll::Ready(Ok(()));
                }
                Err(error) if is_not_ready(&error) => {}
                Err(error) => this.read_retry.record_failure(error)?,
            }
        }
    }
}

impl<S: RawSocket + Unpin> AsyncWrite for SocketStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        loop {
            ready!(this.write_retry.poll_pause(context));
            ready!(this.socket.poll_write_ready(context))?;
            match retry_interrupted(|| this.socket.try_write(bytes)) {
                Ok(count) => {
                    this.write_retry.record_success();
                    return Poll::Ready(Ok(count));
                }
                Err(error) if is_not_ready(&error) => {}
                Err(error) => this.write_retry.record_failure(error)?,
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}

/// Retries a call at once while it is interrupted, up to [`MAX_INTERRUPTED_CALLS`] calls in all.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_INTERRUPTED_CALLS {
        match call() {
            Err(error) if classify(&error) == ErrorMeaning::RetryNow => {}
            result => return result,
        }
    }
    call()
}

/// The pauses between calls that fail for lack of resources on this machine.
#[derive(Default)]
struct LocalRetry {
    /// The pause in progress.
    pause: Option<Pin<Box<Sleep>>>,
    /// When the first of the consecutive failures happened.
    failing_since: Option<Instant>,
}

impl LocalRetry {
    /// Polls until the pause in progress, if any, is over.
    fn poll_pause(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        Poll::Ready(())
    }

    /// Records a successful call, which ends the run of failures.
    fn record_success(&mut self) {
        self.failing_since = None;
    }

    /// Records a failed call. Starts a pause, or returns the error if it is not transient or calls have failed for
    /// [`LOCAL_FAILURE_TIMEOUT`].
    fn record_failure(&mut self, error: io::Error) -> io::Result<()> {
        let now = Instant::now();
        let failing_since = *self.failing_since.get_or_insert(now);
        let timed_out = now - failing_since >= LOCAL_FAILURE_TIMEOUT;
        if timed_out || !classify(&error).is_transient() {
            return Err(error);
        }
        self.pause = Some(Box::pin(tokio::time::sleep(LOCAL_RETRY_PAUSE)));
        Ok(())
    }
}
