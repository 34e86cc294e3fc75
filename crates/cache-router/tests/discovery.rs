//! Calls to discovery against a scripted server, in paused time.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use cache_router::discovery::call::{HALF_OPEN_TIMEOUT, RESPONSE_TIMEOUT};
use cache_router::discovery::list_decoder::{EndpointListDecoder, ListError, MAX_LIST_BYTES};
use cache_router::discovery::{
    DiscoveryClient, FIRST_BACKOFF, MAX_BACKOFF, STALL_TIMEOUT, UpdateFreshness,
};
use cache_router::message::{DiscoveryCall, EndpointListUpdate, RouterEvent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const INDENTED: &str = "{\n  \"index\": 7,\n  \"snapshot\": true,\n  \"endpoints\": [\n    {\n      \"name\": \"s-1\",\n\
    \x20     \"status\": \"active\"\n    }\n  ]\n}\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The server's behaviour on a connection after it has read the request. It keeps the connection open afterwards.
#[derive(Clone, Default)]
struct Script {
    /// Bytes that are sent at once.
    response: String,
    /// Bytes that are sent afterwards, one by one.
    slow_response: String,
    /// The delay before each of these bytes.
    byte_interval: Duration,
}

/// A request that the server received.
struct ReceivedCall {
    at: Instant,
    request_line: String,
}

/// Starts a discovery server that uses one script for each call, in order, and does not answer calls beyond the last
/// script.
async fn start_server(scripts: Vec<Script>) -> (SocketAddr, mpsc::Receiver<ReceivedCall>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (received, calls) = mpsc::channel(64);
    tokio::spawn(async move {
        let mut scripts = scripts.into_iter();
        while let Ok((stream, _)) = listener.accept().await {
            let script = scripts.next().unwrap_or_default();
            tokio::spawn(run_script(script, stream, received.clone()));
        }
    });
    (address, calls)
}

async fn run_script(script: Script, mut stream: TcpStream, received: mpsc::Sender<ReceivedCall>) {
    let mut request = BytesMut::new();
    while !request.ends_with(b"\r\n\r\n") {
        assert_ne!(stream.read_buf(&mut request).await.unwrap(), 0);
    }
    let text = String::from_utf8_lossy(&request);
    let request_line = text.lines().next().unwrap_or("").to_owned();
    let at = Instant::now();
    received
        .send(ReceivedCall { at, request_line })
        .await
        .unwrap();
    stream.write_all(script.response.as_bytes()).await.unwrap();
    for byte in script.slow_response.bytes() {
        tokio::time::sleep(script.byte_interval).await;
        if stream.write_all(&[byte]).await.is_err() {
            return;
        }
    }
    let _ = stream.read_buf(&mut request).await;
}

fn responds(parts: &[&str]) -> Script {
    Script {
        response: parts.concat(),
        ..Script::default()
    }
}

/// Requires that the next event reports an empty line of the watch.
async fn expect_unchanged(events: &mut mpsc::Receiver<RouterEvent>) {
    let event = events.recv().await;
    assert!(
        matches!(event, Some(RouterEvent::EndpointListUnchanged(_))),
        "{event:?}"
    );
}

#[test]
fn lists_are_decoded_with_any_layout_and_split_at_any_byte() {
    let line = r#"{"index":8,"endpoints":[{"name":"}{","status":"left"}]}"#;
    let text = format!("\n{INDENTED}\n\n{line}{line}\r\n");
    for step in 1..text.len() {
        let mut decoder = EndpointListDecoder::default();
        let parts = text.as_bytes().chunks(step);
        let decoded: Vec<_> = parts
            .flat_map(|part| decoder.decode(part).unwrap())
            .collect();
        let found = |list: &EndpointListUpdate| {
            (
                list.version,
                list.is_complete,
                list.endpoints[0].name.clone(),
            )
        };
        let change = (8, false, "}{".to_owned());
        let expected = vec![(7, true, "s-1".to_owned()), change.clone(), change];
        assert_eq!(
            decoded.iter().map(found).collect::<Vec<_>>(),
            expected,
            "in steps of {step}"
        );
        assert!(decoder.finish().is_ok() && decoder.incomplete_since().is_none());
    }
}

#[test]
fn a_long_list_in_small_pieces_keeps_no_request_waiting_beyond_its_time() {
    // Guards against a list that is parsed from its start for each piece, which holds the thread for seconds.
    const SERVERS: usize = 3_200;
    const PIECE_BYTES: usize = 400;
    /// A request whose final answer comes later than this after its deadline is lost.
    const MAX_OVERTIME: Duration = Duration::from_millis(500);
    /// Another process may delay an attempt on a busy machine.
    const TRIES: usize = 3;
    let endpoints: Vec<String> = (0..SERVERS)
        .map(|number| {
            format!(
                r#"{{"name":"s-{number:08x}","address":"10.1.{}.{}:6379","zone":"a","type":"m2","group":3,"status":"active","weight":1.0,"since_ms":1796400000000}}"#,
                number / 250,
                number % 250
            )
        })
        .collect();
    let list = format!(
        r#"{{"index":43,"snapshot":true,"endpoints":[{}]}}"#,
        endpoints.join(",")
    );
    let decode_in_pieces = |_| {
        let mut decoder = EndpointListDecoder::default();
        let since = std::time::Instant::now();
        let lists: Vec<_> = list
            .as_bytes()
            .chunks(PIECE_BYTES)
            .flat_map(|piece| decoder.decode(piece).unwrap())
            .collect();
        assert_eq!((lists.len(), lists[0].endpoints.len()), (1, SERVERS));
        since.elapsed()
    };
    let shortest = (0..TRIES).map(decode_in_pieces).min().unwrap();
    println!("{} bytes were decoded within {shortest:?}", list.len());
    assert!(shortest <= MAX_OVERTIME, "{shortest:?}");
}

#[test]
fn invalid_lists_are_errors_and_the_size_of_a_list_is_bounded() {
    for invalid in [
        "{\"index\":9,\"endpoints\":[{\"na\n}",
        "<html>}",
        "{\"index\":\"x\"}",
        "}",
    ] {
        assert!(
            matches!(
                EndpointListDecoder::default().decode(invalid.as_bytes()),
                Err(ListError::Invalid(_))
            ),
            "{invalid}"
        );
    }
    let mut decoder = EndpointListDecoder::default();
    assert!(
        decoder
            .decode(b"{\"index\":9,\"endpoints\":[")
            .unwrap()
            .is_empty()
            && decoder.finish().is_err()
    );
    let filler = vec![b'x'; 64 * 1024];
    let ends = (0..).find(|_| decoder.decode(&filler).is_err());
    assert_eq!(
        ends,
        Some(MAX_LIST_BYTES / filler.len() - 1),
        "the bound on a list that never ends"
    );
}

#[tokio::test(start_paused = true)]
async fn an_indented_list_on_a_watch_is_delivered_at_once() {
    let (address, _calls) = start_server(vec![responds(&[HEAD, &chunk(INDENTED)])]).await;
    let (events, mut received_events) = mpsc::channel(8);
    let start = Instant::now();
    DiscoveryClient::new(address, 0, events).subscribe(true);
    let Some(RouterEvent::EndpointList(_, list)) = received_events.recv().await else {
        panic!("no list")
    };
    assert_eq!((list.version, start.elapsed()), (7, Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_stalls_or_is_too_slow_is_reported_in_time() {
    let slow = Script {
        slow_response: chunk(INDENTED),
        byte_interval: Duration::from_millis(100),
        ..responds(&[HEAD])
    };
    for (script, has_line) in [(responds(&[HEAD, &chunk("\n")]), true), (slow, false)] {
        let (address, _calls) = start_server(vec![script]).await;
        let (events, mut received_events) = mpsc::channel(8);
        let start = Instant::now();
        DiscoveryClient::new(address, 0, events).subscribe(true);
        if has_line {
            expect_unchanged(&mut received_events).await;
        }
        let event = received_events.recv().await;
        assert!(
            matches!(event, Some(RouterEvent::WatchStalled(_))),
            "{event:?}"
        );
        // The head of a chunk carries no data, so up to ten more bytes are allowed.
        assert!(
            start.elapsed() <= STALL_TIMEOUT + Duration::from_secs(1),
            "after {:?}",
            start.elapsed()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn an_agents_watch_that_stalls_is_opened_again_at_once_on_a_new_connection() {
    let (address, mut calls) = start_server(vec![responds(&[HEAD, &chunk("\n")]); 3]).await;
    let (events, _received_events) = mpsc::channel(8);
    let mut discovery = DiscoveryClient::new(address, 5, events);
    discovery.watch_agent();
    let mut last = calls.recv().await.unwrap().at;
    for _ in 0..2 {
        let ReceivedCall { at, request_line } = calls.recv().await.unwrap();
        assert_eq!(
            (request_line.as_str(), at - last),
            ("GET /v1/servers?watch=1&after=5 HTTP/1.1", STALL_TIMEOUT)
        );
        last = at;
    }
}

#[tokio::test(start_paused = true)]
async fn an_agents_watch_that_is_rejected_or_ended_is_opened_again_after_a_backoff() {
    let rejected = responds(&["HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"]);
    for script in [rejected, responds(&[HEAD, "0\r\n\r\n"])] {
        let (address, mut calls) = start_server(vec![script; 12]).await;
        let (events, _received_events) = mpsc::channel(8);
        let mut discovery = DiscoveryClient::new(address, 5, events);
        discovery.watch_agent();
        let mut last = calls.recv().await.unwrap().at;
        for call in 1..12 {
            let at = calls.recv().await.unwrap().at;
            assert!(
                at - last >= FIRST_BACKOFF && at - last <= MAX_BACKOFF,
                "call {call} after {:?}",
                at - last
            );
            last = at;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_half_open_call_does_not_delay_the_second_one() {
    let (address, mut calls) =
        start_server(vec![Script::default(), responds(&[HEAD, &chunk(INDENTED)])]).await;
    let (events, mut received_events) = mpsc::channel(8);
    let start = Instant::now();
    DiscoveryClient::new(address, 0, events).subscribe(true);
    assert!(matches!(
        received_events.recv().await,
        Some(RouterEvent::EndpointList(..))
    ));
    assert_eq!(start.elapsed(), HALF_OPEN_TIMEOUT);
    calls.recv().await.unwrap();
    calls.recv().await.unwrap();
    assert!(calls.try_recv().is_err(), "two calls and no more");
}

#[tokio::test(start_paused = true)]
async fn a_call_fails_if_it_is_never_answered_or_its_head_arrives_too_slowly() {
    let slow_head = Script {
        slow_response: HEAD.repeat(2),
        byte_interval: Duration::from_millis(200),
        ..Script::default()
    };
    for script in [Script::default(), slow_head] {
        let (address, _calls) = start_server(vec![script.clone(), script]).await;
        let (events, mut received_events) = mpsc::channel(8);
        let start = Instant::now();
        DiscoveryClient::new(address, 0, events).subscribe(true);
        assert!(matches!(
            received_events.recv().await,
            Some(RouterEvent::DiscoveryFailed(_))
        ));
        assert_eq!(start.elapsed(), RESPONSE_TIMEOUT);
    }
}

#[tokio::test(start_paused = true)]
async fn a_first_call_that_queues_for_a_long_time_is_not_ended() {
    let silent = Script {
        slow_response: "x".into(),
        byte_interval: Duration::from_secs(60),
        ..Script::default()
    };
    let slow = Script {
        slow_response: [HEAD, &chunk(INDENTED)].concat(),
        byte_interval: Duration::from_millis(10),
        ..Script::default()
    };
    let (address, _calls) = start_server(vec![slow, silent]).await;
    let (events, mut received_events) = mpsc::channel(8);
    DiscoveryClient::new(address, 0, events).subscribe(true);
    assert!(matches!(
        received_events.recv().await,
        Some(RouterEvent::EndpointList(..))
    ));
}

// Events of two calls, and failures, that arrive in either order.

/// Three quarters of the time after which a change counts as notified according to the operators.
const RECEIVE_TIME_LIMIT: Duration = Duration::from_millis(4_500);

fn list_update(version: u64, is_complete: bool) -> EndpointListUpdate {
    EndpointListUpdate {
        version,
        is_complete,
        endpoints: Vec::new(),
    }
}

fn client_at(address: SocketAddr, version: u64) -> (DiscoveryClient, mpsc::Receiver<RouterEvent>) {
    let (events, received_events) = mpsc::channel(8);
    (
        DiscoveryClient::new(address, version, events),
        received_events,
    )
}

#[tokio::test]
async fn a_list_requested_before_a_change_and_received_after_it_does_not_undo_it() {
    let (discovery, _received_events) = client_at("127.0.0.1:1".parse().unwrap(), 41);
    let (fetch, watch) = (discovery.begin_call(), discovery.begin_call());
    // If the list arrives first, both it and the change are current. If the change arrives first, the list is stale.
    assert_eq!(
        discovery.freshness(&fetch, &list_update(41, true)),
        UpdateFreshness::Current
    );
    assert_eq!(
        discovery.freshness(&watch, &list_update(43, false)),
        UpdateFreshness::Current
    );
    discovery.set_held_version(43);
    assert_eq!(
        discovery.freshness(&fetch, &list_update(41, true)),
        UpdateFreshness::Stale
    );
    assert_eq!(
        discovery.freshness(&fetch, &list_update(42, false)),
        UpdateFreshness::Stale
    );
    assert_eq!(
        discovery.freshness(&fetch, &list_update(43, true)),
        UpdateFreshness::Current,
        "as new as the list in force"
    );
}

#[tokio::test]
async fn an_earlier_version_of_a_discovery_that_lost_its_state_is_not_ignored() {
    let (discovery, _received_events) = client_at("127.0.0.1:1".parse().unwrap(), 41);
    let call = discovery.begin_call();
    assert_eq!(
        discovery.freshness(&call, &list_update(3, true)),
        UpdateFreshness::Current
    );
    assert_eq!(
        discovery.freshness(&call, &list_update(3, false)),
        UpdateFreshness::VersionRegressed
    );
    discovery.set_held_version(3);
    assert_eq!(
        discovery.freshness(&call, &list_update(4, false)),
        UpdateFreshness::Current,
        "and its versions count on from there"
    );
}

#[tokio::test(start_paused = true)]
async fn a_restarted_watch_requests_the_complete_list_at_once() {
    let (address, mut calls) = start_server(vec![responds(&[HEAD]); 2]).await;
    let (mut discovery, _received_events) = client_at(address, 41);
    discovery.subscribe(true);
    assert!(
        calls
            .recv()
            .await
            .unwrap()
            .request_line
            .contains("after=41")
    );
    discovery.restart_watch();
    let ReceivedCall { at, request_line } = calls.recv().await.unwrap();
    assert_eq!(
        (request_line.as_str(), at.elapsed()),
        ("GET /v1/servers?watch=1 HTTP/1.1", Duration::ZERO)
    );
}

#[tokio::test(start_paused = true)]
async fn queued_events_of_an_earlier_address_count_until_the_present_one_has_sent_a_list() {
    let list = chunk("{\"index\":99,\"endpoints\":[]}");
    let (earlier, mut calls) = start_server(vec![responds(&[HEAD, &list, "0\r\n\r\n"])]).await;
    let (present, mut present_calls) = start_server(vec![responds(&[HEAD])]).await;
    let (mut discovery, mut received_events) = client_at(earlier, 41);
    discovery.subscribe(true);
    calls.recv().await.unwrap();
    // The list and the end of the watch are queued when the address changes.
    while received_events.len() < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    discovery.set_address(present);
    assert_eq!(
        present_calls.recv().await.unwrap().request_line,
        "GET /v1/servers?watch=1 HTTP/1.1",
        "without a version of the earlier one"
    );
    let Some(RouterEvent::EndpointList(call, update)) = received_events.recv().await else {
        panic!("no list")
    };
    assert_eq!(
        discovery.freshness(&call, &update),
        UpdateFreshness::Current
    );
    let present_call = discovery.begin_call();
    discovery.record_list_of(&present_call);
    assert_eq!(discovery.freshness(&call, &update), UpdateFreshness::Stale);
    let Some(RouterEvent::DiscoveryFailed(call)) = received_events.recv().await else {
        panic!("no failure")
    };
    assert!(!discovery.watch_ended(&call), "the present watch is open");
    // The policy opens a watch when it is notified of an earlier failure, but one is open already.
    discovery.subscribe(true);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(present_calls.try_recv().is_err(), "one call and no more");
}

#[tokio::test(start_paused = true)]
async fn the_end_of_the_open_watch_counts_once_and_another_may_be_opened_then() {
    let (address, mut calls) = start_server(vec![responds(&[HEAD, "0\r\n\r\n"]); 2]).await;
    let (mut discovery, mut received_events) = client_at(address, 41);
    discovery.subscribe(true);
    let Some(RouterEvent::DiscoveryFailed(call)) = received_events.recv().await else {
        panic!("no failure")
    };
    assert!(discovery.watch_ended(&call) && !discovery.watch_ended(&call));
    discovery.subscribe(true);
    calls.recv().await.unwrap();
    calls.recv().await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_change_is_received_with_a_quarter_of_its_time_to_spare_however_the_watch_stalls() {
    // The watch stalls from its first byte, after a line, or in the middle of a value. The next call is half open each
    // time.
    for stream_start in [String::new(), chunk("\n"), chunk("{\"index\":8,\"endp")] {
        let scripts = vec![
            responds(&[HEAD, &stream_start]),
            Script::default(),
            responds(&[HEAD, &chunk(INDENTED)]),
        ];
        let (address, mut calls) = start_server(scripts).await;
        let (mut discovery, mut received_events) = client_at(address, 5);
        discovery.subscribe(true);
        let stalled = calls.recv().await.unwrap().at;
        if stream_start == chunk("\n") {
            expect_unchanged(&mut received_events).await;
        }
        // The policy reopens the watch without a delay, since the stall timeout has passed already.
        let Some(RouterEvent::WatchStalled(call)) = received_events.recv().await else {
            panic!("no stall")
        };
        assert!(discovery.watch_ended(&call));
        discovery.subscribe(true);
        assert!(
            matches!(
                received_events.recv().await,
                Some(RouterEvent::EndpointList(..))
            ),
            "{stream_start:?}"
        );
        assert!(
            stalled.elapsed() <= RECEIVE_TIME_LIMIT,
            "{stream_start:?}: after {:?}",
            stalled.elapsed()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_is_rejected_and_then_stalls_is_reported_as_both() {
    let scripts = vec![
        responds(&["HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"]),
        responds(&[HEAD]),
    ];
    let (address, _calls) = start_server(scripts).await;
    let (mut discovery, mut received_events) = client_at(address, 5);
    discovery.subscribe(true);
    let Some(RouterEvent::DiscoveryFailed(call)) = received_events.recv().await else {
        panic!("no failure")
    };
    assert!(discovery.watch_ended(&call));
    discovery.subscribe(true);
    let since = Instant::now();
    let Some(RouterEvent::WatchStalled(call)) = received_events.recv().await else {
        panic!("no stall")
    };
    assert!(discovery.watch_ended(&call) && since.elapsed() <= STALL_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn a_half_open_call_to_an_agent_is_made_again_within_the_grace_period_of_a_draining_server() {
    let (address, mut calls) =
        start_server(vec![Script::default(), responds(&[HEAD, &chunk(INDENTED)])]).await;
    let (mut discovery, mut received_events) = client_at(address, 5);
    discovery.watch_agent();
    let start = calls.recv().await.unwrap().at;
    assert!(matches!(
        received_events.recv().await,
        Some(RouterEvent::EndpointList(..))
    ));
    assert!(
        start.elapsed() < Duration::from_millis(500),
        "after {:?}",
        start.elapsed()
    );
}

/// A server's response that is sent in pieces for so long, and ends with a list.
fn slow_list(duration: Duration) -> Script {
    let slow_response = [HEAD, &chunk(INDENTED)].concat();
    Script {
        byte_interval: duration / slow_response.len() as u32,
        slow_response,
        ..Script::default()
    }
}

/// Waits for the next list. Returns its call.
async fn next_list(received_events: &mut mpsc::Receiver<RouterEvent>) -> DiscoveryCall {
    loop {
        match received_events.recv().await {
            Some(RouterEvent::EndpointList(call, _)) => return call,
            Some(_) => {}
            None => panic!("no list"),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_on_the_earlier_address_is_received_while_the_present_one_does_not_answer() {
    // Guards against a router that hears of no change between a move of discovery and the answer of the new address.
    for watches_agent in [false, true] {
        let script = Script {
            response: [HEAD, &chunk("\n")].concat(),
            ..slow_list(Duration::from_secs(1))
        };
        let script = Script {
            slow_response: chunk(INDENTED),
            ..script
        };
        let (earlier, mut calls) = start_server(vec![script]).await;
        let (present, _present_calls) = start_server(Vec::new()).await;
        let (mut discovery, mut received_events) = client_at(earlier, 5);
        match watches_agent {
            true => discovery.watch_agent(),
            false => discovery.subscribe(true),
        }
        calls.recv().await.unwrap();
        expect_unchanged(&mut received_events).await;
        discovery.set_address(present);
        let call = next_list(&mut received_events).await;
        assert_eq!(
            discovery.freshness(&call, &list_update(7, true)),
            UpdateFreshness::Current
        );
    }
}

#[tokio::test(start_paused = true)]
async fn addresses_that_follow_each_other_faster_than_they_answer_delay_no_list() {
    // Guards against a router that ends the call to each address before its answer, and never gets a list.
    const ANSWER_TIME: Duration = Duration::from_millis(1_400);
    const MOVES: u32 = 10;
    for (interval, watches_agent) in [(100, false), (300, false), (1_200, false), (100, true)] {
        let (first, _calls) = start_server(Vec::new()).await;
        let (mut discovery, mut received_events) = client_at(first, 5);
        match watches_agent {
            true => discovery.watch_agent(),
            false => discovery.subscribe(true),
        }
        let since = Instant::now();
        let mut received = None;
        for _ in 0..MOVES {
            let (address, _calls) = start_server(vec![slow_list(ANSWER_TIME)]).await;
            discovery.set_address(address);
            let next_move = Instant::now() + Duration::from_millis(interval);
            let list = tokio::time::timeout_at(next_move, next_list(&mut received_events));
            if let Ok(call) = list.await {
                received = Some(call);
                break;
            }
        }
        let call = match received {
            Some(call) => call,
            None => next_list(&mut received_events).await,
        };
        let waited = since.elapsed();
        assert!(
            waited <= ANSWER_TIME + Duration::from_millis(200),
            "every {interval} ms: {waited:?}"
        );
        assert_eq!(
            discovery.freshness(&call, &list_update(7, true)),
            UpdateFreshness::Current
        );
    }
}
