//! Reads and writes on sockets with scripted results: how many bytes each call transfers, or how it fails.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::task::{Context, Poll};

use bytes::BytesMut;
use cache_router::socket::SocketStream;
use cache_router::socket::stream::{LOCAL_FAILURE_TIMEOUT, LOCAL_RETRY_PAUSE, RawSocket};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// What the next call on a [`ScriptedSocket`] does.
#[derive(Clone, Copy)]
enum Call {
    /// It transfers at most this many bytes.
    Transfer(usize),
    /// It fails with an errno.
    Fail(i32),
}

/// A socket that is always ready. After the end of the script, its last entry is repeated.
struct ScriptedSocket {
    calls: RefCell<VecDeque<Call>>,
    input: RefCell<VecDeque<u8>>,
    output: RefCell<Vec<u8>>,
}

impl ScriptedSocket {
    fn stream(calls: &[Call], input: &[u8]) -> SocketStream<ScriptedSocket> {
        SocketStream::from_raw(ScriptedSocket {
            calls: RefCell::new(calls.iter().copied().collect()),
            input: RefCell::new(input.iter().copied().collect()),
            output: RefCell::default(),
        })
    }

    /// Takes the next script entry: how many bytes the call may transfer, or its error.
    fn next_call(&self) -> io::Result<usize> {
        let mut calls = self.calls.borrow_mut();
        let call = if calls.len() > 1 {
            calls.pop_front()
        } else {
            calls.front().copied()
        };
        match call.unwrap() {
            Call::Transfer(count) => Ok(count),
            Call::Fail(errno) => Err(io::Error::from_raw_os_error(errno)),
        }
    }
}

impl RawSocket for ScriptedSocket {
    fn poll_read_ready(&self, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_write_ready(&self, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut input = self.input.borrow_mut();
        let count = self.next_call()?.min(buffer.len()).min(input.len());
        for (place, byte) in buffer.iter_mut().zip(input.drain(..count)) {
            *place = byte;
        }
        Ok(count)
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        let count = self.next_call()?.min(bytes.len());
        self.output.borrow_mut().extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn shutdown_write(&self) -> io::Result<()> {
        self.next_call().map(drop)
    }
}

#[tokio::test(start_paused = true)]
async fn interrupted_and_short_calls_lose_no_byte() {
    let calls = [
        Call::Fail(libc::EINTR),
        Call::Transfer(1),
        Call::Fail(libc::EINTR),
        Call::Fail(libc::EINTR),
        Call::Transfer(2),
    ];
    let started_at = Instant::now();
    let mut stream = ScriptedSocket::stream(&calls, b"response");
    let mut read = Vec::new();
    stream.read_to_end(&mut read).await.unwrap();
    assert_eq!(read, b"response");
    let mut stream = SocketStream::from_raw(ScriptedSocket {
        calls: RefCell::new(calls.into()),
        input: RefCell::default(),
        output: RefCell::default(),
    });
    stream.write_all(b"request").await.unwrap();
    stream.shutdown().await.unwrap();
    assert_eq!(started_at.elapsed().as_millis(), 0, "no pause was made");
}

#[tokio::test(start_paused = true)]
async fn a_temporary_lack_of_memory_is_retried_after_a_pause() {
    let calls = [
        Call::Fail(libc::ENOBUFS),
        Call::Fail(libc::ENOMEM),
        Call::Transfer(64),
    ];
    let started_at = Instant::now();
    let mut stream = ScriptedSocket::stream(&calls, b"");
    stream.write_all(b"request").await.unwrap();
    assert!(started_at.elapsed() >= LOCAL_RETRY_PAUSE * 2);
}

#[tokio::test(start_paused = true)]
async fn begin_write_does_not_retry_when_memory_is_short() {
    let calls = [
        Call::Fail(libc::EINTR),
        Call::Fail(libc::EAGAIN),
        Call::Fail(libc::ENOBUFS),
        Call::Transfer(3),
    ];
    let mut stream = ScriptedSocket::stream(&calls, b"");
    let started_at = Instant::now();
    let error = stream.begin_write(b"request").await.unwrap_err();
    assert_eq!(error.raw_os_error(), Some(libc::ENOBUFS));
    assert_eq!(stream.begin_write(b"request").await.unwrap(), 3);
    assert_eq!(started_at.elapsed().as_millis(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_lasting_lack_of_memory_fails_the_connection() {
    let mut stream = ScriptedSocket::stream(&[Call::Fail(libc::ENOBUFS)], b"");
    let started_at = Instant::now();
    let error = stream.write_all(b"request").await.unwrap_err();
    assert_eq!(error.raw_os_error(), Some(libc::ENOBUFS));
    assert!(started_at.elapsed() >= LOCAL_FAILURE_TIMEOUT);
    assert!(started_at.elapsed() <= LOCAL_FAILURE_TIMEOUT + LOCAL_RETRY_PAUSE * 2);
}

#[tokio::test(start_paused = true)]
async fn calls_that_are_always_interrupted_do_not_spin_forever() {
    let mut stream = ScriptedSocket::stream(&[Call::Fail(libc::EINTR)], b"");
    let error = stream.read_buf(&mut BytesMut::new()).await.unwrap_err();
    assert_eq!(error.raw_os_error(), Some(libc::EINTR));
}

#[tokio::test(start_paused = true)]
async fn a_lost_connection_is_reported_at_once() {
    for errno in [libc::ECONNRESET, libc::EPIPE, libc::ETIMEDOUT, libc::EBADF] {
        let started_at = Instant::now();
        let mut stream = ScriptedSocket::stream(&[Call::Fail(errno)], b"");
        let error = stream.read_buf(&mut BytesMut::new()).await.unwrap_err();
        assert_eq!(error.raw_os_error(), Some(errno));
        assert_eq!(started_at.elapsed().as_millis(), 0);
    }
}

/// A real socket whose reads and writes transfer at most one byte per call, even if the kernel has more.
struct ShortCallSocket(TcpStream);

impl RawSocket for ShortCallSocket {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        RawSocket::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        RawSocket::poll_write_ready(&self.0, context)
    }

    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let most = buffer.len().min(1);
        RawSocket::try_read(&self.0, &mut buffer[..most])
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        let most = bytes.len().min(1);
        RawSocket::try_write(&self.0, &bytes[..most])
    }

    fn shutdown_write(&self) -> io::Result<()> {
        RawSocket::shutdown_write(&self.0)
    }
}

#[tokio::test]
async fn bytes_that_the_kernel_holds_are_read_without_another_edge() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap());
    let (client, accepted) = tokio::join!(client, listener.accept());
    let mut reader = SocketStream::from_raw(ShortCallSocket(client.unwrap()));
    let mut writer = SocketStream::from_raw(ShortCallSocket(accepted.unwrap().0));
    let sent = vec![b'x'; 3000];
    writer.write_all(&sent).await.unwrap();
    writer.shutdown().await.unwrap();
    let mut received = Vec::new();
    reader.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, sent);
}
