//! Endpoint lists and changes to them: servers that drain, move or are removed, and discovery that is unavailable.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, FakeDiscovery, RefusingAddress, RouterProcess, StartOptions, TwoCacheServers,
    UNAVAILABLE, cache_server, complete_list, endpoint, endpoint_list, failing_origin, hit,
    keep_watch_open, read, reads_served_by_first, wait_until, watch_head, watch_with,
};

/// When a fleet restarts together, nine of ten processes have to be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);

#[test]
fn a_draining_server_gets_no_new_requests_and_a_failed_watch_leaves_the_list_in_force() {
    let servers = TwoCacheServers::new();
    let invalid = watch_with("{\"index\":9,\"endpoints\":[{\"na\n");
    let responses = vec![UNAVAILABLE.to_vec(), invalid, watch_head()];
    let discovery = FakeDiscovery::with_responses(responses);
    let list = endpoint_list(5, true, &servers.endpoints("active"));
    let router = RouterProcess::start(discovery.address, &list);
    for _ in 0..3 {
        // Each call asks for changes after the version that the router holds.
        let expected = "GET /v1/servers?watch=1&after=5 HTTP/1.1";
        assert_eq!(discovery.next_call(), expected);
    }
    let mut client = router.client();
    let mut servers_used = BTreeSet::new();
    for key in 0..40 {
        servers_used.insert(client.execute(&read(&format!("{key:x}"), "1")).unwrap());
    }
    assert_eq!(
        servers_used.len(),
        2,
        "both servers are used: {servers_used:?}"
    );
    let draining = endpoint("s-1", servers.first.address, "std", "leaving");
    discovery.send(&endpoint_list(6, false, &[draining]));
    // The change has taken effect once all keys go to the second server.
    let mut reads = 0;
    let mut served_by_second = 0;
    while served_by_second < 40 {
        reads += 1;
        let key = format!("{:x}", reads % 40);
        let reply = client.execute(&read(&key, "2")).unwrap();
        served_by_second = if reply == "second" {
            served_by_second + 1
        } else {
            0
        };
        assert!(reads < 100_000, "the change never took effect");
    }
}

#[test]
fn with_pushed_lists_the_watch_is_reopened_and_the_router_is_ready_with_its_first_list() {
    let cache = cache_server(|parts| Behaviour::Respond(hit(&parts[1])));
    let origin = failing_origin();
    let responses = vec![UNAVAILABLE.to_vec(), watch_head(), watch_head()];
    let discovery = FakeDiscovery::with_responses(responses);
    let no_servers = endpoint_list(0, true, &[]);
    let options = StartOptions::with_pushed_lists();
    let router = RouterProcess::start_with(discovery.address, &no_servers, options);
    for _ in 0..3 {
        assert_eq!(discovery.next_call(), "GET /v1/servers?watch=1 HTTP/1.1");
    }
    let mut client = router.client();
    assert!(!client.is_router_ready(), "the router knows no server yet");
    discovery.send(&complete_list(&cache, &origin));
    assert!((0..100_000).any(|_| client.is_router_ready()));
    assert_eq!(client.execute(&read("aa", "1")).unwrap(), "aa");
}

#[test]
fn a_server_that_moved_is_used_at_its_new_address_only() {
    let old = cache_server(|_| Behaviour::Respond(hit("old")));
    let new = cache_server(|_| Behaviour::Respond(hit("new")));
    let origin = failing_origin();
    let discovery = FakeDiscovery::unchanging();
    let router = RouterProcess::start(discovery.address, &complete_list(&old, &origin));
    let mut client = router.client();
    assert_eq!(client.execute(&read("aa", "1")).unwrap(), "old");
    let moved = endpoint("s-1", new.address, "std", "active");
    discovery.send(&endpoint_list(6, false, &[moved]));
    assert!((0..100_000).any(|_| client.execute(&read("aa", "2")).unwrap() == "new"));
    let reply = client.execute(&read("aa", "3")).unwrap();
    assert_eq!(reply, "new", "no connection to the old address is reused");
}

#[test]
fn a_server_missing_from_a_complete_list_or_draining_after_a_reload_is_used_no_more() {
    let servers = TwoCacheServers::new();
    let list = endpoint_list(5, true, &servers.endpoints("active"));
    // The server is missing from a list that is received on the watch.
    let discovery = FakeDiscovery::unchanging();
    let router = RouterProcess::start(discovery.address, &list);
    let mut client = router.client();
    assert!(reads_served_by_first(&mut client) > 0);
    let without_first = &servers.endpoints("active")[1..];
    discovery.send(&endpoint_list(6, true, without_first));
    wait_until("a missing server is used no more", || {
        reads_served_by_first(&mut client) == 0
    });

    // The server is draining in the first list from a discovery at a new address.
    let old_discovery = FakeDiscovery::unchanging();
    let draining = endpoint_list(1, true, &servers.endpoints("leaving"));
    let new_discovery = FakeDiscovery::with_responses(vec![watch_with(&draining)]);
    let router = RouterProcess::start(old_discovery.address, &list);
    old_discovery.next_call();
    let mut client = router.client();
    assert!(reads_served_by_first(&mut client) > 0);
    router.reconfigure(
        &old_discovery.address.to_string(),
        &new_discovery.address.to_string(),
    );
    wait_until("a draining server is used no more", || {
        reads_served_by_first(&mut client) == 0
    });
}

#[test]
fn a_fleet_that_restarts_together_is_ready_in_time_with_discovery_down_silent_or_slow() {
    let cache = cache_server(|parts| Behaviour::Respond(hit(&parts[1])));
    let origin = failing_origin();
    let cached_list = complete_list(&cache, &origin);
    let no_servers = endpoint_list(0, true, &[]);
    let down = RefusingAddress::new();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let slow = TcpListener::bind("127.0.0.1:0").unwrap();
    let slow_address = slow.local_addr().unwrap();
    let list = cached_list.clone();
    std::thread::spawn(move || serve_slow_discovery(&slow, &list));
    for (discovery, list) in [
        // Discovery is down or silent: the routers use the cached list.
        (down.address, &cached_list),
        (silent.local_addr().unwrap(), &cached_list),
        (slow_address, &cached_list),
        (slow_address, &no_servers),
    ] {
        let started_at = Instant::now();
        let routers: Vec<_> = (0..10)
            .map(|_| RouterProcess::start(discovery, list))
            .collect();
        let mut ready_in_time = 0;
        for router in &routers {
            let mut client = router.client();
            wait_until("the router is ready", || client.is_router_ready());
            ready_in_time += usize::from(started_at.elapsed() <= READY_WITHIN);
        }
        assert!(ready_in_time >= 9, "{ready_in_time} of ten, from {list}");
    }
}

/// Answers each call after a second, and rejects the first ten calls.
fn serve_slow_discovery(listener: &TcpListener, list: &str) {
    let calls = Arc::new(AtomicU32::new(0));
    for mut stream in listener.incoming().flatten() {
        let calls = calls.clone();
        let list = list.to_string();
        std::thread::spawn(move || {
            let _ = stream.read(&mut [0; 1024]);
            std::thread::sleep(Duration::from_secs(1));
            if calls.fetch_add(1, Ordering::SeqCst) < 10 {
                let _ = stream.write_all(UNAVAILABLE);
                return;
            }
            let _ = stream.write_all(&watch_with(&list));
            keep_watch_open(stream);
        });
    }
}

#[test]
fn a_drain_is_known_soon_after_discovery_returns_though_idle_clients_hold_all_sockets() {
    let servers = TwoCacheServers::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let is_up = Arc::new(AtomicBool::new(false));
    let discovery_is_up = is_up.clone();
    let draining = endpoint_list(9, true, &servers.endpoints("leaving"));
    let (report, served_calls) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1024]);
            if !discovery_is_up.load(Ordering::SeqCst) {
                let _ = stream.write_all(UNAVAILABLE);
                continue;
            }
            let _ = stream.write_all(&watch_with(&draining));
            let _ = report.send(());
            std::thread::spawn(move || keep_watch_open(stream));
        }
    });
    // The process may open exactly as many descriptors as the configuration states.
    let options = StartOptions {
        shell_command: "ulimit -n 64;",
        ..StartOptions::with_sockets(64)
    };
    let list = endpoint_list(5, true, &servers.endpoints("active"));
    let router = RouterProcess::start_with(address, &list, options);
    // Some of the clients have been served and are idle; the others wait to be accepted.
    let mut idle_clients: Vec<_> = (0..100).map(|_| router.client()).collect();
    for client in idle_clients.iter_mut().take(20) {
        assert!(client.is_router_ready());
    }
    is_up.store(true, Ordering::SeqCst);
    served_calls
        .recv_timeout(Duration::from_millis(4_500))
        .expect("discovery is called in time, with a free descriptor");
    drop(idle_clients);
    let mut client = router.client();
    wait_until("the draining server is used no more", || {
        reads_served_by_first(&mut client) == 0
    });
}
