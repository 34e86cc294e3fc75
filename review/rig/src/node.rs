//! The platform: it writes a node's configuration, starts `run` of the deploy file, and ends it.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::resp;

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
    config: PathBuf,
    template: (String, String, String),
}

pub struct Plan<'a> {
    pub root: &'a Path,
    pub tmp: &'a Path,
    pub name: &'a str,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: String,
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Node {
    pub fn start(plan: Plan) -> std::io::Result<Node> {
        let run = run_command(plan.root)?;
        let folder = plan.tmp.join(plan.name);
        fs::create_dir_all(folder.join("tmp"))?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let config = folder.join("config.json");
        let limits = format!(
            "{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}}",
            plan.memory_mb, plan.sockets
        );
        let template = (limits, plan.known, plan.settings);
        write_config(&config, plan.name, address, plan.discovery, &template)?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(plan.root)
            .env("ROUTER_NAME", plan.name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", plan.discovery.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(File::create(folder.join("stdout"))?)
            .stderr(File::create(folder.join("stderr"))?)
            .spawn()?;
        // For the script, which ends the nodes if this program is ended.
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(plan.tmp.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        let node = Node {
            name: plan.name.into(),
            address,
            child,
            config,
            template,
        };
        node.wait_until_ready()?;
        Ok(node)
    }

    fn wait_until_ready(&self) -> std::io::Result<()> {
        let give_up = Instant::now() + Duration::from_secs(30);
        while Instant::now() < give_up {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                stream.write_all(&resp::command(&[b"PING"]))?;
                let line = resp::read_line(&mut BufReader::new(stream));
                if matches!(&line, Ok(Some(line)) if line == "+PONG") {
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(std::io::Error::other("a node is not ready after 30 s"))
    }

    /// Replaces the configuration, with discovery at another address, and sends SIGHUP.
    pub fn move_discovery(&self, discovery: SocketAddr) -> std::io::Result<()> {
        write_config(
            &self.config,
            &self.name,
            self.address,
            discovery,
            &self.template,
        )?;
        let status = Command::new("/bin/kill")
            .args(["-HUP", &self.child.id().to_string()])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(std::io::Error::other("SIGHUP could not be sent"))
        }
    }

    /// Resident memory in kB: now, and at most so far.
    pub fn memory_kb(&self) -> Option<(u64, u64)> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let figure = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        Some((figure("VmRSS:")?, figure("VmHWM:")?))
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads `run` from the deploy file.
fn run_command(root: &Path) -> std::io::Result<String> {
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))
        .and_then(|rest| rest.split('"').next())
        .map(str::to_owned)
        .ok_or_else(|| std::io::Error::other("the deploy file has no run"))
}

/// Writes a configuration beside the one in force and puts it in its place.
fn write_config(
    path: &Path,
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    (limits, known, settings): &(String, String, String),
) -> std::io::Result<()> {
    let text = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{limits},\"known\":{known},\"settings\":{settings}}}"
    );
    let new = path.with_extension("new");
    fs::write(&new, text)?;
    fs::rename(&new, path)
}
