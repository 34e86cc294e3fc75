//! The protocol of cache servers, over RESP2: encodes the commands that the router sends and interprets the replies.

use bytes::{Bytes, BytesMut};
use routing_policy::{AttemptStatus, CacheLookup, LoadReport};

use crate::message::{ClientCommand, ProtocolError, ServerResponse};
use crate::resp::frame::{FrameKind, FrameScanner};
use crate::resp::{self, Value};

/// Positions in the array that a cache server returns for a read or a write.
mod reply_element {
    pub const VALUE: usize = 0;
    pub const LOOKUP: usize = 1;
    pub const LOAD: usize = 2;
}

/// Encodes a client's command for a cache server, with the time that remains until its deadline.
pub fn encode(command: &ClientCommand, remaining_ms: u64) -> Bytes {
    let fields = forwarded_fields(command, remaining_ms);
    let name: &[u8] = if command.is_write {
        b"OBJ.SET"
    } else {
        b"OBJ.GET"
    };
    let common = [name, &command.key, &command.request_id, fields.as_bytes()];
    match &command.value {
        Some(value) => {
            let [name, key, id, fields] = common;
            resp::encode_command(&[name, key, id, fields, value])
        }
        None => resp::encode_command(&common),
    }
}

/// The fields of a client's command as they are forwarded with an attempt: unchanged except for `d` (the deadline),
/// which becomes the remaining time in milliseconds.
pub fn forwarded_fields(command: &ClientCommand, remaining_ms: u64) -> String {
    let fields = command
        .fields
        .split(',')
        .map(|field| match field.split_once('=') {
            Some(("d", _)) => format!("d={remaining_ms}"),
            _ => field.into(),
        });
    fields.collect::<Vec<_>>().join(",")
}

/// Decodes the replies on a connection, one after the other, while their bytes arrive.
pub struct ReplyDecoder {
    scanner: FrameScanner,
}

impl Default for ReplyDecoder {
    fn default() -> Self {
        ReplyDecoder {
            scanner: FrameScanner::new(FrameKind::Reply),
        }
    }
}

impl ReplyDecoder {
    /// Removes the next response from the front of the bytes that were received on a connection; `None` while it is
    /// incomplete.
    ///
    /// # Errors
    ///
    /// If the bytes are not a reply of this protocol. What is received next can't be matched to a request.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
        load_report_names: &[String],
    ) -> Result<Option<ServerResponse>, ProtocolError> {
        let reply = resp::take_value_with(&mut self.scanner, buffer).map_err(|_| ProtocolError)?;
        match reply {
            None => Ok(None),
            Some(Value::Array(elements)) => decode_array(&elements, load_report_names).map(Some),
            Some(Value::Error(line)) => Ok(Some(decode_error(&line, load_report_names))),
            Some(_) => Err(ProtocolError),
        }
    }

    /// How many more bytes the buffer has to hold for the reply to be complete, as far as known.
    pub fn missing_bytes(&self) -> usize {
        self.scanner.missing_bytes()
    }
}

/// Decodes the array that answers a read or a write: the value, the result of the cache lookup, and a load report.
fn decode_array(
    elements: &[Value],
    load_report_names: &[String],
) -> Result<ServerResponse, ProtocolError> {
    let (status, value) = match elements.get(reply_element::VALUE) {
        Some(Value::BulkString(Some(value))) => (AttemptStatus::Served, Some(value.clone())),
        Some(Value::BulkString(None)) => (AttemptStatus::Miss, None),
        _ => return Err(ProtocolError),
    };
    Ok(ServerResponse {
        status,
        cache_lookup: parse_lookup(text_element(elements, reply_element::LOOKUP)),
        load: parse_load(
            text_element(elements, reply_element::LOAD),
            load_report_names,
        ),
        value,
        reusable: true,
    })
}

/// An element as text; empty if it is missing or not UTF-8 text.
fn text_element(elements: &[Value], position: usize) -> &str {
    match elements.get(position) {
        Some(Value::BulkString(Some(text)) | Value::SimpleString(text)) => {
            std::str::from_utf8(text).unwrap_or("")
        }
        _ => "",
    }
}

/// Decodes an error reply. The first word distinguishes a rejection from a failure; the last word may be a load report.
fn decode_error(line: &[u8], load_report_names: &[String]) -> ServerResponse {
    let line = std::str::from_utf8(line).unwrap_or("");
    let status = match line.split(' ').next() {
        Some("BUSY") => AttemptStatus::Rejected,
        _ => AttemptStatus::Error,
    };
    let last_word = line.rsplit(' ').next().unwrap_or("");
    ServerResponse {
        status,
        cache_lookup: CacheLookup::Unknown,
        load: parse_load(last_word, load_report_names),
        value: None,
        reusable: true,
    }
}

/// Parses the word by which a server reports the result of a cache lookup.
pub fn parse_lookup(word: &str) -> CacheLookup {
    match word {
        "hit" => CacheLookup::Hit,
        "miss" => CacheLookup::Miss,
        "pending" => CacheLookup::MissBeingFetched,
        _ => CacheLookup::Unknown,
    }
}

/// Parses a load report, `name=value,...`, into the order in which the settings name the values. A report in which a
/// name is missing is ignored.
pub fn parse_load(text: &str, names: &[String]) -> LoadReport {
    let mut load = LoadReport::default();
    for (position, name) in names.iter().take(load.values.len()).enumerate() {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let value = pairs
            .filter(|(key, _)| key == name)
            .find_map(|(_, value)| value.parse().ok());
        let Some(value) = value else {
            return LoadReport::default();
        };
        load.values[position] = value;
        load.count += 1;
    }
    load
}
