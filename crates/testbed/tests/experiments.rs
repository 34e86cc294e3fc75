//! Experiments: runs are paired, an interrupted experiment is resumed, and variants are compared.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod common;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};

use common::write_scenarios;
use testbed::experiment::{Experiment, ExperimentError, Run, results, run};
use testbed::html_report;

/// Writes an experiment with two scenarios, two seeds and two variants, which makes 8 runs.
fn write_experiment(folder: &Path) -> PathBuf {
    write_scenarios(folder);
    let text = "scenarios = [\"calm.toml\", \"quiet.toml\"]\nseeds = [1, 2]\n\
                [[variant]]\nname = \"a\"\n[[variant]]\nname = \"b <slow>\"\nset = { \"origin.work\" = \"90ms\" }\n";
    let path = folder.join("experiment.toml");
    fs::write(&path, text).unwrap();
    path
}

fn stop_flag() -> AtomicBool {
    AtomicBool::new(false)
}

#[test]
fn an_interrupted_experiment_is_resumed_with_the_same_results() {
    let folder = tempfile::tempdir().unwrap();
    let experiment = Experiment::read(&write_experiment(folder.path())).unwrap();
    let uninterrupted = folder.path().join("at-once");
    let resumed = folder.path().join("in-parts");
    run(&experiment, &uninterrupted, 3, &stop_flag(), |_| ()).unwrap();
    let stop = stop_flag();
    let interrupted = run(&experiment, &resumed, 1, &stop, |_| {
        stop.store(true, Ordering::Relaxed);
    })
    .unwrap_err();
    let ExperimentError::Interrupted { done, total: 8 } = interrupted else {
        panic!("{interrupted}")
    };
    assert!((1..8).contains(&done), "{done}");
    // A run whose file was truncated, for example by a full disk, is repeated.
    let reports = results(&resumed).unwrap().reports;
    let first = reports.keys().next().unwrap().file(&resumed);
    fs::write(&first, &fs::read(&first).unwrap()[..40]).unwrap();
    let mut repeated = 0;
    run(&experiment, &resumed, 2, &stop_flag(), |_| repeated += 1).unwrap();
    assert_eq!(repeated, 8 - done + 1);
    assert_eq!(
        results(&uninterrupted).unwrap().reports,
        results(&resumed).unwrap().reports
    );
    let complete = run(&experiment, &resumed, 2, &stop_flag(), |_| {
        panic!("all runs are complete")
    });
    assert_eq!(complete.ok(), Some(()));
    let other = Experiment {
        seeds: vec![9],
        ..experiment
    };
    let rejection = run(&other, &resumed, 1, &stop_flag(), |_| ())
        .unwrap_err()
        .to_string();
    assert!(
        rejection.contains("holds results of another experiment"),
        "{rejection}"
    );
}

#[test]
fn a_full_disk_is_reported_and_completed_runs_are_kept() {
    let folder = tempfile::tempdir().unwrap();
    let experiment = Experiment::read(&write_experiment(folder.path())).unwrap();
    let out = folder.path().join("out");
    fs::create_dir(&out).unwrap();
    let last = experiment.runs().pop().unwrap().file(&out);
    std::os::unix::fs::symlink("/dev/full", &last).unwrap();
    let error = run(&experiment, &out, 1, &stop_flag(), |_| ())
        .unwrap_err()
        .to_string();
    assert!(
        error.starts_with(last.to_str().unwrap()) && error.contains("No space left"),
        "{error}"
    );
    assert_eq!(results(&out).unwrap().reports.len(), 7);
    fs::remove_file(&last).unwrap();
    let mut repeated = 0;
    run(&experiment, &out, 1, &stop_flag(), |_| repeated += 1).unwrap();
    assert_eq!(repeated, 1);
}

#[test]
fn the_report_pairs_runs_by_scenario_and_seed_and_needs_no_other_file() {
    let folder = tempfile::tempdir().unwrap();
    let experiment = Experiment::read(&write_experiment(folder.path())).unwrap();
    let out = folder.path().join("out");
    run(&experiment, &out, 4, &stop_flag(), |_| ()).unwrap();
    let summary = html_report::write(&out).unwrap();
    assert_eq!((summary.done, summary.total), (8, 8));
    assert_eq!(summary.violations.len(), 0);
    let reports = results(&out).unwrap().reports;
    let service = |seed, variant: &str| {
        let run = Run {
            scenario: "calm".into(),
            seed,
            variant: variant.into(),
        };
        reports[&run].service_level
    };
    let mean = (1..=2)
        .map(|seed| service(seed, "b <slow>") - service(seed, "a"))
        .sum::<f64>()
        / 2.0;
    let calm = &summary.differences[0];
    assert_eq!(
        (calm.scenario.as_str(), calm.metric.as_str(), calm.pairs),
        ("calm", "service", 2)
    );
    assert!((calm.mean_difference - mean).abs() < 1e-12, "{calm:?}");
    assert!(
        calm.interval.low <= mean && mean <= calm.interval.high,
        "{calm:?}"
    );
    let metrics: Vec<_> = summary
        .differences
        .iter()
        .filter(|difference| difference.scenario == "quiet")
        .map(|difference| difference.metric.as_str())
        .collect();
    assert_eq!(metrics, ["service", "class fee", "class lookup", "0s"]);
    let lines = fs::read_to_string(out.join("results.jsonl")).unwrap();
    let lines: Vec<serde_json::Value> = lines
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let count = |kind: &str| lines.iter().filter(|line| line["line"] == kind).count();
    assert_eq!(count("play"), 8);
    assert_eq!(count("difference"), summary.differences.len());
    let page = fs::read_to_string(out.join("report.html")).unwrap();
    assert_eq!(
        page.matches("<svg").count(),
        8,
        "four plots for each of two scenarios"
    );
    assert!(page.contains("b &lt;slow&gt;") && !page.contains("<slow>"));
    assert!(
        !page.contains("src=") && !page.contains("href="),
        "the page refers to other files"
    );
}

/// A change that makes an experiment's file invalid, and the expected error message.
struct InvalidChange {
    from: &'static str,
    to: &'static str,
    message: &'static str,
}

const INVALID_CHANGES: [InvalidChange; 9] = [
    InvalidChange {
        from: "seeds = [1, 2]",
        to: "seeds = []",
        message: "experiment.toml:2:1: seeds: there is none",
    },
    InvalidChange {
        from: "name = \"b <slow>\"",
        to: "name = \"a\"",
        message: "found \"a\" twice",
    },
    InvalidChange {
        from: "set = {",
        to: "node = \"x\"\nset = {",
        message: "a node program runs on sockets only",
    },
    InvalidChange {
        from: "\"90ms\"",
        to: "90",
        message: "variant b <slow>: --set origin.work: origin.work: found",
    },
    InvalidChange {
        from: "origin.work",
        to: "origin.wokr",
        message: "there is no such key",
    },
    InvalidChange {
        from: "quiet.toml",
        to: "none.toml",
        message: "cannot read",
    },
    InvalidChange {
        from: "quiet.toml",
        to: "x/calm.toml",
        message: "there are two of the name \"calm\": rename one",
    },
    InvalidChange {
        from: "seeds = [1, 2]",
        to: "seeds = [1, 1]",
        message: "seeds: found 1 twice: write each once",
    },
    InvalidChange {
        from: "seeds = [1, 2]",
        to: "seeds = [1, 2",
        message: "not TOML",
    },
];

#[test]
fn an_invalid_experiment_is_rejected_before_anything_runs() {
    let folder = tempfile::tempdir().unwrap();
    let path = write_experiment(folder.path());
    let valid = fs::read_to_string(&path).unwrap();
    for InvalidChange { from, to, message } in INVALID_CHANGES {
        fs::write(&path, valid.replace(from, to)).unwrap();
        let rejection = Experiment::read(&path).unwrap_err().to_string();
        assert!(rejection.contains(message), "{rejection}");
    }
}
