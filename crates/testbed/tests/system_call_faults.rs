//! Faults of system calls: scenarios that name impossible ones are rejected, the injector does to a process what its plan
//! says, and nodes on sockets bear them. Nothing here depends on the speed of the machine.
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
use router_config::Span;
use testbed::fault_matrix::FaultKind;
use testbed::report::Counts;
use testbed::sockets::SocketError;
use testbed::{Report, Scenario, program};

use socket_run::run_scenario;

/// Tells this program that it is the child of a test, and what it is to do.
const CHILD_VARIABLE: &str = "SYSTEM_CALL_FAULTS_CHILD";
/// Calls that a child makes.
const CALLS: usize = 400;
/// Writes of a child to each kind of descriptor, few enough for the buffers of those that nobody reads.
const WRITES: usize = 100;

// Scenario files.

struct InvalidFault {
    fault: &'static str,
    message: &'static str,
}

const INVALID_FAULTS: [InvalidFault; 9] = [
    InvalidFault {
        fault: "what = \"system-calls\"\nat = \"1s\"\ncalls = [\"recv\"]\nerrors = [\"EINTR\"]\nrate = 1.5\nlasts = \"1s\"",
        message: "event.0.rate: found 1.5: write a part, 0 to 1",
    },
    InvalidFault {
        fault: "what = \"system-calls\"\nat = \"1s\"\npart = 2.0\ncalls = [\"recv\"]\nerrors = [\"EINTR\"]\nrate = 0.5\nlasts = \"1s\"",
        message: "event.0.part: found 2: write a part, 0 to 1",
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
fn an_impossible_fault_of_system_calls_is_rejected_with_what_to_write() {
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
fn in_virtual_time_faults_of_system_calls_and_clocks_change_nothing() {
    let mut scenario = Scenario::read(&scenarios().join("faults/calm.toml")).unwrap();
    let without = testbed::virtual_time::run(&scenario, 5);
    for kind in FaultKind::ALL {
        scenario.faults.extend(kind.events(0.2, scenario.length));
    }
    let with = testbed::virtual_time::run(&scenario, 5);
    assert_eq!(with.service, without.service);
    assert_eq!(with.classes, without.classes);
    let json = serde_json::to_string(&without).unwrap();
    assert!(!json.contains("injected"), "{json}");
}

// The injector, in a child process: this program itself.

/// Runs a test of this program again as a process with a plan. The test then does [`child_work`].
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

/// What a child writes: a line for each result, marked so as to be told from those of the test harness.
const RESULT: &str = "result ";

fn results(child: Child) -> Vec<String> {
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    let results = text.lines().filter_map(|line| line.split_once(RESULT));
    results.map(|(_, result)| result.to_string()).collect()
}

/// What a child does, if this process is one.
fn child_work() -> bool {
    let Ok(work) = std::env::var(CHILD_VARIABLE) else {
        return false;
    };
    match work.as_str() {
        "hits" => println!("\n{RESULT}{}", hits_of_socket_reads()),
        "short" => println!("\n{RESULT}{}", bytes_of_short_transfers()),
        "clock" => println!("\n{RESULT}{}", unix_seconds()),
        "switch" => wait_for_errors(),
        expected => assert_eq!(errors_by_descriptor_kind(), expected),
    }
    true
}

fn connected_sockets() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (near, listener.accept().unwrap().0)
}

/// For each of some reads of a socket, its error, or `-` where it had none.
fn hits_of_socket_reads() -> String {
    let (mut near, mut far) = connected_sockets();
    near.write_all(&[0; CALLS]).unwrap();
    let mut byte = [0];
    let read = |_| match far.read(&mut byte) {
        Ok(_) => "-".to_string(),
        Err(error) => format!("{:?}", error.kind()),
    };
    (0..CALLS).map(read).collect::<Vec<_>>().join(" ")
}

/// How many writes to a file, a pipe, standard error, a TCP and a Unix socket fail.
fn errors_by_descriptor_kind() -> String {
    let file = tempfile::tempfile().unwrap();
    let (_reader, pipe) = std::io::pipe().unwrap();
    let (near, _far) = connected_sockets();
    let (unix, _other) = UnixStream::pair().unwrap();
    let mut written_to: [Box<dyn Write>; 5] = [
        Box::new(file),
        Box::new(pipe),
        Box::new(std::io::stderr()),
        Box::new(near),
        Box::new(unix),
    ];
    let failures = written_to.iter_mut().map(|writer| {
        let failed = (0..WRITES).filter(|_| writer.write(b"x").is_err());
        failed.count().to_string()
    });
    failures.collect::<Vec<_>>().join(" ")
}

/// How many reads bring the bytes of messages of 100 bytes, how many writes it takes to write them, and whether all come.
fn bytes_of_short_transfers() -> String {
    let (mut near, mut far) = connected_sockets();
    let (mut reads, mut writes, mut received) = (0, 0, Vec::new());
    for number in 0..CALLS {
        let message = [number as u8; 100];
        let mut written = 0;
        while written < message.len() {
            written += near.write(&message[written..]).unwrap();
            writes += 1;
        }
        let mut buffer = [0; 4096];
        let until = (number + 1) * message.len();
        while received.len() < until {
            let length = far.read(&mut buffer).unwrap();
            assert!(length > 0);
            received.extend_from_slice(&buffer[..length]);
            reads += 1;
        }
    }
    let in_order = received.iter().enumerate();
    let whole = in_order
        .filter(|(place, byte)| **byte == (place / 100) as u8)
        .count();
    format!("{reads} {writes} {whole}")
}

fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap();
    since_epoch.as_secs()
}

/// Reads a file until a read fails; says when it has begun.
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

fn reads_interrupted(rate: f64) -> Fault {
    let errors = vec![ErrorName::Eio, ErrorName::Econnreset];
    fault(
        &[SystemCall::Recv],
        DescriptorKind::Tcp,
        Effect::Errors(errors),
        rate,
    )
}

#[test]
fn which_calls_fail_follows_from_the_seed_and_is_counted() {
    if child_work() {
        return;
    }
    let folder = tempfile::tempdir().unwrap();
    let test = "which_calls_fail_follows_from_the_seed_and_is_counted";
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
    let (hits, (calls, injected)) = run("one", 1, reads_interrupted(0.2));
    let failed = hits.split(' ').filter(|hit| *hit != "-").count() as u64;
    assert_eq!((calls, injected), (CALLS as u64, failed));
    assert!((40..=120).contains(&injected), "one in five of 400: {hits}");
    assert!(hits.contains("ConnectionReset"), "{hits}");
    assert_eq!(run("same", 1, reads_interrupted(0.2)).0, hits);
    assert_ne!(run("other", 2, reads_interrupted(0.2)).0, hits);
    let over = Fault {
        until_ms: Some(0),
        ..reads_interrupted(1.0)
    };
    let to_come = Fault {
        from_ms: 3_600_000,
        ..reads_interrupted(1.0)
    };
    for (name, fault) in [("over", over), ("to come", to_come)] {
        assert_eq!(run(name, 1, fault).1, (0, 0), "{name}");
    }
}

/// Calls that the first fault of a state file could hit, and did hit.
fn counts(state: &Path) -> (u64, u64) {
    let bytes = std::fs::read(state).unwrap();
    let slot = |slot: usize| {
        let place = slot * fault_plan::layout::SLOT_BYTES;
        u64::from_ne_bytes(bytes[place..][..8].try_into().unwrap())
    };
    use fault_plan::layout::{calls, injected};
    (slot(calls(0)), slot(injected(0)))
}

#[test]
fn a_fault_hits_the_kind_of_descriptor_that_it_names_and_no_other() {
    if child_work() {
        return;
    }
    let test = "a_fault_hits_the_kind_of_descriptor_that_it_names_and_no_other";
    let kinds = [
        (DescriptorKind::File, "100 0 0 0 0"),
        (DescriptorKind::Pipe, "0 100 0 0 0"),
        (DescriptorKind::Log, "0 0 100 0 0"),
        (DescriptorKind::Tcp, "0 0 0 100 0"),
    ];
    // The child checks by itself: what it writes results to would be hit too.
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
    let all = (CALLS * 100).to_string();
    let transfers = [SystemCall::Recv, SystemCall::Send];
    let plan = |rate| Plan {
        faults: vec![fault(&transfers, DescriptorKind::Tcp, Effect::Short, rate)],
        ..Plan::default()
    };
    let whole = results(child(test, "short", &plan(0.0))).join("");
    assert_eq!(whole, format!("{CALLS} {CALLS} {all}"));
    let short = results(child(test, "short", &plan(0.5))).join("");
    let figures: Vec<&str> = short.split(' ').collect();
    let calls = |place: usize| figures[place].parse::<usize>().unwrap();
    assert!(
        calls(0) > CALLS * 3 / 2 && calls(1) > CALLS * 3 / 2,
        "{short}"
    );
    assert_eq!(figures[2], all);
}

#[test]
fn the_wall_clock_is_off_by_the_step_and_faults_are_switched_while_a_process_runs() {
    if child_work() {
        return;
    }
    let test = "the_wall_clock_is_off_by_the_step_and_faults_are_switched_while_a_process_runs";
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
        let told: u64 = results(child(test, "clock", &plan))[0].parse().unwrap();
        let range = before..=unix_seconds();
        let right = told.saturating_add_signed(-offset_s);
        assert!(range.contains(&right), "{told} {range:?}");
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
            state.switch(0, true).unwrap();
        }
    }
    assert!(process.wait().unwrap().success());
    let counts = state.counts(0).unwrap();
    assert_eq!((counts.calls, counts.injected), (1, 1));
}

// Nodes on sockets.

fn millis(millis: u64) -> Span {
    Span(Duration::from_millis(millis))
}

/// Six nodes for three seconds, whose latency objectives are so long that a slow machine meets them too.
fn fleet(name: &str) -> Scenario {
    let path = scenarios().join(format!("faults/{name}.toml"));
    let mut scenario = Scenario::read(&path).unwrap();
    scenario.load.per_s = 60.0;
    for class in &mut scenario.classes {
        class.latency_objective = millis(5_000);
        class.deadline = millis(8_000);
    }
    scenario
}

fn play(scenario: &Scenario, seed: u64) -> Result<Report, SocketError> {
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

/// A scenario with a kind of faults at a rate, and a seed.
struct FaultCase {
    scenario: &'static str,
    kind: FaultKind,
    rate: f64,
    seed: u64,
}

/// What went wrong in a run, in words; nothing if all is well.
fn problem(case: &FaultCase) -> Option<String> {
    let mut scenario = fleet(case.scenario);
    let events = case.kind.events(case.rate, scenario.length);
    scenario.faults.extend(events);
    let report = match play(&scenario, case.seed) {
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
            "not each request ended once",
            ended == sum(&report, |counts| counts.requests),
        ),
        ("rules were broken", report.invariants_hold()),
        ("requests were not served", report.service > 0.95),
        ("nothing was injected", injected > 0),
    ];
    let failed = checks.iter().find(|(_, holds)| !holds)?;
    Some(format!("{}: {report}", failed.0))
}

fn assert_borne(cases: &[FaultCase]) {
    let problems: Vec<String> = cases
        .iter()
        .filter_map(|case| {
            let FaultCase {
                scenario,
                kind,
                rate,
                seed,
            } = case;
            let problem = problem(case)?;
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
fn nodes_bear_connections_that_are_not_accepted_or_made() {
    assert_borne(&[
        case("burst", FaultKind::Accepts, 0.05, 1),
        case("calm", FaultKind::Accepts, 0.2, 3),
        case("kill", FaultKind::Connects, 0.05, 2),
        case("restart", FaultKind::Connects, 0.2, 4),
    ]);
}

#[test]
fn nodes_bear_a_log_that_is_not_written_and_clocks_that_are_off() {
    assert_borne(&[
        case("drain", FaultKind::Log, 0.2, 6),
        case("kill", FaultKind::ClockOffset, 1.0, 4),
        case("list", FaultKind::ClockSteps, 1.0, 5),
        case("restart", FaultKind::ClockSteps, 1.0, 7),
    ]);
}

#[test]
fn nodes_bear_short_reads_and_writes() {
    assert_borne(&[
        case("calm", FaultKind::ShortCounts, 0.05, 3),
        case("drain", FaultKind::ShortCounts, 0.2, 6),
        case("kill", FaultKind::ShortCounts, 0.5, 5),
    ]);
}

#[test]
fn nodes_bear_interrupted_calls() {
    assert_borne(&[
        case("restart", FaultKind::Interrupted, 0.01, 4),
        case("calm", FaultKind::Interrupted, 0.05, 3),
        case("kill", FaultKind::Interrupted, 0.2, 5),
    ]);
}

#[test]
fn nodes_start_though_sockets_listeners_and_files_fail_at_times() {
    assert_borne(&[
        case("calm", FaultKind::Sockets, 0.05, 3),
        case("restart", FaultKind::Sockets, 0.2, 4),
        case("calm", FaultKind::Listens, 0.05, 3),
        case("kill", FaultKind::Listens, 0.2, 5),
        case("calm", FaultKind::Files, 0.05, 3),
        case("restart", FaultKind::Files, 0.2, 4),
    ]);
}

#[test]
fn nodes_bear_all_of_these_together() {
    assert_borne(&[
        case("kill", FaultKind::Together, 0.01, 3),
        case("calm", FaultKind::Together, 0.05, 3),
    ]);
}
