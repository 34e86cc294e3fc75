//! The input of a client: what has been read of its socket, and the commands that are taken off it.

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

/// While no command is taken, this many bytes are read ahead all the same: behind them may be the client's close, and
/// the time of a request counts from when it arrived. It has to exceed the longest command.
const MAX_READ_AHEAD_BYTES: usize = 128 * 1024;
/// When that much has been read ahead, commands are rejected until this much is left.
const READ_AHEAD_BYTES_TO_KEEP: usize = MAX_READ_AHEAD_BYTES / 2;
/// Of a client whose commands are not taken this many bytes are read in each interval, against one that never stops
/// sending. What the buffers of both machines hold takes a few intervals.
const MAX_UNSERVED_BYTES: usize = 2 * 1024 * 1024;
/// The length of these intervals.
pub const UNSERVED_INTERVAL: Duration = Duration::from_millis(25);
/// Free space in the input buffer before each read, in bytes.
const READ_CAPACITY: usize = 4096;

/// What becomes of the commands of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Intake {
    /// They are served.
    #[default]
    Serve,
    /// The connection is about to close: each that has been read is answered with a rejection.
    Reject,
    /// No command can be told from the input any more: it is discarded.
    Discard,
}

/// A command as it was received.
pub struct ReceivedCommand {
    /// Its words.
    pub words: Vec<Bytes>,
    /// When its last byte arrived, if that is known.
    pub arrived_at: Option<Micros>,
}

/// The input of a client.
pub struct ClientInput {
    buffer: BytesMut,
    arrival_times: ArrivalTimes,
    /// When bytes last arrived.
    last_read_at: Option<Instant>,
    /// Since when the first command that is not taken is known to be incomplete.
    incomplete_since: Option<Instant>,
    intake: Intake,
    /// Bytes that were read in the present interval while commands were not taken.
    unserved_bytes: usize,
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
            intake: Intake::default(),
            unserved_bytes: 0,
            interval_ends_at: Instant::now() + UNSERVED_INTERVAL,
            failures: LocalFailures::default(),
        }
    }
}

impl ClientInput {
    /// Whether nothing has been read that is not taken.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// What becomes of the commands.
    pub fn intake(&self) -> Intake {
        self.intake
    }

    /// Rejects from now on the commands that are complete.
    pub fn reject(&mut self) {
        if self.intake == Intake::Serve {
            self.intake = Intake::Reject;
        }
    }

    /// Discards what has been read, and from now on what arrives.
    pub fn discard(&mut self) {
        self.buffer = BytesMut::new();
        self.arrival_times = ArrivalTimes::default();
        self.incomplete_since = None;
        self.intake = Intake::Discard;
    }

    /// Since when the client has left a command incomplete, whether or not more bytes of it come; `None` if it has not,
    /// or while commands are not taken and the answer is not known.
    pub fn incomplete_since(&self) -> Option<Instant> {
        self.incomplete_since
    }

    /// Whether more is read; `takes_commands` tells whether commands are taken.
    pub fn can_read(&self, takes_commands: bool) -> bool {
        takes_commands || self.unserved_bytes < MAX_UNSERVED_BYTES && !self.is_full()
    }

    /// Whether as much is read ahead as is kept.
    pub fn is_full(&self) -> bool {
        self.buffer.len() >= MAX_READ_AHEAD_BYTES
    }

    /// Whether there is more read ahead than is left when commands are rejected.
    pub fn has_excess(&self) -> bool {
        self.buffer.len() > READ_AHEAD_BYTES_TO_KEEP
    }

    /// Begins the next interval, if the present one is over: more may be read while commands are not taken.
    pub fn update_interval(&mut self) {
        if self.unserved_bytes == 0 {
            return;
        }
        let now = Instant::now();
        if now >= self.interval_ends_at {
            self.unserved_bytes = 0;
            self.interval_ends_at = now + UNSERVED_INTERVAL;
        }
    }

    /// Reads that failed for want of something on this machine.
    pub fn failures(&self) -> &LocalFailures {
        &self.failures
    }

    /// Reads what has arrived, with `try_read` for the call on the socket, unless the next read has to wait.
    ///
    /// # Errors
    ///
    /// If the client has closed its connection, whatever it had sent before: nobody waits for the replies.
    pub fn read(
        &mut self,
        try_read: impl Fn(&mut BytesMut) -> io::Result<usize>,
        clock: Clock,
        takes_commands: bool,
    ) -> Result<(), Disconnected> {
        if self.failures.is_paused() {
            return Ok(());
        }
        while self.can_read(takes_commands) {
            self.buffer.reserve(READ_CAPACITY);
            let result = try_read(&mut self.buffer);
            if result.is_ok() {
                self.failures.succeeded();
            }
            if let Ok(count) = result
                && !takes_commands
            {
                self.unserved_bytes += count;
            }
            match result {
                Ok(0) => return Err(Disconnected),
                Ok(_) if self.intake == Intake::Discard => self.buffer.clear(),
                Ok(count) => {
                    self.arrival_times.add(count, clock.now());
                    self.last_read_at = Some(Instant::now());
                    if !takes_commands {
                        // These bytes may complete it.
                        self.incomplete_since = None;
                    }
                    // More than one command holds: the rest is read once this has been parsed.
                    if self.buffer.len() > resp::MAX_COMMAND_BYTES {
                        break;
                    }
                }
                Err(error) if is_not_ready(&error) => {
                    self.failures.succeeded();
                    break;
                }
                Err(error) => return self.failures.failed(&error),
            }
        }
        Ok(())
    }

    /// Takes the next command, if it is complete.
    ///
    /// # Errors
    ///
    /// If the input is not a command. Its framing is lost then: it is discarded, and so is all that follows.
    pub fn take_command(&mut self) -> Result<Option<ReceivedCommand>, RespError> {
        let length_before = self.buffer.len();
        match resp::take_command(&mut self.buffer) {
            Ok(Some(words)) => {
                let taken = length_before - self.buffer.len();
                let arrived_at = self.arrival_times.take(taken);
                self.incomplete_since = None;
                Ok(Some(ReceivedCommand { words, arrived_at }))
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
