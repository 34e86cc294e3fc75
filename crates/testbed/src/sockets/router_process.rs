//! `cache-router` processes. Each has its own configuration and log in the run's folder, and is killed when its owner
//! is dropped.

use std::fs::File;
use std::io::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use super::SocketError;
use super::client_connections::ConnectionPool;
use super::fault_injection::FaultInjection;
use super::loopback::listen;
use crate::deployment;
use crate::scenario::Scenario;

/// A node that has not answered a PING within this time has failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between PINGs to a node that is starting.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of open sockets of a node.
const MAX_SOCKETS: usize = 1024;

/// One node, across all incarnations of its process.
pub struct RouterProcess {
    node: u32,
    connections: Arc<ConnectionPool>,
    address: SocketAddr,
    discovery: SocketAddr,
    config_path: PathBuf,
    log_path: PathBuf,
    fault_injection: Option<FaultInjection>,
    child: Option<Child>,
    incarnation: u32,
    terminating: bool,
}

impl RouterProcess {
    /// Creates a node that is not running yet, with its files in `folder` and its discovery service at `discovery`. It
    /// listens at a free port of `address`, which must not be used by anything else.
    ///
    /// # Errors
    /// Returns an error if the system provides no port.
    pub fn new(
        node: u32,
        address: SocketAddr,
        discovery: SocketAddr,
        folder: &Path,
    ) -> std::io::Result<RouterProcess> {
        // The listener is closed at once. The port stays free, because nothing else binds to this address.
        let address = listen(address)?.local_addr()?;
        Ok(RouterProcess {
            node,
            connections: Arc::new(ConnectionPool::new(address)),
            address,
            discovery,
            config_path: folder.join(format!("n{node}.json")),
            log_path: folder.join(format!("n{node}.log")),
            fault_injection: None,
            child: None,
            incarnation: 0,
            terminating: false,
        })
    }

    /// Preloads a fault injector into all processes that are started from now on.
    pub(super) fn inject_faults(&mut self, injection: FaultInjection) {
        self.fault_injection = Some(injection);
    }

    /// The node's fault injector, if it has one.
    pub(super) fn fault_injection(&mut self) -> Option<&mut FaultInjection> {
        self.fault_injection.as_mut()
    }

    /// Starts a process that holds `known_endpoints` from the beginning.
    ///
    /// # Errors
    /// Returns an error if the configuration can't be written or the program can't be started.
    pub fn start(
        &mut self,
        program: &Path,
        scenario: &Scenario,
        known_endpoints: &Value,
        seed: u64,
    ) -> std::io::Result<()> {
        let seed = seed.wrapping_add(u64::from(self.incarnation) << 32);
        let config = json!({
            "name": format!("n{}", self.node),
            "listen": self.address,
            "discovery": self.discovery,
            "seed": format!("{seed:016x}"),
            "limits": {"sockets": MAX_SOCKETS},
            "known": known_endpoints,
            "settings": deployment::settings_text(scenario, self.node),
        });
        std::fs::write(&self.config_path, config.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let mut command = Command::new(program);
        if let Some(injection) = &mut self.fault_injection {
            let variables = injection.prepare(self.incarnation).map_err(Error::other)?;
            command.envs(variables.map(|variable| (variable.name, variable.value)));
        }
        let child = command
            .env("ROUTER_CONFIG", &self.config_path)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        self.incarnation += 1;
        self.terminating = false;
        Ok(())
    }

    /// Address for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections of clients to the node.
    pub fn connections(&self) -> &Arc<ConnectionPool> {
        &self.connections
    }

    /// Number of starts of its process.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Returns whether it has a process whose end has not been observed.
    pub fn has_process(&self) -> bool {
        self.child.is_some()
    }

    /// Process id, if it is running.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Returns whether its current process was told to shut down.
    pub fn is_terminating(&self) -> bool {
        self.terminating
    }

    /// Waits until the node answers PING. Returns false if it does not answer in time.
    pub fn ready(&self) -> impl Future<Output = bool> + Send + 'static {
        let address = self.address;
        async move {
            let answers = async {
                while !answers_ping(address).await {
                    tokio::time::sleep(READY_POLL_INTERVAL).await;
                }
            };
            tokio::time::timeout(START_TIMEOUT, answers).await.is_ok()
        }
    }

    /// Writes a new address of the discovery service to the configuration, and makes the process reload it.
    ///
    /// # Errors
    /// Returns an error if the configuration can't be read or written.
    pub fn move_discovery(&mut self, discovery: SocketAddr) -> std::io::Result<()> {
        self.discovery = discovery;
        let mut config: Value = serde_json::from_slice(&std::fs::read(&self.config_path)?)?;
        config["discovery"] = json!(discovery);
        // The file is replaced atomically, because the process may read it at any time.
        crate::atomic_file::write_atomically(&self.config_path, config.to_string().as_bytes())?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // The signal fails only if the process has just ended.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Tells the process to shut down gracefully.
    pub fn terminate(&mut self) {
        self.terminating = true;
        self.signal(Signal::SIGTERM);
    }

    /// Returns the exit status of the process once, if it has ended since the last call.
    pub fn take_exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Waits until the process has ended. Returns `None` if there is no process. Cancel-safe.
    pub async fn wait(&mut self) -> Option<std::io::Result<ExitStatus>> {
        match &mut self.child {
            Some(child) => Some(child.wait().await),
            None => None,
        }
    }

    /// Kills the process, waits for its end, and closes the clients' idle connections.
    pub async fn kill(&mut self) {
        self.connections.close_idle();
        if let Some(mut child) = self.child.take() {
            // This fails only if the process has already ended.
            let _ = child.kill().await;
        }
    }

    /// Returns an error that gives the last line of the log as the reason why the node did not start.
    pub fn startup_error(&self) -> SocketError {
        let log = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        let last_log_line = log.lines().last().unwrap_or("its log is empty").to_string();
        SocketError::NotReady {
            node: self.node,
            last_log_line,
        }
    }
}

async fn answers_ping(address: SocketAddr) -> bool {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
        let mut answer = [0; 7];
        stream.read_exact(&mut answer).await?;
        Ok::<_, std::io::Error>(&answer == b"+PONG\r\n")
    };
    exchange.await.unwrap_or(false)
}
