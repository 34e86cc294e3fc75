//! The protocol of cache servers, over RESP2: the commands that the router sends and what the replies mean.

use bytes::{Bytes, BytesMut};
use routing_policy::{AttemptStatus, CacheLookup, LoadReport};

use crate::message::{ClientCommand, ProtocolError, ServerResponse};
use crate::resp::{self, Value};

/// Positions in the array that answers a read or a write.
mod reply_element {
    pub const VALUE: usize = 0;
    pub const LOOKUP: usize = 1;
    pub const LOAD: usize = 2;
}

/// Encodes a client's command for a cache server.
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

/// The fields of a client's command as they are forwarded with an attempt: unchanged but for `d`, which becomes the time
/// that remains, in milliseconds.
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

/// Takes a response off the front of the bytes that a connection brought; `None` while it is incomplete.
///
/// # Errors
///
/// If the bytes are no reply of this protocol: what the connection brings next can't be matched to a request.
pub fn decode(
    buffer: &mut BytesMut,
    load_names: &[String],
) -> Result<Option<ServerResponse>, ProtocolError> {
    let reply = resp::take_value(buffer).map_err(|_| ProtocolError)?;
    match reply {
        None => Ok(None),
        Some(Value::Array(elements)) => decode_lookup(&elements, load_names).map(Some),
        Some(Value::Error(line)) => Ok(Some(decode_error(&line, load_names))),
        Some(_) => Err(ProtocolError),
    }
}

/// The reply to a read or a write: the value, how the lookup went, and a load report.
fn decode_lookup(
    elements: &[Value],
    load_names: &[String],
) -> Result<ServerResponse, ProtocolError> {
    let (status, value) = match elements.get(reply_element::VALUE) {
        Some(Value::BulkString(Some(value))) => (AttemptStatus::Served, Some(value.clone())),
        Some(Value::BulkString(None)) => (AttemptStatus::Miss, None),
        _ => return Err(ProtocolError),
    };
    Ok(ServerResponse {
        status,
        cache_lookup: parse_lookup(text_element(elements, reply_element::LOOKUP)),
        load: parse_load(text_element(elements, reply_element::LOAD), load_names),
        value,
        reusable: true,
    })
}

/// An element as text; empty where there is none.
fn text_element(elements: &[Value], position: usize) -> &str {
    match elements.get(position) {
        Some(Value::BulkString(Some(text)) | Value::SimpleString(text)) => {
            std::str::from_utf8(text).unwrap_or("")
        }
        _ => "",
    }
}

/// An error reply: its first word tells a rejection from a failure, its last may be a load report.
fn decode_error(line: &[u8], load_names: &[String]) -> ServerResponse {
    let line = std::str::from_utf8(line).unwrap_or("");
    let status = match line.split(' ').next() {
        Some("BUSY") => AttemptStatus::Rejected,
        _ => AttemptStatus::Error,
    };
    let last_word = line.rsplit(' ').next().unwrap_or("");
    ServerResponse {
        status,
        cache_lookup: CacheLookup::Unknown,
        load: parse_load(last_word, load_names),
        value: None,
        reusable: true,
    }
}

/// Parses a server's word for how a cache lookup went.
pub fn parse_lookup(word: &str) -> CacheLookup {
    match word {
        "hit" => CacheLookup::Hit,
        "miss" => CacheLookup::Miss,
        "pending" => CacheLookup::MissBeingFetched,
        _ => CacheLookup::Unknown,
    }
}

/// Parses a load report, `name=value,...`, into the order in which the settings name its values. A report that lacks a
/// name counts as none.
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
