//! Checks the codes and offsets of the records on the simulator's wire protocol.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use routing_policy::{
    Action, AttemptOutcome, AttemptStatus, CacheLookup, Event, LoadReport, LogEvent, Request,
};
use simulator_adapter::actions::{ACTION_SIZE, REPLY_HEADER_SIZE, Reply};
use simulator_adapter::events::{BatchBody, EVENT_SIZE, EventRecord};

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(bytes[offset..offset + 4].try_into().unwrap())
}

/// Encodes an action of instance 3 and returns its record and the tail.
fn encoded(action: &Action) -> (Vec<u8>, Vec<u8>) {
    let mut reply = Reply::default();
    let mut frame = Vec::new();
    reply.push(3, action);
    reply.finish(12, &mut frame);
    assert_eq!(u32_at(&frame, 0), 1);
    assert_eq!(u32_at(&frame, 4) as usize, frame.len() - REPLY_HEADER_SIZE);
    assert_eq!(u32_at(&frame, 8), 12);
    let (record, tail) = frame[REPLY_HEADER_SIZE..].split_at(ACTION_SIZE);
    (record.to_vec(), tail.to_vec())
}

/// Builds an action record of instance 3 from a code and fields at given offsets.
fn record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; ACTION_SIZE];
    record[0] = code;
    record[1] = 3;
    for (offset, bytes) in fields {
        record[*offset..offset + bytes.len()].copy_from_slice(bytes);
    }
    record
}

/// An action and its expected encoding.
struct Case {
    action: Action,
    record: Vec<u8>,
    tail: &'static [u8],
}

impl Case {
    fn without_tail(action: Action, record: Vec<u8>) -> Case {
        Case {
            action,
            record,
            tail: b"",
        }
    }

    fn check(&self) {
        let (record, tail) = encoded(&self.action);
        assert_eq!(record, self.record, "{:?}", self.action);
        assert_eq!(tail, self.tail, "{:?}", self.action);
    }
}

#[test]
fn every_action_on_a_request_has_its_code_and_its_fields_at_their_offsets() {
    let request = 0x0002_dd71_5d3a_91c4u64;
    let server = 0x0312_4a07u32;
    let (id, server_id) = (request.to_le_bytes(), server.to_le_bytes());
    let send = Action::Send {
        request,
        server,
        give_up_after: 80_000,
    };
    let send_fields: [(usize, &[u8]); 3] =
        [(3, &id), (11, &server_id), (15, &80_000u32.to_le_bytes())];
    let reject = Action::Reject {
        request,
        retry_after: 7,
    };
    let reject_fields: [(usize, &[u8]); 2] = [(3, &id), (11, &7u32.to_le_bytes())];
    let cancel = Action::Cancel {
        request,
        attempt: 2,
    };
    for case in [
        Case::without_tail(send, record(1, &send_fields)),
        Case::without_tail(reject, record(2, &reject_fields)),
        Case::without_tail(Action::Fail(request), record(3, &[(3, &id)])),
        Case::without_tail(cancel, record(4, &[(3, &id), (11, &[2])])),
    ] {
        case.check();
    }
}

#[test]
fn every_other_action_has_its_code_and_its_fields_at_their_offsets() {
    let server = 0x0312_4a07u32;
    let server_id = server.to_le_bytes();
    let timer = Action::Timer {
        after: 500_000,
        token: 77,
    };
    let timer_fields: [(usize, &[u8]); 2] = [(3, &500_000u32.to_le_bytes()), (7, &[77])];
    for case in [
        Case::without_tail(timer, record(5, &timer_fields)),
        Case::without_tail(Action::CheckHealth(server), record(6, &[(3, &server_id)])),
        Case::without_tail(Action::CloseIdle(server), record(7, &[(3, &server_id)])),
        Case::without_tail(Action::Subscribe(true), record(11, &[(3, &[1])])),
        Case::without_tail(Action::Subscribe(false), record(11, &[])),
        Case::without_tail(Action::FetchEndpoints, record(12, &[])),
    ] {
        case.check();
    }
}

#[test]
fn an_action_with_bytes_has_them_in_the_tail_and_refers_to_them() {
    let tail = b"hi";
    let reference = [0, 0, 0, 0, 2, 0, 0, 0];
    let to_peer = |to| Action::SendToPeer {
        to,
        bytes: tail.to_vec(),
    };
    for case in [
        Case {
            action: to_peer(None),
            record: record(8, &[(3, &[0xff; 4]), (7, &reference)]),
            tail,
        },
        Case {
            action: to_peer(Some(4)),
            record: record(8, &[(3, &[4]), (7, &reference)]),
            tail,
        },
        Case {
            action: Action::Log(LogEvent::LoadSheddingEnded),
            record: record(9, &[(3, &[0, 0, 0, 0, 19])]),
            tail: b"load shedding ended",
        },
        Case {
            action: Action::Fault("hi".into()),
            record: record(10, &[(3, &reference)]),
            tail,
        },
    ] {
        case.check();
    }
}

#[test]
fn a_request_and_an_outcome_are_decoded_from_their_offsets() {
    let mut body = vec![0u8; 2 * EVENT_SIZE];
    body[0] = 4;
    body[3] = 9; // id
    body[11] = 1; // tenant
    body[13] = 7; // has a cost, is a retry, is a write
    body[14] = 2; // class
    body[15] = 50; // cost
    body[19] = 5; // key
    body[32] = 1; // remaining deadline 256
    let second = &mut body[EVENT_SIZE..];
    second[0] = 3;
    second[3] = 9; // request
    second[11] = 3; // cache lookup
    second[15] = 40; // elapsed
    second[19] = 1; // attempt
    second[21] = 1; // request complete
    second[22..24].copy_from_slice(&429u16.to_le_bytes());
    second[24] = 6; // server
    second[28] = 1; // load values
    second[29..33].copy_from_slice(&1.5f32.to_le_bytes());
    let request = Request {
        id: 9,
        class: 2,
        tenant: 1,
        key: 5,
        write: true,
        is_retry: true,
        remaining_deadline: 256,
        cost: Some(50),
        value_size: 0.0,
    };
    let records: Vec<_> = BatchBody::new(&body, 2).events().collect();
    assert_eq!(
        records[0],
        Ok(EventRecord::Event {
            instance: 0,
            event: Event::Request(request)
        })
    );
    let load = LoadReport {
        count: 1,
        values: [1.5, 0.0, 0.0, 0.0],
    };
    let outcome = AttemptOutcome {
        request: 9,
        attempt: 1,
        server: 6,
        status: AttemptStatus::Rejected,
        request_complete: true,
        cache_lookup: CacheLookup::MissBeingFetched,
        elapsed: 40,
        load,
    };
    assert_eq!(
        records[1],
        Ok(EventRecord::Event {
            instance: 0,
            event: Event::AttemptOutcome(outcome)
        })
    );
}
