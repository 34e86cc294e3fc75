//! The router as a process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};

use super::{Client, TEST_TIMEOUT, wait_until};

/// The number of the next configuration file.
static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);

/// How a router is started.
pub struct StartOptions {
    /// The limit on sockets in its configuration.
    pub sockets: usize,
    /// The limit on memory in its configuration, in MiB.
    pub memory_mb: usize,
    /// A shell command that runs before the router, such as one that sets a limit.
    pub shell_command: &'static str,
    /// The settings in its configuration.
    pub settings: String,
    /// Who reads its log.
    pub log_reader: LogReader,
    /// Whether the router writes its trace.
    pub trace_enabled: bool,
}

/// Who reads the log of a router.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum LogReader {
    /// The test, line by line.
    Test,
    /// Nobody. The pipe stays open and fills up.
    Stalled,
    /// Nobody. The pipe is closed.
    Closed,
}

impl Default for StartOptions {
    fn default() -> Self {
        StartOptions {
            sockets: 256,
            memory_mb: 192,
            shell_command: "",
            settings: settings().into(),
            log_reader: LogReader::Test,
            trace_enabled: false,
        }
    }
}

impl StartOptions {
    /// Options with a limit on sockets.
    pub fn with_sockets(sockets: usize) -> Self {
        StartOptions {
            sockets,
            ..StartOptions::default()
        }
    }

    /// Options with a deadline of half a second for all classes.
    pub fn with_short_deadline() -> Self {
        StartOptions {
            settings: settings().replace("8000000", "500000"),
            ..StartOptions::default()
        }
    }

    /// Options with endpoint lists that are pushed by discovery.
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
    /// The lines of its log after the first; empty if the test does not read the log.
    pub log: Receiver<String>,
    #[expect(dead_code, reason = "keeps the pipe of an unread log open")]
    unread_log: Option<ChildStderr>,
    config_path: PathBuf,
    /// The configuration file at startup.
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
            memory_mb,
            shell_command,
            settings,
            log_reader,
            trace_enabled,
        } = options;
        let initial_config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0a","limits":{{"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{cached_list},"settings":{settings}}}"#
        );
        let config_path = config_file(&initial_config);
        let program = env!("CARGO_BIN_EXE_cache-router");
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{shell_command} exec \"{program}\""))
            .env("ROUTER_CONFIG", &config_path)
            .env_remove("ROUTER_LISTEN")
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("CACHE_ROUTER_NODE__TRACE", trace_enabled.to_string())
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
            LogReader::Closed => {
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

    /// Connects a new client.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Writes the initial configuration with `from` replaced by `to`, and has the router reload it.
    pub fn reconfigure(&self, from: &str, to: &str) {
        self.write_config(from, to, 1.0);
        self.signal("HUP");
    }

    /// Writes the initial configuration with `from` replaced by `to`, truncated to a fraction of its length.
    pub fn write_config(&self, from: &str, to: &str, fraction: f64) {
        let text = self.initial_config.replace(from, to);
        let length = (text.len() as f64 * fraction) as usize;
        std::fs::write(&self.config_path, &text[..length]).unwrap();
    }

    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until a line of the log matches. Returns whether one did.
    pub fn wait_for_log_line(&self, matches: impl Fn(&str) -> bool) -> bool {
        std::iter::from_fn(|| self.log.recv_timeout(TEST_TIMEOUT).ok()).any(|line| matches(&line))
    }

    /// Waits for the process to exit and checks that it exits with success.
    pub fn assert_exits_with_success(&mut self) {
        assert_eq!(self.wait().code(), Some(0));
    }

    /// The exit code of the process if it has ended, `Some(None)` if a signal ended it.
    pub fn exit_code(&mut self) -> Option<Option<i32>> {
        let status = self.child.try_wait().unwrap();
        status.map(|status| status.code())
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

/// The memory that a process has allocated and used, in KiB. Its program text is not counted: it is large in a build
/// for tests.
pub fn allocated_kib(process: u32) -> usize {
    status_kib(process, "RssAnon:")
}

/// The most memory of a process that has been resident so far, in KiB, with its program text.
pub fn peak_kib(process: u32) -> usize {
    status_kib(process, "VmHWM:")
}

/// As [`peak_kib`]; `None` if the process has ended.
pub fn try_peak_kib(process: u32) -> Option<usize> {
    try_status_kib(process, "VmHWM:")
}

/// A figure that the kernel states about a process, in KiB.
fn status_kib(process: u32, name: &str) -> usize {
    try_status_kib(process, name).unwrap()
}

/// As [`status_kib`]; `None` if the process has ended.
fn try_status_kib(process: u32, name: &str) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Sends a signal to a process.
pub fn send_signal(process: u32, name: &str) {
    let kill = format!("kill -{name} {process}");
    let status = Command::new("/bin/sh").arg("-c").arg(kill).status();
    assert!(status.unwrap().success());
}

/// The listen address in the first line of a log, and the lines after it.
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

/// Waits until a process listens and returns the address, from the system's socket table.
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

/// Writes a new configuration file with a unique name.
pub fn config_file(text: &str) -> PathBuf {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
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
