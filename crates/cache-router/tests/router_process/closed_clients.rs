//! Clients that close their connection while the router has not read all that they sent. Each test guards against
//! requests that are sent to a server although their client has gone.

use std::collections::HashMap;
use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};

use crate::bulk_clients::{Bulk, Reading, RunningBulk};
use crate::support::{
    Behaviour, Client, Cluster, FakeServer, ReceivedRequest, cache_server, command, hit, http,
    miss, origin_server, read,
};

/// How many requests a client sends without waiting for replies: more than the router can send to servers within the
/// time below.
const REQUESTS: usize = 50_000;
/// Attempts may begin until 0.1 s after the close. The rest is for a busy machine.
const TIME_TO_NOTICE: Duration = Duration::from_millis(500);
/// How long the servers are watched after that.
const WATCH_TIME: Duration = Duration::from_secs(1);

/// How a client leaves.
#[derive(Debug, Clone, Copy)]
enum Leaving {
    /// It closes its connection, with replies that it has not read.
    Close,
    /// It reads all replies until it leaves, and then closes its connection.
    CloseAfterReading,
    /// It ends its sending direction, and goes on reading.
    HalfClose,
}

/// The id of a request, from the parts that a server received.
fn id_in(request: &ReceivedRequest) -> Option<String> {
    let header = |part: &String| part.strip_prefix("X-Correlation-Id: ").map(str::to_owned);
    let in_header = request.parts.iter().find_map(header);
    in_header.or_else(|| request.parts.get(2).cloned())
}

/// Takes the ids of the requests that reach a server until a time.
fn ids_until(server: &FakeServer, end: Instant) -> Vec<String> {
    let mut ids = Vec::new();
    while let Some(remaining) = end.checked_duration_since(Instant::now())
        && let Ok(request) = server.requests.recv_timeout(remaining)
    {
        ids.extend(id_in(&request));
    }
    ids
}

/// Sends requests and leaves once the first one has reached the server.
fn send_and_leave(
    cluster: &Cluster,
    server: &FakeServer,
    bytes: &[u8],
    leaving: Leaving,
) -> String {
    let Client { mut output, input } = cluster.client();
    let reader = output.try_clone().unwrap();
    thread::scope(|scope| {
        let writer = scope.spawn(move || {
            // Fails when the client leaves.
            let _ = std::io::Write::write_all(&mut output, bytes);
        });
        if !matches!(leaving, Leaving::Close) {
            // Ends with the connection, which may go on after the client has ended its sending.
            thread::spawn(move || std::io::copy(&mut { input }, &mut std::io::sink()));
        }
        let first = id_in(&server.next_request()).unwrap();
        // The router's system takes as much as it can of what is sent.
        thread::sleep(Duration::from_millis(100));
        let direction = match leaving {
            Leaving::HalfClose => Shutdown::Write,
            Leaving::Close | Leaving::CloseAfterReading => Shutdown::Both,
        };
        reader.shutdown(direction).unwrap();
        writer.join().unwrap();
        first
    })
}

/// Starts other clients that keep the router busy, so that it reads the input of each by turns.
fn start_bulk(cluster: &Cluster) -> RunningBulk {
    let bulk = Bulk::of(command(&["FOO"]), Reading::Everything);
    RunningBulk::start(cluster.router.address, bulk)
}

/// Many requests, each of which follows `others` commands that are not requests.
fn reads_after(others: usize) -> Vec<u8> {
    let other = command(&["FOO"]).repeat(others);
    (0..REQUESTS / (others + 1))
        .flat_map(|number| [&other[..], &read("aa", &format!("r{number}"))].concat())
        .collect()
}

fn assert_nothing_is_sent_after_the_close(leaving: Leaving) {
    for others in [0, 50] {
        assert_reads_are_not_sent_after_the_close(leaving, &reads_after(others));
    }
}

fn assert_reads_are_not_sent_after_the_close(leaving: Leaving, requests: &[u8]) {
    let cluster = Cluster::with_cache(cache_server(|_| Behaviour::Respond(hit("v"))));
    let _bulk = start_bulk(&cluster);
    send_and_leave(&cluster, &cluster.cache, requests, leaving);
    let in_time = ids_until(&cluster.cache, Instant::now() + TIME_TO_NOTICE).len();
    let late = ids_until(&cluster.cache, Instant::now() + WATCH_TIME).len();
    println!("{leaving:?}: {in_time} requests reached the server in time and {late} later");
    assert_eq!(late, 0, "{leaving:?}");
}

#[test]
fn requests_of_a_client_that_has_closed_its_connection_are_not_sent() {
    assert_nothing_is_sent_after_the_close(Leaving::Close);
}

#[test]
fn requests_of_a_client_that_has_read_its_replies_and_closed_are_not_sent() {
    assert_nothing_is_sent_after_the_close(Leaving::CloseAfterReading);
}

#[test]
fn requests_of_a_client_that_has_ended_its_sending_are_not_sent() {
    assert_nothing_is_sent_after_the_close(Leaving::HalfClose);
}

#[test]
fn a_write_that_comes_again_after_its_client_has_left_runs_once() {
    // The second client sends only what had not reached the origin when it began.
    let cache = cache_server(|_| Behaviour::Respond(miss()));
    let origin = origin_server(|_| Behaviour::Respond(http(200, "", "stored")));
    let cluster = Cluster::start(cache, origin);
    let _bulk = start_bulk(&cluster);
    let write = |id: &str| command(&["OBJ.SET", "aa", id, "c=put,t=acme,d=8000,k=77", "v"]);
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("w{number}")).collect();
    let requests: Vec<u8> = ids.iter().flat_map(|id| write(id)).collect();
    let first = send_and_leave(
        &cluster,
        &cluster.origin,
        &requests,
        Leaving::CloseAfterReading,
    );
    let mut runs = HashMap::from([(first, 1)]);
    let mut count = |ids: Vec<String>| {
        for id in ids {
            *runs.entry(id).or_insert(0) += 1;
        }
        runs.clone()
    };
    let before = count(ids_until(&cluster.origin, Instant::now() + TIME_TO_NOTICE));
    let mut client = cluster.client();
    let again: Vec<_> = ids
        .iter()
        .filter(|id| !before.contains_key(*id))
        .take(200)
        .collect();
    for id in &again {
        assert!(client.execute(&write(id)).is_some());
    }
    let after = count(ids_until(&cluster.origin, Instant::now() + WATCH_TIME));
    let twice = after.values().filter(|runs| **runs > 1).count();
    println!("{} writes ran, {twice} of them more than once", after.len());
    assert_eq!(twice, 0, "of {} writes", after.len());
}
