//! Real nodes on loopback: short plays with faults, and the ways between the parties. What is asserted holds on a machine
//! of any speed: who is answered, which rules are kept, what is left behind; never how quickly.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use router_config::Span;
use testbed::report::Counts;
use testbed::scenario::{Effect, Event};
use testbed::sockets::link::{Link, State, listen};
use testbed::sockets::{Options, SocketError, play};
use testbed::{Report, Scenario, program};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LONG: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Span {
    Span(Duration::from_millis(ms))
}

/// A small fleet for three seconds, whose aims are so long that a slow machine reaches them too.
fn small() -> Scenario {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios/demo.toml");
    let mut scenario = Scenario::read(&path).unwrap();
    (scenario.length, scenario.nodes, scenario.event) = (ms(3_000), 3, Vec::new());
    scenario.load.per_s = 60.0;
    scenario.kind.iter_mut().for_each(|kind| kind.servers = 3);
    for class in &mut scenario.class {
        (class.aim, class.deadline) = (ms(5_000), ms(8_000));
    }
    scenario
}

fn played(
    scenario: &Scenario,
    stop: impl Future<Output = ()>,
) -> (tempfile::TempDir, Result<Report, SocketError>) {
    let folder = tempfile::tempdir().unwrap();
    let program = program::find(None).unwrap();
    let options = Options {
        program: &program,
        folder: folder.path(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let report = runtime.block_on(play(scenario, 3, &options, stop, |_| ()));
    (folder, report)
}

fn sum(report: &Report, of: impl Fn(&Counts) -> u64) -> u64 {
    report.windows.iter().map(of).sum()
}

fn each_has_one_end(report: &Report) {
    let ends = |w: &Counts| w.in_time + w.late + w.refused + w.failed + w.timed_out + w.gave_up;
    assert_eq!(sum(report, |w| w.asked), sum(report, ends), "{report}");
    assert!(sum(report, |w| w.asked) > 100, "{report}");
}

#[test]
fn a_sound_fleet_on_sockets_serves_and_each_request_has_one_end() {
    let (_folder, report) = played(&small(), std::future::pending());
    let report = report.unwrap();
    each_has_one_end(&report);
    assert!(report.kept() && report.service > 0.9, "{report}");
    assert!(
        sum(&report, |w| w.attempts) > 0 && sum(&report, |w| w.origin) > 0,
        "{report}"
    );
    assert_eq!(
        report.load.values().sum::<u64>(),
        sum(&report, |w| w.attempts)
    );
}

#[test]
fn nodes_killed_and_stopped_while_clients_write_run_nothing_twice() {
    let mut scenario = small();
    for class in &mut scenario.class {
        (class.effect, class.write) = (Effect::Once, true);
    }
    scenario.event = vec![
        Event::KillNodes {
            at: ms(700),
            part: 0.34,
            back: ms(500),
        },
        Event::StopNodes {
            at: ms(1_500),
            part: 0.34,
            lasts: ms(400),
        },
        Event::KillNodes {
            at: ms(2_200),
            part: 0.67,
            back: ms(300),
        },
    ];
    let (_folder, report) = played(&scenario, std::future::pending());
    let report = report.unwrap();
    each_has_one_end(&report);
    assert!(report.kept(), "{report}");
    assert!(
        sum(&report, |w| w.origin) > 50 && sum(&report, |w| w.attempts) == 0,
        "{report}"
    );
}

#[test]
fn servers_replaced_and_lost_a_zone_cut_and_the_list_down_and_moved_break_no_rule() {
    let mut scenario = small();
    scenario.event = vec![
        Event::Replace {
            at: ms(300),
            part: 0.5,
            over: ms(500),
            drain: ms(500),
        },
        Event::CutZone {
            at: ms(1_000),
            zone: 1,
            lasts: ms(500),
        },
        Event::ListDown {
            at: ms(1_200),
            lasts: ms(500),
        },
        Event::MoveList { at: ms(1_900) },
        Event::LoseServers {
            at: ms(2_000),
            part: 0.3,
            back: ms(300),
        },
    ];
    let (_folder, report) = played(&scenario, std::future::pending());
    let report = report.unwrap();
    each_has_one_end(&report);
    assert!(report.kept() && report.service > 0.3, "{report}");
    assert!(
        report.load.keys().any(|server| *server > 6),
        "one that was started in place of another: {report}"
    );
}

#[test]
fn a_play_that_is_interrupted_leaves_no_process() {
    // At its first sign of progress.
    let folder = tempfile::tempdir().unwrap();
    let program = program::find(None).unwrap();
    let options = Options {
        program: &program,
        folder: folder.path(),
    };
    let (seen, mut heard) = tokio::sync::mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let stop = async {
        heard.recv().await;
    };
    let report = runtime.block_on(play(&small(), 3, &options, stop, |_| {
        let _ = seen.send(());
    }));
    assert!(matches!(report, Err(SocketError::Interrupted)));
    let config = std::fs::read_to_string(folder.path().join("n0.json")).unwrap();
    let config: serde_json::Value = serde_json::from_str(&config).unwrap();
    let address: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    // Killed; the system may take a moment to see it.
    while std::net::TcpStream::connect(address).is_ok() {
        std::thread::yield_now();
    }
}

#[test]
fn too_many_nodes_and_a_missing_program_are_refused_before_anything_starts() {
    let scenario = Scenario {
        nodes: 301,
        ..small()
    };
    let (folder, report) = played(&scenario, std::future::pending());
    let told = report.unwrap_err().to_string();
    assert!(
        told.contains("301 nodes and 6 cache servers: on sockets at most 300 and 400"),
        "{told}"
    );
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 0);
    let told = program::find(Some("/nowhere/cache-router".as_ref()))
        .unwrap_err()
        .to_string();
    assert!(
        told.starts_with("no program at /nowhere/cache-router: build it"),
        "{told}"
    );
}

#[test]
fn a_node_that_does_not_start_is_told_with_what_it_said() {
    let mut scenario = small();
    // No class has this name twice in a deployment; a node with none refuses to start.
    scenario.class.clear();
    let (_folder, report) = played(&scenario, std::future::pending());
    let told = report.unwrap_err().to_string();
    assert!(
        told.contains("does not start: cache-router: the settings name no class"),
        "{told}"
    );
}

#[test]
fn lost_spoilt_and_reset_answers_and_rubbish_peers_serve_no_client_anything_else() {
    let mut scenario = small();
    for class in &mut scenario.class {
        (class.aim, class.deadline, class.share) = (ms(1_500), ms(2_000), 0.5);
    }
    scenario.event = vec![
        Event::BreakAnswers {
            at: ms(200),
            lost: 0.05,
            spoilt: 0.1,
            reset: 0.1,
            lasts: ms(2_300),
        },
        Event::Rubbish {
            at: ms(200),
            per_s: 40.0,
            lasts: ms(2_300),
        },
    ];
    let (_folder, report) = played(&scenario, std::future::pending());
    let report = report.unwrap();
    each_has_one_end(&report);
    assert!(report.kept() && report.service > 0.3, "{report}");
    assert!(
        sum(&report, |w| w.failed) > 0,
        "a write whose answer broke may have run: {report}"
    );
}

#[test]
fn nodes_restarted_one_after_another_under_load_lose_nothing_and_are_back() {
    let mut scenario = small();
    scenario.load.retries = 0;
    scenario.event = vec![
        Event::RestartNodes {
            at: ms(300),
            part: 1.0,
            over: ms(1_500),
        },
        Event::MoveList { at: ms(2_500) },
    ];
    let (folder, report) = played(&scenario, std::future::pending());
    let report = report.unwrap();
    each_has_one_end(&report);
    assert!(report.kept() && report.service > 0.5, "{report}");
    for node in 0..3 {
        let log = std::fs::read_to_string(folder.path().join(format!("n{node}.log"))).unwrap();
        assert_eq!(log.matches("listening on").count(), 2, "node {node}: {log}");
        assert!(log.contains("discovery is at"), "node {node}: {log}");
    }
}

/// A far end that says back all it is told.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut input, mut output) = stream.split();
                tokio::io::copy(&mut input, &mut output).await
            });
        }
    });
    address
}

async fn said(stream: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back).await?;
    Ok(back)
}

#[tokio::test]
async fn a_way_carries_delays_holds_up_resets_and_refuses() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let link = Link::open(any, echo().await, State::default())
        .await
        .unwrap();
    let mut near = TcpStream::connect(link.address()).await.unwrap();
    assert_eq!(said(&mut near, b"one").await.unwrap(), b"one");
    // Delayed there and back: not before both have passed.
    let delay = Duration::from_millis(30);
    link.set(|state| state.delay = (delay, delay));
    let before = tokio::time::Instant::now();
    assert_eq!(said(&mut near, b"two").await.unwrap(), b"two");
    assert!(before.elapsed() >= 2 * delay);
    // Held up on the way back only: the far end has it, and nothing comes until the way is open, then all in order.
    link.set(|state| {
        (state.delay, state.silent) = ((Duration::ZERO, Duration::ZERO), (false, true))
    });
    near.write_all(b"three").await.unwrap();
    let mut byte = [0; 8];
    let silent = tokio::time::timeout(Duration::from_millis(100), near.read(&mut byte)).await;
    assert!(silent.is_err(), "nothing comes through a silent way");
    near.write_all(b"four").await.unwrap();
    link.set(|state| state.silent = (false, false));
    let mut back = vec![0; 9];
    tokio::time::timeout(LONG, near.read_exact(&mut back))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(back, b"threefour");
    // The far end dies: what is open is reset, new ones are refused, until it is back.
    link.dies();
    let broken = tokio::time::timeout(LONG, near.read(&mut byte))
        .await
        .unwrap();
    assert_eq!(
        broken.unwrap_err().kind(),
        std::io::ErrorKind::ConnectionReset
    );
    while TcpStream::connect(link.address()).await.is_ok() {
        tokio::task::yield_now().await;
    }
    link.set(|state| state.listens = true);
    let back = async {
        loop {
            if let Ok(stream) = TcpStream::connect(link.address()).await {
                return stream;
            }
            tokio::task::yield_now().await;
        }
    };
    let mut near = tokio::time::timeout(LONG, back).await.unwrap();
    assert_eq!(said(&mut near, b"five").await.unwrap(), b"five");
    // Its owner is gone: so is the way.
    let address = link.address();
    drop(link);
    assert_eq!(
        tokio::time::timeout(LONG, near.read(&mut byte))
            .await
            .unwrap()
            .unwrap_or(0),
        0
    );
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_way_to_nobody_is_reset() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let gone = listen(any).unwrap().local_addr().unwrap();
    let link = Link::open(any, gone, State::default()).await.unwrap();
    let mut near = TcpStream::connect(link.address()).await.unwrap();
    assert!(
        tokio::time::timeout(LONG, said(&mut near, b"one"))
            .await
            .unwrap()
            .is_err()
    );
}
