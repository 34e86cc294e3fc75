//! The input of a client: what has been read of its socket, and the commands that are taken off it.

use std::io;

use bytes::{Bytes, BytesMut};
use routing_policy::Micros;
use tokio::time::Instant;

use super::arrival_times::ArrivalTimes;
use super::local_failures::{Disconnected, LocalFailures};
use crate::clock::Clock;
use crate::resp::{self, RespError};
use crate::socket::errors::is_not_ready;

/// While no command is taken, this many bytes are read ahead all the same: behind them may be the client's close, and
/// the time of a request counts from when it arrived.
const READ_AHEAD_BYTES: usize = 16 * 1024;
/// Of a client whose input is ignored this many bytes are read and discarded while it is still owed replies.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
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
#[derive(Default)]
pub struct ClientInput {
    buffer: BytesMut,
    arrival_times: ArrivalTimes,
    /// When bytes last arrived.
    last_read_at: Option<Instant>,
    /// Since when the first command that is not taken is known to be incomplete.
    incomplete_since: Option<Instant>,
    intake: Intake,
    /// Bytes that were discarded.
    discarded_bytes: usize,
    failures: LocalFailures,
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
        if self.intake == Intake::Discard {
            return self.discarded_bytes < MAX_DISCARDED_BYTES;
        }
        takes_commands || self.buffer.len() < READ_AHEAD_BYTES
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
            match result {
                Ok(0) => return Err(Disconnected),
                Ok(count) if self.intake == Intake::Discard => {
                    self.discarded_bytes += count;
                    self.buffer.clear();
                }
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
