//! CI skips exactly the tests that KNOWN-RED.txt lists as known failures, and only while they exist and fail.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Fake `cargo`: it prints its arguments and has the tests `part::whole`, which passes, and `part::broken`, which
/// fails.
const CARGO: &str = r#"#!/bin/sh
echo "called: $*"
case "$*" in
*"--skip part::broken"*) echo "test part::whole ... ok"; exit 0 ;;
*"--exact part::broken"*) echo "test part::broken ... FAILED"; exit 101 ;;
*"--exact part::whole"*) echo "test part::whole ... ok"; exit 0 ;;
*"--exact"*) echo "running 0 tests"; exit 0 ;;
*) echo "test part::broken ... FAILED"; exit 101 ;;
esac
"#;

/// A folder with a fake `cargo` and a list of known failures.
struct Ci {
    folder: PathBuf,
}

impl Ci {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("known-red-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let cargo = folder.join("cargo");
        std::fs::write(&cargo, CARGO).unwrap();
        std::fs::set_permissions(&cargo, std::fs::Permissions::from_mode(0o755)).unwrap();
        Ci { folder }
    }

    /// Runs `.ci/test` with a list. Returns whether it passed, and its output.
    fn run(&self, list: Option<&str>) -> (bool, String) {
        let file = self.folder.join("list");
        let _ = std::fs::remove_file(&file);
        list.iter()
            .for_each(|text| std::fs::write(&file, text).unwrap());
        let path = format!(
            "{}:{}",
            self.folder.display(),
            std::env::var("PATH").unwrap_or_default()
        );
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/test");
        let finished = Command::new(script)
            .env("PATH", path)
            .env("KNOWN_RED", &file)
            .output()
            .unwrap();
        let text = [finished.stdout, finished.stderr].concat();
        (
            finished.status.success(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }
}

impl Drop for Ci {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn without_a_list_or_with_an_empty_one_every_test_must_pass() {
    let ci = Ci::new("none");
    for list in [None, Some("")] {
        let (passed, output) = ci.run(list);
        assert!(
            !passed
                && !output.contains("--skip")
                && output.contains("called: test --locked --workspace"),
            "{output}"
        );
    }
}

#[test]
fn a_listed_test_that_fails_is_skipped_by_its_full_name_and_printed() {
    let ci = Ci::new("listed");
    let entry = "part::broken, cargo test -p part seed 7, 33 MB of 32, then an end, 25\n";
    let (passed, output) = ci.run(Some(entry));
    assert!(passed && output.contains(entry), "{output}");
    assert!(
        output.contains("called: test --locked --workspace -- --exact --skip part::broken"),
        "{output}"
    );
}

#[test]
fn a_list_that_is_wrong_malformed_or_too_long_fails_the_run() {
    let ci = Ci::new("wrong");
    let four_lines = "a, cargo test a, b, 1\n".repeat(4);
    for (list, reason) in [
        ("part::whole, cargo test whole, seen, 25\n", "passes"),
        (
            "part::nowhere, cargo test nowhere, seen, 25\n",
            "no test is named",
        ),
        ("part::broken\n", "each line must be"),
        ("part::broken, 25\n", "each line must be"),
        ("part::broken, a cause, 25\n", "each line must be"),
        ("part::broken, cargo test broken, 25\n", "each line must be"),
        ("part::broken, by hand, seen, 25\n", "each line must be"),
        (
            "part::broken, cargo test broken, seen, soon\n",
            "each line must be",
        ),
        (&four_lines, "three at most"),
    ] {
        let (passed, output) = ci.run(Some(list));
        assert!(!passed && output.contains(reason), "{list:?}: {output}");
    }
}
