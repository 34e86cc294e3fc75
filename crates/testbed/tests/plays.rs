//! Plays in virtual time: the same seed the same bytes, every request accounted for, the rules watched.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use router_config::Span;
use testbed::report::Counts;
use testbed::scenario::{Event, Failure, Front};
use testbed::virtual_time::play;
use testbed::{Report, Scenario};

fn scenario(name: &str) -> Scenario {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("scenarios/{name}.toml"));
    Scenario::read(&path).unwrap_or_else(|e| panic!("{e}"))
}

/// The same for so many seconds only.
fn short(name: &str, seconds: u64) -> Scenario {
    let length = Span(Duration::from_secs(seconds));
    let event = scenario(name)
        .event
        .into_iter()
        .filter(|event| event.at() < length)
        .collect();
    Scenario {
        length,
        event,
        ..scenario(name)
    }
}

fn bytes(report: &Report) -> String {
    serde_json::to_string(report).unwrap()
}

fn sum(report: &Report, of: impl Fn(&Counts) -> u64) -> u64 {
    report.windows.iter().map(of).sum()
}

#[test]
fn one_seed_gives_the_same_bytes_on_one_thread_and_on_six_and_another_seed_does_not() {
    let scenario = short("storm", 4);
    let once = bytes(&play(&scenario, 7));
    assert_eq!(once, bytes(&play(&scenario, 7)));
    let scenario = &scenario;
    let many: Vec<_> = std::thread::scope(|scope| {
        let plays: Vec<_> = (0..6)
            .map(|i| scope.spawn(move || play(scenario, 5 + i % 3)))
            .collect();
        plays
            .into_iter()
            .map(|played| bytes(&played.join().unwrap()))
            .collect()
    });
    assert_eq!((&many[2], &many[5]), (&once, &once));
    assert!(many[0] != once && many[0] == many[3]);
}

#[test]
fn a_sound_fleet_serves_nearly_all_in_time_and_keeps_the_rules() {
    let report = play(&short("calm", 6), 1);
    assert!(report.service > 0.95 && report.kept(), "{report}");
    let asked = sum(&report, |w| w.asked);
    assert!(
        (4_800..6_000).contains(&asked),
        "900 a second for 6 s: {asked}"
    );
    let class = &report.classes["lookup"];
    assert!(
        class.latency.p50_us > 15_000 && class.latency.p99_us < 250_000,
        "{report}"
    );
    assert!(
        sum(&report, |w| w.attempts) >= asked * 9 / 10 && sum(&report, |w| w.origin) < asked,
        "{report}"
    );
}

#[test]
fn whatever_goes_wrong_each_request_has_one_end_and_the_rules_are_kept() {
    for seed in 1..=2 {
        let report = play(&scenario("storm"), seed);
        assert!(report.kept(), "{report}");
        let ends = |w: &Counts| w.in_time + w.late + w.refused + w.failed + w.timed_out + w.gave_up;
        assert_eq!(sum(&report, |w| w.asked), sum(&report, ends));
        assert!(
            sum(&report, |w| w.tries) > sum(&report, |w| w.asked),
            "some came again"
        );
        assert!(report.service > 0.3, "{report}");
    }
}

#[test]
fn a_replacement_of_most_servers_breaks_no_rule_and_the_fleet_is_sound_again_afterwards() {
    let report = play(&scenario("replace"), 3);
    assert!(report.kept(), "{report}");
    let service: Vec<_> = report.windows.iter().map(Counts::service).collect();
    assert!(service[0] > 0.9 && service[3] > 0.8, "{report}");
}

#[test]
fn half_of_the_capacity_gone_shows_in_the_service() {
    let mut weak = short("calm", 6);
    weak.kind.iter_mut().for_each(|kind| kind.speed /= 4.0);
    let (sound, weak) = (play(&short("calm", 6), 1), play(&weak, 1));
    assert!(weak.service < sound.service - 0.2, "{sound}{weak}");
    assert!(
        sum(&weak, |w| w.turned_away) > sum(&sound, |w| w.turned_away),
        "{sound}{weak}"
    );
}

#[test]
fn a_scenario_that_is_wrong_or_cut_off_is_refused_with_its_line_and_what_would_do() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("s.toml");
    let sound =
        fs::read_to_string(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios/storm.toml"))
            .unwrap();
    let refusal = |text: &str| {
        fs::write(&path, text).unwrap();
        let error = Scenario::read(&path).expect_err(text).to_string();
        error.replace(&format!("{}/", folder.path().display()), "")
    };
    let line = |text: &str| sound.lines().position(|line| line == text).unwrap() + 1;
    let faults = [
        (
            "nodes = 30",
            "nodes = 10000",
            "nodes: found 10000: write 1 to 2000",
        ),
        ("zones = 3", "zones = 0", "zones: found 0: write 1 to 16"),
        (
            "per_s = 900.0",
            "per_s = -1.0",
            "load.per_s: found -1: write more than 0",
        ),
        (
            "keys = 20000",
            "keys = 0",
            "load.keys: found 0: write 1 or more",
        ),
        (
            "zipf = 0.9",
            "zipff = 0.9",
            "load.zipff: there is no such key; there are ",
        ),
        (
            "spread = 0.4",
            "spread = \"wide\"",
            "class.0.spread: found string \"wide\"",
        ),
        (
            "factor = 2.0",
            "factor = 0.0",
            "event.3.factor: found 0: write more than 0",
        ),
        (
            "zone = 1",
            "zone = 3",
            "event.1.zone: found 3: write 0 to 2",
        ),
        (
            "at = \"14s\"",
            "at = \"24s\"",
            "event.4.at: found 24s, after the end: write at most 20s",
        ),
    ];
    for (from, to, told) in faults {
        let refusal = refusal(&sound.replacen(from, to, 1));
        let place = format!("s.toml:{}:", line(from));
        assert!(
            refusal.starts_with(&place) && refusal.contains(told),
            "{to}: {refusal}"
        );
    }
    let cut = refusal(&sound[..sound.len() / 3]);
    assert!(cut.starts_with("s.toml"), "{cut}");
    assert!(
        Scenario::read(&folder.path().join("none.toml"))
            .unwrap_err()
            .to_string()
            .starts_with("cannot read ")
    );
}

#[test]
fn what_goes_wrong_with_nodes_origin_and_clients_shows_where_it_should() {
    let quiet = play(&short("calm", 4), 1);
    let with = |event: Event| {
        play(
            &Scenario {
                event: vec![event],
                ..short("calm", 4)
            },
            1,
        )
    };
    let ms = |ms| Span(Duration::from_millis(ms));
    let (at, lasts) = (ms(1_000), ms(2_000));
    let fails = with(Event::OriginFails {
        at,
        part: 1.0,
        how: Failure::Late,
        lasts,
    });
    assert!(
        sum(&fails, |w| w.failed) > 0 && sum(&quiet, |w| w.failed) == 0,
        "{fails}"
    );
    let slow = with(Event::OriginSlow {
        at,
        taken: 0.99,
        lasts,
    });
    let stopped = with(Event::StopNodes {
        at,
        part: 0.5,
        lasts,
    });
    let broken = with(Event::BreakAnswers {
        at,
        lost: 0.1,
        spoilt: 0.1,
        reset: 0.2,
        lasts,
    });
    let restarted = with(Event::RestartNodes {
        at,
        part: 1.0,
        over: lasts,
    });
    let moved = with(Event::MoveList { at });
    assert!(
        restarted.kept() && moved.kept() && restarted.service > 0.9,
        "{restarted}{moved}"
    );
    for report in [&fails, &slow, &stopped, &broken] {
        assert!(report.service < quiet.service && report.kept(), "{report}");
    }
    assert!(
        sum(&stopped, |w| w.timed_out) > sum(&quiet, |w| w.timed_out),
        "{stopped}"
    );
    // Where servers hold a quarter of the keys, those that nobody asked for lately miss.
    let scanned = |event: Vec<Event>| {
        let mut scenario = Scenario {
            event,
            ..short("calm", 4)
        };
        scenario
            .kind
            .iter_mut()
            .for_each(|kind| kind.memory_bytes /= 8);
        sum(&play(&scenario, 1), |w| w.origin)
    };
    let (all, few) = (
        scanned(vec![Event::Scan {
            at,
            part: 0.5,
            lasts,
        }]),
        scanned(Vec::new()),
    );
    assert!(
        all > few * 5 / 4,
        "{all} calls to the origin, {few} without a scan"
    );
    // All of them ask one server's one key: its share is far above the others'.
    let hot = with(Event::HotKey {
        at,
        part: 0.8,
        lasts,
    });
    let share = |report: &Report| {
        let most = *report.load.values().max().unwrap() as f64;
        most / report.load.values().sum::<u64>() as f64
    };
    assert!(
        share(&hot) > 1.3 * share(&quiet),
        "{} and {}",
        share(&hot),
        share(&quiet)
    );
    let mut leaving = short("calm", 4);
    (leaving.load.give_up, leaving.load.give_up_after) = (0.5, ms(10));
    let left = play(&leaving, 1);
    assert!(
        sum(&left, |w| w.gave_up) > sum(&left, |w| w.asked) / 3 && left.kept(),
        "{left}"
    );
    let killed = |notice| {
        let event = vec![Event::KillNodes {
            at,
            part: 0.5,
            back: ms(1_500),
        }];
        let scenario = Scenario {
            event,
            front: Front { notice: ms(notice) },
            ..short("calm", 4)
        };
        sum(&play(&scenario, 1), |w| w.failed + w.tries)
    };
    assert!(
        killed(1_000) > killed(0) + 100,
        "a front that notices late deals out to the dead"
    );
}
