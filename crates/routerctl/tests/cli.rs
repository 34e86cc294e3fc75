//! The command line as a user meets it: what it prints, and its exit codes.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::fs;
use std::process::Command;

/// Exit code, standard output and standard error.
fn routerctl(arguments: &[&str]) -> (i32, String, String) {
    routerctl_with(&[], arguments)
}

/// The same with some environment variables set.
fn routerctl_with(variables: &[(&str, &str)], arguments: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_routerctl"));
    // Whatever this machine sets is no part of the test.
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
fn a_file_that_would_do_one_that_would_not_and_one_that_is_not_there_are_told_apart() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("router.toml");
    let name = path.to_str().unwrap();
    fs::write(&path, "[log]\nlevel = \"debug\"\n").unwrap();
    assert_eq!(
        routerctl(&["check", name]),
        (0, format!("{name} would do\n"), String::new())
    );
    let (code, shown, _) = routerctl(&["check", name, "--set", "log.repeat.per=3s", "--show"]);
    assert_eq!(code, 0);
    assert!(
        shown.contains("level = \"debug\"") && shown.contains("per = \"3s\""),
        "{shown}"
    );
    fs::write(&path, "[log]\nlevle = \"debug\"\n").unwrap();
    let (code, told, _) = routerctl(&["check", name]);
    assert_eq!(code, 1);
    assert!(
        told.starts_with(&format!("{name}:2:1: log.levle: there is no such key")),
        "{told}"
    );
    let (code, _, told) = routerctl(&["check", "/nowhere/router.toml"]);
    assert!(
        code == 2 && told.starts_with("routerctl: cannot read /nowhere/router.toml"),
        "{code} {told}"
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

#[test]
fn wrong_use_is_told_with_what_would_do() {
    for (arguments, told) in [
        (&["chek"][..], "check"),
        (&["check"], "<FILE>"),
        (&["check", "x", "--set", "log.level"], "write KEY=VALUE"),
        (&["margins"], "<PLAYS>"),
        (&["margins", "/nowhere"], "cannot read /nowhere"),
        (
            &["standing", "--root", "/nowhere"],
            "cannot read /nowhere/deploy/balancer.toml",
        ),
        (&["completions", "cobol"], "bash"),
        (&["lab", "run"], "<FILE>"),
        (
            &["lab", "run", "/nowhere.toml"],
            "cannot read /nowhere.toml",
        ),
        (
            &["demo", "--node", "/nowhere/cache-router"],
            "no program at /nowhere/cache-router",
        ),
        (&["lab", "experiment", "/nowhere.toml"], "--out <DIR>"),
        (
            &["lab", "experiment", "/nowhere.toml", "--out", "/nowhere"],
            "cannot read /nowhere.toml",
        ),
        (
            &[
                "lab",
                "run",
                "../testbed/scenarios/calm.toml",
                "--logs",
                "x",
            ],
            "--node and --logs go with --sockets",
        ),
        (
            &["lab", "report", "/nowhere"],
            "/nowhere/experiment.json: No such file",
        ),
        (
            &["lab", "load", "--rate", "0"],
            "write a number of requests a second, 1 to 1000000",
        ),
        (&["lab", "load", "--lasts", "5"], "--lasts"),
        (
            &["lab", "load", "--to", "127.0.0.1:1"],
            "Connection refused",
        ),
    ] {
        let (code, _, error) = routerctl(arguments);
        assert!(
            code == 2 && error.contains(told),
            "{arguments:?}: {code} {error}"
        );
    }
}

#[test]
fn a_play_says_what_came_of_it_and_a_report_that_cannot_be_written_is_told() {
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
    let (code, told, _) = routerctl(&[
        "lab",
        "run",
        short,
        "--seed",
        "5",
        "--json",
        json.to_str().unwrap(),
    ]);
    assert!(
        code == 0 && told.starts_with("seed 5: 30 nodes, 25 cache servers, "),
        "{code} {told}"
    );
    assert!(
        fs::read_to_string(&json)
            .unwrap()
            .starts_with("{\"seed\":5,")
    );
    let (code, _, told) = routerctl(&["lab", "run", short, "--json", "/dev/full"]);
    assert!(
        code == 2 && told.contains("cannot write /dev/full: "),
        "{code} {told}"
    );
}

#[test]
fn help_has_examples_and_completions_name_every_command() {
    let (code, help, _) = routerctl(&["--help"]);
    assert!(
        code == 0 && help.contains("Exit codes: 0 it held, 1 it fell short, 2 wrong use or input"),
        "{help}"
    );
    for command in ["check", "standing", "margins", "completions"] {
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
fn a_load_is_told_with_what_it_was_and_what_was_served() {
    let (code, told, error) = routerctl(&["lab", "load", "--rate", "300", "--lasts", "1s"]);
    let row = told
        .lines()
        .last()
        .unwrap_or_default()
        .split_whitespace()
        .collect::<Vec<_>>();
    assert!(
        code == 0 && row[..2] == ["alone", "300"] && row[3] == "0",
        "{code} {told} {error}"
    );
}

#[test]
fn an_experiment_that_is_interrupted_keeps_whole_results_and_goes_on_with_the_others() {
    let scenarios = concat!(env!("CARGO_MANIFEST_DIR"), "/../testbed/scenarios");
    let folder = tempfile::tempdir().unwrap();
    let (file, out) = (folder.path().join("e.toml"), folder.path().join("out"));
    let text = format!(
        "scenarios = [\"s.toml\"]\nseeds = {:?}\n[[variant]]\nname = \"a\"\n[[variant]]\nname = \"b\"\n\
         set = {{ \"load.retries\" = 0 }}\n",
        (1..=20).collect::<Vec<u32>>()
    );
    fs::write(&file, text).unwrap();
    let day = format!("base = \"{scenarios}/calm.toml\"\nlength = \"1s\"\n");
    fs::write(folder.path().join("s.toml"), day).unwrap();
    let arguments = [
        "lab",
        "experiment",
        file.to_str().unwrap(),
        "--out",
        out.to_str().unwrap(),
        "--threads",
        "1",
    ];
    let mut child = Command::new(env!("CARGO_BIN_EXE_routerctl"))
        .args(arguments)
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(child.stdout.take().unwrap()));
    assert!(
        lines
            .next()
            .unwrap()
            .unwrap()
            .starts_with("   1 of 40  s, seed 1, a: service 0.")
    );
    let interrupt = format!("kill -INT {}", child.id());
    assert!(
        Command::new("/bin/sh")
            .arg("-c")
            .arg(interrupt)
            .status()
            .unwrap()
            .success()
    );
    let played = 1 + lines.map_while(Result::ok).count();
    let output = child.wait_with_output().unwrap();
    let told = String::from_utf8(output.stderr).unwrap();
    assert!(
        output.status.code() == Some(2) && played < 40,
        "{played} {told}"
    );
    assert!(
        told.contains(&format!("interrupted: {played} of 40 plays are kept")),
        "{told}"
    );
    let (code, told, _) = routerctl(&["lab", "report", out.to_str().unwrap()]);
    assert!(
        code == 1 && told.contains(&format!("{played} of 40 plays; ")),
        "{code} {told}"
    );
    let (code, told, _) = routerctl(&arguments);
    assert!(
        code == 0 && told.lines().count() == 40 - played + 3,
        "{code} {told}"
    );
    assert!(told.contains("40 of 40 plays; ") && out.join("report.html").is_file());
}
