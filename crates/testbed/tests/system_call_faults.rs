//! System call and clock faults: scenarios with invalid ones are rejected, the fault injector applies its plan to a
//! process, and nodes (`cache-router` processes) on real sockets tolerate them. No test depends on the speed of the
//! machine.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod socket_run;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, SystemTime};

use fault_plan::{
    ClockStep, DescriptorKind, Effect, ErrorName, Fault, PLAN_VARIABLE, Plan, StateFile, SystemCall,
};
use router_config::HumanDuration;
use testbed::fault_matrix::FaultKind;
use testbed::report::Counts;
use testbed::sockets::SocketError;
use testbed::{Report, Scenario, program};

use socket_run::run_scenario;

/// The environment variable that makes this program the child process of a test. Its value selects the work of the
/// child.
const CHILD_VARIABLE: &str = "SYSTEM_CALL_FAULTS_CHILD";
/// Number of calls that a child makes.
const CALLS: usize = 400;
/// Number of writes of a child to each kind of descriptor. The data fits into the buffers of descriptors that nobody
/// reads.
const WRITES_PER_DESCRIPTOR: usize = 100;

// Validation of scenario files.

struct InvalidFault {
    fault: &'static str,
    message: &'static str,
}

const INVALID_FAULTS: [InvalidFault; 9] = [
    InvalidFault {
        fault: "what = \"system-calls\"\nat = \"1s\"\ncalls = [\"recv\"]\nerrors = [\"EINTR\"]\nrate = 1.5\nlasts = \"1s\"",
        message: "event.0.rate: found 1.5: write a fraction, 0 to 1",
    },
    InvalidFault {
        fault: "what = \"system-calls\"\nat = \"1s\"\npart = 2.0\ncalls = [\"recv\"]\nerrors = [\"EINTR\"]\nrate = 0.5\nlasts = \"1s\"",
        message: "event.0.part: found 2: write a fraction, 0 to 1",
    },
    InvalidFault {
        fault: "what = \"system-calls\"\nat = \"1s\"\ncalls = []\nerrors = [\"EINTR\"]\nrate = 0.5\nlasts = \"1s\"",
        message: "event.0.calls: found none: write one or more, such as [\"recv\"]",
    },
    InvalidFault {
        fault: "what = \"system-calls\"\nat = \"1s\"\ncalls = [\"recv\"]\nerrors = []\nrate = 0.5\nlasts = \"1s\"",
        message: "event.0.errors: found none: write one or more, such as [\"EINTR\"]",
    },
    InvalidFault {
        fault: "what = \"system-calls\"\nat = \"1s\"\ncalls = [\"recv\"]\nerrors = [\"EAGAIN\"]\nrate = 0.5\nlasts = \"1s\"",
        message: "event.0: found \"EAGAIN\"; there are EACCES, EADDRINUSE",
    },
    InvalidFault {
        fault: "what = \"system-calls\"\nat = \"1s\"\ncalls = [\"fork\"]\nerrors = [\"EINTR\"]\nrate = 0.5\nlasts = \"1s\"",
        message: "event.0: found \"fork\"; there are socket, bind",
    },
    InvalidFault {
        fault: "what = \"short-counts\"\nat = \"1s\"\ncalls = [\"recv\", \"accept4\"]\nrate = 0.5\nlasts = \"1s\"",
        message: "event.0.calls: found accept4, which transfers no bytes: write calls such as recv or send",
    },
    InvalidFault {
        fault: "what = \"short-counts\"\nat = \"61s\"\nrate = 0.5\nlasts = \"1s\"",
        message: "event.0.at: found 1m 1s, after the end: write at most 30s",
    },
    InvalidFault {
        fault: "what = \"step-clock\"\nat = \"1s\"\nby_s = 1e12",
        message: "event.0.by_s: found 1000000000000: write seconds, 31536000 at most",
    },
];

#[test]
fn an_invalid_system_call_fault_is_rejected_with_the_valid_values() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("scenario.toml");
    let demo = scenarios().join("demo.toml");
    for InvalidFault { fault, message } in INVALID_FAULTS {
        let text = format!("base = {demo:?}\n[[event]]\n{fault}\n");
        std::fs::write(&path, text).unwrap();
        let error = Scenario::read(&path).expect_err(fault).to_string();
        assert!(error.contains(message), "{fault}\n{error}");
    }
}

fn scenarios() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

#[test]
fn system_call_and_clock_faults_have_no_effect_in_virtual_time() {
    let mut scenario = Scenario::read(&scenarios().join("faults/calm.toml")).unwrap();
    let without = testbed::virtual_time::run(&scenario, 5);
    for kind in FaultKind::ALL {
        scenario.faults.extend(kind.events(0.2, scenario.duration));
    }
    let with = testbed::virtual_time::run(&scenario, 5);
    assert_eq!(with.service_level, without.service_level);
    assert_eq!(with.classes, without.classes);
    let json = serde_json::to_string(&without).unwrap();
    assert!(!json.contains("injected"), "{json}");
}

// The fault injector, preloaded into a child process that runs this test program again.

/// Starts this program with a fault plan, to run a single test. In that process, the test only does [`child_work`].
fn child(test: &str, work: &str, plan: &Plan) -> Child {
    let mut command = child_command(test, work, plan);
    command.stdout(Stdio::piped()).spawn().unwrap()
}

fn child_command(test: &str, work: &str, plan: &Plan) -> Command {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command
        .args(["--exact", test, "--nocapture", "--test-threads=1"])
        .env(CHILD_VARIABLE, work)
        .env("LD_PRELOAD", program::find_fault_injector().unwrap())
        .env(PLAN_VARIABLE, plan.to_json())
        .stdin(Stdio::null())
        .stderr(Stdio::null());
    command
}

/// The prefix of a line with a result of a child. It distinguishes the line from output of the test harness.
const RESULT: &str = "result ";

fn results(child: Child) -> Vec<String> {
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    let results = text.lines().filter_map(|line| line.split_once(RESULT));
    results.map(|(_, result)| result.to_string()).collect()
}

/// Does the work of a child if this process is one. Returns whether it is.
fn child_work() -> bool {
    let Ok(work) = std::env::var(CHILD_VARIABLE) else {
        return false;
    };
    match work.as_str() {
        "hits" => println!("\n{RESULT}{}", socket_read_results()),
        "short" => println!("\n{RESULT}{}", short_transfer_counts()),
        "clock" => println!("\n{RESULT}{}", unix_seconds()),
        "switch" => wait_for_errors(),
        expected => assert_eq!(failed_writes_by_descriptor_kind(), expected),
    }
    true
}

fn connected_sockets() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0)
}

/// The results of [`CALLS`] reads from a socket: the error, or `-` for success.
fn socket_read_results() -> String {
    let (mut client, mut server) = connected_sockets();
    client.write_all(&[0; CALLS]).unwrap();
    let mut byte = [0];
    let read = |_| match server.read(&mut byte) {
        Ok(_) => "-".to_string(),
        Err(error) => format!("{:?}", error.kind()),
    };
    (0..CALLS).map(read).collect::<Vec<_>>().join(" ")
}

/// The numbers of failed writes to a file, a pipe, standard error, a TCP socket and a Unix socket.
fn failed_writes_by_descriptor_kind() -> String {
    let file = tempfile::tempfile().unwrap();
    let (_reader, pipe) = std::io::pipe().unwrap();
    let (client, _server) = connected_sockets();
    let (unix, _other) = UnixStream::pair().unwrap();
    let mut written_to: [Box<dyn Write>; 5] = [
        Box::new(file),
        Box::new(pipe),
        Box::new(std::io::stderr()),
        Box::new(client),
        Box::new(unix),
    ];
    let failures = written_to.iter_mut().map(|writer| {
        let failed = (0..WRITES_PER_DESCRIPTOR).filter(|_| writer.write(b"x").is_err());
        failed.count().to_string()
    });
    failures.collect::<Vec<_>>().join(" ")
}

/// Sends [`CALLS`] messages of 100 bytes over a socket. Returns the numbers of reads, of writes and of bytes received
/// correctly.
fn short_transfer_counts() -> String {
    let (mut client, mut server) = connected_sockets();
    let (mut reads, mut writes, mut received) = (0, 0, Vec::new());
    for number in 0..CALLS {
        let message = [number as u8; 100];
        let mut written = 0;
        while written < message.len() {
            written += client.write(&message[written..]).unwrap();
            writes += 1;
        }
        let mut buffer = [0; 4096];
        let expected_length = (number + 1) * message.len();
        while received.len() < expected_length {
            let length = server.read(&mut buffer).unwrap();
            assert!(length > 0);
            received.extend_from_slice(&buffer[..length]);
            reads += 1;
        }
    }
    let numbered_bytes = received.iter().enumerate();
    let correct = numbered_bytes
        .filter(|(position, byte)| **byte == (position / 100) as u8)
        .count();
    format!("{reads} {writes} {correct}")
}

fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap();
    since_epoch.as_secs()
}

/// Prints `begun` after successful reads, then reads a file until a read fails.
fn wait_for_errors() {
    let mut file = std::fs::File::open("/dev/null").unwrap();
    let mut regular = tempfile::tempfile().unwrap();
    assert_eq!(file.read(&mut [0]).unwrap(), 0);
    assert_eq!(regular.read(&mut [0]).unwrap(), 0);
    println!("\n{RESULT}begun");
    while regular.read(&mut [0]).is_ok() {
        std::thread::yield_now();
    }
    println!("{RESULT}failed");
}

fn fault(calls: &[SystemCall], on: DescriptorKind, effect: Effect, rate: f64) -> Fault {
    Fault {
        calls: calls.to_vec(),
        on,
        effect,
        rate,
        from_ms: 0,
        until_ms: None,
    }
}

fn receive_errors(rate: f64) -> Fault {
    let errors = vec![ErrorName::Eio, ErrorName::Econnreset];
    fault(
        &[SystemCall::Recv],
        DescriptorKind::Tcp,
        Effect::Errors(errors),
        rate,
    )
}

#[test]
fn the_seed_determines_which_calls_fail_and_failures_are_counted() {
    if child_work() {
        return;
    }
    let folder = tempfile::tempdir().unwrap();
    let test = "the_seed_determines_which_calls_fail_and_failures_are_counted";
    let run = |name: &str, seed: u64, fault: Fault| {
        let state = folder.path().join(name);
        let plan = Plan {
            seed,
            state: Some(state.clone()),
            faults: vec![fault],
            clock: Vec::new(),
        };
        let hits = results(child(test, "hits", &plan)).join("");
        (hits, counts(&state))
    };
    let (hits, (calls, injected)) = run("first run", 1, receive_errors(0.2));
    let failed = hits.split(' ').filter(|hit| *hit != "-").count() as u64;
    assert_eq!((calls, injected), (CALLS as u64, failed));
    assert!(
        (40..=120).contains(&injected),
        "about one in five of 400 calls: {hits}"
    );
    assert!(hits.contains("ConnectionReset"), "{hits}");
    assert_eq!(run("same seed", 1, receive_errors(0.2)).0, hits);
    assert_ne!(run("other seed", 2, receive_errors(0.2)).0, hits);
    let expired = Fault {
        until_ms: Some(0),
        ..receive_errors(1.0)
    };
    let not_started = Fault {
        from_ms: 3_600_000,
        ..receive_errors(1.0)
    };
    for (name, fault) in [("expired", expired), ("not started", not_started)] {
        assert_eq!(run(name, 1, fault).1, (0, 0), "{name}");
    }
}

/// From a state file: the number of calls that its first fault applied to, and the number of faults injected.
fn counts(state: &Path) -> (u64, u64) {
    let bytes = std::fs::read(state).unwrap();
    let slot = |slot: usize| {
        let position = slot * fault_plan::layout::SLOT_BYTES;
        u64::from_ne_bytes(bytes[position..][..8].try_into().unwrap())
    };
    use fault_plan::layout::{eligible_calls, injected};
    (slot(eligible_calls(0)), slot(injected(0)))
}

#[test]
fn a_fault_affects_only_the_kind_of_descriptor_that_it_names() {
    if child_work() {
        return;
    }
    let test = "a_fault_affects_only_the_kind_of_descriptor_that_it_names";
    let kinds = [
        (DescriptorKind::File, "100 0 0 0 0"),
        (DescriptorKind::Pipe, "0 100 0 0 0"),
        (DescriptorKind::Log, "0 0 100 0 0"),
        (DescriptorKind::Tcp, "0 0 0 100 0"),
    ];
    // The child checks its result itself, because the fault would also affect writes of the result.
    for (kind, expected) in kinds {
        let errors = Effect::Errors(vec![ErrorName::Enospc]);
        let writes = [SystemCall::Write, SystemCall::Send];
        let plan = Plan {
            faults: vec![fault(&writes, kind, errors, 1.0)],
            ..Plan::default()
        };
        let status = child_command(test, expected, &plan)
            .stdout(Stdio::null())
            .status();
        assert!(status.unwrap().success(), "{kind}");
    }
}

#[test]
fn short_counts_transfer_all_bytes_in_more_calls() {
    if child_work() {
        return;
    }
    let test = "short_counts_transfer_all_bytes_in_more_calls";
    let expected_bytes = (CALLS * 100).to_string();
    let transfers = [SystemCall::Recv, SystemCall::Send];
    let plan = |rate| Plan {
        faults: vec![fault(&transfers, DescriptorKind::Tcp, Effect::Short, rate)],
        ..Plan::default()
    };
    let without_faults = results(child(test, "short", &plan(0.0))).join("");
    assert_eq!(without_faults, format!("{CALLS} {CALLS} {expected_bytes}"));
    let with_faults = results(child(test, "short", &plan(0.5))).join("");
    let figures: Vec<&str> = with_faults.split(' ').collect();
    let calls = |position: usize| figures[position].parse::<usize>().unwrap();
    assert!(
        calls(0) > CALLS * 3 / 2 && calls(1) > CALLS * 3 / 2,
        "{with_faults}"
    );
    assert_eq!(figures[2], expected_bytes);
}

#[test]
fn the_wall_clock_is_stepped_and_faults_are_switched_on_while_a_process_runs() {
    if child_work() {
        return;
    }
    let test = "the_wall_clock_is_stepped_and_faults_are_switched_on_while_a_process_runs";
    for offset_s in [7_200, -7_200] {
        let step = |at_ms, offset_s: i64| ClockStep {
            at_ms,
            offset_ns: offset_s * 1_000_000_000,
        };
        let plan = Plan {
            clock: vec![step(0, offset_s), step(3_600_000, 0)],
            ..Plan::default()
        };
        let before = unix_seconds();
        let reported: u64 = results(child(test, "clock", &plan))[0].parse().unwrap();
        let range = before..=unix_seconds();
        let corrected = reported.saturating_add_signed(-offset_s);
        assert!(range.contains(&corrected), "{reported} {range:?}");
    }
    let folder = tempfile::tempdir().unwrap();
    let state_path = folder.path().join("state");
    let state = StateFile::create(&state_path, 1).unwrap();
    let errors = Effect::Errors(vec![ErrorName::Eio]);
    let plan = Plan {
        state: Some(state_path),
        faults: vec![fault(
            &[SystemCall::Read],
            DescriptorKind::File,
            errors,
            1.0,
        )],
        ..Plan::default()
    };
    let mut process = child(test, "switch", &plan);
    let lines = BufReader::new(process.stdout.take().unwrap()).lines();
    for line in lines {
        if line.unwrap().ends_with("begun") {
            assert_eq!(state.counts(0).unwrap().calls, 0);
            state.set_enabled(0, true).unwrap();
        }
    }
    assert!(process.wait().unwrap().success());
    let counts = state.counts(0).unwrap();
    assert_eq!((counts.calls, counts.injected), (1, 1));
}

// Nodes on real sockets.

fn millis(millis: u64) -> HumanDuration {
    HumanDuration(Duration::from_millis(millis))
}

/// A scenario of the fault matrix, of six nodes for four seconds. The request rate is low and the latency objectives
/// are so long that a slow machine meets them.
fn scenario_for_slow_machines(name: &str) -> Scenario {
    let path = scenarios().join(format!("faults/{name}.toml"));
    let mut scenario = Scenario::read(&path).unwrap();
    scenario.load.per_s = 60.0;
    for class in &mut scenario.classes {
        class.latency_objective = millis(5_000);
        class.deadline = millis(8_000);
    }
    scenario
}

fn run_with_seed(scenario: &Scenario, seed: u64) -> Result<Report, SocketError> {
    let folder = tempfile::tempdir().unwrap();
    run_scenario(
        scenario,
        seed,
        folder.path(),
        std::future::pending(),
        |_| (),
    )
}

fn sum(report: &Report, count: impl Fn(&Counts) -> u64) -> u64 {
    report.windows.iter().map(count).sum()
}

/// A scenario, the kind and rate of the faults injected into it, and a seed.
struct FaultCase {
    scenario: &'static str,
    kind: FaultKind,
    rate: f64,
    seed: u64,
}

/// Runs a case. Returns the error of the run or the first failed check, or `None` if all checks pass.
fn run_and_check(case: &FaultCase) -> Option<String> {
    let mut scenario = scenario_for_slow_machines(case.scenario);
    let events = case.kind.events(case.rate, scenario.duration);
    scenario.faults.extend(events);
    let report = match run_with_seed(&scenario, case.seed) {
        Ok(report) => report,
        Err(error) => return Some(error.to_string()),
    };
    let ended = sum(&report, |counts| {
        counts.in_time
            + counts.late
            + counts.rejected
            + counts.failed
            + counts.timed_out
            + counts.abandoned
    });
    let injected: u64 = report.injected_faults.iter().map(|f| f.injected).sum();
    let checks = [
        (
            "a request did not end exactly once",
            ended == sum(&report, |counts| counts.requests),
        ),
        ("invariants were violated", report.invariants_hold()),
        ("the service level is too low", report.service_level > 0.95),
        ("no fault was injected", injected > 0),
    ];
    let failed = checks.iter().find(|(_, holds)| !holds)?;
    Some(format!("{}: {report}", failed.0))
}

fn assert_tolerated(cases: &[FaultCase]) {
    let problems: Vec<String> = cases
        .iter()
        .filter_map(|case| {
            let FaultCase {
                scenario,
                kind,
                rate,
                seed,
            } = case;
            let problem = run_and_check(case)?;
            Some(format!(
                "{scenario}, {kind} at {rate}, seed {seed}: {problem}"
            ))
        })
        .collect();
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

fn case(scenario: &'static str, kind: FaultKind, rate: f64, seed: u64) -> FaultCase {
    FaultCase {
        scenario,
        kind,
        rate,
        seed,
    }
}

#[test]
fn nodes_tolerate_failures_of_accept_and_connect() {
    assert_tolerated(&[
        case("burst", FaultKind::Accepts, 0.05, 1),
        case("calm", FaultKind::Accepts, 0.2, 3),
        case("kill", FaultKind::Connects, 0.05, 2),
        case("restart", FaultKind::Connects, 0.2, 4),
    ]);
}

#[test]
fn nodes_tolerate_log_write_failures_and_clock_steps() {
    assert_tolerated(&[
        case("drain", FaultKind::Log, 0.2, 6),
        case("kill", FaultKind::ClockOffset, 1.0, 4),
        case("list", FaultKind::ClockSteps, 1.0, 5),
        case("restart", FaultKind::ClockSteps, 1.0, 7),
    ]);
}

#[test]
fn nodes_tolerate_short_reads_and_writes() {
    assert_tolerated(&[
        case("calm", FaultKind::ShortCounts, 0.05, 3),
        case("drain", FaultKind::ShortCounts, 0.2, 6),
        case("kill", FaultKind::ShortCounts, 0.5, 5),
    ]);
}

#[test]
fn nodes_tolerate_interrupted_calls() {
    assert_tolerated(&[
        case("restart", FaultKind::Interrupted, 0.01, 4),
        case("calm", FaultKind::Interrupted, 0.05, 3),
        case("kill", FaultKind::Interrupted, 0.2, 5),
    ]);
}

#[test]
fn nodes_start_despite_intermittent_socket_listen_and_file_errors() {
    assert_tolerated(&[
        case("calm", FaultKind::Sockets, 0.05, 3),
        case("restart", FaultKind::Sockets, 0.2, 4),
        case("calm", FaultKind::Listens, 0.05, 3),
        case("kill", FaultKind::Listens, 0.2, 5),
        case("calm", FaultKind::Files, 0.05, 3),
        case("restart", FaultKind::Files, 0.2, 4),
    ]);
}

#[test]
fn nodes_tolerate_all_faults_combined() {
    assert_tolerated(&[
        case("kill", FaultKind::Combined, 0.01, 3),
        case("calm", FaultKind::Combined, 0.05, 3),
    ]);
}
