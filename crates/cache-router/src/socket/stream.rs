//! A connected socket whose reads and writes bear short counts, interrupted calls and a momentary lack of memory.
//!
//! Readiness is edge triggered. The runtime's own reads and writes take a count below the size of the buffer for a
//! drained socket and wait for the next edge, which does not come if the kernel had more to give. Here a socket counts
//! as drained only when a call reports that it would block.

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

/// How often a call that was interrupted is made again at once; after that it is made again after a pause.
const MAX_INTERRUPTED_CALLS: usize = 16;
/// The pause before a call is made again that failed for want of something on this machine.
pub const LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(5);
/// A connection whose calls have failed for want of something on this machine for this long is lost.
pub const LOCAL_FAILURE_TIMEOUT: Duration = Duration::from_secs(1);

/// The calls that [`SocketStream`] makes on a non-blocking socket.
pub trait RawSocket {
    /// Waits until the socket may have something to read.
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Waits until the socket may take something.
    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads what there is, without waiting.
    ///
    /// # Errors
    /// As recv(2).
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes what the kernel takes, without waiting.
    ///
    /// # Errors
    /// As send(2).
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Ends the side that is written to.
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

/// A connected socket.
pub struct SocketStream<S = TcpStream> {
    socket: S,
    read_retry: LocalRetry,
    write_retry: LocalRetry,
}

impl SocketStream<TcpStream> {
    /// Takes over a connected socket. Small writes are sent at once.
    pub fn new(socket: TcpStream) -> Self {
        // Without it the exchange is only slower.
        let _ = socket.set_nodelay(true);
        SocketStream::from_raw(socket)
    }

    /// Waits until the socket may have something to read.
    ///
    /// # Errors
    /// If the runtime shuts down.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Waits until the socket may take something.
    ///
    /// # Errors
    /// If the runtime shuts down.
    pub async fn writable(&self) -> io::Result<()> {
        self.socket.writable().await
    }

    /// Waits until the socket may be ready, and tells for what.
    ///
    /// # Errors
    /// If the runtime shuts down.
    pub async fn ready(&self, interest: Interest) -> io::Result<Ready> {
        self.socket.ready(interest).await
    }

    /// Appends what there is to read to a buffer, without waiting. A count of 0 is the peer's end, if there was free
    /// space in the buffer.
    ///
    /// # Errors
    /// As recv(2); [`is_not_ready`] tells that there is nothing to read.
    pub fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        retry_interrupted(|| self.socket.try_read_buf(buffer))
    }

    /// Writes what the kernel takes, without waiting.
    ///
    /// # Errors
    /// As send(2); [`is_not_ready`] tells that the kernel takes nothing now.
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

    /// Waits until the kernel takes the first of some bytes, and returns how many it took. Unlike a write, it does not
    /// wait for what this machine lacks: meanwhile the bytes could become out of date.
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

    /// Ends the side that is written to. What the kernel holds is still sent.
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
                    this.read_retry.succeeded();
                    return Poll::Ready(Ok(()));
                }
                Err(error) if is_not_ready(&error) => {}
                Err(error) => this.read_retry.failed(error)?,
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
                    this.write_retry.succeeded();
                    return Poll::Ready(Ok(count));
                }
                Err(error) if is_not_ready(&error) => {}
                Err(error) => this.write_retry.failed(error)?,
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

/// Makes a call again at once while it is interrupted, but not for ever.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_INTERRUPTED_CALLS {
        match call() {
            Err(error) if classify(&error) == ErrorMeaning::RetryNow => {}
            result => return result,
        }
    }
    call()
}

/// The pauses between calls that fail for want of something on this machine.
#[derive(Default)]
struct LocalRetry {
    /// The pause that has begun.
    pause: Option<Pin<Box<Sleep>>>,
    /// Since when no call has succeeded.
    failing_since: Option<Instant>,
}

impl LocalRetry {
    /// Waits for the end of a pause that has begun.
    fn poll_pause(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        Poll::Ready(())
    }

    /// A call has succeeded.
    fn succeeded(&mut self) {
        self.failing_since = None;
    }

    /// A call has failed: a pause begins, or the error is returned if it is not transient or has lasted for too long.
    fn failed(&mut self, error: io::Error) -> io::Result<()> {
        let now = Instant::now();
        let failing_since = *self.failing_since.get_or_insert(now);
        let is_over = now - failing_since >= LOCAL_FAILURE_TIMEOUT;
        if is_over || !classify(&error).is_transient() {
            return Err(error);
        }
        self.pause = Some(Box::pin(tokio::time::sleep(LOCAL_RETRY_PAUSE)));
        Ok(())
    }
}
