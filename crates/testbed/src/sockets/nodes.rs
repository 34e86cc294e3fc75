//! Real `cache-router` processes: each with a configuration of its own in the play's folder, its log beside it. They
//! are killed when their owner is dropped.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
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

use crate::deployment;
use crate::scenario::Scenario;
use crate::sockets::SocketError;
use crate::sockets::clients::Connections;
use crate::sockets::link::listen;

/// A node that has not answered PING by then does not start.
const START: Duration = Duration::from_secs(15);
/// Pause between two looks at whether it answers.
const LOOK: Duration = Duration::from_millis(10);
/// Sockets that a node may hold.
const SOCKETS: usize = 1024;

/// An address of its own in 127.0.0.0/8 for each party of a kind, so that a port is free again when it comes back.
pub fn address(kind: u8, number: u32) -> SocketAddr {
    let ip = Ipv4Addr::new(127, kind, (number / 250) as u8, (number % 250) as u8 + 1);
    SocketAddr::new(IpAddr::V4(ip), 0)
}

/// One node, over all its lives.
pub struct Node {
    number: u32,
    /// Connections of its clients.
    pub clients: Arc<Connections>,
    address: SocketAddr,
    list: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    /// Its process.
    pub child: Option<Child>,
    /// Grows with each start.
    pub life: u32,
    /// Whether it was told to end.
    pub ending: bool,
}

impl Node {
    /// A node that does not run yet, with files in a folder, and its list at an address.
    ///
    /// # Errors
    /// Where the system gives no port.
    pub fn new(number: u32, list: SocketAddr, folder: &Path) -> std::io::Result<Node> {
        // Given back at once: nobody else binds to this address.
        let address = listen(address(2, number))?.local_addr()?;
        Ok(Node {
            number,
            clients: Arc::new(Connections::new(address)),
            address,
            list,
            config: folder.join(format!("n{number}.json")),
            log: folder.join(format!("n{number}.log")),
            child: None,
            life: 0,
            ending: false,
        })
    }

    /// Starts a process that knows a list.
    ///
    /// # Errors
    /// Where its configuration can't be written or the program can't be started.
    pub fn start(
        &mut self,
        program: &Path,
        scenario: &Scenario,
        known: Value,
        seed: u64,
    ) -> std::io::Result<()> {
        let config = json!({
            "name": format!("n{}", self.number), "listen": self.address, "discovery": self.list,
            "seed": format!("{:016x}", seed.wrapping_add(u64::from(self.life) << 32)),
            "limits": {"sockets": SOCKETS}, "known": known,
            "settings": deployment::settings_text(scenario, self.number),
        });
        std::fs::write(&self.config, config.to_string())?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .env("ROUTER_CONFIG", &self.config)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        self.life += 1;
        self.ending = false;
        Ok(())
    }

    /// Where its clients reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until it answers PING.
    pub fn ready(&self) -> impl Future<Output = bool> + Send + 'static {
        let address = self.address;
        async move {
            let ready = async {
                while !pings(address).await {
                    tokio::time::sleep(LOOK).await;
                }
            };
            tokio::time::timeout(START, ready).await.is_ok()
        }
    }

    /// Its list is at another address from now on: its configuration says so, and its process is told to read it again.
    ///
    /// # Errors
    /// Where the configuration can't be read or written.
    pub fn move_list(&mut self, list: SocketAddr) -> std::io::Result<()> {
        self.list = list;
        let mut config: Value = serde_json::from_slice(&std::fs::read(&self.config)?)?;
        config["discovery"] = json!(list);
        // Whole at once: the process may read it at any time.
        crate::report::write_whole(&self.config, config.to_string().as_bytes())?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Sends its process a signal, if it has one.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.as_ref().and_then(Child::id) {
            // Gone already: then it needs none.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Whether its process has ended, and how.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Kills its process and waits for its end.
    pub async fn kill(&mut self) {
        self.clients.close();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Why it does not start, by the end of its log.
    pub fn refusal(&self) -> SocketError {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let last = log.lines().last().unwrap_or("its log is empty").to_string();
        SocketError::NotReady {
            node: self.number,
            last,
        }
    }
}

async fn pings(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
        let mut answer = [0; 7];
        stream.read_exact(&mut answer).await?;
        Ok::<_, std::io::Error>(&answer == b"+PONG\r\n")
    };
    ask.await.unwrap_or(false)
}
