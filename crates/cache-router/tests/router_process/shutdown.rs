//! Shutdown of a router after SIGTERM.

use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, Cluster, FakeDiscovery, Gate, PING, RefusingAddress, RouterProcess, StartOptions,
    TEST_TIMEOUT, cache_server, command, complete_list, endpoint, endpoint_list, failing_origin,
    hit, http, miss, origin_server, read, read_with_deadline, wait_until, watch_with, write,
};

#[test]
fn after_sigterm_connections_are_accepted_for_a_while_and_accepted_requests_are_served() {
    let (open, gate) = Gate::new();
    let cache = cache_server(move |parts| match parts[1].as_str() {
        "ee" => gate.respond(hit("slow")),
        key => Behaviour::Respond(hit(key)),
    });
    let mut cluster = Cluster::with_cache(cache);
    let mut client = cluster.client();
    let mut idle = cluster.client();
    assert!(idle.is_router_ready());
    client.send(&read("ee", "1"));
    cluster.cache.next_request();
    cluster.router.terminate();
    let new_client = cluster.client().execute(&read("aa", "2")).unwrap();
    assert_eq!(new_client, "aa", "a new connection is still accepted");
    assert_eq!(idle.reply(), None, "an idle connection is closed");
    open.send(()).unwrap();
    assert_eq!(client.reply().unwrap(), "slow", "an accepted request");
    assert_eq!(client.reply(), None);
    cluster.router.assert_exits_with_success();
}

#[test]
fn after_sigterm_the_router_exits_only_when_the_last_client_has_read_its_replies() {
    let cache = cache_server(|_| Behaviour::Respond(hit(&"v".repeat(60_000))));
    let mut cluster = Cluster::with_cache(cache);
    let mut client = cluster.client();
    assert!(client.is_router_ready());
    // Requests more replies than the buffers between router and client hold. The requests are sent one after the other,
    // since each of them needs the only cache server.
    let mut requests = 0;
    for id in 0..200 {
        client.send(&read("aa", &id.to_string()));
        let received = cluster
            .cache
            .requests
            .recv_timeout(Duration::from_millis(500));
        if received.is_err() {
            break;
        }
        requests += 1;
    }
    cluster.router.terminate();
    // The router no longer accepts connections. It would exit now if it ignored the replies that it still has to write.
    let end = Instant::now() + TEST_TIMEOUT;
    while TcpStream::connect(cluster.router.address).is_ok() {
        assert!(Instant::now() < end, "the router still accepts connections");
    }
    let replies = std::iter::from_fn(|| client.reply());
    let read = replies.filter(|reply| reply.len() == 60_000).count();
    assert!(read >= requests, "{read} of {requests}");
    cluster.router.assert_exits_with_success();
}

#[test]
fn a_router_without_an_endpoint_list_ends_on_sigterm_whatever_signals_follow() {
    let no_servers = endpoint_list(0, true, &[]);
    let options = StartOptions::with_short_deadline();
    let discovery = RefusingAddress::new();
    let mut router = RouterProcess::start_with(discovery.address, &no_servers, options);
    let reply = router.client().execute(&command(&PING)).unwrap();
    assert!(reply.starts_with("-LOADING"), "{reply}");
    for signal in ["TERM", "HUP", "TERM", "INT"] {
        router.signal(signal);
    }
    router.assert_exits_with_success();
}

#[test]
fn during_shutdown_a_new_discovery_is_followed_and_its_draining_server_gets_no_requests() {
    let (open, gate) = Gate::new();
    let cache = cache_server(move |parts| match parts[1].as_str() {
        "ee" => gate.respond(hit("slow")),
        key => Behaviour::Respond(hit(key)),
    });
    let origin = failing_origin();
    let old_discovery = FakeDiscovery::unchanging();
    let draining = [endpoint("s-1", cache.address, "std", "leaving")];
    let draining = endpoint_list(1, true, &draining);
    let new_discovery = FakeDiscovery::with_responses(vec![watch_with(&draining)]);
    let mut router = RouterProcess::start(old_discovery.address, &complete_list(&cache, &origin));
    old_discovery.next_call();
    let mut client = router.client();
    client.send(&read("ee", "1"));
    cache.next_request();
    router.terminate();
    router.reconfigure(
        &old_discovery.address.to_string(),
        &new_discovery.address.to_string(),
    );
    new_discovery.next_call();
    wait_until("the drain is known", || {
        client.send(&read("aa", "2"));
        // Replies come in order, that of the slow request first, so the test observes what the cache server receives.
        let received = cache.requests.recv_timeout(Duration::from_millis(100));
        received.is_err()
    });
    open.send(()).unwrap();
    assert_eq!(client.reply().unwrap(), "slow", "an accepted request");
    drop(client);
    router.assert_exits_with_success();
}

#[test]
fn a_client_that_does_not_read_its_replies_does_not_delay_the_end() {
    let cache = cache_server(|_| Behaviour::Respond(hit(&"v".repeat(60_000))));
    let options = StartOptions::with_short_deadline();
    let mut cluster = Cluster::with_cache_and_options(cache, options);
    let mut client = cluster.client();
    for id in 0..200 {
        client.send(&read_with_deadline(&id.to_string(), 500));
    }
    cluster.cache.next_request();
    let terminated_at = Instant::now();
    cluster.router.terminate();
    cluster.router.assert_exits_with_success();
    // The platform counts a deadline as at least three seconds; the router does not.
    let took = terminated_at.elapsed();
    assert!(took < Duration::from_secs(8), "{took:?}");
}

#[test]
fn idle_clients_are_closed_in_order_at_the_end_and_new_ones_served_though_all_sockets_are_used() {
    let cache = cache_server(|parts| Behaviour::Respond(hit(&parts[1])));
    let mut cluster = Cluster::with_cache_and_options(cache, StartOptions::with_sockets(64));
    let mut idle_clients: Vec<_> = (0..24).map(|_| cluster.client()).collect();
    for client in &mut idle_clients {
        client.send(&command(&PING));
    }
    cluster.router.terminate();
    for id in 0..20 {
        let reply = cluster.client().execute(&read("aa", &id.to_string()));
        assert_eq!(reply.as_deref(), Some("aa"), "request {id}");
    }
    for client in &mut idle_clients {
        // The connection is closed without a reset, which could discard a reply.
        let mut rest = Vec::new();
        let end = client.input.read_to_end(&mut rest);
        end.expect("a close, not a reset");
    }
    drop(idle_clients);
    cluster.router.assert_exits_with_success();
}

#[test]
fn a_large_value_that_is_received_in_pieces_across_sigterm_is_served_complete() {
    let cache = cache_server(|_| Behaviour::Respond(miss()));
    let origin = origin_server(|parts| {
        let length = parts.last().unwrap().len();
        Behaviour::Respond(http(200, "", &length.to_string()))
    });
    let mut cluster = Cluster::start(cache, origin);
    let mut client = cluster.client();
    assert!(client.is_router_ready());
    let value = write("aa", "1", &"v".repeat(64 * 1024));
    for (number, part) in value.chunks(8 * 1024).enumerate() {
        if number == 3 {
            cluster.router.terminate();
        }
        client.send(part);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(client.reply().unwrap(), "65536");
    assert_eq!(client.reply(), None);
    cluster.router.assert_exits_with_success();
}
