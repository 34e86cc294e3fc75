//! The router as a process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};

use super::{Client, PATIENCE, wait_until};

/// The number of the next configuration file.
static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// How a router is started.
pub struct StartOptions {
    /// The limit of sockets in its configuration.
    pub sockets: usize,
    /// A shell command that is run before it, such as a limit.
    pub shell_command: &'static str,
    /// Its settings.
    pub settings: String,
    /// Who reads its log.
    pub log_reader: LogReader,
    /// Whether it writes its trace.
    pub has_trace: bool,
}

/// Who reads the log of a router.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum LogReader {
    /// The test, line by line.
    Test,
    /// Nobody, though the pipe stays open: it fills up.
    Stalled,
    /// Nobody any more: the pipe is closed.
    Gone,
}

impl Default for StartOptions {
    fn default() -> Self {
        StartOptions {
            sockets: 256,
            shell_command: "",
            settings: settings().into(),
            log_reader: LogReader::Test,
            has_trace: false,
        }
    }
}

impl StartOptions {
    /// With a limit of sockets.
    pub fn with_sockets(sockets: usize) -> Self {
        StartOptions {
            sockets,
            ..StartOptions::default()
        }
    }

    /// With a deadline of half a second.
    pub fn with_short_deadline() -> Self {
        StartOptions {
            settings: settings().replace("8000000", "500000"),
            ..StartOptions::default()
        }
    }

    /// With endpoint lists that are pushed.
    pub fn with_pushed_lists() -> Self {
        StartOptions {
            settings: settings().replace(r#""discovery":"ask""#, r#""discovery":"push""#),
            ..StartOptions::default()
        }
    }
}

/// A router under test; killed when dropped.
pub struct RouterProcess {
    child: Child,
    pub address: SocketAddr,
    /// The lines of its log after the first; none if the test does not read it.
    pub log: Receiver<String>,
    #[expect(
        dead_code,
        reason = "a log that nobody reads is open for as long as it is kept"
    )]
    unread_log: Option<ChildStderr>,
    config_path: PathBuf,
    /// What was in the configuration file at the start.
    initial_config: String,
}

impl RouterProcess {
    pub fn start(discovery: SocketAddr, cached_list: &str) -> RouterProcess {
        RouterProcess::start_with(discovery, cached_list, StartOptions::default())
    }

    pub fn start_with(
        discovery: SocketAddr,
        cached_list: &str,
        options: StartOptions,
    ) -> RouterProcess {
        let StartOptions {
            sockets,
            shell_command,
            settings,
            log_reader,
            has_trace,
        } = options;
        let initial_config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0a","limits":{{"sockets":{sockets}}},"known":{cached_list},"settings":{settings}}}"#
        );
        let config_path = config_file(&initial_config);
        let program = env!("CARGO_BIN_EXE_cache-router");
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{shell_command} exec \"{program}\""))
            .env("ROUTER_CONFIG", &config_path)
            .env_remove("ROUTER_LISTEN")
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("CACHE_ROUTER_NODE__TRACE", has_trace.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let output = child.stderr.take().unwrap();
        let (address, log, unread_log) = match log_reader {
            LogReader::Test => {
                let (address, log) = read_log(output);
                (address, log, None)
            }
            LogReader::Stalled => (listening_address(child.id()), channel().1, Some(output)),
            LogReader::Gone => {
                drop(output);
                (listening_address(child.id()), channel().1, None)
            }
        };
        RouterProcess {
            child,
            address,
            log,
            unread_log,
            config_path,
            initial_config,
        }
    }

    /// A new client.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Replaces its configuration, some text of the first one by another, and signals that.
    pub fn reconfigure(&self, from: &str, to: &str) {
        self.write_config(from, to, 1.0);
        self.signal("HUP");
    }

    /// Writes its configuration, some text of the first one replaced by another, cut off after a part of it.
    pub fn write_config(&self, from: &str, to: &str, part: f64) {
        let text = self.initial_config.replace(from, to);
        let length = (text.len() as f64 * part) as usize;
        std::fs::write(&self.config_path, &text[..length]).unwrap();
    }

    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Waits until a line of the log matches; whether one did.
    pub fn logs(&self, matches: impl Fn(&str) -> bool) -> bool {
        std::iter::from_fn(|| self.log.recv_timeout(PATIENCE).ok()).any(|line| matches(&line))
    }

    /// Waits for its end, and requires that it was in order.
    pub fn assert_exits_with_success(&mut self) {
        assert_eq!(self.wait().code(), Some(0));
    }

    fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// Sends a signal to a process.
pub fn send_signal(process: u32, name: &str) {
    let kill = format!("kill -{name} {process}");
    let status = Command::new("/bin/sh").arg("-c").arg(kill).status();
    assert!(status.unwrap().success());
}

/// The address that the first line of a log names, and the lines after it.
fn read_log(output: ChildStderr) -> (SocketAddr, Receiver<String>) {
    let mut lines = BufReader::new(output).lines().map_while(Result::ok);
    let first = lines.next().expect("a first line in the log");
    let address = first
        .rsplit(' ')
        .next()
        .and_then(|address| address.parse().ok())
        .expect("an address in the log");
    let (sender, log) = channel();
    std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
    (address, log)
}

/// The address on which a process listens, from the system's tables, once it listens.
fn listening_address(process: u32) -> SocketAddr {
    let mut address = None;
    wait_until("the router listens", || {
        address = find_listening_address(process);
        address.is_some()
    });
    address.unwrap()
}

fn find_listening_address(process: u32) -> Option<SocketAddr> {
    let sockets: Vec<String> = std::fs::read_dir(format!("/proc/{process}/fd"))
        .ok()?
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|target| target.display().to_string())
        .collect();
    let table = std::fs::read_to_string(format!("/proc/{process}/net/tcp")).ok()?;
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, state, inode) = (fields[1], fields[3], fields[9]);
        let is_listening = state == "0A" && sockets.contains(&format!("socket:[{inode}]"));
        let port = u16::from_str_radix(local.rsplit(':').next()?, 16).ok()?;
        is_listening.then(|| SocketAddr::from(([127, 0, 0, 1], port)))
    })
}

/// Writes a configuration file of its own for each router.
pub fn config_file(text: &str) -> PathBuf {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let name = format!("cache-router-test-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// The settings of the deployment.
pub fn settings() -> &'static str {
    r#"{"balancers":1,"me":0,"zone":0,"zones":["a"],"machineTypes":["std","origin"],"discovery":"ask",
    "classes":[{"name":"read","goalTimeUs":250000,"deadlineUs":8000000,"effect":"pure","lateValue":0.5,"gain":1.0},
      {"name":"put","goalTimeUs":250000,"deadlineUs":8000000,"effect":"side_effect","lateValue":0.5,"gain":1.0}],
    "realms":[{"name":"acme","quotaPerS":1000.0}],"specifics":{"mode":"aside","originKind":1},
    "limits":{"maxAttempts":4,"mayCancel":true,"mayDuplicate":false,"connectTimeoutUs":2000000,"idleCloseUs":15000000},
    "guarantees":{"askWithinUs":1000000,"drainGraceUs":500000},"periodUs":2000}"#
}
