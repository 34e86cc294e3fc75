//! The input of a client: the bytes read from its socket, and the commands that are parsed from them.
//!
//! Up to 4 KiB are buffered in any case, which is enough for commands without a long value. Memory for
//! more is reserved first. If there is none, the content of a long command is discarded while it is read, and the
//! command is reported without its arguments.

use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use routing_policy::Micros;
use tokio::time::Instant;

use super::arrival_times::{ArrivalTimes, MAX_UNRESERVED_ARRIVAL_BYTES};
use super::local_failures::{Disconnected, LocalFailures};
use crate::clock::Clock;
use crate::memory_budget::{MemoryBudget, MemoryReservation, reserved_bytes};
use crate::resp::frame::{FrameKind, FrameScanner};
use crate::resp::{self, RespError};
use crate::socket::errors::is_not_ready;
use crate::unread_input::UnreadInput;

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
/// How many bytes are buffered without a reservation: more than a command without a long value takes.
const UNRESERVED_BYTES: usize = 4096;
/// What the input holds at most without a reservation, in bytes.
pub const MAX_UNRESERVED_INPUT_BYTES: usize = UNRESERVED_BYTES + MAX_UNRESERVED_ARRIVAL_BYTES;
/// The least free space in the input buffer before a read, in bytes.
const MIN_READ_BYTES: usize = 1024;
/// The longest command whose memory is not reserved after it has been taken, in bytes. The number of these is limited.
const MAX_UNRESERVED_COMMAND_BYTES: usize = 512;
/// How often the content of a command is held: as it was received, and encoded for the server.
const COPIES_OF_COMMAND: usize = 2;

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
    /// Its name, followed by its arguments; `None` if there was no memory for them.
    pub arguments: Option<Vec<Bytes>>,
    /// When its last byte arrived, if that is known.
    pub arrived_at: Option<Micros>,
}

/// The input of a client.
pub struct ClientInput {
    buffer: BytesMut,
    /// Where the next command ends in the buffer.
    scanner: FrameScanner,
    /// The memory that all client connections share.
    memory: MemoryBudget,
    /// The memory of the buffer that exceeds [`UNRESERVED_BYTES`].
    reservation: Option<MemoryReservation>,
    /// Whether there was no memory for another read.
    is_short_of_memory: bool,
    /// Whether the content of the next command is discarded.
    discards_command: bool,
    /// Whether the buffer is known to hold no complete command.
    is_incomplete: bool,
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
    /// When the input was last read up to its end.
    drained_at: Option<Micros>,
    unread: UnreadInput,
}

impl ClientInput {
    /// Creates the input of a new connection.
    pub fn new(memory: MemoryBudget) -> Self {
        ClientInput {
            buffer: BytesMut::new(),
            scanner: FrameScanner::new(FrameKind::Command),
            arrival_times: ArrivalTimes::new(memory.clone()),
            memory,
            reservation: None,
            is_short_of_memory: false,
            discards_command: false,
            is_incomplete: false,
            last_read_at: None,
            incomplete_since: None,
            mode: InputMode::default(),
            throttled_bytes: 0,
            interval_ends_at: Instant::now() + THROTTLE_INTERVAL,
            failures: LocalFailures::default(),
            drained_at: None,
            unread: UnreadInput::default(),
        }
    }

    /// Whether no input is waiting to be processed.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty() && !self.discards_command
    }

    /// How many bytes are held without a reservation.
    pub fn unreserved_bytes(&self) -> usize {
        let buffer = self.buffer.capacity().saturating_sub(self.reserved_bytes());
        buffer + self.arrival_times.unreserved_bytes()
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
        self.scanner.restart();
        self.reservation = None;
        self.is_short_of_memory = false;
        self.discards_command = false;
        self.arrival_times.clear();
        self.incomplete_since = None;
        self.mode = InputMode::Discard;
    }

    /// Discards the content of the incomplete command, and gives its memory back. When it is complete, it is reported
    /// without its arguments.
    pub fn discard_command(&mut self) {
        self.discards_command = true;
        self.remove_scanned();
    }

    /// Since when the client has left a command incomplete for which memory is reserved.
    pub fn reserved_since(&self) -> Option<Instant> {
        self.incomplete_since.filter(|_| self.reservation.is_some())
    }

    /// Whether there was no memory for another read.
    pub fn is_short_of_memory(&self) -> bool {
        self.is_short_of_memory
    }

    /// Since when the client has left a command incomplete, whether or not more bytes of it have arrived since. `None`
    /// if no command is incomplete, or if that is unknown because commands are not taken.
    pub fn incomplete_since(&self) -> Option<Instant> {
        self.incomplete_since
    }

    /// Records that there is input to be read before the connection waits for any: it may have arrived at any time since
    /// the input was last read up to its end.
    pub fn record_unread(&mut self, now: Micros) {
        self.unread.record(self.drained_at.unwrap_or(now));
    }

    /// Records that input has arrived while the connection waited for it.
    pub fn record_arrival(&mut self, now: Micros) {
        self.unread.record(now);
    }

    /// Since when there has been input that is not read.
    pub fn unread(&self) -> &UnreadInput {
        &self.unread
    }

    /// Whether more input may be read; `takes_commands` says whether commands are being taken.
    pub fn can_read(&self, takes_commands: bool) -> bool {
        let may_read_ahead = !self.is_full() && !self.is_short_of_memory;
        takes_commands || self.throttled_bytes < MAX_THROTTLED_BYTES && may_read_ahead
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
        if self.throttled_bytes == 0 && !self.is_short_of_memory {
            return;
        }
        let now = Instant::now();
        if now >= self.interval_ends_at {
            self.throttled_bytes = 0;
            self.is_short_of_memory = false;
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
        while self.can_read(takes_commands)
            && bytes_read < MAX_READ_AHEAD_BYTES
            && self.make_room(takes_commands)
        {
            let result = try_read(&mut self.buffer);
            if result.is_ok() {
                self.failures.record_success();
            }
            if let Ok(count) = result {
                bytes_read += count;
                self.is_incomplete = false;
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
                }
                Err(error) if is_not_ready(&error) => {
                    self.failures.record_success();
                    self.drained_at = Some(clock.now());
                    self.unread.clear();
                    self.free_if_empty();
                    break;
                }
                Err(error) => return self.failures.record_failure(&error),
            }
        }
        Ok(())
    }

    /// Makes room for another read; `false` if there is no memory for it, or if commands have to be taken first.
    fn make_room(&mut self, takes_commands: bool) -> bool {
        let Some(capacity) = self.next_capacity(takes_commands) else {
            return false;
        };
        let available = UNRESERVED_BYTES + self.reserved_bytes();
        if capacity > available && !self.reserve(capacity - available) {
            self.is_short_of_memory = true;
            return false;
        }
        if !self.buffer.try_reclaim(capacity - self.buffer.len()) {
            // A buffer that grows by itself could take twice the memory that is reserved.
            let mut buffer = BytesMut::with_capacity(capacity);
            buffer.extend_from_slice(&self.buffer);
            self.buffer = buffer;
        }
        true
    }

    /// The capacity of the buffer for another read. `None` if it is nearly full and may hold complete commands, which are
    /// taken first.
    fn next_capacity(&self, takes_commands: bool) -> Option<usize> {
        let buffered = self.buffer.len();
        let is_nearly_full = buffered > UNRESERVED_BYTES - MIN_READ_BYTES;
        let wanted = match takes_commands {
            true if self.discards_command => MIN_READ_BYTES,
            true if self.is_incomplete => self.scanner.missing_bytes().max(MIN_READ_BYTES),
            true if is_nearly_full => return None,
            true => 0,
            // Grows in proportion, as all of it is copied each time.
            false if is_nearly_full => buffered,
            false => 0,
        };
        Some(UNRESERVED_BYTES.max(buffered + wanted))
    }

    fn reserved_bytes(&self) -> usize {
        reserved_bytes(self.reservation.as_ref())
    }

    /// Reserves more memory for the buffer; `false` if there is none.
    fn reserve(&mut self, bytes: usize) -> bool {
        let Some(added) = self.memory.try_reserve(bytes) else {
            return false;
        };
        match &mut self.reservation {
            Some(reservation) => reservation.merge(added),
            None => self.reservation = Some(added),
        }
        true
    }

    /// Gives back the memory that the buffer does not need any more.
    fn shrink(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        } else if self.reservation.is_some() && self.buffer.len() <= UNRESERVED_BYTES {
            self.buffer = BytesMut::from(&self.buffer[..]);
        } else {
            return;
        }
        self.reservation = None;
    }

    /// Gives back the memory of the buffer if it holds nothing.
    fn free_if_empty(&mut self) {
        if self.buffer.is_empty() {
            self.shrink();
        }
    }

    /// Takes the next command from the input; `None` if it is not complete.
    ///
    /// # Errors
    ///
    /// If the input is not a command. The command boundaries are lost then: this and all later input is discarded.
    pub fn take_command(&mut self) -> Result<Option<ReceivedCommand>, RespError> {
        match self.scanner.scan(&self.buffer) {
            Ok(Some(length)) => self.take_complete(length).map(Some),
            Ok(None) => {
                self.handle_incomplete();
                Ok(None)
            }
            Err(error) => {
                self.discard();
                Err(error)
            }
        }
    }

    /// Takes the command that ends at `length` in the buffer.
    fn take_complete(&mut self, length: usize) -> Result<ReceivedCommand, RespError> {
        let arguments = match self.discards_command {
            true => None,
            false => self.copy_command(length),
        };
        self.buffer.advance(length);
        self.scanner.restart();
        self.discards_command = false;
        self.is_incomplete = false;
        self.is_short_of_memory = false;
        self.incomplete_since = None;
        self.shrink();
        Ok(ReceivedCommand {
            arguments: arguments.transpose()?,
            arrived_at: self.arrival_times.take(length),
        })
    }

    /// Copies the command that ends at `length`, so that its arguments keep no more memory than they need; `None` if
    /// there is no memory for it.
    fn copy_command(&mut self, length: usize) -> Option<Result<Vec<Bytes>, RespError>> {
        let reservation = self.reserve_copies(length)?;
        let copy = Bytes::copy_from_slice(&self.buffer[..length]);
        let command = match reservation {
            Some(reservation) => reservation.attach_to(copy),
            None => copy,
        };
        Some(resp::parse_command(&command))
    }

    /// Reserves the memory of a command that is taken, unless it is short. `None` if there is none.
    fn reserve_copies(&mut self, length: usize) -> Option<Option<MemoryReservation>> {
        if length <= MAX_UNRESERVED_COMMAND_BYTES {
            return Some(None);
        }
        let wanted = length * COPIES_OF_COMMAND;
        let leaves_little = self.buffer.len() - length <= UNRESERVED_BYTES;
        let missing = match &self.reservation {
            // The buffer shrinks once the command is taken.
            Some(reservation) if leaves_little => wanted.saturating_sub(reservation.bytes()),
            _ => wanted,
        };
        let added = self.memory.try_reserve(missing)?;
        let mut reservation = added;
        if leaves_little && let Some(of_buffer) = self.reservation.take() {
            reservation.merge(of_buffer);
            reservation.shrink_to(wanted);
        }
        Some(Some(reservation))
    }

    /// Handles that the input holds no complete command.
    fn handle_incomplete(&mut self) {
        self.is_incomplete = true;
        if !self.is_empty() && self.incomplete_since.is_none() {
            self.incomplete_since = self.last_read_at;
        }
        // Only the time at which the last byte of the command arrives matters.
        self.arrival_times.merge();
        if self.discards_command || self.is_short_of_memory {
            self.discard_command();
        }
        self.free_if_empty();
    }

    /// Removes the scanned part of a command whose content is discarded.
    fn remove_scanned(&mut self) {
        let count = self.scanner.remove_scanned();
        self.buffer.advance(count);
        let _ = self.arrival_times.take(count);
        self.is_short_of_memory = false;
        self.shrink();
    }
}
