//! Margins computed from generated traces with known results.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::fs;

use acceptance::margins::{
    self, AnswerLateness, AttemptAfterDisconnect, AttemptKind, Capacity, ClientDisconnects,
    LostRequests, MalformedLines, Margins, MarginsError, Notification, NotificationDelay,
    Readiness, ReadinessDelay, SendAfterDrain, StatedDeadline, StatedDeadlines,
};
use tempfile::TempDir;

/// Start time of the traces in microseconds. Times in the tests are milliseconds after it.
const T0: u64 = 1_000_000_000;

fn at(ms: u64) -> u64 {
    T0 + ms * 1_000
}

/// The log of a node with its start line and its first list.
fn node(me: u32, list: &str) -> String {
    let start = format!("trace {T0} start {me} 2 0.2 20000000 2.5 2000000 500000 9\n");
    format!("cache-router: listening\n{start}trace {T0} list Full 1\n{list}")
}

fn server(ms: u64, id: u32, state: &str, started: u64) -> String {
    format!("trace {} server {id} {state} 1 0 {started}\n", at(ms))
}

fn send(ms: u64, request: u64, server: u32) -> String {
    format!("trace {} send {request} 0 {server}\n", at(ms))
}

fn measure(nodes: &[String]) -> (TempDir, Result<Margins, MarginsError>) {
    let folder = tempfile::tempdir().unwrap();
    for (i, text) in nodes.iter().enumerate() {
        fs::write(folder.path().join(format!("n{i}.log")), text).unwrap();
    }
    let margins = margins::measure(folder.path());
    (folder, margins)
}

/// Outcomes of a warm server 1 that answers ten attempts per second and rejects two, for one minute.
fn warm_server_outcomes() -> String {
    let answers = (0..600).map(|i| format!("trace {} outcome {i} 0 1 Served\n", at(i * 100)));
    let rejected = (0..120).map(|i| format!("trace {} outcome {i} 1 1 Full\n", at(i * 500)));
    answers.chain(rejected).collect()
}

#[test]
fn slow_start_load_sums_all_nodes_and_is_compared_with_the_collapse_budget() {
    let started = at(1_000);
    let list = server(0, 1, "Ready", 0) + &server(0, 2, "Ready", started);
    // In the first two seconds after its start, server 2 can answer (0.2 + 0.8 * 1 s / 20 s) * 10 per second, 4.8 in
    // all.
    let early = (0..4)
        .map(|i| send(1_500 + i * 400, i, 2))
        .collect::<String>();
    let burst = (0..18)
        .map(|i| send(1_600 + i * 81, i, 2))
        .collect::<String>();
    // The early attempts are answered and those of the burst are rejected or cancelled. The answers therefore do not
    // show a higher capacity than the settings do.
    let ended = |i: u64, how| format!("trace {} outcome {i} 0 2 {how}\n", at(3_400 + i));
    let early = early + &(0..4).map(|i| ended(i, "Served")).collect::<String>();
    let ends = (0..18).map(|i| ended(i, if i % 2 == 0 { "Full" } else { "Cancelled" }));
    let burst = burst + &ends.collect::<String>();
    // Near the end of the warm-up, a load like this is far below the budget.
    let later = (0..8)
        .map(|i| send(19_000 + i * 199, i, 2))
        .collect::<String>();
    // Attempts from nodes that cannot know of the start violate no rule.
    let unnotified = (0..60).map(|i| send(5_100 + i, i, 2)).collect::<String>();
    let unnotified =
        node(2, &server(0, 1, "Ready", 0)) + &server(0, 2, "Ready", 0) + &early + &unnotified;
    let (_folder, margins) = measure(&[
        node(1, &list) + &burst + &later + &warm_server_outcomes(),
        unnotified,
    ]);
    let margins = margins.unwrap();
    assert_eq!(
        margins.capacity[&1],
        Capacity {
            attempts_per_s: 10.0,
            is_saturated: true
        }
    );
    let load = margins.slow_start.worst_windows[0].clone();
    // The window ends with the last attempt of the burst, 1.977 s after the start.
    let allowed: f64 = 2.5 * 10.0 * (0.2 + 0.8 * 0.977 / 20.0) * 2.0;
    assert_eq!(
        (
            load.server,
            load.end_after_start,
            load.attempts,
            load.notified_attempts
        ),
        (2, 1_977_000, 22, 18)
    );
    assert_eq!((load.answered, load.nodes, load.notified_nodes), (4, 2, 1));
    let budget = allowed + 3.0 * allowed.sqrt() + 3.0;
    assert!((load.budget - budget).abs() < 1e-9, "{load:?}");
    assert!(margins.is_narrow());
    let table = margins.table("join");
    assert!(
        table.contains(
            "| join | slow start | 0.87 of the budget | 1.00 of the budget | 13% (narrow) |"
        ),
        "{table}"
    );
}

#[test]
fn a_drain_counts_from_the_nodes_own_list_or_6_s_after_the_first_notification() {
    let ready = server(0, 1, "Ready", 0);
    let notification =
        format!("trace {} list Delta 2\n", at(2_000)) + &server(2_000, 1, "Draining", 0);
    let quick = node(1, &ready) + &notification + &send(2_100, 1, 1);
    let late = node(2, &ready) + &send(7_000, 1, 1);
    let drain = |elapsed_ms: u64, node, in_own_list| SendAfterDrain {
        server: 1,
        node,
        elapsed: elapsed_ms * 1_000,
        in_own_list,
    };
    let (_folder, margins) = measure(&[quick.clone(), late.clone()]);
    assert_eq!(margins.unwrap().send_after_drain, Some(drain(100, 1, true)));
    let (_folder, margins) = measure(&[quick, late + &send(8_300, 2, 1)]);
    let margins = margins.unwrap();
    assert_eq!(margins.send_after_drain, Some(drain(300, 2, false)));
    assert_eq!(
        margins.notification.longest_delay,
        Some(NotificationDelay { delay: 0, node: 1 }),
        "the other node was never notified, which only its sends show"
    );
    assert!(
        margins
            .table("roll")
            .contains("| roll | drain | 0.30 s | 0.55 s | 45% |"),
        "{}",
        margins.table("roll")
    );
}

#[test]
fn a_server_missing_from_a_complete_list_is_removed_until_it_starts_again() {
    let two = server(0, 1, "Ready", 0) + &server(0, 2, "Ready", 0);
    let complete = format!("trace {} list Full 2\n", at(1_000)) + &server(1_000, 2, "Ready", 0);
    // The start time in the notification may be earlier than the removal.
    let again = format!("trace {} list Delta 3\n", at(3_000)) + &server(3_000, 1, "Ready", at(900));
    let text = node(1, &two) + &complete + &send(1_200, 1, 1) + &again + &send(12_000, 2, 1);
    let (_folder, margins) = measure(&[text]);
    assert_eq!(
        margins.unwrap().send_after_drain,
        Some(SendAfterDrain {
            server: 1,
            node: 1,
            elapsed: 200_000,
            in_own_list: true
        })
    );
}

#[test]
fn the_latest_answer_and_unanswered_requests_count_but_not_open_requests_of_a_killed_node() {
    let ready = server(0, 1, "Ready", 0);
    let request = |ms: u64, id: u64| {
        format!(
            "trace {} request {id} 00000000000000aa 0 400000 c{id}\n",
            at(ms)
        )
    };
    let end = |ms: u64, id: u64, how: &str, late: i64| {
        format!("trace {} end {id} {how} {late}\n", at(ms))
    };
    let killed =
        node(1, &ready) + &request(10, 1) + &request(20, 2) + &end(300, 2, "served", -120_000);
    let killed = killed + &node(1, &ready).replace(&T0.to_string(), &at(5_000).to_string());
    let continued =
        node(2, &ready) + &request(10, 3) + &request(20, 4) + &end(60, 4, "gone", 9_000_000);
    let more = request(30, 5) + &end(450, 5, "refused", 20_000) + &end(2_000, 9, "failed", 1);
    let (_folder, margins) = measure(&[killed, continued + &more]);
    let margins = margins.unwrap();
    assert_eq!(
        margins.latest_answer,
        Some(AnswerLateness {
            lateness_us: 20_000,
            client_request_id: "c5".into()
        })
    );
    let lost = LostRequests {
        never_answered: 1,
        undetermined: 1,
        ..LostRequests::default()
    };
    assert_eq!((margins.lost_requests, lost.total()), (lost, 1));
    assert!(margins.is_narrow());
}

#[test]
fn a_late_notification_counts_but_not_one_older_than_the_process() {
    let ready = server(0, 1, "Ready", 0);
    let notification = |ms| format!("trace {} list Delta 2\n", at(ms)) + &server(ms, 1, "Gone", 0);
    let started = node(3, "").replace(&T0.to_string(), &at(9_000).to_string());
    let cached = format!("trace {} list Cached 1\n", at(9_000)) + &server(9_000, 1, "Ready", 0);
    let nodes = [
        node(1, &ready) + &notification(2_000),
        node(2, &ready) + &notification(5_500),
        started + &cached + &notification(9_100),
    ];
    let (_folder, margins) = measure(&nodes);
    assert_eq!(
        margins.unwrap().notification,
        Notification {
            longest_delay: Some(NotificationDelay {
                delay: 3_500_000,
                node: 2
            }),
            longest_after_start: Some(NotificationDelay {
                delay: 100_000,
                node: 3
            }),
        }
    );
}

#[test]
fn malformed_lines_are_counted_and_a_folder_without_a_trace_is_an_error() {
    let (_folder, margins) =
        measure(&[node(1, &server(0, 1, "Ready", 0)) + "trace 12 send 1\ntrace x\n"]);
    let margins = margins.unwrap();
    assert_eq!(
        margins.malformed_lines,
        MalformedLines {
            count: 2,
            first: "trace 12 send 1".into()
        }
    );
    assert_eq!(margins.slow_start.worst_windows, []);
    let (_folder, margins) = measure(&["cache-router: listening on trace 12\n".into()]);
    let error = margins.unwrap_err().to_string();
    assert!(error.starts_with("no trace in "), "{error}");
}

/// Distributes the lines of a run over this many nodes in round-robin order.
fn distribute(nodes: usize, list: &str, lines: &[String]) -> Vec<String> {
    let mut logs: Vec<String> = (0..nodes).map(|me| node(me as u32, list)).collect();
    for (i, line) in lines.iter().enumerate() {
        logs[i % nodes] += line;
    }
    logs
}

#[test]
fn the_slow_start_budget_adds_two_square_roots_from_30_requests_on_for_any_number_of_nodes() {
    let started = at(1_000);
    let list = server(0, 1, "Ready", 0)
        + &server(0, 2, "Ready", started)
        + &server(0, 3, "Ready", started);
    // In the middle of the window that ends 11.5 s after its start, a server has 0.62 of its capacity: 12.4 attempts in
    // the window.
    let sends: Vec<String> = (0..41)
        .map(|i| send(12_500 - (40 - i) * 40, 1_000 + i, 2))
        .collect();
    for nodes in [1, 5, 30, 300] {
        let mut logs = distribute(nodes, &list, &sends);
        logs[0] += &(warm_server_outcomes() + &send(12_500, 9_999, 3));
        let (_folder, margins) = measure(&logs);
        let margins = margins.unwrap();
        let windows = &margins.slow_start.worst_windows;
        assert_eq!(windows.len(), 2, "one for each restarted server");
        let (busy, idle) = (&windows[0], &windows[1]);
        assert_eq!((busy.server, busy.attempts, idle.server), (2, 41, 3));
        assert_eq!(
            (busy.notified_nodes, busy.nodes),
            (nodes.min(41), nodes.min(41))
        );
        let allowed: f64 = 2.5 * 12.4;
        assert!((busy.budget - (allowed + 2.0 * allowed.sqrt() + 2.0)).abs() < 1e-9);
        assert!(margins.table("join").contains("0.93 of the budget"));
    }
}

#[test]
fn a_window_counts_above_two_thirds_of_notified_nodes_and_unknown_capacity_is_reported() {
    let started = at(1_000);
    let list = server(0, 2, "Ready", started);
    let unnotified = node(2, &server(0, 2, "Ready", 0)) + &send(1_500, 1, 2) + &send(1_501, 2, 2);
    let notified: String = (0..4).map(|i| send(1_510 + i, i, 2)).collect();
    let two_thirds = [
        node(1, &(server(0, 1, "Ready", 0) + &list)) + &notified + &warm_server_outcomes(),
        unnotified.clone(),
    ];
    let (_folder, margins) = measure(&two_thirds);
    assert_eq!(margins.unwrap().slow_start.worst_windows, []);
    let more = [two_thirds[0].clone() + &send(1_600, 5, 2), unnotified];
    let (_folder, margins) = measure(&more);
    assert_eq!(
        margins.unwrap().slow_start.worst_windows[0].notified_attempts,
        5
    );
    let (_folder, margins) = measure(&[node(1, &list) + &notified]);
    let margins = margins.unwrap();
    assert_eq!(margins.slow_start.starts_of_unknown_capacity, 1);
    assert!(
        margins
            .table("join")
            .contains("| join | slow start | not shown |")
    );
}

/// A request whose deadline is 400 ms away.
fn request(ms: u64, id: u64) -> String {
    format!(
        "trace {} request {id} 00000000000000aa 0 400000 c{id}\n",
        at(ms)
    )
}

fn line(ms: u64, fields: &str) -> String {
    format!("trace {} {fields}\n", at(ms))
}

#[test]
fn an_attempt_over_100_ms_after_its_client_disconnected_is_a_lost_request() {
    let list = server(0, 1, "Ready", 0) + "trace 1000000000 server 7 Ready 9 0 0\n";
    let first = request(10, 1) + &line(100, "end 1 gone 0") + &line(190, "send 1 0 1");
    let hedge = request(10, 2) + &line(20, "send 2 0 1") + &line(100, "end 2 gone 0");
    let hedge = hedge + &line(220, "send 2 1 1");
    let retry = request(10, 3) + &line(20, "send 3 0 1") + &line(90, "outcome 3 0 1 Reset None");
    let retry = retry + &line(100, "end 3 gone 0") + &line(230, "send 3 1 1");
    let origin = request(10, 4) + &line(20, "send 4 0 1") + &line(90, "outcome 4 0 1 Miss Miss");
    let origin = origin + &line(100, "end 4 gone 0") + &line(260, "send 4 1 7");
    let latest = |elapsed_ms: u64, kind, server, name: &str| AttemptAfterDisconnect {
        node: 1,
        server,
        kind,
        client_request_id: name.into(),
        elapsed: elapsed_ms * 1_000,
    };
    let cases = [
        (&first, 0, latest(90, AttemptKind::First, 1, "c1")),
        (&hedge, 1, latest(120, AttemptKind::Hedge, 1, "c2")),
        (&retry, 1, latest(130, AttemptKind::Retry, 1, "c3")),
        (&origin, 1, latest(160, AttemptKind::OriginCall, 7, "c4")),
    ];
    for (lines, lost, latest) in cases {
        let (_folder, margins) = measure(&[node(1, &list) + lines]);
        let margins = margins.unwrap();
        let expected = ClientDisconnects {
            disconnects: 1,
            attempts_after: 1,
            lost,
            latest: Some(latest),
        };
        assert_eq!(margins.client_disconnects, expected);
        assert!(margins.is_narrow(), "{lines}");
        assert!(margins.to_string().contains("no `departed` lines"));
    }
    // If the trace contains the time at which the close was read, that time counts, even if the node handled it later.
    let recorded = request(10, 1) + &line(190, "send 1 0 1") + &line(20, "departed 1");
    let (_folder, margins) = measure(&[node(1, &list) + &recorded + &line(191, "end 1 gone 0")]);
    let margins = margins.unwrap();
    assert_eq!(margins.client_disconnects.lost, 1);
    let row = "| zone | client disconnect | 0.17 s | 0.10 s | -70% (over) |";
    assert!(margins.table("zone").contains(row));
    assert!(!margins.to_string().contains("no `departed` lines"));
}

#[test]
fn a_stated_deadline_may_exceed_the_time_left_by_the_slack_also_in_retries() {
    let log = node(1, &server(0, 1, "Ready", 0)) + &request(10, 1);
    let (_folder, margins) = measure(std::slice::from_ref(&log));
    let margins = margins.unwrap();
    assert!(
        margins
            .table("calm")
            .contains("| calm | deadline | not shown | 0.15 s |  |")
    );
    assert!(
        margins
            .to_string()
            .contains("not shown: the deadlines that attempts state")
    );
    // The time left is 400 ms at 10 ms and 210 ms at 200 ms.
    let kept = log + &line(10, "deadline 1 0 400") + &line(200, "deadline 1 1 360");
    let over = kept.clone() + &line(200, "deadline 1 2 361");
    for (log, over_limit, excess_us, attempt) in [(kept, 0, 150_000, 1), (over, 1, 151_000, 2)] {
        let (_folder, margins) = measure(&[log]);
        let margins = margins.unwrap();
        let expected = StatedDeadlines {
            recorded: 2 + over_limit,
            over_limit,
            worst: Some(StatedDeadline {
                excess_us,
                node: 1,
                client_request_id: "c1".into(),
                attempt,
            }),
        };
        assert_eq!(margins.stated_deadlines, expected);
    }
}

/// The log of a node whose process was replaced at 1 s. The new process receives a list at `ready_ms`, if given.
fn restarted(me: u32, ready_ms: Option<u64>) -> String {
    let replacement = node(me, "").replace(&T0.to_string(), &at(1_000).to_string());
    let list = ready_ms.map(|ms| line(ms, "list Full 2") + &server(ms, 1, "Ready", 0));
    node(me, &server(0, 1, "Ready", 0)) + &replacement + &list.unwrap_or_default()
}

#[test]
fn nine_in_ten_restarted_processes_must_be_ready_in_10_s_or_in_6_s_if_the_day_ends_sooner() {
    let day = |end_ms: u64| node(0, &server(0, 1, "Ready", 0)) + &line(end_ms, "ask true");
    let readiness = |logs: &[String]| measure(logs).1.unwrap().readiness;
    let slowest = |delay_ms: u64, became_ready| {
        Some(ReadinessDelay {
            node: 9,
            delay: delay_ms * 1_000,
            became_ready,
        })
    };
    let mut logs: Vec<String> = (1..9).map(|me| restarted(me, Some(11_000))).collect();
    logs.extend([restarted(9, Some(11_001)), day(40_000)]);
    let found = Readiness {
        judged: 9,
        late: 1,
        slowest: slowest(10_001, true),
        undetermined: 0,
    };
    assert_eq!(readiness(&logs), found);
    let table = measure(&logs).1.unwrap().table("roll");
    assert!(
        table.contains(
            "| roll | readiness, late | 0.11 of the restarts | 0.10 of the restarts | -11% (over) |"
        ),
        "{table}"
    );
    // The day ends 9 s or 5.9 s after the restart. In one of the cases the process is ready after 6.1 s.
    let short = |end_ms, ready_ms| readiness(&[restarted(9, ready_ms), day(end_ms)]);
    assert_eq!(
        (
            short(10_000, Some(7_100)).judged,
            short(10_000, Some(7_100)).late
        ),
        (1, 1)
    );
    assert_eq!(
        (short(10_000, None).judged, short(10_000, None).late),
        (1, 1)
    );
    assert_eq!(
        (short(6_900, None).judged, short(6_900, None).undetermined),
        (0, 1)
    );
    assert_eq!(short(32_000, None).slowest, slowest(31_000, false));
    // If the trace contains a `ready` line, the time from the launch to the first PONG counts.
    let recorded = restarted(9, Some(2_000)) + &line(3_000, "ready 2500000");
    let margins = measure(&[recorded, day(40_000)]).1.unwrap();
    assert_eq!(margins.readiness.slowest, slowest(2_500, true));
    assert!(!margins.to_string().contains("no `ready` lines"));
}

#[test]
fn a_request_is_lost_if_its_connection_or_process_ends_without_an_answer() {
    let log = node(1, &server(0, 1, "Ready", 0));
    let open = |ms, id| request(ms, id) + &line(ms + 1, "ask true");
    let next = node(1, "").replace(&T0.to_string(), &at(9_000).to_string());
    let lost = |text: String| measure(&[log.clone() + &text]).1.unwrap().lost_requests;
    let of = |count: fn(&mut LostRequests)| {
        let mut lost = LostRequests::default();
        count(&mut lost);
        lost
    };
    let dropped = open(10, 1) + &line(20, "dropped 1");
    assert_eq!(lost(dropped.clone()), of(|lost| lost.dropped = 1));
    let dropped = dropped + &line(20, "end 1 gone 0");
    assert_eq!(lost(dropped), of(|lost| lost.dropped = 1));
    let late = open(10, 1) + &line(911, "end 1 failed 501000");
    assert_eq!(lost(late), of(|lost| lost.answered_too_late = 1));
    assert_eq!(lost(open(10, 1)), of(|lost| lost.undetermined = 1));
    let at_exit = open(10, 1) + &line(20, "exit");
    assert_eq!(lost(at_exit), of(|lost| lost.open_at_exit = 1));
    let at_kill = line(10, "terminate") + &open(711, 1) + &next;
    assert_eq!(lost(at_kill), of(|lost| lost.open_at_kill = 1));
    let crash = open(711, 1) + &next;
    assert_eq!(lost(crash), of(|lost| lost.undetermined = 1));
}

#[test]
fn a_new_process_gets_no_extra_time_until_a_change_counts_as_notified() {
    let ready = server(0, 1, "Ready", 0);
    let change = |ms| line(ms, "list Delta 2") + &server(ms, 1, "Draining", 0);
    let restarted_at = |ms: u64| node(2, &ready).replace(&T0.to_string(), &at(ms).to_string());
    let cached = |ms| line(ms, "list Cached 1") + &server(ms, 1, "Draining", 0);
    let first = node(1, &ready) + &change(1_000);
    let (_folder, margins) = measure(&[first.clone(), restarted_at(3_000) + &change(6_500)]);
    let margins = margins.unwrap();
    let delay = |delay| Some(NotificationDelay { delay, node: 2 });
    assert_eq!(margins.notification.longest_delay, delay(5_500_000));
    assert!(
        margins
            .table("herd")
            .contains("| herd | notification | 5.50 s | 6.00 s | 8% (narrow) |")
    );
    // A node that was not notified counts as notified 6 s after the first node was.
    let (_folder, margins) = measure(&[first.clone(), restarted_at(6_900) + &send(7_200, 1, 1)]);
    assert_eq!(margins.unwrap().send_after_drain.unwrap().elapsed, 200_000);
    // An older list that reaches another node late does not make the server ready again. A restart of the server does.
    let ready_again = |version: u64, started| {
        let list = line(2_000, &format!("list Full {version}"));
        node(3, "") + &list + &server(2_000, 1, "Ready", started) + &send(7_300, 2, 1)
    };
    for (again, elapsed) in [
        (ready_again(1, 0), Some(300_000)),
        (ready_again(3, 0), None),
        (ready_again(1, at(1_500)), None),
    ] {
        let (_folder, margins) = measure(&[first.clone(), again]);
        let send = margins.unwrap().send_after_drain;
        assert_eq!(send.map(|send| send.elapsed), elapsed);
    }
    // A cached list is not a notification.
    let (_folder, margins) = measure(&[first, node(2, "") + &cached(5_000)]);
    let longest = margins.unwrap().notification.longest_delay;
    assert_eq!(longest, Some(NotificationDelay { delay: 0, node: 1 }));
}
