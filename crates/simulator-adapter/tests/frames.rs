//! Runs the adapter as a process. Batches are built by hand and replies are parsed byte by byte.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::io::{Read, Write};
use std::process::{Child, Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers":1,"classes":[{"deadlineUs":1500000,"effect":"pure","goalTimeUs":750000,
 "gain":1.0,"name":"a"}],"discovery":"ask","unknown":{"x":1},"limits":{"maxAttempts":3},
 "specifics":{"mode":"aside","originKind":1},"periodUs":1000}"#;

#[derive(Default)]
struct Batch {
    records: Vec<[u8; 48]>,
    tail: Vec<u8>,
}

impl Batch {
    fn record(&mut self, code: u8, instance: u16, fields: &[(usize, &[u8])]) -> &mut Self {
        let mut record = [0u8; 48];
        record[0] = code;
        record[1..3].copy_from_slice(&instance.to_le_bytes());
        for (offset, bytes) in fields {
            record[*offset..offset + bytes.len()].copy_from_slice(bytes);
        }
        self.records.push(record);
        self
    }

    fn append_to_tail(&mut self, bytes: &[u8], count: usize) -> [u8; 8] {
        let mut field = [0u8; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        field[4..].copy_from_slice(&(count as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
        field
    }

    fn start(&mut self, instance: u16, settings: &str) -> &mut Self {
        let reference = self.append_to_tail(settings.as_bytes(), settings.len());
        self.record(5, instance, &[(3, &7u64.to_le_bytes()), (11, &reference)])
    }

    /// Adds a list of ready servers (ID and kind), and notifies the instance of it.
    fn list(
        &mut self,
        instance: u16,
        number: u16,
        update: u8,
        servers: &[(u32, u16)],
    ) -> &mut Self {
        let mut lines = Vec::new();
        for (id, kind) in servers {
            lines.extend_from_slice(&[0; 9]);
            lines.push(1);
            lines.extend_from_slice(&id.to_le_bytes());
            lines.extend_from_slice(&[0; 2]);
            lines.extend_from_slice(&kind.to_le_bytes());
            lines.extend_from_slice(&1f32.to_le_bytes());
        }
        let reference = self.append_to_tail(&lines, servers.len());
        self.record(9, number, &[(3, &reference)]);
        self.record(10, instance, &[(3, &number.to_le_bytes()), (9, &[update])])
    }

    fn request(&mut self, instance: u16, id: u64, key: u64) -> &mut Self {
        let remaining = 1_500_000u32.to_le_bytes();
        self.record(
            4,
            instance,
            &[
                (3, &id.to_le_bytes()),
                (19, &key.to_le_bytes()),
                (31, &remaining),
            ],
        )
    }

    fn outcome(
        &mut self,
        instance: u16,
        id: u64,
        attempt: u16,
        server: u32,
        status: u16,
    ) -> &mut Self {
        let (id, attempt, server) = (
            id.to_le_bytes(),
            attempt.to_le_bytes(),
            server.to_le_bytes(),
        );
        self.record(
            3,
            instance,
            &[
                (3, &id),
                (19, &attempt),
                (22, &status.to_le_bytes()),
                (24, &server),
            ],
        )
    }

    fn frame(&self, now: u64, number: u32) -> Vec<u8> {
        let length = (self.records.len() * 48 + self.tail.len()) as u32;
        let mut frame = now.to_le_bytes().to_vec();
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&(self.records.len() as u32).to_le_bytes());
        frame.extend_from_slice(&number.to_le_bytes());
        self.records.iter().for_each(|r| frame.extend_from_slice(r));
        frame.extend_from_slice(&self.tail);
        frame
    }
}

fn spawn() -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"));
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command.spawn().expect("the adapter starts")
}

fn run(input: &[u8]) -> Output {
    let mut child = spawn();
    // The adapter may stop reading at an error; a broken pipe is then expected.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("ended")
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(bytes[offset..offset + 4].try_into().unwrap())
}

/// The action records of the replies in an output, one list per batch.
fn replies(mut output: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut replies = Vec::new();
    while !output.is_empty() {
        let (count, length) = (u32_at(output, 0) as usize, u32_at(output, 4) as usize);
        assert!(length >= count * 24);
        let body = &output[12..12 + length];
        replies.push(
            (0..count)
                .map(|i| body[i * 24..(i + 1) * 24].to_vec())
                .collect(),
        );
        output = &output[12 + length..];
    }
    replies
}

fn sends(records: &[Vec<u8>]) -> Vec<(u16, u64, u32)> {
    let instance = |record: &[u8]| u16::from_le_bytes([record[1], record[2]]);
    let request = |record: &[u8]| u64::from_le_bytes(record[3..11].try_into().unwrap());
    let sends = records.iter().filter(|record| record[0] == 1);
    sends
        .map(|record| (instance(record), request(record), u32_at(record, 11)))
        .collect()
}

#[test]
fn an_empty_batch_gets_the_documented_reply() {
    let input = [
        0x5a, 0x5c, 0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0,
    ];
    let output = run(&input);
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn empty_input_ends_successfully_without_output() {
    let output = run(&[]);
    assert!(output.status.success() && output.stdout.is_empty() && output.stderr.is_empty());
}

#[test]
fn a_request_is_sent_missed_fetched_and_each_reply_precedes_the_next_batch() {
    let mut child = spawn();
    let (mut stdin, mut stdout) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
    let mut exchange = |batch: &Batch, now: u64, number: u32| {
        stdin.write_all(&batch.frame(now, number)).unwrap();
        let mut header = [0u8; 12];
        stdout.read_exact(&mut header).unwrap();
        assert_eq!(u32_at(&header, 8), number);
        let mut body = vec![0u8; u32_at(&header, 4) as usize];
        stdout.read_exact(&mut body).unwrap();
        replies(&[&header[..], &body[..]].concat()).remove(0)
    };
    let mut first = Batch::default();
    first
        .start(3, SETTINGS)
        .list(3, 0, 1, &[(11, 0), (500, 1)])
        .request(3, 77, 9);
    let reply = exchange(&first, 1_000_000, 1);
    assert_eq!(sends(&reply), [(3, 77, 11)]);
    assert!(
        reply.iter().any(|r| r[0] == 11 && r[3] == 1),
        "subscribes if discovery is polled"
    );
    let mut second = Batch::default();
    second.outcome(3, 77, 0, 11, 204);
    assert_eq!(sends(&exchange(&second, 1_010_000, 2)), [(3, 77, 500)]);
    let mut third = Batch::default();
    third.outcome(3, 77, 1, 500, 200);
    assert_eq!(sends(&exchange(&third, 1_020_000, 3)), []);
    drop(stdin);
    assert!(child.wait().unwrap().success());
}

#[test]
fn list_numbers_are_resolved_in_the_order_of_events() {
    let mut batch = Batch::default();
    batch.start(0, SETTINGS).start(1, SETTINGS);
    batch.list(0, 4, 1, &[(11, 0)]).list(1, 4, 1, &[(22, 0)]);
    batch.request(0, 1, 9).request(1, 2, 9);
    let output = run(&batch.frame(1_000_000, 1));
    assert_eq!(sends(&replies(&output.stdout)[0]), [(0, 1, 11), (1, 2, 22)]);
}

#[test]
fn an_instance_stopped_and_started_in_one_batch_has_no_earlier_state() {
    let mut batch = Batch::default();
    batch.start(0, SETTINGS).list(0, 0, 1, &[(11, 0)]);
    batch
        .record(7, 0, &[])
        .start(0, SETTINGS)
        .list(0, 1, 1, &[(12, 0)])
        .request(0, 1, 9);
    let output = run(&batch.frame(1_000_000, 1));
    assert_eq!(sends(&replies(&output.stdout)[0]), [(0, 1, 12)]);
}

#[test]
fn every_event_of_the_protocol_is_decoded() {
    let mut batch = Batch::default();
    batch
        .start(0, SETTINGS)
        .list(0, 0, 1, &[(11, 0)])
        .request(0, 1, 9);
    let reference = batch.append_to_tail(b"hello", 5);
    batch.record(1, 0, &[(3, &99u64.to_le_bytes())]);
    batch.record(2, 0, &[(3, &5u32.to_le_bytes())]);
    batch.record(
        6,
        0,
        &[
            (3, &200u16.to_le_bytes()),
            (9, &11u32.to_le_bytes()),
            (13, &[4]),
        ],
    );
    batch.record(
        8,
        0,
        &[(3, &1u64.to_le_bytes()), (11, &11u32.to_le_bytes())],
    );
    batch.record(10, 0, &[(9, &[2])]);
    batch.record(11, 0, &[(3, &1u32.to_le_bytes()), (7, &reference)]);
    for (attempt, status) in [200, 502, 429, 408, 521, 520, 444, 409, 204]
        .into_iter()
        .enumerate()
    {
        batch.outcome(0, 1, attempt as u16, 11, status);
    }
    assert!(run(&batch.frame(1_000_000, 1)).status.success());
}

/// Checks that the adapter stops at this input with a one-line error message and writes no part of a reply.
fn assert_rejected(expected: &str, input: &[u8]) {
    let output = run(input);
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{expected}: {message}");
    assert!(
        message.contains(expected),
        "expected {expected:?} in {message:?}"
    );
    assert_eq!(message.lines().count(), 1, "{message}");
    assert!(
        output.stdout.is_empty(),
        "{expected}: no part of a reply is written"
    );
}

/// A batch that starts instance 0 with one ready server.
fn started() -> Batch {
    let mut batch = Batch::default();
    batch.start(0, SETTINGS).list(0, 0, 1, &[(11, 0)]);
    batch
}

#[test]
fn a_truncated_frame_causes_a_one_line_error_and_no_partial_reply() {
    let complete = started().frame(1_000_000, 1);
    let mut too_long = complete.clone();
    too_long[8..12].copy_from_slice(&u32::MAX.to_le_bytes());
    let mut too_many_records = complete.clone();
    too_many_records[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_rejected("truncated frame", &complete[..10]);
    assert_rejected("truncated frame", &complete[..60]);
    assert_rejected("truncated frame", &too_long);
    assert_rejected("records exceed", &too_many_records);
}

#[test]
fn a_malformed_record_causes_a_one_line_error_and_no_partial_reply() {
    /// A reference to a range outside the tail.
    const OUTSIDE: [u8; 8] = [0xff, 0xff, 0xff, 0xff, 9, 0, 0, 0];
    struct Case {
        expected: &'static str,
        add: fn(&mut Batch) -> &mut Batch,
    }
    let case = |expected, add| Case { expected, add };
    let cases = [
        case("unknown event code 77", |batch| batch.record(77, 0, &[])),
        case("unknown instance 5", |batch| batch.request(5, 1, 9)),
        case("unknown instance 5", |batch| batch.record(7, 5, &[])),
        case("unknown outcome 999", |batch| {
            batch.outcome(0, 1, 0, 11, 999)
        }),
        case("outside the frame", |batch| {
            batch.record(9, 0, &[(3, &OUTSIDE)])
        }),
        case("outside the frame", |batch| {
            batch.record(11, 0, &[(7, &OUTSIDE)])
        }),
        case("out of range", |batch| batch.record(9, 16, &[])),
        case("unknown list 7", |batch| {
            batch.record(10, 0, &[(3, &[7, 0])])
        }),
        case("unknown kind 9", |batch| batch.record(10, 0, &[(9, &[9])])),
        case("class 3", |batch| batch.record(4, 0, &[(14, &[3])])),
        case("tenant 2", |batch| batch.record(4, 0, &[(11, &[2])])),
    ];
    for Case { expected, add } in cases {
        let mut batch = started();
        add(&mut batch);
        assert_rejected(expected, &batch.frame(1_000_000, 1));
    }
}

#[test]
fn unreadable_settings_cause_a_one_line_error_and_no_partial_reply() {
    for settings in [
        "{\"classes\": 3}",
        "{\"classes\": [{\"effect\": \"maybe\"}]}",
    ] {
        let mut batch = Batch::default();
        batch.start(0, settings);
        assert_rejected("unreadable settings", &batch.frame(1, 1));
    }
}
