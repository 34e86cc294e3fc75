//! Calls to discovery against a scripted stand-in, in paused time.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const INDENTED: &str = "{\n  \"index\": 7,\n  \"snapshot\": true,\n  \"endpoints\": [\n    {\n      \"name\": \"s-1\",\n\
    \x20     \"status\": \"active\"\n    }\n  ]\n}\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What a stand-in does on a connection once it has read the call: says this at once, then a byte of that at each
/// step of time, and keeps the connection open.
#[derive(Clone, Default)]
struct Script {
    says: String,
    drips: (String, Duration),
}

/// Discovery that meets its calls with one script after the other, and tells of each call when it came. Calls
/// beyond the last script have no answer.
async fn stand_in(scripts: Vec<Script>) -> (SocketAddr, mpsc::Receiver<(Instant, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, calls) = mpsc::channel(64);
    tokio::spawn(async move {
        let mut scripts = scripts.into_iter();
        while let Ok((mut stream, _)) = listener.accept().await {
            let (script, tell) = (scripts.next().unwrap_or_default(), tell.clone());
            tokio::spawn(async move {
                let mut seen = BytesMut::new();
                while !seen.ends_with(b"\r\n\r\n") {
                    assert_ne!(stream.read_buf(&mut seen).await.unwrap(), 0);
                }
                let line = String::from_utf8_lossy(&seen)
                    .lines()
                    .next()
                    .unwrap_or("")
                    .to_owned();
                tell.send((Instant::now(), line)).await.unwrap();
                stream.write_all(script.says.as_bytes()).await.unwrap();
                for byte in script.drips.0.bytes() {
                    tokio::time::sleep(script.drips.1).await;
                    if stream.write_all(&[byte]).await.is_err() {
                        return;
                    }
                }
                let _ = stream.read_buf(&mut seen).await;
            });
        }
    });
    (address, calls)
}

fn says(parts: &[&str]) -> Script {
    Script {
        says: parts.concat(),
        ..Script::default()
    }
}

#[test]
fn lists_are_read_whole_however_they_are_laid_out_and_cut() {
    let line = r#"{"index":8,"endpoints":[{"name":"}{","status":"left"}]}"#;
    let text = format!("\n{INDENTED}\n\n{line}{line}\r\n");
    for step in 1..text.len() {
        let mut lists = Lists::default();
        let parts = text.as_bytes().chunks(step);
        let taken: Vec<_> = parts.flat_map(|part| lists.take(part).unwrap()).collect();
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
            taken.iter().map(found).collect::<Vec<_>>(),
            expected,
            "in steps of {step}"
        );
        assert!(lists.end().is_ok() && lists.since.is_none());
    }
}

#[test]
fn what_is_no_list_is_told_and_what_never_ends_is_bounded() {
    for bad in [
        "{\"index\":9,\"endpoints\":[{\"na\n}",
        "<html>}",
        "{\"index\":\"x\"}",
        "}",
    ] {
        assert!(
            matches!(
                Lists::default().take(bad.as_bytes()),
                Err(CallError::Garbage(_))
            ),
            "{bad}"
        );
    }
    let mut lists = Lists::default();
    assert!(
        lists
            .take(b"{\"index\":9,\"endpoints\":[")
            .unwrap()
            .is_empty()
            && lists.end().is_err()
    );
    let spaces = vec![b'x'; 64 * 1024];
    let ends = (0..).find(|_| lists.take(&spaces).is_err());
    assert_eq!(
        ends,
        Some(MAX_LIST / spaces.len() - 1),
        "the bound on a list that never ends"
    );
}

#[tokio::test(start_paused = true)]
async fn an_indented_list_on_a_watch_is_in_force_at_once() {
    let (address, _calls) = stand_in(vec![says(&[HEAD, &chunk(INDENTED)])]).await;
    let (hub, mut inputs) = mpsc::channel(8);
    let asked = Instant::now();
    Discovery::new(address, 0, hub).subscribe(true);
    let Some(RouterEvent::EndpointList(_, list)) = inputs.recv().await else {
        panic!("no list")
    };
    assert_eq!((list.version, asked.elapsed()), (7, Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_falls_silent_is_told_of_in_time_and_so_is_one_that_drips() {
    let drips = (chunk(INDENTED), Duration::from_millis(100));
    for script in [
        says(&[HEAD, &chunk("\n")]),
        Script {
            drips,
            ..says(&[HEAD])
        },
    ] {
        let (address, _calls) = stand_in(vec![script]).await;
        let (hub, mut inputs) = mpsc::channel(8);
        let asked = Instant::now();
        Discovery::new(address, 0, hub).subscribe(true);
        let told = inputs.recv().await;
        assert!(
            matches!(told, Some(RouterEvent::WatchStalled(_))),
            "{told:?}"
        );
        // The head of a chunk says nothing yet: ten more drips at the most.
        assert!(
            asked.elapsed() <= SILENCE + Duration::from_secs(1),
            "after {:?}",
            asked.elapsed()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_pushed_watch_that_falls_silent_is_opened_anew_at_once_on_a_new_connection() {
    let (address, mut calls) = stand_in(vec![says(&[HEAD, &chunk("\n")]); 3]).await;
    let (hub, _inputs) = mpsc::channel(8);
    let mut discovery = Discovery::new(address, 5, hub);
    discovery.follow();
    let mut last = calls.recv().await.unwrap().0;
    for _ in 0..2 {
        let (at, call) = calls.recv().await.unwrap();
        assert_eq!(
            (call.as_str(), at - last),
            ("GET /v1/servers?watch=1&after=5 HTTP/1.1", SILENCE)
        );
        last = at;
    }
}

#[tokio::test(start_paused = true)]
async fn a_pushed_watch_that_is_turned_away_or_ended_is_opened_again_soon_and_not_without_a_pause()
{
    let refused = says(&["HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"]);
    for script in [refused, says(&[HEAD, "0\r\n\r\n"])] {
        let (address, mut calls) = stand_in(vec![script; 12]).await;
        let (hub, _inputs) = mpsc::channel(8);
        let mut discovery = Discovery::new(address, 5, hub);
        discovery.follow();
        let mut last = calls.recv().await.unwrap().0;
        for call in 1..12 {
            let at = calls.recv().await.unwrap().0;
            assert!(
                at - last >= BACKOFF.0 && at - last <= BACKOFF.1,
                "call {call} after {:?}",
                at - last
            );
            last = at;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_half_open_call_does_not_hold_up_the_next() {
    let (address, mut calls) =
        stand_in(vec![Script::default(), says(&[HEAD, &chunk(INDENTED)])]).await;
    let (hub, mut inputs) = mpsc::channel(8);
    let asked = Instant::now();
    Discovery::new(address, 0, hub).subscribe(true);
    assert!(matches!(
        inputs.recv().await,
        Some(RouterEvent::EndpointList(..))
    ));
    assert_eq!(asked.elapsed(), HALF_OPEN);
    calls.recv().await.unwrap();
    calls.recv().await.unwrap();
    assert!(calls.try_recv().is_err(), "two calls and no more");
}

#[tokio::test(start_paused = true)]
async fn a_call_that_is_never_answered_ends_and_so_does_one_whose_head_drips() {
    let drip = Script {
        drips: (HEAD.repeat(2), Duration::from_millis(200)),
        ..Script::default()
    };
    for script in [Script::default(), drip] {
        let (address, _calls) = stand_in(vec![script.clone(), script]).await;
        let (hub, mut inputs) = mpsc::channel(8);
        let asked = Instant::now();
        Discovery::new(address, 0, hub).subscribe(true);
        assert!(matches!(
            inputs.recv().await,
            Some(RouterEvent::DiscoveryFailed(_))
        ));
        assert_eq!(asked.elapsed(), ANSWER);
    }
}

#[tokio::test(start_paused = true)]
async fn a_first_call_that_waits_long_in_turn_keeps_its_place() {
    let waits = Script {
        drips: ("x".into(), Duration::from_secs(60)),
        ..Script::default()
    };
    let late = Script {
        drips: ([HEAD, &chunk(INDENTED)].concat(), Duration::from_millis(10)),
        ..Script::default()
    };
    let (address, _calls) = stand_in(vec![late, waits]).await;
    let (hub, mut inputs) = mpsc::channel(8);
    Discovery::new(address, 0, hub).subscribe(true);
    assert!(matches!(
        inputs.recv().await,
        Some(RouterEvent::EndpointList(..))
    ));
}

// Crossings: what two calls bring, and what fails, in either order.

impl Discovery {
    /// A call that begins now, for tests of whoever takes what it brings.
    pub(crate) fn test_call(&self) -> DiscoveryCall {
        self.calls.begin()
    }
}

/// The operators' time after which a change counts as told; a quarter of it is to spare.
const TOLD: Duration = Duration::from_millis(4_500);

fn listing(index: u64, snapshot: bool) -> EndpointListUpdate {
    EndpointListUpdate {
        version: index,
        is_complete: snapshot,
        endpoints: Vec::new(),
    }
}

fn discovery_with(address: SocketAddr, index: u64) -> (Discovery, mpsc::Receiver<RouterEvent>) {
    let (hub, inputs) = mpsc::channel(8);
    (Discovery::new(address, index, hub), inputs)
}

#[tokio::test]
async fn a_list_that_was_asked_for_before_a_change_and_is_read_after_it_does_not_undo_it() {
    let (discovery, _inputs) = discovery_with("127.0.0.1:1".parse().unwrap(), 41);
    let (whole, watch) = (discovery.test_call(), discovery.test_call());
    // In this order the change stays, in the other the list comes first and the change after it.
    assert_eq!(discovery.judge(&whole, &listing(41, true)), Verdict::News);
    assert_eq!(discovery.judge(&watch, &listing(43, false)), Verdict::News);
    discovery.held(43);
    assert_eq!(discovery.judge(&whole, &listing(41, true)), Verdict::Stale);
    assert_eq!(discovery.judge(&whole, &listing(42, false)), Verdict::Stale);
    assert_eq!(
        discovery.judge(&whole, &listing(43, true)),
        Verdict::News,
        "as new as what is held"
    );
}

#[tokio::test]
async fn a_version_that_goes_back_at_a_discovery_that_lost_its_state_is_not_ignored() {
    let (discovery, _inputs) = discovery_with("127.0.0.1:1".parse().unwrap(), 41);
    let call = discovery.test_call();
    assert_eq!(discovery.judge(&call, &listing(3, true)), Verdict::News);
    assert_eq!(
        discovery.judge(&call, &listing(3, false)),
        Verdict::WentBack
    );
    discovery.held(3);
    assert_eq!(
        discovery.judge(&call, &listing(4, false)),
        Verdict::News,
        "and it counts on from there"
    );
}

#[tokio::test(start_paused = true)]
async fn after_a_change_of_an_earlier_version_the_whole_list_is_asked_for_at_once() {
    let (address, mut calls) = stand_in(vec![says(&[HEAD]); 2]).await;
    let (mut discovery, _inputs) = discovery_with(address, 41);
    discovery.subscribe(true);
    assert!(calls.recv().await.unwrap().1.contains("after=41"));
    discovery.begin_anew();
    let (at, call) = calls.recv().await.unwrap();
    assert_eq!(
        (call.as_str(), at.elapsed()),
        ("GET /v1/servers?watch=1 HTTP/1.1", Duration::ZERO)
    );
}

#[tokio::test(start_paused = true)]
async fn what_the_discovery_before_has_queued_is_no_news_of_the_present_one_and_no_failure_of_its_watch()
 {
    let list = chunk("{\"index\":99,\"endpoints\":[]}");
    let (before, mut calls) = stand_in(vec![says(&[HEAD, &list, "0\r\n\r\n"])]).await;
    let (now, mut asked) = stand_in(vec![says(&[HEAD])]).await;
    let (mut discovery, mut inputs) = discovery_with(before, 41);
    discovery.subscribe(true);
    calls.recv().await.unwrap();
    // Both are queued when discovery moves.
    while inputs.len() < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    discovery.moved(now);
    assert_eq!(
        asked.recv().await.unwrap().1,
        "GET /v1/servers?watch=1 HTTP/1.1",
        "none of its versions"
    );
    let Some(RouterEvent::EndpointList(call, listing)) = inputs.recv().await else {
        panic!("no list")
    };
    assert_eq!(discovery.judge(&call, &listing), Verdict::Stale);
    let Some(RouterEvent::DiscoveryFailed(call)) = inputs.recv().await else {
        panic!("no failure")
    };
    assert!(!discovery.ended(&call), "the present watch is open");
    // The module, told of an earlier failure, asks for a watch: there is one.
    discovery.subscribe(true);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(asked.try_recv().is_err(), "one call and no more");
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_ended_is_the_watch_of_now_once_and_another_may_be_opened_then() {
    let (address, mut calls) = stand_in(vec![says(&[HEAD, "0\r\n\r\n"]); 2]).await;
    let (mut discovery, mut inputs) = discovery_with(address, 41);
    discovery.subscribe(true);
    let Some(RouterEvent::DiscoveryFailed(call)) = inputs.recv().await else {
        panic!("no failure")
    };
    assert!(discovery.ended(&call) && !discovery.ended(&call));
    discovery.subscribe(true);
    calls.recv().await.unwrap();
    calls.recv().await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_change_is_heard_of_with_a_quarter_to_spare_whatever_way_the_watch_falls_silent() {
    // From its first byte, after a line, and in the middle of a value; the next call is half open each time.
    for said in [String::new(), chunk("\n"), chunk("{\"index\":8,\"endp")] {
        let scripts = vec![
            says(&[HEAD, &said]),
            Script::default(),
            says(&[HEAD, &chunk(INDENTED)]),
        ];
        let (address, mut calls) = stand_in(scripts).await;
        let (mut discovery, mut inputs) = discovery_with(address, 5);
        discovery.subscribe(true);
        let silent = calls.recv().await.unwrap().0;
        // As the module does: a silence was waited for already.
        let Some(RouterEvent::WatchStalled(call)) = inputs.recv().await else {
            panic!("no silence")
        };
        assert!(discovery.ended(&call));
        discovery.subscribe(true);
        assert!(
            matches!(inputs.recv().await, Some(RouterEvent::EndpointList(..))),
            "{said:?}"
        );
        assert!(
            silent.elapsed() <= TOLD,
            "{said:?}: after {:?}",
            silent.elapsed()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_is_turned_away_before_it_falls_silent_is_heard_of_as_both() {
    let scripts = vec![
        says(&["HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"]),
        says(&[HEAD]),
    ];
    let (address, _calls) = stand_in(scripts).await;
    let (mut discovery, mut inputs) = discovery_with(address, 5);
    discovery.subscribe(true);
    let Some(RouterEvent::DiscoveryFailed(call)) = inputs.recv().await else {
        panic!("no failure")
    };
    assert!(discovery.ended(&call));
    discovery.subscribe(true);
    let since = Instant::now();
    let Some(RouterEvent::WatchStalled(call)) = inputs.recv().await else {
        panic!("no silence")
    };
    assert!(discovery.ended(&call) && since.elapsed() <= SILENCE);
}

#[tokio::test(start_paused = true)]
async fn a_pushed_call_that_is_half_open_is_made_again_within_the_grace_of_a_drain() {
    let (address, mut calls) =
        stand_in(vec![Script::default(), says(&[HEAD, &chunk(INDENTED)])]).await;
    let (mut discovery, mut inputs) = discovery_with(address, 5);
    discovery.follow();
    let asked = calls.recv().await.unwrap().0;
    assert!(matches!(
        inputs.recv().await,
        Some(RouterEvent::EndpointList(..))
    ));
    assert!(
        asked.elapsed() < Duration::from_millis(500),
        "after {:?}",
        asked.elapsed()
    );
}
