//! Kinds of failure that occur in production in addition to those of the fleet test. `docs/FLEET.md` lists them in a
//! table. Each test prints its figure.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, Client, Cluster, FakeDiscovery, RouterProcess, cache_server, complete_list,
    endpoint, endpoint_list, failing_origin, hit, http, miss, origin_server, read,
    read_with_deadline, wait_until, watch_with, write,
};

/// The time from `since` until the router has closed the client's connection.
fn time_to_close(client: &mut Client, since: Instant) -> Duration {
    let mut rest = Vec::new();
    let end = client.input.read_to_end(&mut rest);
    assert!(
        !matches!(&end, Err(error) if error.kind() == ErrorKind::WouldBlock),
        "the connection stays open"
    );
    since.elapsed()
}

#[test]
fn a_client_that_stops_after_any_byte_of_a_request_and_stays_is_closed() {
    let cache = cache_server(|parts| Behaviour::Respond(hit(&parts[1])));
    let cluster = Cluster::with_cache(cache);
    let request = write("aa", "1", "value");
    let mut stopped = Vec::new();
    for length in 1..request.len() {
        let mut client = cluster.client();
        if length % 2 == 0 {
            // Half of the clients have been served before.
            assert_eq!(client.execute(&read("bb", "0")).unwrap(), "bb");
        }
        client.send(&request[..length]);
        stopped.push((client, Instant::now()));
    }
    let mut other = cluster.client();
    assert_eq!(other.execute(&read("cc", "2")).unwrap(), "cc");
    let times = stopped
        .iter_mut()
        .map(|(client, since)| time_to_close(client, *since));
    let (count, longest) = (request.len() - 1, times.max().unwrap());
    println!("{count} clients that stopped, the last was closed after {longest:?}");
    assert_eq!(other.execute(&read("cc", "3")).unwrap(), "cc");
}

#[test]
fn requests_with_little_time_that_servers_drop_have_replies_and_harm_no_other() {
    let cache = cache_server(|parts| match parts[1].as_str() {
        "aa" => Behaviour::Hang,
        key => Behaviour::Respond(hit(key)),
    });
    let cluster = Cluster::with_cache(cache);
    let mut latest = Duration::ZERO;
    for number in 0..60 {
        let deadline_ms = 1 + number % 30;
        let mut client = cluster.client();
        let since = Instant::now();
        let reply = client.execute(&read_with_deadline(&number.to_string(), deadline_ms));
        assert!(
            reply.as_deref().unwrap_or("none").starts_with('-'),
            "{reply:?}"
        );
        let deadline = Duration::from_millis(deadline_ms.into());
        latest = latest.max(since.elapsed().saturating_sub(deadline));
    }
    let served = (0..60)
        .filter(|id| {
            cluster
                .client()
                .execute(&read("bb", &id.to_string()))
                .unwrap()
                == "bb"
        })
        .count();
    println!("60 replies, at most {latest:?} after their time; {served} of 60 others served after");
    assert_eq!(served, 60);
}

/// The outcome of a request that a client sent on an idle connection.
fn outcome(client: &mut Client) -> &'static str {
    let mut reply = Vec::new();
    match client.input.read_to_end(&mut reply) {
        Err(error) if error.kind() == ErrorKind::ConnectionReset => "reset",
        Err(_) => "open",
        Ok(0) => "closed",
        Ok(_) => "replied",
    }
}

#[test]
fn requests_that_cross_the_end_of_a_resting_connection_are_replied_or_not_taken() {
    let cache = cache_server(|parts| Behaviour::Respond(hit(&parts[1])));
    let mut cluster = Cluster::with_cache(cache);
    let mut clients: Vec<_> = (0..60).map(|_| cluster.client()).collect();
    for client in &mut clients {
        assert!(client.is_router_ready());
    }
    cluster.router.terminate();
    let mut outcomes = BTreeMap::new();
    let mut unanswered = BTreeSet::new();
    for (number, client) in clients.iter_mut().enumerate() {
        // Spreads the requests over the time in which the router closes idle connections.
        std::thread::sleep(Duration::from_millis(10));
        let id = format!("r{number}");
        // The write may fail on a connection that is already closed.
        let _ = client.output.write_all(&read("aa", &id));
    }
    for (number, client) in clients.iter_mut().enumerate() {
        let outcome = outcome(client);
        *outcomes.entry(outcome).or_insert(0) += 1;
        if outcome != "replied" {
            unanswered.insert(format!("r{number}"));
        }
    }
    cluster.router.assert_exits_with_success();
    let received = cluster
        .cache
        .requests
        .try_iter()
        .map(|request| request.parts);
    let lost = received
        .filter(|parts| parts.get(2).is_some_and(|id| unanswered.contains(id)))
        .count();
    println!("{outcomes:?}, {lost} forwarded and not replied");
    assert_eq!(lost, 0);
    assert_eq!(outcomes.get("open"), None);
}

#[test]
fn of_configurations_in_a_row_the_last_one_holds() {
    let cache = cache_server(|_| Behaviour::Respond(hit("first")));
    let other = cache_server(|_| Behaviour::Respond(hit("last")));
    let origin = failing_origin();
    let first = FakeDiscovery::unchanging();
    let between: Vec<_> = (0..4).map(|_| FakeDiscovery::unchanging()).collect();
    let endpoints = [endpoint("s-2", other.address, "std", "active")];
    let list = endpoint_list(1, true, &endpoints);
    let last = FakeDiscovery::with_responses(vec![watch_with(&list)]);
    let router = RouterProcess::start(first.address, &complete_list(&cache, &origin));
    let mut client = router.client();
    assert_eq!(client.execute(&read("aa", "1")).unwrap(), "first");
    let since = Instant::now();
    for next in between.iter().chain([&last]) {
        router.reconfigure(&first.address.to_string(), &next.address.to_string());
        std::thread::sleep(Duration::from_millis(50));
    }
    wait_until("the last configuration is in force", || {
        client.execute(&read("aa", "2")).unwrap() == "last"
    });
    println!(
        "five configurations in a row: the last in force {:?} after the first",
        since.elapsed()
    );
}

#[test]
fn attempts_that_fail_at_once_end_in_a_reply_after_a_bounded_number() {
    let cache = cache_server(|_| Behaviour::Close);
    let origin = origin_server(|_| Behaviour::Close);
    let cluster = Cluster::start(cache, origin);
    let mut client = cluster.client();
    for id in 0..20 {
        let reply = client.execute(&read("aa", &id.to_string())).unwrap();
        assert!(reply.starts_with('-'), "{reply}");
    }
    let mut attempts = BTreeMap::new();
    for request in cluster.cache.requests.try_iter() {
        if let Some(id) = request.parts.get(2) {
            *attempts.entry(id.clone()).or_insert(0) += 1;
        }
    }
    let most = attempts.values().copied().max().unwrap_or(0);
    println!("20 replies, at most {most} attempts at cache servers for one request");
    assert!(most <= 4, "at most maxAttempts of the settings");
}

#[test]
fn reads_that_meet_the_close_or_reset_of_an_idle_connection_are_served_or_refused() {
    const READS: usize = 50;
    for resets in [false, true] {
        let cache = cache_server(move |parts| {
            let response = hit(&parts[1]);
            if resets {
                Behaviour::RespondAndReset(response)
            } else {
                Behaviour::RespondAndClose(response)
            }
        });
        let cluster = Cluster::with_cache(cache);
        let mut client = cluster.client();
        let replies = (0..READS).map(|id| client.execute(&read("aa", &id.to_string())).unwrap());
        // A read may be retried, but only as often as the retry budget allows.
        let (served, refused): (Vec<_>, Vec<_>) = replies.partition(|reply| reply == "aa");
        println!("{} of {READS} served, resets: {resets}", served.len());
        assert!(
            refused.iter().all(|reply| reply.starts_with("-BUSY")),
            "{refused:?}"
        );
        assert!(served.len() > READS / 2, "{refused:?}");
    }
}

#[test]
fn a_miss_is_fetched_from_a_healthy_origin() {
    let cache = cache_server(|_| Behaviour::Respond(miss()));
    let origin = origin_server(|_| Behaviour::Respond(http(200, "", "made")));
    let cluster = Cluster::start(cache, origin);
    let mut client = cluster.client();
    let served = (0..100)
        .filter(|id| {
            client
                .execute(&read(&format!("{id:x}"), &id.to_string()))
                .unwrap()
                == "made"
        })
        .count();
    println!("{served} of 100 misses fetched");
    assert_eq!(served, 100);
}

#[test]
fn with_servers_that_hang_through_a_whole_shutdown_all_requests_have_replies() {
    let cache = cache_server(|_| Behaviour::Hang);
    let origin = origin_server(|_| Behaviour::Hang);
    let mut cluster = Cluster::start(cache, origin);
    let mut clients: Vec<_> = (0..20).map(|_| cluster.client()).collect();
    let (before, after) = clients.split_at_mut(10);
    for (id, client) in before.iter_mut().enumerate() {
        client.send(&read("aa", &id.to_string()));
    }
    cluster.cache.next_request();
    cluster.router.terminate();
    let since = Instant::now();
    for (id, client) in after.iter_mut().enumerate() {
        client.send(&write("aa", &format!("a{id}"), "v"));
    }
    let replies = clients.iter_mut().map(|client| client.reply());
    let replied = replies.flatten().count();
    let last_reply = since.elapsed();
    cluster.router.assert_exits_with_success();
    println!(
        "{replied} of 20 replies within {last_reply:?}, the end after {:?}",
        since.elapsed()
    );
    assert_eq!(replied, 20);
    // Well before the deadline of eight seconds: the platform kills the router 3.7 s after SIGTERM.
    assert!(last_reply < Duration::from_secs(6), "{last_reply:?}");
}

#[test]
fn whole_answers_without_a_length_are_forwarded() {
    let origin =
        origin_server(|_| Behaviour::RespondAndClose(b"HTTP/1.1 200 OK\r\n\r\nwhole".to_vec()));
    let cluster = Cluster::start(cache_server(|_| Behaviour::Respond(miss())), origin);
    let mut client = cluster.client();
    let served = (0..20)
        .filter(|id| {
            client
                .execute(&read(&format!("{id:x}"), &id.to_string()))
                .unwrap()
                == "whole"
        })
        .count();
    println!("{served} of 20 forwarded");
    assert!(served >= 10);
}
