//! Encodes replies, which consist of action records.

use routing_policy::{Action, Micros, ServerId};

use crate::wire::{CODE, INSTANCE};

/// Size of a reply header in bytes: the number of records, the number of bytes that follow, and the batch
/// number.
pub const REPLY_HEADER_SIZE: usize = 12;
/// Size of an action record in bytes.
pub const ACTION_SIZE: usize = 24;

/// Action codes of the protocol.
mod code {
    pub const SEND: u8 = 1;
    pub const REJECT: u8 = 2;
    pub const FAIL: u8 = 3;
    pub const CANCEL: u8 = 4;
    pub const TIMER: u8 = 5;
    pub const CHECK_HEALTH: u8 = 6;
    pub const CLOSE_IDLE: u8 = 7;
    pub const SEND_TO_PEER: u8 = 8;
    pub const LOG: u8 = 9;
    pub const FAULT: u8 = 10;
    pub const SUBSCRIBE: u8 = 11;
    pub const FETCH_ENDPOINTS: u8 = 12;
}

/// Offsets in the record that sends an attempt.
mod send {
    pub const REQUEST: usize = 3;
    pub const SERVER: usize = 11;
    pub const GIVE_UP_AFTER: usize = 15;
}

/// Offsets in the record of a rejection.
mod reject {
    pub const REQUEST: usize = 3;
    pub const RETRY_AFTER: usize = 11;
}

/// Offset in the record of a failed request.
mod fail {
    pub const REQUEST: usize = 3;
}

/// Offsets in the record of a cancelled attempt.
mod cancel {
    pub const REQUEST: usize = 3;
    pub const ATTEMPT: usize = 11;
}

/// Offsets in the record of a timer.
mod timer {
    pub const AFTER: usize = 3;
    pub const TOKEN: usize = 7;
}

/// Offset in records whose only field is a server.
mod server_only {
    pub const SERVER: usize = 3;
}

/// Offsets in the record of a message to another instance, and the value that addresses all instances.
mod send_to_peer {
    pub const TO: usize = 3;
    pub const BYTES: usize = 7;

    pub const ALL_PEERS: u32 = u32::MAX;
}

/// Offset in records whose only field is a text.
mod text_only {
    pub const TEXT: usize = 3;
}

/// Offset in the record that opens or closes a watch.
mod subscribe {
    pub const ON: usize = 3;
}

/// Offsets in a reference to a range of the tail.
mod tail_reference {
    pub const OFFSET: usize = 0;
    pub const COUNT: usize = 4;
}

/// An action record under construction.
struct ActionRecord {
    bytes: [u8; ACTION_SIZE],
}

impl ActionRecord {
    fn new(instance: u16) -> ActionRecord {
        let mut record = ActionRecord {
            bytes: [0; ACTION_SIZE],
        };
        record.write(INSTANCE, &instance.to_le_bytes());
        record
    }

    fn write(&mut self, offset: usize, bytes: &[u8]) {
        self.bytes[offset..offset + bytes.len()].copy_from_slice(bytes);
    }

    fn write_code(&mut self, code: u8) {
        self.bytes[CODE] = code;
    }

    /// Writes a duration, which is a signed 32-bit number on the wire. Longer durations are capped at the
    /// maximum.
    fn write_duration(&mut self, offset: usize, duration: Micros) {
        let wire_value = u32::try_from(duration)
            .unwrap_or(u32::MAX)
            .min(i32::MAX as u32);
        self.write(offset, &wire_value.to_le_bytes());
    }

    fn write_server_only(&mut self, code: u8, server: ServerId) {
        self.write_code(code);
        self.write(server_only::SERVER, &server.to_le_bytes());
    }
}

/// A reply under construction. Its buffers are reused for the next batch.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Adds an action of a policy instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        let mut record = ActionRecord::new(instance);
        self.encode(&mut record, action);
        self.records.extend_from_slice(&record.bytes);
        self.count += 1;
    }

    fn encode(&mut self, record: &mut ActionRecord, action: &Action) {
        match action {
            Action::Send {
                request,
                server,
                give_up_after,
            } => {
                record.write_code(code::SEND);
                record.write(send::REQUEST, &request.to_le_bytes());
                record.write(send::SERVER, &server.to_le_bytes());
                record.write_duration(send::GIVE_UP_AFTER, *give_up_after);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                record.write_code(code::REJECT);
                record.write(reject::REQUEST, &request.to_le_bytes());
                record.write_duration(reject::RETRY_AFTER, *retry_after);
            }
            Action::Fail(request) => {
                record.write_code(code::FAIL);
                record.write(fail::REQUEST, &request.to_le_bytes());
            }
            Action::Cancel { request, attempt } => {
                record.write_code(code::CANCEL);
                record.write(cancel::REQUEST, &request.to_le_bytes());
                record.write(cancel::ATTEMPT, &attempt.to_le_bytes());
            }
            Action::Timer { after, token } => {
                record.write_code(code::TIMER);
                record.write_duration(timer::AFTER, *after);
                record.write(timer::TOKEN, &token.to_le_bytes());
            }
            Action::CheckHealth(server) => record.write_server_only(code::CHECK_HEALTH, *server),
            Action::CloseIdle(server) => record.write_server_only(code::CLOSE_IDLE, *server),
            Action::SendToPeer { to, bytes } => {
                record.write_code(code::SEND_TO_PEER);
                let to = to.unwrap_or(send_to_peer::ALL_PEERS);
                record.write(send_to_peer::TO, &to.to_le_bytes());
                self.append_to_tail(record, send_to_peer::BYTES, bytes);
            }
            Action::Log(event) => self.encode_text(record, code::LOG, &event.to_string()),
            Action::Fault(text) => self.encode_text(record, code::FAULT, text),
            Action::Subscribe(on) => {
                record.write_code(code::SUBSCRIBE);
                record.write(subscribe::ON, &[u8::from(*on)]);
            }
            Action::FetchEndpoints => record.write_code(code::FETCH_ENDPOINTS),
        }
    }

    fn encode_text(&mut self, record: &mut ActionRecord, code: u8, text: &str) {
        record.write_code(code);
        self.append_to_tail(record, text_only::TEXT, text.as_bytes());
    }

    /// Appends bytes to the tail and writes a reference to them into the record.
    fn append_to_tail(&mut self, record: &mut ActionRecord, reference: usize, bytes: &[u8]) {
        let offset = self.tail.len() as u32;
        let count = bytes.len() as u32;
        record.write(reference + tail_reference::OFFSET, &offset.to_le_bytes());
        record.write(reference + tail_reference::COUNT, &count.to_le_bytes());
        self.tail.extend_from_slice(bytes);
    }

    /// Replaces the contents of `frame` with the reply to a batch, and clears the reply for the next batch.
    pub fn finish(&mut self, batch: u32, frame: &mut Vec<u8>) {
        let length = (self.records.len() + self.tail.len()) as u32;
        frame.clear();
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&batch.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        self.records.clear();
        self.tail.clear();
        self.count = 0;
    }
}
