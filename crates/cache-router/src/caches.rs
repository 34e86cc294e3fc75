//! What is said to cache servers and what their answers mean.

use bytes::{Bytes, BytesMut};
use routing_policy::{AttemptStatus, CacheLookup, LoadReport};

use crate::message::{ClientCommand, ProtocolError, ServerResponse};
use crate::resp::{self, Value};

/// The facts of a client's command as an attempt tells them: all unchanged but `d`, the time left now.
pub fn facts(command: &ClientCommand, left_ms: u64) -> String {
    let facts = command
        .fields
        .split(',')
        .map(|fact| match fact.split_once('=') {
            Some(("d", _)) => format!("d={left_ms}"),
            _ => fact.into(),
        });
    facts.collect::<Vec<_>>().join(",")
}

/// The command of a client as it goes on to a cache server.
pub fn encode(command: &ClientCommand, left_ms: u64) -> Bytes {
    let facts = facts(command, left_ms);
    let name: &[u8] = if command.is_write {
        b"OBJ.SET"
    } else {
        b"OBJ.GET"
    };
    match &command.value {
        Some(value) => resp::command(&[
            name,
            &command.key,
            &command.request_id,
            facts.as_bytes(),
            value,
        ]),
        None => resp::command(&[name, &command.key, &command.request_id, facts.as_bytes()]),
    }
}

/// Takes an answer off the front of what a connection brought; `None` while it is not all there.
pub fn decode(
    buffer: &mut BytesMut,
    load_names: &[String],
) -> Result<Option<ServerResponse>, ProtocolError> {
    let Some(value) = resp::take_value(buffer).map_err(|_| ProtocolError)? else {
        return Ok(None);
    };
    let response = |status| ServerResponse {
        status,
        cache_lookup: CacheLookup::Unknown,
        load: LoadReport::default(),
        value: None,
        reusable: true,
    };
    Ok(Some(match value {
        Value::Array(items) => {
            let text = |at: usize| match items.get(at) {
                Some(Value::Bulk(Some(text)) | Value::Line(text)) => {
                    std::str::from_utf8(text).unwrap_or("")
                }
                _ => "",
            };
            let (note, load) = (note(text(1)), load(text(2), load_names));
            match items.first() {
                Some(Value::Bulk(Some(value))) => ServerResponse {
                    cache_lookup: note,
                    load,
                    value: Some(value.clone()),
                    ..response(AttemptStatus::Served)
                },
                Some(Value::Bulk(None)) => ServerResponse {
                    cache_lookup: note,
                    load,
                    ..response(AttemptStatus::Miss)
                },
                _ => return Err(ProtocolError),
            }
        }
        Value::Error(line) => {
            let line = std::str::from_utf8(&line).unwrap_or("");
            let status = if line.split(' ').next() == Some("BUSY") {
                AttemptStatus::Rejected
            } else {
                AttemptStatus::Error
            };
            let last = line.rsplit(' ').next().unwrap_or("");
            ServerResponse {
                load: load(last, load_names),
                ..response(status)
            }
        }
        // Nothing of the protocol: what this connection brings next can't be matched to anything.
        _ => return Err(ProtocolError),
    }))
}

/// How a read went, in a server's words.
pub fn note(word: &str) -> CacheLookup {
    match word {
        "hit" => CacheLookup::Hit,
        "miss" => CacheLookup::Miss,
        "pending" => CacheLookup::MissBeingFetched,
        _ => CacheLookup::Unknown,
    }
}

/// A load report in a server's words: names and values, put in the order that the settings name them.
pub fn load(text: &str, names: &[String]) -> LoadReport {
    let mut load = LoadReport::default();
    for (slot, name) in names.iter().take(load.values.len()).enumerate() {
        let pair = text.split(',').filter_map(|pair| pair.split_once('='));
        let Some(value) = pair
            .filter(|(key, _)| key == name)
            .find_map(|(_, value)| value.parse().ok())
        else {
            return LoadReport::default();
        };
        load.values[slot] = value;
        load.count += 1;
    }
    load
}
