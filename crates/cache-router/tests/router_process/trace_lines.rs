//! The trace lines from which an audit determines readiness, deadlines, client disconnects and the exit of a process.

use crate::support::{Behaviour, Cluster, StartOptions, cache_server, hit, read};

/// The fields of a trace line after its timestamp and event name, if the event name is `event`.
fn fields_of<'a>(line: &'a str, event: &str) -> Option<Vec<&'a str>> {
    let mut fields = line.strip_prefix("trace ")?.split(' ').skip(1);
    (fields.next()? == event).then(|| fields.collect())
}

fn cluster(behaviour: fn() -> Behaviour) -> Cluster {
    let options = StartOptions {
        trace_enabled: true,
        ..StartOptions::default()
    };
    Cluster::with_cache_and_options(cache_server(move |_| behaviour()), options)
}

#[test]
fn the_trace_records_readiness_the_deadline_of_an_attempt_and_the_exit() {
    let mut cluster = cluster(|| Behaviour::Respond(hit("v")));
    let is_ready = |line: &str| fields_of(line, "ready").is_some_and(|fields| fields.len() == 1);
    assert!(cluster.router.wait_for_log_line(is_ready));
    let mut client = cluster.client();
    assert_eq!(client.execute(&read("aa", "1")).unwrap(), "v");
    let states_deadline = |line: &str| {
        fields_of(line, "deadline")
            .is_some_and(|fields| fields[..2] == ["1", "0"] && fields[2].parse::<u64>().is_ok())
    };
    assert!(cluster.router.wait_for_log_line(states_deadline));
    drop(client);
    cluster.router.terminate();
    assert!(
        cluster
            .router
            .wait_for_log_line(|line| fields_of(line, "terminate").is_some())
    );
    assert!(
        cluster
            .router
            .wait_for_log_line(|line| fields_of(line, "exit").is_some())
    );
    cluster.router.assert_exits_with_success();
}

#[test]
fn the_trace_records_the_disconnect_of_a_client_with_an_incomplete_request() {
    let cluster = cluster(|| Behaviour::Hang);
    let mut client = cluster.client();
    client.send(&read("aa", "1"));
    cluster.cache.next_request();
    drop(client);
    let departed = |line: &str| fields_of(line, "departed") == Some(vec!["1"]);
    assert!(cluster.router.wait_for_log_line(departed));
}
