//! Experiments: paired plays, cut off and gone on with, compared.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};

use testbed::compare::{bootstrap, rank_correlation};
use testbed::experiment::{Experiment, ExperimentError, results, run};
use testbed::{Scenario, page};

/// A short calm day, the same with less load, and an experiment on both.
fn experiment(folder: &Path) -> PathBuf {
    let calm = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/calm.toml");
    let text = fs::read_to_string(calm)
        .unwrap()
        .replace("\"20s\"", "\"1s\"");
    fs::write(folder.join("calm.toml"), text).unwrap();
    let quiet = "base = \"calm.toml\"\nload.per_s = 300.0\n";
    fs::write(folder.join("quiet.toml"), quiet).unwrap();
    let text = "scenarios = [\"calm.toml\", \"quiet.toml\"]\nseeds = [1, 2]\n\
                [[variant]]\nname = \"a\"\n[[variant]]\nname = \"b <slow>\"\nset = { \"origin.work\" = \"90ms\" }\n";
    let path = folder.join("experiment.toml");
    fs::write(&path, text).unwrap();
    path
}

fn never() -> AtomicBool {
    AtomicBool::new(false)
}

#[test]
fn what_was_cut_off_goes_on_where_it_was_and_the_results_are_the_same() {
    let folder = tempfile::tempdir().unwrap();
    let experiment = Experiment::read(&experiment(folder.path())).unwrap();
    let (whole, parts) = (folder.path().join("whole"), folder.path().join("parts"));
    run(&experiment, &whole, 3, &never(), |_| ()).unwrap();
    let stop = never();
    let cut = run(&experiment, &parts, 1, &stop, |_| {
        stop.store(true, Ordering::Relaxed)
    })
    .unwrap_err();
    let ExperimentError::Interrupted(done, 8) = cut else {
        panic!("{cut}")
    };
    assert!((1..8).contains(&done), "{done}");
    // One that was cut off in the middle of its file, as by a full disk of an older kind, is played again.
    let (_, there) = results(&parts).unwrap();
    let first = there.keys().next().unwrap().file(&parts);
    fs::write(&first, &fs::read(&first).unwrap()[..40]).unwrap();
    let mut again = 0;
    run(&experiment, &parts, 2, &never(), |_| again += 1).unwrap();
    assert_eq!(again, 8 - done + 1);
    assert_eq!(results(&whole).unwrap().1, results(&parts).unwrap().1);
    assert_eq!(
        run(&experiment, &parts, 2, &never(), |_| panic!("all is there")).ok(),
        Some(())
    );
    let other = Experiment {
        seeds: vec![9],
        ..experiment
    };
    let told = run(&other, &parts, 1, &never(), |_| ())
        .unwrap_err()
        .to_string();
    assert!(
        told.contains("holds results of another experiment"),
        "{told}"
    );
}

#[test]
fn a_full_disk_is_told_and_nothing_that_was_played_is_lost() {
    let folder = tempfile::tempdir().unwrap();
    let experiment = Experiment::read(&experiment(folder.path())).unwrap();
    let out = folder.path().join("out");
    fs::create_dir(&out).unwrap();
    let last = experiment.plays().pop().unwrap().file(&out);
    std::os::unix::fs::symlink("/dev/full", &last).unwrap();
    let told = run(&experiment, &out, 1, &never(), |_| ())
        .unwrap_err()
        .to_string();
    assert!(
        told.starts_with(last.to_str().unwrap()) && told.contains("No space left"),
        "{told}"
    );
    assert_eq!(results(&out).unwrap().1.len(), 7);
    fs::remove_file(&last).unwrap();
    let mut again = 0;
    run(&experiment, &out, 1, &never(), |_| again += 1).unwrap();
    assert_eq!(again, 1);
}

#[test]
fn the_report_pairs_plays_by_scenario_and_seed_and_stands_by_itself() {
    let folder = tempfile::tempdir().unwrap();
    let experiment = Experiment::read(&experiment(folder.path())).unwrap();
    let out = folder.path().join("out");
    run(&experiment, &out, 4, &never(), |_| ()).unwrap();
    let summary = page::write(&out).unwrap();
    assert_eq!((summary.plays, summary.broken.len()), ((8, 8), 0));
    let (_, reports) = results(&out).unwrap();
    let of = |seed, variant: &str| {
        let mut its = reports
            .iter()
            .filter(|(p, _)| p.scenario == "calm" && p.seed == seed && p.variant == variant);
        its.next().unwrap().1.service
    };
    let mean = (1..=2)
        .map(|seed| of(seed, "b <slow>") - of(seed, "a"))
        .sum::<f64>()
        / 2.0;
    let calm = &summary.differences[0];
    assert_eq!(
        (calm.scenario.as_str(), calm.what.as_str(), calm.pairs),
        ("calm", "service", 2)
    );
    assert!(
        (calm.mean - mean).abs() < 1e-12 && calm.interval.0 <= mean && mean <= calm.interval.1,
        "{calm:?}"
    );
    let whats: Vec<_> = summary
        .differences
        .iter()
        .filter(|d| d.scenario == "quiet")
        .map(|d| d.what.as_str())
        .collect();
    assert_eq!(whats, ["service", "class fee", "class lookup", "0s"]);
    let lines = fs::read_to_string(out.join("results.jsonl")).unwrap();
    let lines: Vec<serde_json::Value> = lines
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let count = |kind: &str| lines.iter().filter(|line| line["line"] == kind).count();
    assert_eq!(
        (count("play"), count("difference")),
        (8, summary.differences.len())
    );
    let page = fs::read_to_string(out.join("report.html")).unwrap();
    assert_eq!(
        page.matches("<svg").count(),
        8,
        "four plots for each of two scenarios"
    );
    assert!(page.contains("b &lt;slow&gt;") && !page.contains("<slow>"));
    assert!(
        !page.contains("src=") && !page.contains("href="),
        "nothing beside it is needed"
    );
}

#[test]
fn an_experiment_that_would_not_do_is_refused_before_anything_is_played() {
    let folder = tempfile::tempdir().unwrap();
    let path = experiment(folder.path());
    let good = fs::read_to_string(&path).unwrap();
    for (from, to, told) in [
        (
            "seeds = [1, 2]",
            "seeds = []",
            "experiment.toml:2:1: seeds: there is none",
        ),
        ("name = \"b <slow>\"", "name = \"a\"", "found \"a\" twice"),
        (
            "set = {",
            "node = \"x\"\nset = {",
            "a node program runs on sockets only",
        ),
        (
            "\"90ms\"",
            "90",
            "variant b <slow>: --set origin.work: origin.work: found",
        ),
        ("origin.work", "origin.wokr", "there is no such key"),
        ("quiet.toml", "none.toml", "cannot read"),
        (
            "quiet.toml",
            "x/calm.toml",
            "there are two of the name \"calm\": rename one",
        ),
        (
            "seeds = [1, 2]",
            "seeds = [1, 1]",
            "seeds: found 1 twice: write each once",
        ),
        ("seeds = [1, 2]", "seeds = [1, 2", "not TOML"),
    ] {
        fs::write(&path, good.replace(from, to)).unwrap();
        let refused = Experiment::read(&path).unwrap_err().to_string();
        assert!(refused.contains(told), "{refused}");
    }
}

#[test]
fn a_scenario_on_a_base_takes_what_it_does_not_set_and_a_cycle_is_told() {
    let folder = tempfile::tempdir().unwrap();
    experiment(folder.path());
    let read = |name: &str| Scenario::read(&folder.path().join(name));
    let (calm, quiet) = (read("calm.toml").unwrap(), read("quiet.toml").unwrap());
    assert_eq!(
        (quiet.load.per_s, &quiet.kind, quiet.length),
        (300.0, &calm.kind, calm.length)
    );
    fs::write(
        folder.path().join("wrong.toml"),
        "base = \"quiet.toml\"\nload.per_s = -1.0\n",
    )
    .unwrap();
    let told = read("wrong.toml").unwrap_err().to_string();
    assert!(
        told.contains("wrong.toml:2:6: load.per_s: found -1"),
        "{told}"
    );
    fs::write(folder.path().join("x.toml"), "base = \"y.toml\"\n").unwrap();
    fs::write(
        folder.path().join("y.toml"),
        "zones = 2\nbase = \"x.toml\"\n",
    )
    .unwrap();
    let told = read("x.toml").unwrap_err().to_string();
    assert!(
        told.contains("y.toml:2:1: base: ") && told.contains("is based on itself"),
        "{told}"
    );
    fs::write(folder.path().join("x.toml"), "base = \"none.toml\"\n").unwrap();
    let told = read("x.toml").unwrap_err().to_string();
    assert!(told.contains("x.toml:1:1: base: cannot read"), "{told}");
    // A mistake in the base is told where it stands.
    let text = fs::read_to_string(folder.path().join("calm.toml")).unwrap();
    fs::write(
        folder.path().join("calm.toml"),
        text.replace("zipf =", "zpif ="),
    )
    .unwrap();
    let told = read("quiet.toml").unwrap_err().to_string();
    assert!(
        told.contains("calm.toml:") && told.contains("load.zpif: there is no such key"),
        "{told}"
    );
}

#[test]
fn intervals_and_rank_correlations_are_those_of_known_cases() {
    assert_eq!(bootstrap(&[0.5, 0.5, 0.5]), (0.5, 0.5));
    assert_eq!(bootstrap(&[]), (0.0, 0.0));
    let values: Vec<f64> = (0..100).map(f64::from).collect();
    // The mean of 100 such values has a standard error of 2.89.
    let (low, high) = bootstrap(&values);
    assert!(
        (43.0..44.5).contains(&low) && (54.5..56.0).contains(&high),
        "{low} to {high}"
    );
    assert_eq!(
        rank_correlation(&[1.0, 2.0, 3.0], &[10.0, 20.0, 30.0]),
        Some(1.0)
    );
    assert_eq!(
        rank_correlation(&[1.0, 2.0, 3.0], &[3.0, 2.0, 1.0]),
        Some(-1.0)
    );
    assert_eq!(
        rank_correlation(&[1.0, 2.0, 3.0, 4.0], &[1.0, 3.0, 2.0, 4.0]),
        Some(0.8)
    );
    assert_eq!(rank_correlation(&[1.0, 1.0], &[1.0, 2.0]), None);
}
