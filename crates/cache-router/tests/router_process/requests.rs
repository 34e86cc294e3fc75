//! Commands of clients and the replies to them.

use std::io::Write;
use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, Cluster, Gate, PING, cache_server, command, hit, http, miss, origin_server, read,
    write,
};

/// The remaining deadline, in milliseconds, in the fields of a request to a server.
fn remaining_deadline_ms(fields: &str) -> u64 {
    let (others, deadline_ms) = fields.split_once("d=").unwrap();
    assert_eq!(others, "c=read,t=acme,");
    deadline_ms.parse().unwrap()
}

/// The fields of a request to the origin.
fn origin_request_fields(parts: &[String]) -> &str {
    parts
        .iter()
        .find_map(|header| header.strip_prefix("X-Facts: "))
        .unwrap_or_else(|| panic!("no fields in {parts:?}"))
}

#[test]
fn hits_misses_and_writes_are_served_and_all_fields_but_the_deadline_are_forwarded_unchanged() {
    let cache = cache_server(|parts| {
        Behaviour::Respond(if parts[1] == "aa" {
            hit("kept")
        } else {
            miss()
        })
    });
    let origin = origin_server(|_| Behaviour::Respond(http(200, "", "made")));
    let cluster = Cluster::start(cache, origin);
    let mut client = cluster.client();
    assert!(client.is_router_ready());
    assert_eq!(client.execute(&read("aa", "1d")).unwrap(), "kept");
    let cache_request = cluster.cache.next_request().parts;
    assert_eq!(cache_request[..3], ["OBJ.GET", "aa", "1d"]);
    let deadline_ms = remaining_deadline_ms(&cache_request[3]);
    assert!((1..=8000).contains(&deadline_ms), "{deadline_ms}");
    assert_eq!(client.execute(&read("bb", "2d")).unwrap(), "made");
    let fetch_request = cluster.origin.next_request().parts;
    assert_eq!(fetch_request[0], "GET /bb HTTP/1.1");
    assert!(fetch_request.contains(&"X-Correlation-Id: 2d".to_string()));
    let deadline_ms = remaining_deadline_ms(origin_request_fields(&fetch_request));
    assert!((1..=8000).contains(&deadline_ms), "{deadline_ms}");
    assert_eq!(client.execute(&write("cc", "3d", "new")).unwrap(), "made");
    let write_request = cluster.origin.next_request().parts;
    assert_eq!(write_request.first().unwrap(), "PUT /cc HTTP/1.1");
    assert_eq!(write_request.last().unwrap(), "new");
}

#[test]
fn a_later_attempt_states_the_deadline_that_remains() {
    let (open, gate) = Gate::new();
    let cache = cache_server(move |_| gate.respond(miss()));
    let origin = origin_server(|_| Behaviour::Respond(http(200, "", "made")));
    let cluster = Cluster::start(cache, origin);
    let mut client = cluster.client();
    client.send(&read("aa", "1"));
    cluster.cache.next_request();
    // The remaining deadline of the second attempt must be shorter by the time since the router received the request.
    // The test measures this time from the arrival of the first attempt, by which the router has certainly received
    // the request.
    let first_attempt_seen_at = Instant::now();
    while first_attempt_seen_at.elapsed() < Duration::from_millis(300) {
        std::thread::yield_now();
    }
    open.send(()).unwrap();
    let fetch_request = cluster.origin.next_request().parts;
    let deadline_ms = remaining_deadline_ms(origin_request_fields(&fetch_request));
    assert!((1..=7_700).contains(&deadline_ms), "{deadline_ms}");
    assert_eq!(client.reply().unwrap(), "made");
}

#[test]
fn pipelined_commands_get_replies_in_order_and_a_slow_response_delays_no_other_request() {
    let (open, gate) = Gate::new();
    let cache = cache_server(move |parts| match parts[1].as_str() {
        "ee" => gate.respond(hit("slow")),
        key => Behaviour::Respond(hit(key)),
    });
    let cluster = Cluster::with_cache(cache);
    let mut client = cluster.client();
    let pipeline = [
        read("ee", "1"),
        read("f1", "2"),
        command(&PING),
        read("f2", "3"),
    ]
    .concat();
    // Pieces of 7 bytes split the commands at arbitrary places.
    for piece in pipeline.chunks(7) {
        client.send(piece);
    }
    let next_key = || cluster.cache.next_request().parts[1].clone();
    let mut keys = [next_key(), next_key(), next_key()];
    keys.sort();
    assert_eq!(
        keys,
        ["ee", "f1", "f2"],
        "no request waits for the slow response"
    );
    let other_reply = cluster.client().execute(&read("f3", "4")).unwrap();
    assert_eq!(other_reply, "f3", "another client does not wait either");
    open.send(()).unwrap();
    for expected in ["slow", "f1", "+PONG", "f2"] {
        assert_eq!(client.reply().unwrap(), expected);
    }
}

#[test]
fn malformed_input_gets_an_error_and_closes_its_connection_and_affects_no_other_client() {
    let cluster = Cluster::with_cache(cache_server(|parts| Behaviour::Respond(hit(&parts[1]))));
    let mut other = cluster.client();
    for malformed in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"*2\r\n$99999999\r\n",
        b"*-5\r\n",
        b"*1\r\n$2\r\nabcd\r\n",
    ] {
        let mut client = cluster.client();
        client.send(&read("aa", "1"));
        client.send(malformed);
        assert_eq!(
            client.reply().unwrap(),
            "aa",
            "sent before the malformed input"
        );
        assert!(client.reply().unwrap().starts_with("-ERR"), "{malformed:?}");
        assert_eq!(client.reply(), None, "closed after {malformed:?}");
        assert_eq!(other.execute(&read("bb", "2")).unwrap(), "bb");
    }
    for invalid in [
        command(&["OBJ.GET", "aa", "9", "c=nope,t=acme,d=100"]),
        command(&["OBJ.GET", "aa"]),
        command(&["OBJ.GET", "a\r\nb", "9", "c=read,t=acme,d=100"]),
        command(&["FLUSHALL"]),
    ] {
        let reply = other.execute(&invalid).unwrap();
        assert!(
            reply.starts_with("-ERR"),
            "invalid but well framed: {reply}"
        );
        let next = other.execute(&read("cc", "3")).unwrap();
        assert_eq!(next, "cc", "the connection stays open");
    }
}

#[test]
fn a_client_that_does_not_read_its_replies_stalls_no_other() {
    let value = "x".repeat(60_000);
    let cluster = Cluster::with_cache(cache_server(move |_| Behaviour::Respond(hit(&value))));
    let mut slow = cluster.client();
    // The client requests far more than the buffers hold. Its writes may block, so a separate thread makes them.
    let mut output = slow.output.try_clone().unwrap();
    let requests = std::thread::spawn(move || {
        (0..200).try_for_each(|id| output.write_all(&read("aa", &id.to_string())))
    });
    let mut other = cluster.client();
    // The policy may reject requests while it considers the only server overloaded. A stalled router would not reply
    // at all.
    let served = (0..100_000)
        .filter(|id| other.execute(&read("bb", &id.to_string())).unwrap().len() == 60_000);
    assert_eq!(served.take(5).count(), 5);
    for _ in 0..200 {
        let reply = slow.reply().unwrap();
        let is_served = reply.len() == 60_000;
        assert!(is_served || reply == "-BUSY", "complete or rejected");
    }
    requests.join().unwrap().unwrap();
}
