//! Tests the output and the exit codes of the command line.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Runs routerctl. Returns its exit code, standard output and standard error.
fn routerctl(arguments: &[&str]) -> (i32, String, String) {
    routerctl_with(&[], arguments)
}

/// Like [`routerctl`], with additional environment variables.
fn routerctl_with(variables: &[(&str, &str)], arguments: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_routerctl"));
    // Variables of the test environment must not affect the result.
    for (name, _) in std::env::vars_os().filter(|(name, _)| {
        let name = name.to_string_lossy();
        name.starts_with("CACHE_ROUTER_") || name.starts_with("SPARDEAL_")
    }) {
        command.env_remove(name);
    }
    command.envs(variables.iter().copied());
    let output = command.args(arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn valid_invalid_and_missing_configurations_have_distinct_exit_codes() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("router.toml");
    let name = path.to_str().unwrap();
    fs::write(&path, "[log]\nlevel = \"debug\"\n").unwrap();
    assert_eq!(
        routerctl(&["check", name]),
        (0, format!("{name} is valid\n"), String::new())
    );
    let (code, shown, _) = routerctl(&["check", name, "--set", "log.repeat.per=3s", "--show"]);
    assert_eq!(code, 0);
    assert!(
        shown.contains("level = \"debug\"") && shown.contains("per = \"3s\""),
        "{shown}"
    );
    fs::write(&path, "[log]\nlevle = \"debug\"\n").unwrap();
    let (code, error, _) = routerctl(&["check", name]);
    assert_eq!(code, 1);
    assert!(
        error.starts_with(&format!("{name}:2:1: log.levle: there is no such key")),
        "{error}"
    );
    let (code, _, error) = routerctl(&["check", "/nowhere/router.toml"]);
    assert!(
        code == 2 && error.starts_with("routerctl: cannot read /nowhere/router.toml"),
        "{code} {error}"
    );
}

#[test]
fn deprecated_environment_variables_are_read_with_one_warning() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("router.toml");
    fs::write(&path, "").unwrap();
    let variables = [
        ("SPARDEAL_LOG__LEVEL", "debug"),
        ("SPARDEAL_LOG__FORMAT", "json"),
    ];
    let arguments = ["check", path.to_str().unwrap(), "--show"];
    let (code, shown, warning) = routerctl_with(&variables, &arguments);
    assert_eq!(code, 0);
    assert!(
        shown.contains("level = \"debug\"") && shown.contains("format = \"json\""),
        "{shown}"
    );
    assert_eq!(
        warning,
        "routerctl: deprecated environment variables are set: use CACHE_ROUTER_LOG__FORMAT instead of \
         SPARDEAL_LOG__FORMAT, CACHE_ROUTER_LOG__LEVEL instead of SPARDEAL_LOG__LEVEL\n"
    );
}

/// Checks that the arguments are a usage error whose message contains `expected`.
fn assert_usage_error(arguments: &[&str], expected: &str) {
    let (code, _, error) = routerctl(arguments);
    assert!(
        code == 2 && error.contains(expected),
        "{arguments:?}: {code} {error}"
    );
}

#[test]
fn a_usage_error_says_what_would_be_accepted() {
    for (arguments, expected) in [
        (&["chek"][..], "check"),
        (&["check"], "<FILE>"),
        (&["check", "x", "--set", "log.level"], "write KEY=VALUE"),
        (&["margins"], "<RUNS>"),
        (&["margins", "/nowhere"], "cannot read /nowhere"),
        (
            &["acceptance", "--root", "/nowhere"],
            "cannot read /nowhere/deploy/balancer.toml",
        ),
        (&["completions", "cobol"], "bash"),
        (
            &["demo", "--node", "/nowhere/cache-router"],
            "no program at /nowhere/cache-router",
        ),
    ] {
        assert_usage_error(arguments, expected);
    }
}

#[test]
fn a_usage_error_of_the_testbed_says_what_would_be_accepted() {
    let scenario = "../testbed/scenarios/calm.toml";
    for (arguments, expected) in [
        (&["run"][..], "<FILE>"),
        (&["run", "/nowhere.toml"], "cannot read /nowhere.toml"),
        (
            &["run", scenario, "--logs", "x"],
            "--node and --logs go with --sockets",
        ),
        (&["experiment", "/nowhere.toml"], "--out <DIR>"),
        (
            &["experiment", "/nowhere.toml", "--out", "/nowhere"],
            "cannot read /nowhere.toml",
        ),
        (
            &["report", "/nowhere"],
            "/nowhere/experiment.json: No such file",
        ),
        (&["sizes", scenario, "--servers", "24"], "such as 24,384"),
        (&["sizes", scenario, "--servers", "24,3201"], "1..=3200"),
        (
            &["load", "--rate", "0"],
            "write a number of requests per second, 1 to 1000000",
        ),
        (&["load", "--lasts", "5"], "--lasts"),
        (&["load", "--to", "127.0.0.1:1"], "Connection refused"),
    ] {
        assert_usage_error(&[&["testbed"], arguments].concat(), expected);
    }
}

#[test]
fn a_run_prints_its_report_and_a_report_that_cannot_be_written_is_an_error() {
    let scenario = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../testbed/scenarios/calm.toml"
    );
    let folder = tempfile::tempdir().unwrap();
    let short = folder.path().join("short.toml");
    let text = fs::read_to_string(scenario)
        .unwrap()
        .replace("\"20s\"", "\"2s\"");
    fs::write(&short, text).unwrap();
    let (short, json) = (short.to_str().unwrap(), folder.path().join("report.json"));
    let (code, report, _) = routerctl(&[
        "testbed",
        "run",
        short,
        "--seed",
        "5",
        "--json",
        json.to_str().unwrap(),
    ]);
    assert!(
        code == 0 && report.starts_with("seed 5: 30 nodes, 25 cache servers, "),
        "{code} {report}"
    );
    assert!(
        fs::read_to_string(&json)
            .unwrap()
            .starts_with("{\"seed\":5,")
    );
    let (code, _, error) = routerctl(&["testbed", "run", short, "--json", "/dev/full"]);
    assert!(
        code == 2 && error.contains("cannot write /dev/full: "),
        "{code} {error}"
    );
}

#[test]
fn the_former_name_of_the_acceptance_command_is_an_alias() {
    let folder = tempfile::tempdir().unwrap();
    fs::create_dir_all(folder.path().join("deploy")).unwrap();
    fs::create_dir_all(folder.path().join("journal")).unwrap();
    fs::create_dir_all(folder.path().join("crates/routing-policy/src")).unwrap();
    let deploy = "policy = []\nnode = []\n";
    fs::write(folder.path().join("deploy/balancer.toml"), deploy).unwrap();
    let root = folder.path().to_str().unwrap();
    let current = routerctl(&["acceptance", "--root", root]);
    assert!(
        current.0 == 1
            && current
                .1
                .starts_with("the acceptance check does not pass: "),
        "{current:?}"
    );
    assert_eq!(routerctl(&["standing", "--root", root]), current);
}

#[test]
fn the_former_name_of_the_testbed_command_is_an_alias() {
    let folder = tempfile::tempdir().unwrap();
    let scenario = folder.path().join("short.toml");
    let base = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../testbed/scenarios/calm.toml"
    );
    fs::write(&scenario, format!("base = \"{base}\"\nlength = \"1s\"\n")).unwrap();
    let scenario = scenario.to_str().unwrap();
    let current = routerctl(&["testbed", "run", scenario]);
    assert!(
        current.0 == 0 && current.1.starts_with("seed "),
        "{current:?}"
    );
    assert_eq!(routerctl(&["lab", "run", scenario]), current);
}

#[test]
fn former_names_are_hidden_from_help() {
    let help = routerctl(&["--help"]).1;
    for name in ["standing", "lab"] {
        assert!(
            !help.split_whitespace().any(|word| word == name),
            "{name} in {help}"
        );
    }
}

#[test]
fn help_has_examples_and_completions_name_every_command() {
    let (code, help, _) = routerctl(&["--help"]);
    assert!(
        code == 0 && help.contains("Exit codes: 0 passed, 1 failed, 2 wrong use or input"),
        "{help}"
    );
    for command in ["demo", "check", "acceptance", "margins", "completions"] {
        assert!(
            routerctl(&[command, "--help"])
                .1
                .contains(&format!("  routerctl {command}")),
            "{command}"
        );
        for shell in ["bash", "zsh", "fish"] {
            assert!(
                routerctl(&["completions", shell]).1.contains(command),
                "{command} in {shell}"
            );
        }
    }
}

#[test]
fn a_load_prints_its_rate_and_what_was_served() {
    let (code, table, error) = routerctl(&["testbed", "load", "--rate", "300", "--lasts", "1s"]);
    let row = table
        .lines()
        .last()
        .unwrap_or_default()
        .split_whitespace()
        .collect::<Vec<_>>();
    assert!(
        code == 0 && row[..2] == ["alone", "300"] && row[3] == "0",
        "{code} {table} {error}"
    );
}

#[test]
fn two_fleet_sizes_are_compared_in_one_table_whose_verdicts_set_the_exit_code() {
    let scenario = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../testbed/scenarios/small/calm.toml"
    );
    let small = ["--set", "nodes=2", "--set", "length=\"2s\""];
    let arguments = [
        &["testbed", "sizes", scenario, "--servers", "4,8"][..],
        &small,
    ]
    .concat();
    let (code, table, error) = routerctl(&arguments);
    let rows: Vec<_> = table
        .lines()
        .filter(|row| row.contains("within") || row.contains("EXCEEDED"))
        .collect();
    assert_eq!(rows.len(), 6, "{table} {error}");
    let has_passed = !table.contains("EXCEEDED") && !table.contains("INVARIANTS VIOLATED");
    assert_eq!(code, i32::from(!has_passed), "{table} {error}");
}

/// Writes an experiment with 40 runs of one second each into a folder.
fn write_experiment(folder: &Path) -> PathBuf {
    let scenarios = concat!(env!("CARGO_MANIFEST_DIR"), "/../testbed/scenarios");
    let scenario = format!("base = \"{scenarios}/calm.toml\"\nlength = \"1s\"\n");
    fs::write(folder.join("s.toml"), scenario).unwrap();
    let experiment = format!(
        "scenarios = [\"s.toml\"]\nseeds = {:?}\n[[variant]]\nname = \"a\"\n[[variant]]\nname = \"b\"\n\
         set = {{ \"load.retries\" = 0 }}\n",
        (1..=20).collect::<Vec<u32>>()
    );
    let file = folder.join("e.toml");
    fs::write(&file, experiment).unwrap();
    file
}

/// Runs an experiment and interrupts it after its first run is complete. Returns the number of runs that were printed
/// as complete, the exit code and standard error.
fn run_and_interrupt(arguments: &[&str]) -> (usize, Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_routerctl"))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    assert!(
        first.starts_with("   1 of 40  s, seed 1, a: service 0."),
        "{first}"
    );
    let interrupt = format!("kill -INT {}", child.id());
    let sent = Command::new("/bin/sh")
        .arg("-c")
        .arg(interrupt)
        .status()
        .unwrap();
    assert!(sent.success());
    let completed = 1 + lines.map_while(Result::ok).count();
    let output = child.wait_with_output().unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    (completed, output.status.code(), error)
}

#[test]
fn an_interrupted_experiment_keeps_complete_results_and_is_resumed() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_experiment(folder.path());
    let out = folder.path().join("out");
    let (file, out_name) = (file.to_str().unwrap(), out.to_str().unwrap());
    let arguments = [
        "testbed",
        "experiment",
        file,
        "--out",
        out_name,
        "--threads",
        "1",
    ];
    let (completed, code, error) = run_and_interrupt(&arguments);
    assert!(code == Some(2) && completed < 40, "{completed} {error}");
    assert!(
        error.contains(&format!("interrupted: {completed} of 40 runs are kept")),
        "{error}"
    );
    let (code, summary, _) = routerctl(&["testbed", "report", out_name]);
    assert!(
        code == 1 && summary.contains(&format!("{completed} of 40 runs; ")),
        "{code} {summary}"
    );
    let (code, summary, _) = routerctl(&arguments);
    assert!(
        code == 0 && summary.lines().count() == 40 - completed + 3,
        "{code} {summary}"
    );
    assert!(summary.contains("40 of 40 runs; ") && out.join("report.html").is_file());
}
