//! The input of a client: the bytes read from its socket, and the commands that are parsed from them.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use routing_policy::Micros;
use tokio::time::Instant;

use super::arrival_times::ArrivalTimes;
use super::local_failures::{Disconnected, LocalFailures};
use crate::clock::Clock;
use crate::resp::{self, RespError};
use crate::socket::errors::is_not_ready;

/// How many bytes are read ahead while no command is taken. Reading goes on because the client's close may follow these
/// bytes, and because the deadline of a request counts from its arrival. It has to exceed the longest command.
const MAX_READ_AHEAD_BYTES: usize = 128 * 1024;
/// Once [`MAX_READ_AHEAD_BYTES`] have been read ahead, commands are rejected until no more than this is left.
const READ_AHEAD_BYTES_TO_KEEP: usize = MAX_READ_AHEAD_BYTES / 2;
/// How many bytes are read per [`THROTTLE_INTERVAL`] while commands are not taken, in case a client never stops
/// sending. The content of the socket buffers of both machines is read within a few intervals.
const MAX_THROTTLED_BYTES: usize = 2 * 1024 * 1024;
/// The interval over which throttled reads are counted.
pub const THROTTLE_INTERVAL: Duration = Duration::from_millis(25);
/// Free space in the input buffer before each read, in bytes.
const READ_CAPACITY: usize = 4096;

/// How the input of a client is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum InputMode {
    /// Commands are served.
    #[default]
    Serve,
    /// The connection is about to close: each command that is read is rejected.
    Reject,
    /// The command boundaries are lost: all input is discarded.
    Discard,
}

/// A command as it was received.
pub struct ReceivedCommand {
    /// Its name, followed by its arguments.
    pub arguments: Vec<Bytes>,
    /// When its last byte arrived, if that is known.
    pub arrived_at: Option<Micros>,
}

/// The input of a client.
pub struct ClientInput {
    buffer: BytesMut,
    arrival_times: ArrivalTimes,
    /// When bytes last arrived.
    last_read_at: Option<Instant>,
    /// Since when the next command has been incomplete, as far as known.
    incomplete_since: Option<Instant>,
    mode: InputMode,
    /// Bytes that were read in the current interval while commands were not taken.
    throttled_bytes: usize,
    interval_ends_at: Instant,
    failures: LocalFailures,
}

impl Default for ClientInput {
    fn default() -> Self {
        ClientInput {
            buffer: BytesMut::new(),
            arrival_times: ArrivalTimes::default(),
            last_read_at: None,
            incomplete_since: None,
            mode: InputMode::default(),
            throttled_bytes: 0,
            interval_ends_at: Instant::now() + THROTTLE_INTERVAL,
            failures: LocalFailures::default(),
        }
    }
}

impl ClientInput {
    /// Whether no input is waiting to be processed.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// How the input is handled.
    pub fn mode(&self) -> InputMode {
        self.mode
    }

    /// Rejects commands from now on.
    pub fn reject(&mut self) {
        if self.mode == InputMode::Serve {
            self.mode = InputMode::Reject;
        }
    }

    /// Discards what has been read and all later input.
    pub fn discard(&mut self) {
        self.buffer = BytesMut::new();
        self.arrival_times = ArrivalTimes::default();
        self.incomplete_since = None;
        self.mode = InputMode::Discard;
    }

    /// Since when the client has left a command incomplete, whether or not more bytes of it have arrived since. `None`
    /// if no command is incomplete, or if that is unknown because commands are not taken.
    pub fn incomplete_since(&self) -> Option<Instant> {
        self.incomplete_since
    }

    /// Whether more input may be read; `takes_commands` says whether commands are being taken.
    pub fn can_read(&self, takes_commands: bool) -> bool {
        takes_commands || self.throttled_bytes < MAX_THROTTLED_BYTES && !self.is_full()
    }

    /// Whether the read-ahead limit is reached.
    pub fn is_full(&self) -> bool {
        self.buffer.len() >= MAX_READ_AHEAD_BYTES
    }

    /// Whether more input is buffered than is kept when commands are rejected.
    pub fn has_excess(&self) -> bool {
        self.buffer.len() > READ_AHEAD_BYTES_TO_KEEP
    }

    /// Starts the next interval if the current one is over, so that more can be read while commands are not taken.
    pub fn update_interval(&mut self) {
        if self.throttled_bytes == 0 {
            return;
        }
        let now = Instant::now();
        if now >= self.interval_ends_at {
            self.throttled_bytes = 0;
            self.interval_ends_at = now + THROTTLE_INTERVAL;
        }
    }

    /// Reads that failed for lack of resources on this machine.
    pub fn failures(&self) -> &LocalFailures {
        &self.failures
    }

    /// Reads what has arrived, up to the read-ahead limit, unless the pause after a failed read is not over.
    /// `try_read` reads from the socket.
    ///
    /// # Errors
    ///
    /// If the client has closed its sending side or the connection is lost, even if commands have been read before it.
    pub fn read(
        &mut self,
        mut try_read: impl FnMut(&mut BytesMut) -> io::Result<usize>,
        clock: Clock,
        takes_commands: bool,
    ) -> Result<(), Disconnected> {
        if self.failures.is_paused() {
            return Ok(());
        }
        let mut bytes_read = 0;
        while self.can_read(takes_commands) && bytes_read < MAX_READ_AHEAD_BYTES {
            self.buffer.reserve(READ_CAPACITY);
            let result = try_read(&mut self.buffer);
            if result.is_ok() {
                self.failures.record_success();
            }
            if let Ok(count) = result {
                bytes_read += count;
                if !takes_commands {
                    self.throttled_bytes += count;
                }
            }
            match result {
                Ok(0) => return Err(Disconnected),
                Ok(_) if self.mode == InputMode::Discard => self.buffer.clear(),
                Ok(count) => {
                    self.arrival_times.add(count, clock.now());
                    self.last_read_at = Some(Instant::now());
                    if !takes_commands {
                        // These bytes may complete the incomplete command.
                        self.incomplete_since = None;
                    }
                    // More than the longest command is buffered: parse it before reading on.
                    if self.buffer.len() > resp::MAX_COMMAND_BYTES {
                        break;
                    }
                }
                Err(error) if is_not_ready(&error) => {
                    self.failures.record_success();
                    break;
                }
                Err(error) => return self.failures.record_failure(&error),
            }
        }
        Ok(())
    }

    /// Takes the next command from the input; `None` if it is not complete.
    ///
    /// # Errors
    ///
    /// If the input is not a command. The command boundaries are lost then: this and all later input is discarded.
    pub fn take_command(&mut self) -> Result<Option<ReceivedCommand>, RespError> {
        let length_before = self.buffer.len();
        match resp::take_command(&mut self.buffer) {
            Ok(Some(arguments)) => {
                let taken = length_before - self.buffer.len();
                let arrived_at = self.arrival_times.take(taken);
                self.incomplete_since = None;
                Ok(Some(ReceivedCommand {
                    arguments,
                    arrived_at,
                }))
            }
            Ok(None) => {
                if !self.buffer.is_empty() && self.incomplete_since.is_none() {
                    self.incomplete_since = self.last_read_at;
                }
                Ok(None)
            }
            Err(error) => {
                self.discard();
                Err(error)
            }
        }
    }
}
