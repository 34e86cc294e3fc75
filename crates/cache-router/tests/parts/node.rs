//! The node's loop, driven by hand.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::*;
use std::time::Duration;

use crate::message::DiscoveredEndpoint;

/// Longer than any of this takes.
const AIM: Micros = 600_000_000;
const LONG: Duration = Duration::from_secs(20);

/// A node that is driven by hand, what reaches it, and its one cache box.
struct Driven {
    node: Node,
    inputs: mpsc::Receiver<RouterEvent>,
    cache: TcpListener,
    hub: mpsc::Sender<RouterEvent>,
    answer_to: mpsc::Sender<ClientReply>,
    answers: mpsc::Receiver<ClientReply>,
}

impl Driven {
    async fn new() -> Self {
        Driven::with(AIM).await
    }

    /// With a time-out for connects.
    async fn with(connect: Micros) -> Self {
        let cache = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = format!(
            r#"{{"classes":[{{"name":"read","effect":"pure","goalTimeUs":{AIM},"deadlineUs":{AIM}}}],
            "limits":{{"maxAttempts":4,"connectTimeoutUs":{connect},"idleCloseUs":{AIM}}}}}"#
        );
        let deployment = routing_policy::settings::read(settings.as_bytes()).unwrap();
        let (hub, inputs) = mpsc::channel(64);
        let known = EndpointListUpdate {
            version: 1,
            is_complete: true,
            endpoints: vec![endpoint(&cache, "active")],
        };
        let nowhere = cache.local_addr().unwrap();
        let config = Config {
            listen: nowhere,
            discovery: nowhere,
            seed: 1,
            sockets: 64,
            known: EndpointListUpdate::default(),
            deployment: deployment.clone(),
        };
        let mut node = Node::new(
            config,
            Arc::new(deployment),
            Clock::start(),
            hub.clone(),
            16,
            Trace::new(false),
        );
        node.list(known, Some(ListUpdate::Full));
        let (answer_to, answers) = mpsc::channel(16);
        Driven {
            node,
            inputs,
            cache,
            hub,
            answer_to,
            answers,
        }
    }

    /// A client asks; the request's number.
    fn ask(&mut self, id: &'static str) -> RequestId {
        let command = ClientCommand {
            key: "aa".into(),
            request_id: id.into(),
            fields: "c=read".into(),
            remaining_deadline: AIM,
            ..ClientCommand::default()
        };
        let (number, at) = (self.node.next, self.node.clock.now());
        let (slot, answers) = (number, self.answer_to.clone());
        self.node.asked(ClientRequest {
            command,
            received_at: at,
            client: 1,
            sequence: slot,
            replies: answers,
        });
        number
    }

    /// Lets the next thing happen.
    async fn step(&mut self) {
        let input = tokio::time::timeout(LONG, self.inputs.recv())
            .await
            .expect("something happens");
        self.node.input(input.unwrap());
    }
}

fn endpoint(cache: &TcpListener, status: &str) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        name: "s-1".into(),
        address: cache.local_addr().unwrap().to_string(),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        status: status.into(),
        weight: 1.0,
        started_ms: 0,
    }
}

/// The next command on a connection, which must be for a request.
async fn read(stream: &mut TcpStream, id: &str) {
    let mut seen = Vec::new();
    while !seen.ends_with(b"c=read\r\n") {
        let read = tokio::time::timeout(LONG, stream.read_buf(&mut seen)).await;
        assert_ne!(
            read.expect("a command").unwrap(),
            0,
            "the connection has ended"
        );
    }
    let seen = String::from_utf8(seen).unwrap();
    assert!(
        seen.starts_with("*4\r\n") && seen.contains(&format!("\r\n{id}\r\n")),
        "{seen:?}"
    );
}

const VALUE: &[u8] = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";

#[tokio::test]
async fn what_is_given_up_before_its_answer_is_due_costs_no_connection() {
    let mut all = Driven::new().await;
    let hasty = all.ask("1d");
    let (mut stream, _) = all.cache.accept().await.unwrap();
    all.step().await; // The connection is up.
    read(&mut stream, "1d").await;
    all.node.give_up(
        AttemptId {
            request: hasty,
            number: 0,
        },
        AttemptStatus::Cancelled,
    );
    all.node.close_request(hasty);
    stream.write_all(VALUE).await.unwrap();
    all.step().await; // The late answer, which reaches nobody.
    let next = all.ask("2d");
    read(&mut stream, "2d").await;
    stream.write_all(VALUE).await.unwrap();
    all.step().await;
    assert_eq!(
        all.answers.try_recv(),
        Ok(ClientReply {
            sequence: next,
            bytes: Bytes::from_static(b"$1\r\nv\r\n")
        })
    );
}

#[tokio::test]
async fn what_comes_after_sigterm_has_its_answer_before_the_node_may_be_killed_or_ends() {
    let mut all = Driven::new().await;
    let sigterm = all.node.clock.now();
    all.node.input(RouterEvent::Terminate);
    let after = all.ask("2d");
    let late = all.node.clock.now();
    let ends = |id| all.node.open[&id].ends;
    assert!(ends(after) > late && ends(after) + WRITE_OUT <= late + KILLED.0 + KILLED.1);
    assert!(all.node.answered_by >= sigterm && all.node.answered_by < all.node.ends_at.unwrap());
}

#[tokio::test]
async fn a_connection_is_kept_until_shortly_before_its_server_closes_it() {
    for (after, kept) in [(AIM / 10 * 7, true), (AIM / 10 * 9, false)] {
        let mut all = Driven::new().await;
        all.ask("1d");
        let (mut stream, _) = all.cache.accept().await.unwrap();
        all.step().await;
        read(&mut stream, "1d").await;
        stream.write_all(VALUE).await.unwrap();
        all.step().await;
        let (server, later) = (
            *all.node.servers.keys().next().unwrap(),
            all.node.clock.now() + after,
        );
        all.node.pool.sweep(later);
        assert_eq!(
            all.node
                .pool
                .reuse(
                    server,
                    AttemptId {
                        request: 9,
                        number: 0
                    },
                    later
                )
                .is_some(),
            kept
        );
    }
}

#[tokio::test]
async fn an_attempt_takes_the_first_connection_that_becomes_free_and_not_the_one_opened_for_it() {
    let mut all = Driven::new().await;
    all.ask("0d");
    let (mut stream, _) = all.cache.accept().await.unwrap();
    all.step().await;
    read(&mut stream, "0d").await;
    stream.write_all(VALUE).await.unwrap();
    all.step().await;
    all.answers.try_recv().unwrap();
    let first = all.ask("1d");
    read(&mut stream, "1d").await;
    let second = all.ask("2d");
    // The way is slow: that the new connection is up is still to come when the first one is answered.
    let late = tokio::time::timeout(LONG, all.inputs.recv())
        .await
        .unwrap()
        .unwrap();
    stream.write_all(VALUE).await.unwrap();
    all.step().await;
    read(&mut stream, "2d").await;
    all.node.input(late);
    stream.write_all(VALUE).await.unwrap();
    all.step().await;
    let answered: Vec<_> = (0..2)
        .map(|_| all.answers.try_recv().unwrap().sequence)
        .collect();
    assert_eq!(answered, [first, second]);
    let idle = all
        .node
        .pool
        .waiting(*all.node.servers.keys().next().unwrap());
    assert_eq!(
        (idle.len(), all.node.attempts.len()),
        (0, 0),
        "nothing is left behind"
    );
}

#[tokio::test]
async fn a_connection_that_comes_up_after_its_time_serves_the_next_request() {
    let mut all = Driven::with(1).await;
    let hasty = all.ask("1d");
    let (mut stream, _) = all.cache.accept().await.unwrap();
    let late = tokio::time::timeout(LONG, all.inputs.recv())
        .await
        .unwrap()
        .unwrap();
    let since = all.node.attempts[&AttemptId {
        request: hasty,
        number: 0,
    }]
        .waits_since;
    all.node
        .due(Due::Unconnected(hasty, 0, since), all.node.clock.now());
    assert_eq!(
        all.answers.try_recv().unwrap().sequence,
        hasty,
        "refused, as there is no other server"
    );
    let up = all.node.clock.now() + 1_000;
    while all.node.clock.now() < up {
        tokio::task::yield_now().await;
    }
    all.node.input(late);
    all.ask("2d");
    read(&mut stream, "2d").await;
}

#[tokio::test]
async fn what_ended_before_it_was_written_is_not_written_any_more() {
    let mut all = Driven::new().await;
    all.ask("1d");
    let (mut stream, _) = all.cache.accept().await.unwrap();
    all.step().await;
    read(&mut stream, "1d").await;
    stream.write_all(VALUE).await.unwrap();
    all.step().await;
    // The process is stopped after the node has handed a request on, until its time is up.
    let (server, now) = (
        *all.node.servers.keys().next().unwrap(),
        all.node.clock.now(),
    );
    let conn = all
        .node
        .pool
        .reuse(
            server,
            AttemptId {
                request: 9,
                number: 0,
            },
            now,
        )
        .unwrap();
    assert!(
        all.node
            .pool
            .start(conn, Bytes::from_static(b"too late"), now, false)
    );
    all.step().await;
    let next = all.ask("2d");
    read(&mut stream, "2d").await;
    stream.write_all(VALUE).await.unwrap();
    all.step().await;
    assert_eq!(
        all.answers.recv().await.map(|reply| reply.sequence),
        Some(1)
    );
    assert_eq!(
        all.answers.recv().await.map(|reply| reply.sequence),
        Some(next)
    );
}

#[tokio::test]
async fn what_waits_for_a_connection_to_a_server_that_drains_is_turned_away_at_once() {
    for status in ["leaving", "left"] {
        let mut all = Driven::new().await;
        let waits = all.ask("1d");
        let endpoints = vec![endpoint(&all.cache, status)];
        all.node.list(
            EndpointListUpdate {
                version: 2,
                is_complete: false,
                endpoints,
            },
            None,
        );
        let ClientReply {
            sequence: slot,
            bytes: answer,
        } = all.answers.try_recv().unwrap();
        assert!(slot == waits && answer.starts_with(b"-BUSY"), "{answer:?}");
    }
}

#[tokio::test]
async fn a_connection_that_comes_up_for_what_was_given_up_serves_the_next() {
    let mut all = Driven::new().await;
    let hasty = all.ask("1d");
    let (mut stream, _) = all.cache.accept().await.unwrap();
    all.node.give_up(
        AttemptId {
            request: hasty,
            number: 0,
        },
        AttemptStatus::Cancelled,
    );
    all.node.close_request(hasty);
    all.step().await; // The connection is up.
    all.ask("2d");
    read(&mut stream, "2d").await;
}

#[tokio::test]
async fn what_is_given_up_when_its_answer_is_overdue_is_closed_and_so_is_what_stays_silent() {
    for overdue in [true, false] {
        let mut all = Driven::new().await;
        let late = all.ask("1d");
        let (mut stream, _) = all.cache.accept().await.unwrap();
        all.step().await;
        read(&mut stream, "1d").await;
        let sent = all.node.attempts[&AttemptId {
            request: late,
            number: 0,
        }]
            .sent;
        all.node
            .attempts
            .get_mut(&AttemptId {
                request: late,
                number: 0,
            })
            .unwrap()
            .sent -= if overdue { AIM } else { 0 };
        all.node.give_up(
            AttemptId {
                request: late,
                number: 0,
            },
            AttemptStatus::TimedOut,
        );
        if !overdue {
            let (server, _) = all.node.servers.iter().next().unwrap();
            assert_eq!(all.node.pool.state(1), Some((*server, State::Late(sent))));
            all.node.due(Due::Late(1, sent), sent + AIM);
        }
        assert_eq!(all.node.pool.state(1), None);
        assert_eq!(stream.read(&mut [0; 8]).await.unwrap(), 0, "closed");
    }
}

// Crossings: what a client's leave, a drain or a standstill meets on the way to a server.

impl Driven {
    /// Asks, and has a connection that rests afterwards.
    async fn warmed() -> (Self, TcpStream) {
        let mut all = Driven::new().await;
        all.ask("0d");
        let (mut stream, _) = all.cache.accept().await.unwrap();
        all.step().await;
        read(&mut stream, "0d").await;
        stream.write_all(VALUE).await.unwrap();
        all.step().await;
        all.answers.try_recv().unwrap();
        (all, stream)
    }

    /// The process is stopped for longer than the node's word holds: no task of it gets on.
    fn stand_still(&self) {
        std::thread::sleep(Duration::from_micros(STOOD_STILL + 10_000));
    }

    /// Nothing more comes on a connection than one request.
    async fn only(&mut self, stream: &mut TcpStream, id: &'static str) {
        self.ask(id);
        read(stream, id).await;
        stream.write_all(VALUE).await.unwrap();
        self.step().await;
    }
}

#[tokio::test]
async fn a_request_whose_client_leaves_while_it_waits_for_a_connection_is_never_written() {
    let mut all = Driven::new().await;
    all.ask("1d");
    let (mut stream, _) = all.cache.accept().await.unwrap();
    all.node.input(RouterEvent::ClientDisconnected(1));
    assert_eq!(
        (all.node.attempts.len(), all.node.open.len()),
        (0, 0),
        "its place is free at once"
    );
    assert!(
        all.node
            .pool
            .waiting(*all.node.servers.keys().next().unwrap())
            .is_empty()
    );
    all.step().await; // The connection is up.
    all.only(&mut stream, "2d").await;
}

#[tokio::test]
async fn a_request_whose_client_leaves_between_the_nodes_word_and_the_first_byte_is_never_written()
{
    let (mut all, mut stream) = Driven::warmed().await;
    all.ask("1d"); // Handed to the connection that rests, which has not run yet.
    all.node.input(RouterEvent::ClientDisconnected(1));
    assert_eq!((all.node.attempts.len(), all.node.open.len()), (0, 0));
    all.step().await; // The connection has seen that, and is free.
    all.only(&mut stream, "2d").await;
}

#[tokio::test]
async fn a_request_that_is_queued_when_its_client_has_gone_is_not_taken() {
    let mut all = Driven::new().await;
    let (answers, gone) = mpsc::channel(1);
    drop(gone);
    let at = all.node.clock.now();
    let command = ClientCommand {
        key: "aa".into(),
        remaining_deadline: AIM,
        ..ClientCommand::default()
    };
    all.node
        .input(RouterEvent::ClientRequest(Box::new(ClientRequest {
            command,
            received_at: at,
            client: 2,
            sequence: 0,
            replies: answers,
        })));
    assert_eq!((all.node.attempts.len(), all.node.open.len()), (0, 0));
}

#[tokio::test]
async fn a_request_whose_client_has_gone_is_not_written_though_the_news_of_it_is_queued_behind() {
    let mut all = Driven::new().await;
    all.ask("1d");
    let (mut stream, _) = all.cache.accept().await.unwrap();
    // Its session has ended; the node has not been told yet.
    all.answers.close();
    all.step().await; // The connection is up.
    let (answer_to, answers) = mpsc::channel(16);
    (all.answer_to, all.answers) = (answer_to, answers);
    all.only(&mut stream, "2d").await;
}

#[tokio::test]
async fn what_is_cancelled_before_its_first_byte_is_never_written_and_costs_no_connection() {
    let (mut all, mut stream) = Driven::warmed().await;
    let hasty = all.ask("1d");
    all.node.give_up(
        AttemptId {
            request: hasty,
            number: 0,
        },
        AttemptStatus::Cancelled,
    );
    all.node.close_request(hasty);
    all.step().await;
    all.only(&mut stream, "2d").await;
}

#[tokio::test]
async fn after_a_standstill_a_drain_that_came_meanwhile_stops_what_was_about_to_be_written() {
    let (mut all, mut stream) = Driven::warmed().await;
    let waits = all.ask("1d");
    all.stand_still();
    let endpoints = vec![endpoint(&all.cache, "leaving")];
    all.node.list(
        EndpointListUpdate {
            version: 2,
            is_complete: false,
            endpoints,
        },
        None,
    );
    all.step().await; // The connection asks again.
    let ClientReply {
        sequence: slot,
        bytes: answer,
    } = all.answers.try_recv().unwrap();
    assert!(slot == waits && answer.starts_with(b"-BUSY"), "{answer:?}");
    let mut seen = Vec::new();
    assert_eq!(stream.read_to_end(&mut seen).await.unwrap(), 0, "{seen:?}");
}

#[tokio::test]
async fn after_a_standstill_what_may_still_be_sent_is_sent_once_and_costs_no_attempt() {
    let (mut all, mut stream) = Driven::warmed().await;
    let waits = all.ask("1d");
    all.stand_still();
    all.step().await; // The connection asks again.
    assert_eq!(all.node.open[&waits].sent, 1);
    read(&mut stream, "1d").await;
    stream.write_all(VALUE).await.unwrap();
    all.step().await;
    assert_eq!(all.answers.try_recv().unwrap().sequence, waits);
    // On a machine that is always late it goes on all the same: it is asked about once.
    let late = all.ask("2d");
    all.stand_still();
    let again = tokio::time::timeout(LONG, all.inputs.recv())
        .await
        .unwrap()
        .unwrap();
    all.node.input(again);
    all.stand_still();
    read(&mut stream, "2d").await;
    stream.write_all(VALUE).await.unwrap();
    all.step().await;
    assert_eq!(all.answers.try_recv().unwrap().sequence, late);
}

#[tokio::test]
async fn after_a_standstill_what_forbids_sends_is_taken_before_what_asks_for_them() {
    let (mut all, _stream) = Driven::warmed().await;
    let asked = |all: &Driven| {
        let command = ClientCommand {
            key: "aa".into(),
            remaining_deadline: AIM,
            ..ClientCommand::default()
        };
        let (at, answers) = (all.node.clock.now(), all.answer_to.clone());
        RouterEvent::ClientRequest(Box::new(ClientRequest {
            command,
            received_at: at,
            client: 1,
            sequence: 9,
            replies: answers,
        }))
    };
    let (call, endpoints) = (
        all.node.discovery.test_call(),
        vec![endpoint(&all.cache, "leaving")],
    );
    all.hub.try_send(asked(&all)).unwrap();
    all.hub
        .try_send(RouterEvent::EndpointList(
            call,
            EndpointListUpdate {
                version: 2,
                is_complete: false,
                endpoints,
            },
        ))
        .unwrap();
    let mut arrived = Some(asked(&all));
    all.node.catch_up(&mut all.inputs, &mut arrived).await;
    for _ in 0..2 {
        let ClientReply { bytes: answer, .. } = all.answers.try_recv().unwrap();
        assert!(answer.starts_with(b"-BUSY"), "{answer:?}");
    }
    assert!(all.node.attempts.is_empty());
}

#[tokio::test]
async fn a_value_that_is_cancelled_half_written_never_becomes_whole() {
    let (mut all, mut stream) = Driven::warmed().await;
    let (number, at) = (all.node.next, all.node.clock.now());
    // More than the machine's buffers hold: the server takes nothing.
    let value = Some(Bytes::from(vec![b'v'; 64 * 1024 * 1024]));
    let command = ClientCommand {
        key: "aa".into(),
        request_id: "1d".into(),
        value,
        remaining_deadline: AIM,
        ..ClientCommand::default()
    };
    let answers = all.answer_to.clone();
    all.node.asked(ClientRequest {
        command,
        received_at: at,
        client: 1,
        sequence: number,
        replies: answers,
    });
    let conn = all.node.attempts[&AttemptId {
        request: number,
        number: 0,
    }]
        .conn
        .unwrap();
    while all.node.pool.progress(conn) != Progress::Writing {
        tokio::task::yield_now().await;
    }
    all.node.input(RouterEvent::ClientDisconnected(1));
    assert_eq!(
        (all.node.attempts.len(), all.node.pool.state(conn)),
        (0, None)
    );
    let mut seen = Vec::new();
    let _ = stream.read_to_end(&mut seen).await;
    assert!(!seen.ends_with(b"v\r\n"), "{} bytes of it came", seen.len());
}

#[tokio::test]
async fn the_time_of_an_earlier_request_that_was_given_up_ends_no_later_one_on_the_same_connection()
{
    let (mut all, mut stream) = Driven::warmed().await;
    let first = all.ask("1d");
    read(&mut stream, "1d").await;
    let sent = all.node.attempts[&AttemptId {
        request: first,
        number: 0,
    }]
        .sent;
    all.node.give_up(
        AttemptId {
            request: first,
            number: 0,
        },
        AttemptStatus::Cancelled,
    );
    all.node.close_request(first);
    stream.write_all(VALUE).await.unwrap();
    all.step().await; // Late, but there: the connection goes on.
    let second = all.ask("2d");
    read(&mut stream, "2d").await;
    all.node
        .attempts
        .get_mut(&AttemptId {
            request: second,
            number: 0,
        })
        .unwrap()
        .sent = sent + 1;
    all.node.give_up(
        AttemptId {
            request: second,
            number: 0,
        },
        AttemptStatus::Cancelled,
    );
    let conn = all.node.pool.state(1).map(|(_, state)| state);
    all.node.due(Due::Late(1, sent), sent + AIM);
    assert_eq!(
        (conn, all.node.pool.state(1).is_some()),
        (Some(State::Late(sent + 1)), true)
    );
}

#[tokio::test]
async fn what_waits_for_a_connection_to_a_server_that_moves_gets_one_at_its_new_address_at_once() {
    let mut all = Driven::new().await;
    all.ask("1d");
    let moved = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoints = vec![DiscoveredEndpoint {
        started_ms: 5,
        ..endpoint(&moved, "active")
    }];
    all.node.list(
        EndpointListUpdate {
            version: 2,
            is_complete: false,
            endpoints,
        },
        None,
    );
    let (mut stream, _) = tokio::time::timeout(LONG, moved.accept())
        .await
        .expect("a connection")
        .unwrap();
    // Both are up, in whatever order: the one to the old address carries nothing.
    while all.answers.is_empty() {
        let mut seen = [0; 1024];
        tokio::select! {
            input = all.inputs.recv() => all.node.input(input.unwrap()),
            count = stream.read(&mut seen) => {
                assert!(count.unwrap() > 0);
                stream.write_all(VALUE).await.unwrap();
            }
        }
    }
    assert_eq!(all.answers.try_recv().unwrap().bytes, &b"$1\r\nv\r\n"[..]);
    let (mut old, _) = all.cache.accept().await.unwrap();
    assert_eq!(
        old.read(&mut [0; 8]).await.unwrap(),
        0,
        "closed, and nothing was written to it"
    );
}
