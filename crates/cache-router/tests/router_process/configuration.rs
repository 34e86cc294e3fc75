//! The configuration file at startup and on reload.

use std::net::TcpListener;
use std::process::Command;
use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, FakeDiscovery, RouterProcess, StartOptions, TEST_TIMEOUT, TwoCacheServers,
    cache_server, complete_list, config_file, endpoint, endpoint_list, failing_origin, hit, read,
    reads_served_by_first, settings, watch_with,
};

#[test]
fn an_unusable_configuration_is_reported_in_the_last_log_line_with_exit_code_2() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let listening_on = |listen: &str| {
        format!(
            r#"{{"listen":"{listen}","discovery":"{address}","seed":"1","settings":{}}}"#,
            settings()
        )
    };
    let address_in_use = listening_on(&address.to_string());
    let invalid_address = listening_on("nowhere");
    let not_json = "{";
    let wrong_type = r#"{"settings":{"classes":3}}"#;
    // A failure that may be temporary is retried for a while; one log line before the last says so.
    for (text, may_be_temporary) in [
        (Some(not_json), true),
        (Some("{}"), false),
        (Some(wrong_type), false),
        (Some(&invalid_address), false),
        (Some(&address_in_use), true),
        (None, false),
    ] {
        let mut program = Command::new(env!("CARGO_BIN_EXE_cache-router"));
        program
            .env_remove("ROUTER_CONFIG")
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY");
        let path = text.map(config_file);
        if let Some(path) = &path {
            program.env("ROUTER_CONFIG", path);
        }
        let output = program.output().unwrap();
        if let Some(path) = &path {
            std::fs::remove_file(path).unwrap();
        }
        let report = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text:?}: {report}");
        let retry_lines = report.lines().filter(|line| line.contains("trying again"));
        assert_eq!(
            retry_lines.count(),
            usize::from(may_be_temporary),
            "{text:?}: {report}"
        );
        let errors = report
            .lines()
            .filter(|line| line.starts_with("cache-router: "));
        assert_eq!(errors.count(), 1, "{text:?}: {report}");
        let line_count = 1 + usize::from(may_be_temporary);
        assert_eq!(report.lines().count(), line_count, "{text:?}: {report}");
        assert!(!report.contains("panicked"), "{report}");
        // Malformed JSON and a wrong type are reported with the file and the position in it.
        if text == Some(not_json) || text == Some(wrong_type) {
            let file = path.as_ref().unwrap().display().to_string();
            assert!(report.contains(&file), "{report}");
            assert!(report.contains("line 1 column"), "{report}");
        }
    }
}

#[test]
fn on_sighup_discovery_is_called_at_its_new_address_and_an_unusable_file_is_ignored() {
    let old = cache_server(|_| Behaviour::Respond(hit("old")));
    let new = cache_server(|_| Behaviour::Respond(hit("new")));
    let origin = failing_origin();
    let old_discovery = FakeDiscovery::unchanging();
    // Its versions start again from 1; the router must not take its list for an older one.
    let endpoints = [
        endpoint("s-2", new.address, "std", "active"),
        endpoint("o-1", origin.address, "origin", "active"),
    ];
    let list = endpoint_list(1, true, &endpoints) + "\n";
    let new_discovery = FakeDiscovery::with_responses(vec![watch_with(&list)]);
    let router = RouterProcess::start(old_discovery.address, &complete_list(&old, &origin));
    let mut client = router.client();
    assert_eq!(client.execute(&read("aa", "1")).unwrap(), "old");
    assert!(old_discovery.next_call().contains("watch=1"));
    router.reconfigure(r#""discovery":""#, r#""discovery":"nowhere"#);
    assert!(router.wait_for_log_line(|line| line.contains("as it was")));
    assert_eq!(client.execute(&read("aa", "2")).unwrap(), "old");
    router.reconfigure(
        &old_discovery.address.to_string(),
        &new_discovery.address.to_string(),
    );
    let call = new_discovery.next_call();
    let call_for_complete_list = "GET /v1/servers?watch=1 HTTP/1.1";
    assert_eq!(call, call_for_complete_list);
    let end = Instant::now() + TEST_TIMEOUT;
    while client.execute(&read("aa", "3")).unwrap() != "new" {
        assert!(Instant::now() < end, "the new list is not used");
    }
}

#[test]
fn a_configuration_read_while_it_is_being_replaced_is_read_again_without_another_signal() {
    let old = cache_server(|_| Behaviour::Respond(hit("old")));
    let new = cache_server(|_| Behaviour::Respond(hit("new")));
    let origin = failing_origin();
    let old_discovery = FakeDiscovery::unchanging();
    let endpoints = [endpoint("s-2", new.address, "std", "active")];
    let list = endpoint_list(1, true, &endpoints);
    let new_discovery = FakeDiscovery::with_responses(vec![watch_with(&list)]);
    let old_address = old_discovery.address.to_string();
    let new_address = new_discovery.address.to_string();
    // The file is truncated, empty or unchanged. In each case the signal arrives before the new file is written.
    for fraction in [0.5, 0.0, 1.0] {
        let cached_list = complete_list(&old, &origin);
        let router = RouterProcess::start(old_discovery.address, &cached_list);
        let short_wait = Duration::from_millis(500);
        let _ = old_discovery.calls.recv_timeout(short_wait);
        router.write_config("", "", fraction);
        router.signal("HUP");
        std::thread::sleep(Duration::from_millis(30));
        router.write_config(&old_address, &new_address, 1.0);
        if fraction == 0.5 {
            let call = new_discovery.next_call();
            assert_eq!(call, "GET /v1/servers?watch=1 HTTP/1.1");
        } else {
            // The fake answers one call only; that the router uses its address is visible in the log.
            assert!(router.wait_for_log_line(|line| {
                line.contains("discovery is at") && line.contains(&new_address)
            }));
        }
    }
}

/// Moves discovery every 400 ms to an address that answers after 700 ms, and checks that the router learns of a drain
/// before the moves end.
fn assert_moves_in_a_row_delay_no_drain(options: StartOptions) {
    const MOVES: u32 = 8;
    const INTERVAL: Duration = Duration::from_millis(400);
    const ANSWER_TIME: Duration = Duration::from_millis(700);
    let servers = TwoCacheServers::new();
    let active = endpoint_list(5, true, &servers.endpoints("active"));
    let draining = endpoint_list(6, true, &servers.endpoints("leaving"));
    let first_discovery = FakeDiscovery::unchanging();
    let router = RouterProcess::start_with(first_discovery.address, &active, options);
    let mut client = router.client();
    assert!(reads_served_by_first(&mut client) > 0);
    first_discovery.next_call();
    let mut addresses = Vec::new();
    let mut moves_before_drain = 0;
    for _ in 0..MOVES {
        let discovery = FakeDiscovery::slow(ANSWER_TIME, &draining);
        router.reconfigure(
            &first_discovery.address.to_string(),
            &discovery.address.to_string(),
        );
        addresses.push(discovery);
        std::thread::sleep(INTERVAL);
        if reads_served_by_first(&mut client) == 0 {
            return;
        }
        moves_before_drain += 1;
    }
    panic!("the draining server is used after {moves_before_drain} moves");
}

#[test]
fn configurations_in_a_row_do_not_delay_a_drain() {
    // Guards against a router that ends the call to each address of discovery before its answer.
    assert_moves_in_a_row_delay_no_drain(StartOptions::default());
}

#[test]
fn configurations_in_a_row_do_not_delay_a_drain_where_lists_are_pushed() {
    assert_moves_in_a_row_delay_no_drain(StartOptions::with_pushed_lists());
}
