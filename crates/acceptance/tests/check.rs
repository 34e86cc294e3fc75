//! The verdict of the acceptance check on generated journals.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::fs;
use std::path::Path;
use std::process::Command;

use acceptance::check::Verdict;
use acceptance::journal::{Journal, JournalError};
use acceptance::sources::Sources;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tempfile::TempDir;

const FILES: [&str; 3] = [
    "crates/routing-policy/src/policy.rs",
    "crates/cache-router/src/main.rs",
    "crates/routing-policy/src/state.rs",
];
const FULL: &str = "real:s:1:soak,calm+mass,join+mass";
const QUICK: &str = "real:s:1:calm+mass,herd+mass:quick";
const LATER: &str = "real:s:1:churn,reload:quick";
const BRINK: &str = "real:s:1:roll+brink+mass-1,zone+brink+mass-2";

fn repository() -> TempDir {
    let root = tempfile::tempdir().unwrap();
    for folder in [
        "deploy",
        "journal",
        "crates/cache-router/src",
        "crates/routing-policy/src",
    ] {
        fs::create_dir_all(root.path().join(folder)).unwrap();
    }
    let deploy = "policy = [\"crates/routing-policy/src/policy.rs\"]\nnode = [\"crates/cache-router/src\"]\n";
    fs::write(root.path().join("deploy/balancer.toml"), deploy).unwrap();
    FILES
        .iter()
        .for_each(|file| fs::write(root.path().join(file), file).unwrap());
    root
}

fn file(root: &Path, path: &str) -> Value {
    let hash = Sha256::digest(fs::read(root.join(path)).unwrap());
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    json!({"path": path, "sha256": hex})
}

/// An entry of a run on the current sources.
fn entry(root: &Path, id: &str, panel: &str, score: f64) -> Value {
    let argv = match panel {
        LATER => vec!["S", "--panel", "later", "--quick"],
        BRINK => vec!["S", "--panel", "brink"],
        _ => vec!["S"],
    };
    json!({
        "id": id, "at": [id, id], "cmd": "real-score", "argv": argv, "site": "s", "ok": true, "panel": panel,
        "policy": [file(root, FILES[0])], "node": [file(root, FILES[1])],
        "figures": {"real_score": score, "gate": 1.0},
        "days": [{"name": "join+mass", "rules": {"drain": 0}, "gate": null, "fault": null}],
        "tree": {"base": "", "files": [file(root, FILES[2])], "gone": []},
    })
}

fn write(root: &Path, entry: &Value) {
    let name = format!("journal/{}.json", entry["id"].as_str().unwrap());
    fs::write(root.join(name), entry.to_string()).unwrap();
}

fn write_all_scores(root: &Path) {
    for (id, panel) in [("1", FULL), ("2", QUICK), ("3", LATER), ("3b", BRINK)] {
        write(root, &entry(root, id, panel, 0.8));
    }
}

fn verdict(root: &Path) -> (bool, String) {
    let verdict = Verdict::of(
        &Journal::read(&root.join("journal")).unwrap(),
        &Sources::read(root).unwrap(),
    );
    (verdict.passed(), verdict.to_string())
}

#[test]
fn the_check_passes_if_each_score_passed_on_the_current_sources() {
    let root = repository();
    write_all_scores(root.path());
    let text = "the acceptance check passes: full score 0.800 (1); quick score 0.800 (2); later panel 0.800 (3); \
                brink panel 0.800 (3b)";
    assert_eq!(verdict(root.path()), (true, text.into()));
}

#[test]
fn after_a_change_of_the_policy_or_the_node_the_scores_that_depend_on_it_are_missing() {
    for changed in FILES {
        let root = repository();
        write_all_scores(root.path());
        fs::write(root.path().join(changed), "changed").unwrap();
        let (passed, text) = verdict(root.path());
        assert!(!passed);
        let network = changed.starts_with("crates/cache-router/");
        assert_eq!(
            text.matches("missing for these sources").count(),
            if network { 4 } else { 3 },
            "{changed}: {text}"
        );
        assert_eq!(
            text.contains("brink panel missing"),
            network,
            "{changed}: {text}"
        );
    }
}

#[test]
fn the_last_run_on_the_current_sources_counts_and_its_failure_is_reported() {
    let failures = [
        (
            "/days/0/rules/drain",
            json!(2),
            "join+mass: rule drain broken 2 times",
        ),
        (
            "/days/0/fault",
            json!("n0 crashed"),
            "join+mass: n0 crashed",
        ),
        ("/days/0/gate", json!("served"), "join+mass: gate served"),
        ("/figures/gate", json!(0.0), "the gate failed"),
        ("/ok", json!(false), "the run was interrupted"),
        ("/figures/real_score", Value::Null, "it has no score"),
        ("/days", json!([]), "it has no days"),
    ];
    for (pointer, value, reason) in failures {
        let root = repository();
        write_all_scores(root.path());
        let mut failing = entry(root.path(), "4", FULL, 0.9);
        *failing.pointer_mut(pointer).unwrap() = value;
        write(root.path(), &failing);
        let (passed, text) = verdict(root.path());
        assert!(
            !passed && text.contains(&format!("full score failed (4: {reason})")),
            "{text}"
        );
    }
}

#[test]
fn a_regression_of_more_than_0_03_is_reported_and_a_smaller_one_is_not() {
    for (score, passes) in [(0.771, true), (0.769, false)] {
        let root = repository();
        write_all_scores(root.path());
        fs::write(root.path().join(FILES[0]), "changed").unwrap();
        for (id, panel) in [("4", FULL), ("5", QUICK)] {
            write(root.path(), &entry(root.path(), id, panel, 0.8));
        }
        write(root.path(), &entry(root.path(), "6", LATER, score));
        let (passed, text) = verdict(root.path());
        assert_eq!(passed, passes, "{text}");
        assert_eq!(
            text.contains("later panel fell to 0.769 (6) from 0.800 (3)"),
            !passes,
            "{text}"
        );
    }
}

#[test]
fn a_run_of_another_deployment_is_ignored() {
    let root = repository();
    write_all_scores(root.path());
    let mut other = entry(root.path(), "4", QUICK, 0.2);
    other["site"] = json!("other");
    write(root.path(), &other);
    assert!(verdict(root.path()).0, "{}", verdict(root.path()).1);
}

#[test]
fn files_that_an_entry_does_not_list_are_compared_with_its_commit() {
    let root = repository();
    let git = |arguments: &[&str]| {
        let output = Command::new("git")
            .arg("-C")
            .arg(root.path())
            .args(arguments)
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap().trim().to_string()
    };
    git(&["init", "-q"]);
    git(&["add", "."]);
    git(&[
        "-c",
        "user.name=n",
        "-c",
        "user.email=e",
        "commit",
        "-q",
        "-m",
        "all",
    ]);
    let commit = git(&["rev-parse", "HEAD"]);
    let run_on = |base: &str| {
        for (id, panel) in [("1", FULL), ("2", QUICK), ("3", LATER), ("3b", BRINK)] {
            let mut entry = entry(root.path(), id, panel, 0.8);
            entry["tree"] = json!({"base": base, "files": [], "gone": []});
            write(root.path(), &entry);
        }
        verdict(root.path())
    };
    assert!(run_on(&commit).0);
    let (passed, text) = run_on(&"0".repeat(40));
    assert!(
        !passed && text.contains("full score unknown (1: "),
        "{text}"
    );
    fs::write(root.path().join(FILES[2]), "changed").unwrap();
    let (passed, text) = run_on(&commit);
    assert!(!passed && text.contains("full score missing"), "{text}");
}

#[test]
fn an_incomplete_entry_is_reported_and_skipped() {
    let root = repository();
    write_all_scores(root.path());
    let complete = fs::read(root.path().join("journal/1.json")).unwrap();
    fs::write(
        root.path().join("journal/4.json"),
        &complete[..complete.len() / 2],
    )
    .unwrap();
    fs::write(root.path().join("journal/5.json"), b"\xff no entry").unwrap();
    fs::write(root.path().join("journal/6.json"), "[1, 2]").unwrap();
    let journal = Journal::read(&root.path().join("journal")).unwrap();
    assert_eq!(
        (journal.entries.len(), journal.skipped.len()),
        (4, 3),
        "{:?}",
        journal.skipped
    );
    assert!(
        journal.skipped[0].contains("4.json: not a complete entry: EOF"),
        "{:?}",
        journal.skipped
    );
    assert!(verdict(root.path()).0);
}

#[test]
fn a_missing_journal_is_an_error() {
    let root = repository();
    let error = Journal::read(&root.path().join("nowhere")).unwrap_err();
    assert!(matches!(error, JournalError::Unreadable { .. }));
    assert!(
        error.to_string().starts_with("no journal: cannot read "),
        "{error}"
    );
}
