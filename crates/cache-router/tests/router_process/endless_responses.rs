//! Responses of servers that come in many small pieces and never end, and requests of other clients at the same time.
//! Each test guards against requests without a final answer in time because the router's thread decodes what it has
//! received of such a response again and again.

use std::thread;
use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, Cluster, FakeServer, cache_server, failing_origin, hit, miss, origin_server, read,
    read_with_deadline,
};

/// The deadline of the requests of the other client, in milliseconds.
const DEADLINE_MS: u32 = 480;
/// A final answer that comes later than this after the deadline counts as lost.
const MAX_OVERTIME: Duration = Duration::from_millis(500);
/// For how long the other client sends requests.
const DURATION: Duration = Duration::from_secs(3);
/// The pause of the other client between a reply and its next request.
const PAUSE: Duration = Duration::from_millis(20);
/// How many requests get a response without an end at the same time.
const ENDLESS_RESPONSES: usize = 8;
/// The key of these requests. All other keys are served.
const ENDLESS_KEY: &str = "ee";

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A cache server that lacks only the key whose response does not end.
fn cache_without_endless_key() -> FakeServer {
    cache_server(|parts| {
        Behaviour::Respond(match parts[1].as_str() {
            ENDLESS_KEY => miss(),
            _ => hit("value"),
        })
    })
}

/// An origin whose responses begin with `start`, and go on with `piece` without an end.
fn endless_origin(start: Vec<u8>, piece: &'static [u8]) -> FakeServer {
    origin_server(move |_| Behaviour::RespondWithoutEnd(start.clone(), piece.to_vec()))
}

/// Checks that a client has its answers in time while other requests get responses without an end.
fn assert_others_are_answered(cluster: &Cluster) {
    let mut endless: Vec<_> = (0..ENDLESS_RESPONSES).map(|_| cluster.client()).collect();
    for (number, client) in endless.iter_mut().enumerate() {
        client.send(&read(ENDLESS_KEY, &format!("e{number}")));
    }
    let limit = Duration::from_millis(DEADLINE_MS.into()) + MAX_OVERTIME;
    let mut longest = Duration::ZERO;
    let end = Instant::now() + DURATION;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let sent_at = Instant::now();
        let request = read_with_deadline(&format!("r{number}"), DEADLINE_MS);
        let reply = cluster.client().execute(&request);
        assert!(reply.is_some(), "closed without a reply");
        longest = longest.max(sent_at.elapsed());
        thread::sleep(PAUSE);
    }
    println!("the longest wait was {longest:?} of at most {limit:?}");
    assert!(longest <= limit, "{longest:?} of at most {limit:?}");
}

#[test]
fn others_are_answered_beside_chunked_responses_of_the_origin_without_end() {
    const CHUNK: &[u8] = b"1;note=0123456789abcdef\r\nv\r\n";
    let start = [CHUNKED_HEAD, &CHUNK.repeat(60_000)].concat();
    let cluster = Cluster::start(cache_without_endless_key(), endless_origin(start, CHUNK));
    assert_others_are_answered(&cluster);
}

#[test]
fn others_are_answered_beside_a_chunk_extension_of_the_origin_without_end() {
    const CHUNK: &[u8] = b"1\r\nv\r\n";
    let start = [CHUNKED_HEAD, &CHUNK.repeat(60_000), b"1;"].concat();
    let cluster = Cluster::start(cache_without_endless_key(), endless_origin(start, b"x"));
    assert_others_are_answered(&cluster);
}

#[test]
fn others_are_answered_beside_nested_replies_of_a_cache_server_without_end() {
    const VALUE_BYTES: usize = 64 * 1024;
    const VALUES: usize = 200;
    let value = [b"$65536\r\n", &[b'v'; VALUE_BYTES][..], b"\r\n"].concat();
    let values_in_array = [b"*16\r\n", &value.repeat(16)[..]].concat();
    let start = [
        b"*16\r\n*16\r\n",
        &values_in_array.repeat(VALUES / 16)[..],
        b"$65536\r\n",
    ]
    .concat();
    let cache = cache_server(move |parts| match parts[1].as_str() {
        ENDLESS_KEY => Behaviour::RespondWithoutEnd(start.clone(), b"v".to_vec()),
        _ => Behaviour::Respond(hit("value")),
    });
    assert_others_are_answered(&Cluster::start(cache, failing_origin()));
}

#[test]
fn a_value_in_chunks_of_one_byte_is_served() {
    const VALUE_BYTES: usize = 20_000;
    let body = b"1;x=y\r\nv\r\n".repeat(VALUE_BYTES);
    let response = [CHUNKED_HEAD, &body, b"0\r\n\r\n"].concat();
    let origin = origin_server(move |_| Behaviour::Respond(response.clone()));
    let cluster = Cluster::start(cache_without_endless_key(), origin);
    let value = cluster.client().execute(&read(ENDLESS_KEY, "1")).unwrap();
    assert_eq!(value, "v".repeat(VALUE_BYTES));
}
