//! The trace lines from which an audit tells readiness, deadlines, departures and the end of a process.

use crate::support::{Behaviour, Cluster, StartOptions, cache_server, hit, read};

/// The words of a trace line after its time, if it is one that begins with `word`.
fn fields_of<'a>(line: &'a str, word: &str) -> Option<Vec<&'a str>> {
    let mut fields = line.strip_prefix("trace ")?.split(' ').skip(1);
    (fields.next()? == word).then(|| fields.collect())
}

fn cluster(behaviour: fn() -> Behaviour) -> Cluster {
    let options = StartOptions {
        has_trace: true,
        ..StartOptions::default()
    };
    Cluster::with_cache_and_options(cache_server(move |_| behaviour()), options)
}

#[test]
fn the_trace_tells_readiness_the_deadline_of_an_attempt_and_the_end() {
    let mut cluster = cluster(|| Behaviour::Respond(hit("v")));
    let is_ready = |line: &str| fields_of(line, "ready").is_some_and(|fields| fields.len() == 1);
    assert!(cluster.router.logs(is_ready));
    let mut client = cluster.client();
    assert_eq!(client.ask(&read("aa", "1")).unwrap(), "v");
    let states_deadline = |line: &str| {
        fields_of(line, "deadline")
            .is_some_and(|fields| fields[..2] == ["1", "0"] && fields[2].parse::<u64>().is_ok())
    };
    assert!(cluster.router.logs(states_deadline));
    drop(client);
    cluster.router.terminate();
    assert!(
        cluster
            .router
            .logs(|line| fields_of(line, "terminate").is_some())
    );
    assert!(
        cluster
            .router
            .logs(|line| fields_of(line, "exit").is_some())
    );
    cluster.router.assert_exits_with_success();
}

#[test]
fn the_trace_tells_when_a_client_departed_that_was_owed_a_reply() {
    let cluster = cluster(|| Behaviour::Hang);
    let mut client = cluster.client();
    client.send(&read("aa", "1"));
    cluster.cache.next_request();
    drop(client);
    let departed = |line: &str| fields_of(line, "departed") == Some(vec!["1"]);
    assert!(cluster.router.logs(departed));
}
