//! The real node where two events cross: its end, its lists, its configuration and what servers do, each order forced.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::stand_in::*;
use crate::{no_origin, pair, quiet};

/// In this time nine in ten of the processes of a fleet that restart together have to be ready.
const READY: Duration = Duration::from_secs(10);

const PING: [&str; 1] = ["PING"];

/// An address that refuses connections, as a machine without the service does.
fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Waits until something is so.
fn until(what: &str, mut so: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !so() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Settings with a deadline of half a second.
fn hasty() -> String {
    settings().replace("8000000", "500000")
}

// The end of a node.

#[test]
fn sigterm_before_a_first_list_ends_the_node_and_so_does_one_that_comes_twice_with_sighup_after_it()
{
    let mut node = Node::start_in(nobody(), &listing(0, true, &[]), 256, "", &hasty());
    assert!(
        node.client()
            .ask(&command(&PING))
            .unwrap()
            .starts_with("-LOADING")
    );
    for signal in ["TERM", "HUP", "TERM", "INT"] {
        node.signal(signal);
    }
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn a_node_that_ends_follows_a_discovery_that_moves_and_sends_nothing_to_what_drains_there() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(Some(wait)));
    let cache = cache(move |words| match words[1].as_str() {
        "ee" => Act::SayAfter(wait.lock().unwrap().take().unwrap(), hit("slow")),
        key => Act::Say(hit(key)),
    });
    let origin = no_origin();
    let (first, _say, calls) = quiet();
    let drained = listing(1, true, &[entry("s-1", cache.address, "std", "leaving")]);
    let (second, _say2, asked) = discovery(vec![[watch_head(), chunk(&drained)].concat()]);
    let mut node = Node::start(first, &pair(cache.address, origin.address));
    calls.recv_timeout(LONG).unwrap();
    let mut client = node.client();
    client.send(&get("ee", "1"));
    cache.next();
    node.terminate();
    node.reconfigure(&first.to_string(), &second.to_string());
    asked.recv_timeout(LONG).unwrap();
    until("the drain is known", || {
        client.send(&get("aa", "2"));
        // In order: the slow one's answer first. What reached the server before is told by it.
        cache.seen.recv_timeout(Duration::from_millis(100)).is_err()
    });
    go.send(()).unwrap();
    assert_eq!(
        client.answer().unwrap(),
        "slow",
        "what was taken is finished"
    );
    drop(client);
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn a_client_that_takes_no_answers_does_not_keep_a_node_from_its_end() {
    let cache = cache(|_| Act::Say(hit(&"v".repeat(60_000))));
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let mut node = Node::start_in(
        discovery,
        &pair(cache.address, origin.address),
        256,
        "",
        &hasty(),
    );
    let mut client = node.client();
    for id in 0..200 {
        client.send(&command(&[
            "OBJ.GET",
            "aa",
            &id.to_string(),
            "c=read,t=acme,d=500",
        ]));
    }
    cache.next();
    let told = Instant::now();
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    // The deadline counts as three seconds at the least for the platform, not for the node.
    assert!(
        told.elapsed() < Duration::from_secs(8),
        "after {:?}",
        told.elapsed()
    );
}

#[test]
fn a_full_table_of_resting_clients_ends_in_order_with_the_node_and_newcomers_are_served() {
    let cache = cache(|words| Act::Say(hit(&words[1])));
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let mut node = Node::start_with(discovery, &pair(cache.address, origin.address), 64, "");
    let mut resting: Vec<_> = (0..24).map(|_| node.client()).collect();
    for client in &mut resting {
        client.send(&command(&PING));
    }
    node.terminate();
    let mut served = 0;
    for id in 0..20 {
        let mut newcomer = node.client();
        served += usize::from(
            newcomer
                .ask(&get("aa", &id.to_string()))
                .is_some_and(|a| a == "aa"),
        );
    }
    assert_eq!(served, 20);
    for client in &mut resting {
        // Whatever was read of it before, it ends in order: no reset takes an answer away.
        let mut rest = Vec::new();
        client
            .input
            .read_to_end(&mut rest)
            .expect("an end, not a reset");
    }
    drop(resting);
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn a_large_value_from_a_slow_writer_is_served_whole_though_the_node_is_told_to_end_between_its_pieces()
 {
    let origin = origin(|words| Act::Say(http(200, "", &words.last().unwrap().len().to_string())));
    let cache = cache(|_| Act::Say(miss()));
    let (discovery, _say, _calls) = quiet();
    let mut node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    assert_eq!(client.ask(&command(&PING)).unwrap(), "+PONG");
    let value = put("aa", "1", &"v".repeat(64 * 1024));
    for (number, part) in value.chunks(8 * 1024).enumerate() {
        if number == 3 {
            node.terminate();
        }
        client.send(part);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(client.answer().unwrap(), "65536");
    assert_eq!(client.answer(), None);
    assert_eq!(node.wait().code(), Some(0));
}

// Restarts.

#[test]
fn a_fleet_that_restarts_together_is_ready_in_time_with_discovery_down_silent_or_slow() {
    let cache = cache(|words| Act::Say(hit(&words[1])));
    let origin = no_origin();
    let known = pair(cache.address, origin.address);
    // Down, and silent on each connection: what the node was given at its start has to do.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    // Slow: each call waits for a second, and the first calls of all are turned away.
    let slow = TcpListener::bind("127.0.0.1:0").unwrap();
    let at_slow = slow.local_addr().unwrap();
    let (calls, whole) = (Arc::new(AtomicU32::new(0)), known.clone());
    std::thread::spawn(move || {
        for mut stream in slow.incoming().flatten() {
            let (calls, whole) = (calls.clone(), whole.clone());
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 1024]);
                std::thread::sleep(Duration::from_secs(1));
                if calls.fetch_add(1, Ordering::SeqCst) < 10 {
                    let _ = stream.write_all(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
                let _ = stream.write_all(&[watch_head(), chunk(&whole)].concat());
                while stream.write_all(&chunk("\n")).is_ok() {
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
    });
    let none = listing(0, true, &[]);
    for (discovery, known) in [
        (nobody(), &known),
        (silent.local_addr().unwrap(), &known),
        (at_slow, &known),
        (at_slow, &none),
    ] {
        let since = Instant::now();
        let nodes: Vec<_> = (0..10).map(|_| Node::start(discovery, known)).collect();
        let mut ready = 0;
        for node in &nodes {
            let mut client = node.client();
            until("it is ready", || {
                client.ask(&command(&PING)).unwrap() == "+PONG"
            });
            ready += usize::from(since.elapsed() <= READY);
        }
        assert!(ready >= 9, "{ready} of ten, known: {}", known.len());
    }
}

// Lists and the configuration.

#[test]
fn a_configuration_that_is_read_while_it_is_being_replaced_is_read_again_without_another_signal() {
    let (old, new) = (
        cache(|_| Act::Say(hit("old"))),
        cache(|_| Act::Say(hit("new"))),
    );
    let origin = no_origin();
    let (first, _say, calls) = quiet();
    let (second, _say2, asked) = discovery(vec![
        [
            watch_head(),
            chunk(&listing(
                1,
                true,
                &[entry("s-2", new.address, "std", "active")],
            )),
        ]
        .concat(),
    ]);
    // Cut off, and as it was before: in either way the signal comes before the file.
    for part in [0.5, 0.0, 1.0] {
        let node = Node::start(first, &pair(old.address, origin.address));
        let _ = calls.recv_timeout(Duration::from_millis(500));
        node.write_config("", "", part);
        node.signal("HUP");
        std::thread::sleep(Duration::from_millis(30));
        node.write_config(&first.to_string(), &second.to_string(), 1.0);
        if part == 0.5 {
            assert_eq!(
                asked.recv_timeout(LONG).unwrap(),
                "GET /v1/servers?watch=1 HTTP/1.1"
            );
        } else {
            // The stand-in answers one call; that the node asks there shows in the others' connections.
            let moved = std::iter::from_fn(|| node.log.recv_timeout(LONG).ok())
                .any(|line| line.contains("discovery is at") && line.contains(&second.to_string()));
            assert!(moved);
        }
    }
}

#[test]
fn a_whole_list_that_lacks_a_server_without_a_word_ends_its_use_and_one_that_drains_with_a_reload_too()
 {
    let (first, second) = (
        cache(|_| Act::Say(hit("first"))),
        cache(|_| Act::Say(hit("second"))),
    );
    let origin = no_origin();
    let both = |status: &str| {
        [
            entry("s-1", first.address, "std", status),
            entry("s-2", second.address, "std", "active"),
            entry("o-1", origin.address, "origin", "active"),
        ]
    };
    let served = |client: &mut Client| {
        let answers = (0..40).map(|key| client.ask(&get(&format!("{key:x}"), "1")).unwrap());
        answers.filter(|answer| answer == "first").count()
    };
    // On the watch; then by the first list of a discovery that has moved.
    let (discovery_one, say, _calls) = quiet();
    let node = Node::start(discovery_one, &listing(5, true, &both("active")));
    let mut client = node.client();
    assert!(served(&mut client) > 0);
    say.send(chunk(&listing(6, true, &both("active")[1..])))
        .unwrap();
    until("nothing goes to what the list lacks", || {
        served(&mut client) == 0
    });

    let (before, _say, calls) = quiet();
    let (now, _say2, _asked) = discovery(vec![
        [watch_head(), chunk(&listing(1, true, &both("leaving")))].concat(),
    ]);
    let node = Node::start(before, &listing(5, true, &both("active")));
    calls.recv_timeout(LONG).unwrap();
    let mut client = node.client();
    assert!(served(&mut client) > 0);
    node.reconfigure(&before.to_string(), &now.to_string());
    until("nothing goes to what drains", || served(&mut client) == 0);
}

#[test]
fn idle_clients_may_fill_the_table_while_discovery_is_down_and_a_drain_is_heard_of_at_its_return() {
    let (first, second) = (
        cache(|_| Act::Say(hit("first"))),
        cache(|_| Act::Say(hit("second"))),
    );
    let origin = no_origin();
    let entries = |status: &str| {
        [
            entry("s-1", first.address, "std", status),
            entry("s-2", second.address, "std", "active"),
            entry("o-1", origin.address, "origin", "active"),
        ]
    };
    // Down: it refuses each call until it is back.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, back) = (
        listener.local_addr().unwrap(),
        Arc::new(AtomicBool::new(false)),
    );
    let (is_back, list) = (back.clone(), listing(9, true, &entries("leaving")));
    let (tell, told) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1024]);
            if !is_back.load(Ordering::SeqCst) {
                let _ = stream.write_all(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let _ = stream.write_all(&[watch_head(), chunk(&list)].concat());
            let _ = tell.send(());
            std::thread::spawn(move || {
                while stream.write_all(&chunk("\n")).is_ok() {
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
    });
    // As few descriptors as the configuration says, and not one more.
    let node = Node::start_with(
        address,
        &listing(5, true, &entries("active")),
        64,
        "ulimit -n 64;",
    );
    // Half of them have been served, and rest; the others wait with the machine.
    let mut idle: Vec<_> = (0..100).map(|_| node.client()).collect();
    for client in idle.iter_mut().take(20) {
        assert_eq!(client.ask(&command(&PING)).unwrap(), "+PONG");
    }
    back.store(true, Ordering::SeqCst);
    told.recv_timeout(Duration::from_millis(4_500))
        .expect("it asks again in time, with descriptors for it");
    drop(idle);
    let mut client = node.client();
    until("the drain is acted on", || {
        let answers = (0..40).map(|key| client.ask(&get(&format!("{key:x}"), "1")).unwrap());
        answers.filter(|answer| answer == "first").count() == 0
    });
}

// Servers.

#[test]
fn an_answer_of_the_origin_without_a_length_that_is_cut_reset_or_endless_is_none_and_may_have_run()
{
    let cache = cache(|_| Act::Say(miss()));
    let kinds = ["cut", "reset", "endless", "half", "second"];
    let origin = origin(move |words| {
        let kind = kinds
            .iter()
            .find(|kind| words[0].contains(&format!("/{kind} ")));
        match kind.copied().unwrap_or("") {
            "cut" => Act::SayAndClose(b"HTTP/1.1 200 OK\r\n\r\nval".to_vec()),
            "reset" => Act::SayAndReset(b"HTTP/1.1 200 OK\r\n\r\nval".to_vec()),
            "endless" => Act::Say(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nval".to_vec()),
            "half" => {
                Act::SayAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nval".to_vec())
            }
            "second" => Act::Say([http(200, "", "ok"), http(200, "", "another")].concat()),
            _ => Act::Say(http(200, "", "ok")),
        }
    });
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    for kind in kinds {
        let write = command(&["OBJ.SET", kind, "1", "c=put,t=acme,d=600,k=7", "v"]);
        let expected = if kind == "second" {
            "ok"
        } else {
            "-ERR failed"
        };
        assert_eq!(client.ask(&write).unwrap(), expected, "{kind}");
        assert!(origin.next().words[0].contains(&format!("/{kind} ")));
        assert_eq!(
            client.ask(&put("next", "2", "v")).unwrap(),
            "ok",
            "after {kind}"
        );
        assert!(
            origin.next().words[0].contains("/next "),
            "{kind} was sent once"
        );
    }
}

#[test]
fn a_second_answer_that_comes_while_its_connection_rests_costs_that_connection_and_no_request() {
    let (go, wait) = channel();
    let wait = Arc::new(Mutex::new(Some(wait)));
    let cache = cache(move |words| match words[1].as_str() {
        "ee" => Act::SayTwice(hit("ee"), wait.lock().unwrap().take().unwrap()),
        key => Act::Say(hit(key)),
    });
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    assert_eq!(client.ask(&get("ee", "1")).unwrap(), "ee");
    go.send(()).unwrap();
    cache.ended();
    for id in 0..5 {
        assert_eq!(client.ask(&get("aa", &id.to_string())).unwrap(), "aa");
    }
}

#[test]
fn a_server_that_ends_a_resting_connection_in_the_moment_of_a_write_costs_a_read_nothing() {
    // Closed after each answer, with half a line before the end: some writes meet the close, some come before it.
    let cache = cache(|words| Act::SayAndClose([hit(&words[1]), b"*3\r\n$1".to_vec()].concat()));
    let origin = no_origin();
    let (discovery, _say, _calls) = quiet();
    let node = Node::start(discovery, &pair(cache.address, origin.address));
    let mut client = node.client();
    for id in 0..50 {
        assert_eq!(client.ask(&get("aa", &id.to_string())).unwrap(), "aa");
    }
}
