//! System calls on a client's socket that fail for lack of local resources, or because the connection is lost.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use cache_router::client_connection::input::ClientInput;
use cache_router::client_connection::local_failures::Disconnected;
use cache_router::client_connection::output::ClientOutput;
use cache_router::client_connection::reply_queue::ReplyQueue;
use cache_router::clock::Clock;
use cache_router::memory_budget::MemoryBudget;
use cache_router::socket::stream::{LOCAL_FAILURE_TIMEOUT, LOCAL_RETRY_PAUSE};

use crate::support::{PING, VALUE_REPLY};

/// Errors that mean a temporary lack of resources on this machine.
const LOCAL_ERRORS: [i32; 2] = [libc::ENOBUFS, libc::ENOMEM];

/// The results of calls, in order. Further calls fail with `EAGAIN`.
struct Script(RefCell<VecDeque<Result<usize, i32>>>);

impl Script {
    fn new(results: impl IntoIterator<Item = Result<usize, i32>>) -> Self {
        Script(RefCell::new(results.into_iter().collect()))
    }

    fn next(&self) -> io::Result<usize> {
        let next = self.0.borrow_mut().pop_front();
        next.unwrap_or(Err(libc::EAGAIN))
            .map_err(io::Error::from_raw_os_error)
    }
}

fn new_input() -> ClientInput {
    ClientInput::new(MemoryBudget::new(1024 * 1024))
}

/// Reads input. The script says how many bytes of a `PING` command each call returns.
fn read(input: &mut ClientInput, script: &Script) -> Result<(), Disconnected> {
    let try_read = |buffer: &mut BytesMut| {
        let count = script.next()?;
        let rest_of_command = &PING[buffer.len() % PING.len()..];
        buffer.put_slice(&rest_of_command[..count]);
        Ok(count)
    };
    input.read(try_read, Clock::start(), true)
}

#[tokio::test(start_paused = true)]
async fn a_read_that_fails_for_lack_of_local_resources_is_retried_after_a_pause_and_loses_no_byte()
{
    for errno in LOCAL_ERRORS {
        let script = Script::new([Ok(5), Err(errno), Ok(PING.len() - 5)]);
        let mut input = new_input();
        assert_eq!(read(&mut input, &script), Ok(()));
        assert!(input.failures().is_paused(), "{errno}");
        assert_eq!(read(&mut input, &script), Ok(()));
        assert!(input.take_command().unwrap().is_none(), "not read yet");
        tokio::time::sleep(LOCAL_RETRY_PAUSE).await;
        assert_eq!(read(&mut input, &script), Ok(()));
        assert!(!input.failures().is_paused());
        assert_eq!(
            input.take_command().unwrap().unwrap().arguments.unwrap()[0],
            "PING"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_write_that_fails_for_lack_of_local_resources_is_retried_after_a_pause_and_loses_no_byte()
{
    for errno in LOCAL_ERRORS {
        let mut replies = ReplyQueue::default();
        replies.push_ready(VALUE_REPLY);
        let mut output = ClientOutput::default();
        output.take_ready(&mut replies);
        let script = Script::new([Ok(2), Err(errno), Ok(5)]);
        let written = RefCell::new(Vec::new());
        let try_write = |bytes: &[u8]| {
            let count = script.next()?;
            written.borrow_mut().extend_from_slice(&bytes[..count]);
            Ok(count)
        };
        assert_eq!(output.write(try_write), Ok(true));
        assert_eq!(output.write(try_write), Ok(false), "{errno}");
        assert_eq!(
            output.write(try_write),
            Ok(false),
            "the retry is not due yet"
        );
        tokio::time::sleep(LOCAL_RETRY_PAUSE).await;
        assert_eq!(output.write(try_write), Ok(true));
        assert_eq!(written.take(), VALUE_REPLY);
    }
}

#[tokio::test(start_paused = true)]
async fn local_failures_disconnect_the_client_only_after_the_timeout() {
    let script = Script::new(std::iter::repeat_n(Err(libc::ENOBUFS), 10_000));
    let mut input = new_input();
    let mut lasted = Duration::ZERO;
    while read(&mut input, &script).is_ok() {
        tokio::time::sleep(LOCAL_RETRY_PAUSE).await;
        lasted += LOCAL_RETRY_PAUSE;
    }
    assert!(lasted >= LOCAL_FAILURE_TIMEOUT && lasted < LOCAL_FAILURE_TIMEOUT * 2);
    // A successful call in between starts the timeout anew.
    let alternating = (0..1_000).flat_map(|_| [Err(libc::ENOBUFS), Ok(1)]);
    let script = Script::new(alternating);
    let mut input = new_input();
    for _ in 0..500 {
        assert_eq!(read(&mut input, &script), Ok(()));
        tokio::time::sleep(LOCAL_RETRY_PAUSE).await;
    }
}

#[test]
fn a_lost_connection_disconnects_the_client_at_once() {
    for errno in [libc::ECONNRESET, libc::EPIPE, libc::ETIMEDOUT, libc::EBADF] {
        let script = Script::new([Err(errno)]);
        let read = read(&mut new_input(), &script);
        assert_eq!(read, Err(Disconnected), "{errno}");
    }
}
