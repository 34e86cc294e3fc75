//! Servers that respond late, twice, incorrectly or not at all, and servers that close or lose their connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use crate::support::{
    Behaviour, Cluster, Gate, cache_server, command, hit, http, miss, origin_server, read,
    read_with_deadline, write,
};

/// A cache server that reports a miss for each key.
fn empty_cache() -> crate::support::FakeServer {
    cache_server(|_| Behaviour::Respond(miss()))
}

#[test]
fn a_write_that_is_not_idempotent_fails_if_its_connection_breaks_after_the_last_byte() {
    let origin = origin_server(|parts| {
        if parts[0].contains("/aa ") {
            Behaviour::Close
        } else {
            Behaviour::Respond(http(200, "", "ok"))
        }
    });
    let cluster = Cluster::start(empty_cache(), origin);
    let mut client = cluster.client();
    assert_eq!(
        client.execute(&write("aa", "1", "v")).unwrap(),
        "-ERR failed"
    );
    assert_eq!(client.execute(&write("bb", "2", "v")).unwrap(), "ok");
    let received = || cluster.origin.next_request().parts[0].clone();
    assert!(received().contains("/aa "));
    assert!(
        received().contains("/bb "),
        "the first write was not retried"
    );
}

#[test]
fn a_write_that_the_origin_reports_as_unprocessed_is_retried() {
    let attempts = Arc::new(AtomicU32::new(0));
    let origin = origin_server(move |_| match attempts.fetch_add(1, Ordering::SeqCst) {
        0 => Behaviour::Respond(http(503, "X-Unprocessed: 1\r\n", "")),
        1 => Behaviour::RespondAndClose(b"HTTP/1.1 504 X\r\nX-Unprocessed: 1\r\n\r\n".to_vec()),
        2 => Behaviour::Respond(http(200, "", "ok")),
        _ => Behaviour::Respond(http(503, "", "")),
    });
    let cluster = Cluster::start(empty_cache(), origin);
    let mut client = cluster.client();
    let reply = client.execute(&write("aa", "1", "v")).unwrap();
    assert_eq!(
        reply, "ok",
        "a rejection without a body length ends with its head"
    );
    let reply = client.execute(&write("aa", "2", "v")).unwrap();
    assert_eq!(
        reply, "-ERR failed",
        "without X-Unprocessed it may have run"
    );
}

#[test]
fn a_response_with_two_lengths_is_an_error_and_its_connection_is_closed() {
    let origin = origin_server(|parts| {
        if parts[0].contains("/aa ") {
            Behaviour::Respond(http(200, "Content-Length: 3\r\n", "0123456789abcdef"))
        } else {
            Behaviour::Respond(http(200, "", "ok"))
        }
    });
    let cluster = Cluster::start(empty_cache(), origin);
    let mut client = cluster.client();
    let reply = client.execute(&write("aa", "1", "v")).unwrap();
    assert_eq!(reply, "-ERR failed", "it may have run");
    assert_eq!(client.execute(&write("bb", "2", "v")).unwrap(), "ok");
}

#[test]
fn an_origin_response_that_is_cut_reset_or_endless_is_an_error_and_is_not_retried() {
    let kinds = [
        "cut", "cuthead", "long", "reset", "endless", "half", "second",
    ];
    let origin = origin_server(move |parts| {
        let is_for = |kind: &&&str| parts[0].contains(&format!("/{kind} "));
        match kinds.iter().find(is_for).copied().unwrap_or("") {
            "cut" => Behaviour::RespondAndClose(truncated_chunks()),
            "cuthead" => Behaviour::RespondAndClose(b"HTTP/1.1 200 OK\r\nX-Lookup".to_vec()),
            "long" => Behaviour::RespondAndClose(oversized_response_without_length()),
            "reset" => Behaviour::RespondAndReset(b"HTTP/1.1 200 OK\r\n\r\nval".to_vec()),
            "endless" => Behaviour::Respond(truncated_response()),
            "half" => Behaviour::RespondAndClose(truncated_response()),
            "second" => {
                Behaviour::Respond([http(200, "", "ok"), http(200, "", "another")].concat())
            }
            _ => Behaviour::Respond(http(200, "", "ok")),
        }
    });
    let cluster = Cluster::start(empty_cache(), origin);
    let mut client = cluster.client();
    for kind in kinds {
        let short_write = command(&["OBJ.SET", kind, "1", "c=put,t=acme,d=600,k=7", "v"]);
        let expected = if kind == "second" {
            "ok"
        } else {
            "-ERR failed"
        };
        assert_eq!(client.execute(&short_write).unwrap(), expected, "{kind}");
        let received = cluster.origin.next_request().parts;
        assert!(received[0].contains(&format!("/{kind} ")));
        let next = client.execute(&write("next", "2", "v")).unwrap();
        assert_eq!(next, "ok", "after {kind}");
        let received = cluster.origin.next_request().parts;
        let is_next = received[0].contains("/next ");
        assert!(is_next, "{kind} was sent once, then {received:?}");
    }
}

/// A response whose last chunk is missing.
fn truncated_chunks() -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nval\r\n".to_vec()
}

/// A response without a length that exceeds the maximum size of a value.
fn oversized_response_without_length() -> Vec<u8> {
    let head = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
    [head, vec![b'v'; 65_537]].concat()
}

/// A response whose body is shorter than its stated length.
fn truncated_response() -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nval".to_vec()
}

#[test]
fn an_idle_connection_that_the_origin_has_closed_fails_no_request() {
    let origin = origin_server(|_| Behaviour::RespondAndClose(http(200, "", "ok")));
    let cluster = Cluster::start(empty_cache(), origin);
    let mut client = cluster.client();
    for id in 0..5 {
        let reply = client.execute(&write("aa", &id.to_string(), "v")).unwrap();
        assert_eq!(reply, "ok");
        cluster.origin.wait_for_closed_connection();
    }
}

#[test]
fn a_late_response_reaches_no_other_request() {
    let (open, gate) = Gate::new();
    let cache = cache_server(move |parts| match gate.take() {
        Some(opened) => Behaviour::RespondAfter(opened, hit("late")),
        None => Behaviour::Respond(hit(&parts[1])),
    });
    let cluster = Cluster::with_cache(cache);
    let mut client = cluster.client();
    let reply = client.execute(&read_with_deadline("1", 300)).unwrap();
    assert!(reply.starts_with('-'), "replied at its deadline: {reply}");
    open.send(()).unwrap();
    assert_eq!(client.execute(&read("bb", "2")).unwrap(), "bb");
    let connection = || cluster.cache.next_request().connection;
    assert_ne!(
        connection(),
        connection(),
        "the connection with the late response is not reused"
    );
}

#[test]
fn a_response_that_never_ends_fails_its_own_request_and_no_other() {
    let cache = cache_server(|parts| match parts[1].as_str() {
        "aa" => Behaviour::Respond(b"*3\r\n$1000\r\nhalf a value".to_vec()),
        key => Behaviour::Respond(hit(key)),
    });
    let cluster = Cluster::with_cache(cache);
    let mut client = cluster.client();
    let reply = client.execute(&read_with_deadline("1", 300)).unwrap();
    assert!(
        reply.starts_with('-'),
        "no part of the response is forwarded: {reply}"
    );
    assert_eq!(client.execute(&read("bb", "2")).unwrap(), "bb");
}

#[test]
fn idle_connections_to_a_machine_that_vanished_fail_one_request_at_most() {
    let (open, gate) = Gate::new();
    let has_vanished = Arc::new(AtomicBool::new(false));
    let vanished = has_vanished.clone();
    let mut has_served = false; // Each connection has its own copy.
    let cache = cache_server(move |parts| {
        if has_served && vanished.load(Ordering::SeqCst) {
            return Behaviour::Hang;
        }
        has_served = true;
        match parts[1].as_str() {
            "ee" => gate.respond(hit("slow")),
            key => Behaviour::Respond(hit(key)),
        }
    });
    let cluster = Cluster::with_cache(cache);
    let mut client = cluster.client();
    client.send(&read("ee", "1"));
    cluster.cache.next_request();
    let reply = cluster.client().execute(&read("aa", "2")).unwrap();
    assert_eq!(reply, "aa", "on a second connection");
    open.send(()).unwrap();
    assert_eq!(client.reply().unwrap(), "slow");
    has_vanished.store(true, Ordering::SeqCst);
    let reply = client.execute(&read_with_deadline("3", 400)).unwrap();
    assert!(reply.starts_with('-'), "{reply}");
    let reply = client.execute(&read("bb", "4")).unwrap();
    assert_eq!(reply, "bb", "on a new connection");
}

#[test]
fn a_second_response_on_an_idle_connection_closes_it_and_fails_no_request() {
    let (open, gate) = Gate::new();
    let cache = cache_server(move |parts| match parts[1].as_str() {
        "ee" => Behaviour::RespondTwice(hit("ee"), gate.take().unwrap()),
        key => Behaviour::Respond(hit(key)),
    });
    let cluster = Cluster::with_cache(cache);
    let mut client = cluster.client();
    assert_eq!(client.execute(&read("ee", "1")).unwrap(), "ee");
    open.send(()).unwrap();
    cluster.cache.wait_for_closed_connection();
    for id in 0..5 {
        assert_eq!(client.execute(&read("aa", &id.to_string())).unwrap(), "aa");
    }
}

#[test]
fn a_read_written_while_its_idle_connection_is_being_closed_is_retried() {
    // The server closes the connection after each response and an incomplete line: the next write may come before or
    // after the close.
    let cache = cache_server(|parts| {
        Behaviour::RespondAndClose([hit(&parts[1]), b"*3\r\n$1".to_vec()].concat())
    });
    let cluster = Cluster::with_cache(cache);
    let mut client = cluster.client();
    for id in 0..50 {
        assert_eq!(client.execute(&read("aa", &id.to_string())).unwrap(), "aa");
    }
}
