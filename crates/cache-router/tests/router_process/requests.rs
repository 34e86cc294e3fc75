//! Commands of clients and the replies to them.

use std::io::Write;
use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, Cluster, Gate, PING, cache_server, command, hit, http, miss, origin_server, read,
    write,
};

/// The remaining time in milliseconds that a request to a server states in its fields.
fn stated_deadline_ms(fields: &str) -> u64 {
    let (others, deadline) = fields.split_once("d=").unwrap();
    assert_eq!(others, "c=read,t=acme,");
    deadline.parse().unwrap()
}

/// The fields of a request to the origin.
fn fields_header(parts: &[String]) -> &str {
    parts
        .iter()
        .find_map(|header| header.strip_prefix("X-Facts: "))
        .unwrap_or_else(|| panic!("no fields in {parts:?}"))
}

#[test]
fn hits_misses_and_writes_are_served_and_fields_other_than_the_deadline_forwarded_unchanged() {
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
    let looked_up = cluster.cache.next_request().parts;
    assert_eq!(looked_up[..3], ["OBJ.GET", "aa", "1d"]);
    let deadline = stated_deadline_ms(&looked_up[3]);
    assert!((1..=8000).contains(&deadline), "{deadline}");
    assert_eq!(client.execute(&read("bb", "2d")).unwrap(), "made");
    let fetched = cluster.origin.next_request().parts;
    assert_eq!(fetched[0], "GET /bb HTTP/1.1");
    assert!(fetched.contains(&"X-Correlation-Id: 2d".to_string()));
    let deadline = stated_deadline_ms(fields_header(&fetched));
    assert!((1..=8000).contains(&deadline), "{deadline}");
    assert_eq!(client.execute(&write("cc", "3d", "new")).unwrap(), "made");
    let written = cluster.origin.next_request().parts;
    assert_eq!(written.first().unwrap(), "PUT /cc HTTP/1.1");
    assert_eq!(written.last().unwrap(), "new");
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
    // The remaining time of the second attempt must not include the time since the first attempt. The test measures
    // that time from a moment at which the router has certainly received the request.
    let first_attempt_at = Instant::now();
    while first_attempt_at.elapsed() < Duration::from_millis(300) {
        std::thread::yield_now();
    }
    open.send(()).unwrap();
    let fetched = cluster.origin.next_request().parts;
    let deadline = stated_deadline_ms(fields_header(&fetched));
    assert!((1..=7_700).contains(&deadline), "{deadline}");
    assert_eq!(client.reply().unwrap(), "made");
}

#[test]
fn pipelined_commands_get_replies_in_order_and_a_slow_one_delays_no_other_server_request() {
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
    for part in pipeline.chunks(7) {
        client.send(part);
    }
    let next_key = || cluster.cache.next_request().parts[1].clone();
    let mut keys = [next_key(), next_key(), next_key()];
    keys.sort();
    assert_eq!(
        keys,
        ["ee", "f1", "f2"],
        "no request waits for the slow response"
    );
    let other_client = cluster.client().execute(&read("f3", "4")).unwrap();
    assert_eq!(other_client, "f3", "another client does not wait either");
    open.send(()).unwrap();
    for expected in ["slow", "f1", "+PONG", "f2"] {
        assert_eq!(client.reply().unwrap(), expected);
    }
}

#[test]
fn malformed_input_gets_an_error_and_a_close_and_affects_no_other_client() {
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
    // The policy may reject requests while it considers the only server full. A stalled router would not reply at all.
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
