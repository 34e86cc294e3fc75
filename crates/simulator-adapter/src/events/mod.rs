//! Decodes batches of event records.

mod layout;

use routing_policy::{
    AttemptOutcome, AttemptStatus, CacheLookup, Endpoint, EndpointState, Event, ListUpdate,
    LoadReport, Micros, Request,
};

use self::layout::{
    client_gone, code, endpoint, endpoint_list, header, health, list_update, load, outcome,
    peer_message, request, response_started, start, tail_reference, timer,
};
use crate::error::{AdapterError, DecodeError};
use crate::wire::{CODE, INSTANCE, RecordReader};

/// Size of a batch header in bytes.
pub const BATCH_HEADER_SIZE: usize = 20;
/// Size of an event record in bytes.
pub const EVENT_SIZE: usize = 48;

/// The header of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchHeader {
    /// The simulator's clock, in microseconds.
    pub now: Micros,
    /// Number of bytes that follow the header.
    pub length: usize,
    /// Number of event records in these bytes.
    pub records: usize,
    /// Number of the batch.
    pub number: u32,
}

impl BatchHeader {
    /// Decodes a header.
    ///
    /// # Errors
    /// Returns an error if the records do not fit into the length.
    pub fn decode(bytes: &[u8; BATCH_HEADER_SIZE]) -> Result<BatchHeader, AdapterError> {
        let reader = RecordReader::new(bytes);
        let header = BatchHeader {
            now: reader.u64(header::NOW),
            length: reader.size(header::LENGTH),
            records: reader.size(header::RECORDS),
            number: reader.u32(header::NUMBER),
        };
        if header.records.saturating_mul(EVENT_SIZE) > header.length {
            return Err(AdapterError::TooManyRecords {
                batch: header.number,
            });
        }
        Ok(header)
    }
}

/// A decoded event record. Data from the tail of its batch is resolved; list numbers are not.
#[derive(Debug, Clone, PartialEq)]
pub enum EventRecord<'a> {
    /// An instance starts.
    Start {
        /// Its number.
        instance: u16,
        /// Seed of its random number generator.
        seed: u64,
        /// Its settings as JSON text.
        settings: &'a [u8],
    },
    /// An endpoint list, which later records refer to by its number.
    EndpointList {
        /// Number of the list.
        number: u16,
        /// Its endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// An instance stops without notice.
    Stop {
        /// Its number.
        instance: u16,
    },
    /// An instance is notified of a list.
    ListUpdate {
        /// Number of the instance.
        instance: u16,
        /// How the list relates to the one that the instance has.
        update: ListUpdate,
        /// Number of the list.
        number: u16,
    },
    /// Any other event for an instance.
    Event {
        /// Number of the instance.
        instance: u16,
        /// The event.
        event: Event,
    },
}

/// The records and the tail of a batch.
#[derive(Debug, Clone, Copy)]
pub struct BatchBody<'a> {
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> BatchBody<'a> {
    /// Splits the body of a batch into `records` event records and the tail. The number of records must fit the
    /// body, as checked by [`BatchHeader::decode`].
    ///
    /// # Panics
    /// Panics if the records do not fit the body.
    pub fn new(body: &'a [u8], records: usize) -> BatchBody<'a> {
        let (records, tail) = body.split_at(records * EVENT_SIZE);
        BatchBody { records, tail }
    }

    /// Decodes the event records in order.
    pub fn events(self) -> impl Iterator<Item = Result<EventRecord<'a>, DecodeError>> {
        self.records
            .chunks_exact(EVENT_SIZE)
            .map(move |bytes| decode_event(RecordReader::new(bytes), self.tail))
    }
}

fn decode_event<'a>(
    record: RecordReader<'_>,
    tail: &'a [u8],
) -> Result<EventRecord<'a>, DecodeError> {
    let instance = record.u16(INSTANCE);
    let event = match record.u8(CODE) {
        code::START => return decode_start(record, tail),
        code::STOP => return Ok(EventRecord::Stop { instance }),
        code::ENDPOINT_LIST => return decode_endpoint_list(record, tail),
        code::LIST_UPDATE => return decode_list_update(record),
        code::CLIENT_GONE => Event::ClientGone(record.u64(client_gone::REQUEST)),
        code::TIMER => Event::Timer(record.u32(timer::TOKEN)),
        code::ATTEMPT_OUTCOME => Event::AttemptOutcome(decode_outcome(record)?),
        code::REQUEST => Event::Request(decode_request(record)),
        code::HEALTH_CHECKED => decode_health_check(record),
        code::RESPONSE_STARTED => Event::ResponseStarted {
            request: record.u64(response_started::REQUEST),
            attempt: record.u16(response_started::ATTEMPT),
        },
        code::PEER_MESSAGE => Event::PeerMessage {
            from: record.u32(peer_message::FROM),
            bytes: tail_range(record, peer_message::BYTES, 1, tail)?.to_vec(),
        },
        code => return Err(DecodeError::UnknownEvent { code }),
    };
    Ok(EventRecord::Event { instance, event })
}

fn decode_start<'a>(
    record: RecordReader<'_>,
    tail: &'a [u8],
) -> Result<EventRecord<'a>, DecodeError> {
    Ok(EventRecord::Start {
        instance: record.u16(INSTANCE),
        seed: record.u64(start::SEED),
        settings: tail_range(record, start::SETTINGS, 1, tail)?,
    })
}

fn decode_endpoint_list<'a>(
    record: RecordReader<'_>,
    tail: &'a [u8],
) -> Result<EventRecord<'a>, DecodeError> {
    let endpoints = tail_range(record, endpoint_list::ENDPOINTS, endpoint::SIZE, tail)?
        .chunks_exact(endpoint::SIZE)
        .map(|bytes| decode_endpoint(RecordReader::new(bytes)))
        .collect::<Result<Vec<Endpoint>, DecodeError>>()?;
    Ok(EventRecord::EndpointList {
        number: record.u16(endpoint_list::NUMBER),
        endpoints,
    })
}

fn decode_endpoint(record: RecordReader<'_>) -> Result<Endpoint, DecodeError> {
    let state = match record.u8(endpoint::STATE) {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        state => return Err(DecodeError::UnknownEndpointState { state }),
    };
    Ok(Endpoint {
        zone: record.u8(endpoint::ZONE),
        started: record.u64(endpoint::STARTED),
        state,
        id: record.u32(endpoint::ID),
        cell: record.u16(endpoint::CELL),
        kind: record.u16(endpoint::KIND),
        weight: record.f32(endpoint::WEIGHT),
    })
}

fn decode_list_update<'a>(record: RecordReader<'_>) -> Result<EventRecord<'a>, DecodeError> {
    let update = match record.u8(list_update::KIND) {
        0 => ListUpdate::Full,
        1 => ListUpdate::Cached,
        2 => ListUpdate::Failed,
        3 => ListUpdate::Delta,
        kind => return Err(DecodeError::UnknownListUpdate { kind }),
    };
    Ok(EventRecord::ListUpdate {
        instance: record.u16(INSTANCE),
        update,
        number: record.u16(list_update::NUMBER),
    })
}

fn decode_health_check(record: RecordReader<'_>) -> Event {
    Event::HealthChecked {
        healthy: record.u16(health::STATUS) == health::STATUS_HEALTHY,
        elapsed: record.u32(health::ELAPSED).into(),
        server: record.u32(health::SERVER),
        load: decode_load(record.from(health::LOAD)),
    }
}

fn decode_request(record: RecordReader<'_>) -> Request {
    let flags = record.u8(request::FLAGS);
    let has = |flag: u8| flags & flag != 0;
    Request {
        id: record.u64(request::ID),
        tenant: record.u16(request::TENANT).into(),
        cost: has(request::FLAG_HAS_COST).then(|| record.u32(request::COST).into()),
        is_retry: has(request::FLAG_IS_RETRY),
        write: has(request::FLAG_WRITE),
        class: record.u8(request::CLASS).into(),
        key: record.u64(request::KEY),
        value_size: record.f32(request::VALUE_SIZE),
        remaining_deadline: record.u32(request::REMAINING_DEADLINE).into(),
    }
}

fn decode_outcome(record: RecordReader<'_>) -> Result<AttemptOutcome, DecodeError> {
    let cache_lookup = match record.u32(outcome::CACHE_LOOKUP) {
        1 => CacheLookup::Hit,
        2 => CacheLookup::Miss,
        3 => CacheLookup::MissBeingFetched,
        _ => CacheLookup::Unknown,
    };
    Ok(AttemptOutcome {
        request: record.u64(outcome::REQUEST),
        cache_lookup,
        elapsed: record.u32(outcome::ELAPSED).into(),
        attempt: record.u16(outcome::ATTEMPT),
        request_complete: record.u8(outcome::REQUEST_COMPLETE) != 0,
        status: decode_status(record.u16(outcome::STATUS))?,
        server: record.u32(outcome::SERVER),
        load: decode_load(record.from(outcome::LOAD)),
    })
}

/// The protocol uses HTTP status codes where they exist, and codes of common proxies otherwise.
fn decode_status(status: u16) -> Result<AttemptStatus, DecodeError> {
    Ok(match status {
        200 => AttemptStatus::Served,
        204 => AttemptStatus::Miss,
        408 => AttemptStatus::TimedOut,
        409 => AttemptStatus::NotSent,
        429 => AttemptStatus::Rejected,
        444 => AttemptStatus::Cancelled,
        502 => AttemptStatus::Error,
        520 => AttemptStatus::Reset,
        521 => AttemptStatus::ConnectFailed,
        status => return Err(DecodeError::UnknownStatus { status }),
    })
}

fn decode_load(report: RecordReader<'_>) -> LoadReport {
    LoadReport {
        count: report.u8(load::COUNT).min(load::MAX_VALUES),
        values: std::array::from_fn(|index| report.f32(load::VALUES + load::VALUE_SIZE * index)),
    }
}

/// Returns the range of the tail that the reference at offset `reference` of the record names: an offset in
/// bytes and a count of items of `item_size` bytes.
fn tail_range<'a>(
    record: RecordReader<'_>,
    reference: usize,
    item_size: usize,
    tail: &'a [u8],
) -> Result<&'a [u8], DecodeError> {
    let offset = record.size(reference + tail_reference::OFFSET);
    let count = record.size(reference + tail_reference::COUNT);
    let length = count.checked_mul(item_size);
    let end = length.and_then(|length| length.checked_add(offset));
    let range = end.and_then(|end| tail.get(offset..end));
    range.ok_or(DecodeError::OutsideTail {
        code: record.u8(CODE),
        offset,
        count,
    })
}
