//! Margins from traces whose figures are known.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::fs;

use acceptance::margins::{self, Cold, Drain, MarginError, Margins};
use tempfile::TempDir;

/// The clock of the traces: microseconds after this are given in milliseconds below.
const T0: u64 = 1_000_000_000;

fn at(ms: u64) -> u64 {
    T0 + ms * 1_000
}

/// A node's log: its start, and the list that it begins with.
fn node(me: u32, list: &str) -> String {
    let start = format!("trace {T0} start {me} 2 0.2 20000000 2.5 2000000 500000 9\n");
    format!("cache-router: listening\n{start}trace {T0} list Full 1\n{list}")
}

fn server(ms: u64, id: u32, condition: &str, started: u64) -> String {
    format!("trace {} server {id} {condition} 1 0 {started}\n", at(ms))
}

fn send(ms: u64, request: u64, server: u32) -> String {
    format!("trace {} send {request} 0 {server}\n", at(ms))
}

fn played(nodes: &[String]) -> (TempDir, Result<Margins, MarginError>) {
    let folder = tempfile::tempdir().unwrap();
    for (i, text) in nodes.iter().enumerate() {
        fs::write(folder.path().join(format!("n{i}.log")), text).unwrap();
    }
    let margins = margins::of(folder.path());
    (folder, margins)
}

/// A warm server 1 that answers ten attempts a second and turns two away, for a minute.
fn warm() -> String {
    let answers = (0..600).map(|i| format!("trace {} outcome {i} 0 1 Served\n", at(i * 100)));
    let away = (0..120).map(|i| format!("trace {} outcome {i} 1 1 Full\n", at(i * 500)));
    answers.chain(away).collect()
}

#[test]
fn a_cold_servers_load_is_told_as_a_part_of_that_at_which_it_falls_over_all_nodes() {
    let begun = at(1_000);
    let list = server(0, 1, "Ready", 0) + &server(0, 2, "Ready", begun);
    // From the start of server 2 to two seconds on it can do (0.2 + 0.8 * 1 s / 20 s) * 10 a second: 4.8 in all.
    let early = (0..4)
        .map(|i| send(1_500 + i * 400, i, 2))
        .collect::<String>();
    let crowd = (0..18)
        .map(|i| send(1_600 + i * 81, i, 2))
        .collect::<String>();
    // The early ones are answered, the crowd is turned away or called off: what it answered tells no more than the
    // settings do.
    let ended = |i: u64, how| format!("trace {} outcome {i} 0 2 {how}\n", at(3_400 + i));
    let early = early + &(0..4).map(|i| ended(i, "Served")).collect::<String>();
    let ends = (0..18).map(|i| ended(i, if i % 2 == 0 { "Full" } else { "Cancelled" }));
    let crowd = crowd + &ends.collect::<String>();
    // Long after, the same number is nothing to it.
    let later = (0..8)
        .map(|i| send(19_000 + i * 199, i, 2))
        .collect::<String>();
    // What those send who cannot know of the start breaks no rule.
    let unaware = (0..60).map(|i| send(5_100 + i, i, 2)).collect::<String>();
    let unaware =
        node(2, &server(0, 1, "Ready", 0)) + &server(0, 2, "Ready", 0) + &early + &unaware;
    let (_folder, margins) = played(&[node(1, &list) + &crowd + &later + &warm(), unaware]);
    let margins = margins.unwrap();
    assert_eq!(margins.capacity[&1], (10.0, true));
    let cold = margins.cold.clone().unwrap();
    // The window ends with the last of the crowd, 1.977 s after the start.
    let allowed: f64 = 2.5 * 10.0 * (0.2 + 0.8 * 0.977 / 20.0) * 2.0;
    assert_eq!(
        (cold.server, cold.age, cold.attempts, cold.knew),
        (2, 1_977_000, 22, 18)
    );
    assert_eq!(cold.answered, 4);
    let falls_at = allowed + 3.0 * allowed.sqrt() + 3.0;
    assert!((cold.load - 22.0 / falls_at).abs() < 1e-9, "{cold:?}");
    assert!(margins.narrow());
    let table = margins.table("join");
    assert!(
        table.contains(
            "| join | cold server | 0.87 of its fall | 1.00 of its fall | 13% (narrow) |"
        ),
        "{table}"
    );
}

#[test]
fn a_drain_counts_from_what_the_nodes_own_list_said_or_six_seconds_after_the_first_heard() {
    let ready = server(0, 1, "Ready", 0);
    let news = format!("trace {} list Delta 2\n", at(2_000)) + &server(2_000, 1, "Draining", 0);
    let quick = node(1, &ready) + &news + &send(2_100, 1, 1);
    let late = node(2, &ready) + &send(7_000, 1, 1);
    let drain = |after_ms: u64, node, heard| Drain {
        server: 1,
        node,
        after: after_ms * 1_000,
        heard,
    };
    let (_folder, margins) = played(&[quick.clone(), late.clone()]);
    assert_eq!(margins.unwrap().drain, Some(drain(100, 1, true)));
    let (_folder, margins) = played(&[quick, late + &send(8_300, 2, 1)]);
    let margins = margins.unwrap();
    assert_eq!(margins.drain, Some(drain(300, 2, false)));
    assert_eq!(
        margins.unheard,
        Some((0, 1)),
        "the other never heard, which its sends show"
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
fn what_a_whole_list_does_not_name_is_told_gone_and_what_starts_again_is_not() {
    let two = server(0, 1, "Ready", 0) + &server(0, 2, "Ready", 0);
    let whole = format!("trace {} list Full 2\n", at(1_000)) + &server(1_000, 2, "Ready", 0);
    // The news of its start may bear a time before that of its end.
    let again = format!("trace {} list Delta 3\n", at(3_000)) + &server(3_000, 1, "Ready", at(900));
    let text = node(1, &two) + &whole + &send(1_200, 1, 1) + &again + &send(12_000, 2, 1);
    let (_folder, margins) = played(&[text]);
    assert_eq!(
        margins.unwrap().drain,
        Some(Drain {
            server: 1,
            node: 1,
            after: 200_000,
            heard: true
        })
    );
}

#[test]
fn the_latest_answer_and_what_was_never_answered_are_told_but_not_what_a_killed_node_had_open() {
    let ready = server(0, 1, "Ready", 0);
    let ask = |ms: u64, id: u64| {
        format!(
            "trace {} request {id} 00000000000000aa 0 400000 c{id}\n",
            at(ms)
        )
    };
    let end = |ms: u64, id: u64, how: &str, late: i64| {
        format!("trace {} end {id} {how} {late}\n", at(ms))
    };
    let killed = node(1, &ready) + &ask(10, 1) + &ask(20, 2) + &end(300, 2, "served", -120_000);
    let killed = killed + &node(1, &ready).replace(&T0.to_string(), &at(5_000).to_string());
    let gone_on = node(2, &ready) + &ask(10, 3) + &ask(20, 4) + &end(60, 4, "gone", 9_000_000);
    let more = ask(30, 5) + &end(450, 5, "refused", 20_000) + &end(2_000, 9, "failed", 1);
    let (_folder, margins) = played(&[killed, gone_on + &more]);
    let margins = margins.unwrap();
    assert_eq!(margins.latest, Some((20_000, "c5".into())));
    assert_eq!(margins.unanswered, 1);
    assert!(margins.narrow());
}

#[test]
fn news_that_reaches_a_node_late_is_told_but_not_what_was_old_when_it_began() {
    let ready = server(0, 1, "Ready", 0);
    let news = |ms| format!("trace {} list Delta 2\n", at(ms)) + &server(ms, 1, "Gone", 0);
    let begun = node(3, "").replace(&T0.to_string(), &at(9_000).to_string());
    let cached = format!("trace {} list Cached 1\n", at(9_000)) + &server(9_000, 1, "Ready", 0);
    let nodes = [
        node(1, &ready) + &news(2_000),
        node(2, &ready) + &news(5_500),
        begun + &cached + &news(9_100),
    ];
    let (_folder, margins) = played(&nodes);
    assert_eq!(margins.unwrap().unheard, Some((3_500_000, 2)));
}

#[test]
fn broken_lines_are_counted_and_a_folder_without_a_trace_is_refused() {
    let (_folder, margins) =
        played(&[node(1, &server(0, 1, "Ready", 0)) + "trace 12 send 1\ntrace x\n"]);
    let margins = margins.unwrap();
    assert_eq!(margins.broken, (2, "trace 12 send 1".into()));
    assert_eq!(margins.cold, None::<Cold>);
    let (_folder, margins) = played(&["cache-router: listening on trace 12\n".into()]);
    let error = margins.unwrap_err().to_string();
    assert!(error.starts_with("no trace in "), "{error}");
}
