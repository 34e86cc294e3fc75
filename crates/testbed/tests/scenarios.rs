//! Scenario files: an invalid file is rejected with the position and what to write instead, and a file may be based on
//! another.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod common;

use std::fs;
use std::path::PathBuf;

use common::write_scenarios;
use testbed::Scenario;

/// A line of a valid scenario, an invalid replacement for it, and the expected error message.
struct InvalidValue {
    line: &'static str,
    replacement: &'static str,
    message: &'static str,
}

const INVALID_VALUES: [InvalidValue; 9] = [
    InvalidValue {
        line: "nodes = 30",
        replacement: "nodes = 10000",
        message: "nodes: found 10000: write 1 to 2000",
    },
    InvalidValue {
        line: "zones = 3",
        replacement: "zones = 0",
        message: "zones: found 0: write 1 to 16",
    },
    InvalidValue {
        line: "per_s = 900.0",
        replacement: "per_s = -1.0",
        message: "load.per_s: found -1: write more than 0",
    },
    InvalidValue {
        line: "keys = 20000",
        replacement: "keys = 0",
        message: "load.keys: found 0: write 1 or more",
    },
    InvalidValue {
        line: "zipf = 0.9",
        replacement: "zipff = 0.9",
        message: "load.zipff: there is no such key; there are ",
    },
    InvalidValue {
        line: "spread = 0.4",
        replacement: "spread = \"wide\"",
        message: "class.0.spread: found string \"wide\"",
    },
    InvalidValue {
        line: "factor = 2.0",
        replacement: "factor = 0.0",
        message: "event.3.factor: found 0: write more than 0",
    },
    InvalidValue {
        line: "zone = 1",
        replacement: "zone = 3",
        message: "event.1.zone: found 3: write 0 to 2",
    },
    InvalidValue {
        line: "at = \"14s\"",
        replacement: "at = \"24s\"",
        message: "event.4.at: found 24s, after the end: write at most 20s",
    },
];

#[test]
fn an_invalid_or_truncated_scenario_is_rejected_with_its_line_and_what_to_write() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("s.toml");
    let storm = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios/storm.toml");
    let valid = fs::read_to_string(storm).unwrap();
    let rejection = |text: &str| {
        fs::write(&path, text).unwrap();
        let error = Scenario::read(&path).expect_err(text).to_string();
        error.replace(&format!("{}/", folder.path().display()), "")
    };
    let line_number = |text: &str| valid.lines().position(|line| line == text).unwrap() + 1;
    for invalid in INVALID_VALUES {
        let InvalidValue {
            line,
            replacement,
            message,
        } = invalid;
        let rejection = rejection(&valid.replacen(line, replacement, 1));
        let position = format!("s.toml:{}:", line_number(line));
        assert!(
            rejection.starts_with(&position) && rejection.contains(message),
            "{replacement}: {rejection}"
        );
    }
    let truncated = rejection(&valid[..valid.len() / 3]);
    assert!(truncated.starts_with("s.toml"), "{truncated}");
    let missing = Scenario::read(&folder.path().join("none.toml")).unwrap_err();
    assert!(missing.to_string().starts_with("cannot read "));
}

#[test]
fn a_scenario_takes_what_it_does_not_set_from_its_base_and_a_cycle_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    write_scenarios(folder.path());
    let read = |name: &str| Scenario::read(&folder.path().join(name));
    let write = |name: &str, text: &str| fs::write(folder.path().join(name), text).unwrap();
    let error = |name: &str| read(name).unwrap_err().to_string();
    let calm = read("calm.toml").unwrap();
    let quiet = read("quiet.toml").unwrap();
    assert_eq!(quiet.load.per_s, 300.0);
    assert_eq!(quiet.kinds, calm.kinds);
    assert_eq!(quiet.duration, calm.duration);
    write("wrong.toml", "base = \"quiet.toml\"\nload.per_s = -1.0\n");
    let invalid = error("wrong.toml");
    assert!(
        invalid.contains("wrong.toml:2:6: load.per_s: found -1"),
        "{invalid}"
    );
    write("x.toml", "base = \"y.toml\"\n");
    write("y.toml", "zones = 2\nbase = \"x.toml\"\n");
    let cycle = error("x.toml");
    assert!(
        cycle.contains("y.toml:2:1: base: ") && cycle.contains("is based on itself"),
        "{cycle}"
    );
    write("x.toml", "base = \"none.toml\"\n");
    let missing = error("x.toml");
    assert!(
        missing.contains("x.toml:1:1: base: cannot read"),
        "{missing}"
    );
    // An error in the base file is reported with its position in that file.
    let text = fs::read_to_string(folder.path().join("calm.toml")).unwrap();
    write("calm.toml", &text.replace("zipf =", "zpif ="));
    let in_base = error("quiet.toml");
    assert!(
        in_base.contains("calm.toml:") && in_base.contains("load.zpif: there is no such key"),
        "{in_base}"
    );
}
