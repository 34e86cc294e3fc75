//! A request that the router has read gets a final reply, whatever ends its connection.

use std::net::Shutdown;
use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, Cluster, StartOptions, cache_server, command, hit, read, read_with_deadline,
    settings,
};

/// The platform may kill a router this long after SIGTERM and the longest deadline of a request.
const KILL_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// A longer deadline counts as this long.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);

#[test]
fn requests_with_any_deadline_get_replies_during_shutdown_when_servers_hang() {
    for deadline_ms in [100_u32, 1_000, 8_000] {
        let cluster_settings = settings().replace("8000000", &format!("{deadline_ms}000"));
        let options = StartOptions {
            settings: cluster_settings,
            ..StartOptions::default()
        };
        let cache = cache_server(|_| Behaviour::Hang);
        let mut cluster = Cluster::with_cache_and_options(cache, options);
        let mut clients: Vec<_> = (0..3).map(|_| cluster.client()).collect();
        clients[0].send(&read_with_deadline("1", deadline_ms));
        cluster.cache.next_request();
        // An incomplete command after a request in progress, and a request that the router may read only after SIGTERM.
        let incomplete_command = &read("aa", "3")[..20];
        clients[1].send(&[&read_with_deadline("2", deadline_ms), incomplete_command].concat());
        clients[2].send(&read_with_deadline("4", deadline_ms));
        cluster.router.terminate();
        let terminated_at = Instant::now();
        for (number, client) in clients.iter_mut().enumerate() {
            let reply = client.reply();
            let reply = reply.unwrap_or_else(|| panic!("{deadline_ms} ms: no reply to {number}"));
            assert!(reply.starts_with('-'), "{reply}");
        }
        let last_reply_after = terminated_at.elapsed();
        let longest_deadline = Duration::from_millis(deadline_ms.into()).min(MAX_KILL_DEADLINE);
        assert!(
            last_reply_after <= longest_deadline + KILL_GRACE_PERIOD,
            "{deadline_ms} ms: after {last_reply_after:?}"
        );
        assert!(
            clients[1].reply().is_some(),
            "the incomplete command gets a reply"
        );
        for client in &mut clients {
            assert_eq!(client.reply(), None, "closed without a reset");
        }
        cluster.router.assert_exits_with_success();
    }
}

#[test]
fn a_client_that_ends_its_sending_has_a_final_reply_and_no_further_attempt() {
    let cache = cache_server(|parts| match parts[1].as_str() {
        "ee" => Behaviour::Hang,
        key => Behaviour::Respond(hit(key)),
    });
    let cluster = Cluster::with_cache(cache);
    let mut client = cluster.client();
    client.send(&[read("ee", "1"), read("aa", "2")].concat());
    let in_progress = [cluster.cache.next_request(), cluster.cache.next_request()];
    assert!(in_progress.iter().any(|request| request.parts[1] == "ee"));
    client.output.shutdown(Shutdown::Write).unwrap();
    assert_eq!(client.reply().unwrap(), "-ERR failed");
    let second = client.reply().unwrap();
    assert!(["aa", "-ERR failed"].contains(&second.as_str()), "{second}");
    assert_eq!(client.reply(), None);
    let attempts = cluster.cache.requests.try_iter();
    assert_eq!(
        attempts.filter(|request| !request.parts.is_empty()).count(),
        0
    );
}

#[test]
fn requests_before_malformed_input_are_served_and_a_command_after_it_is_not() {
    let cache = cache_server(|parts| Behaviour::Respond(hit(&parts[1])));
    let cluster = Cluster::with_cache(cache);
    let mut client = cluster.client();
    let mut bytes = [read("aa", "1"), read("bb", "2")].concat();
    bytes.extend_from_slice(b"GET / HTTP/1.1\r\n");
    bytes.extend(command(&["PING"]));
    client.send(&bytes);
    assert_eq!(client.reply().unwrap(), "aa");
    assert_eq!(client.reply().unwrap(), "bb");
    assert!(client.reply().unwrap().starts_with("-ERR protocol error"));
    assert_eq!(client.reply(), None);
}
