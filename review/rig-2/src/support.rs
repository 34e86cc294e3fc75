//! What all cases share: the record, a random source, times, and the router processes.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The run's record: one line an event, with the time since the start of the run.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file =
            File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        })
    }

    /// Time since the start of the run, in microseconds.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.3} ms  {text}", self.now() as f64 / 1e3);
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Ends the program with the exit code for a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    std::process::exit(2)
}

/// A small random source (splitmix64) that threads can share.
pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut z = self.0.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// From 0 up to 1.
    pub fn unit(&self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// The pause before the next event of a Poisson process.
    pub fn pause(&self, per_s: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.unit()).ln() / per_s)
    }
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;

/// Has this process killed when its parent ends, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: the call takes no pointers.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Has the close of a socket reset the connection.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1i32, 0];
    // SAFETY: the descriptor is open, and the value is a struct linger of two integers.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr(),
            8,
        )
    };
}

/// Opens a listening socket on a free port of a loopback address.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn free_port() -> SocketAddr {
    listen().1
}

/// A router process.
pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    child: Child,
}

/// Where a case runs: the repository, and a temporary folder.
pub struct Place {
    pub root: PathBuf,
    pub temp: PathBuf,
}

impl Place {
    pub fn config_path(&self, name: &str) -> PathBuf {
        self.temp.join(format!("{name}.json"))
    }

    /// Replaces a node's configuration file, at once.
    pub fn replace_config(&self, name: &str, text: &str) {
        let (path, next) = (
            self.config_path(name),
            self.temp.join(format!("{name}.next")),
        );
        let replaced = std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, &path));
        replaced.unwrap_or_else(|e| cannot_run(&e.to_string()));
    }

    /// The command by which the platform starts a node: `run` of the deploy file.
    fn run_command(&self) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml"))
            .unwrap_or_else(|e| cannot_run(&format!("deploy/balancer.toml: {e}")));
        let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
        line.and_then(|rest| rest.split('"').next())
            .unwrap_or_else(|| cannot_run("no run in deploy/balancer.toml"))
            .to_owned()
    }

    /// Starts a node as the platform does: the command of the deploy file, from the root, with `/bin/sh -c`. `config`
    /// makes its configuration from its listening address.
    pub fn start_node(
        &self,
        name: &str,
        discovery: SocketAddr,
        config: impl Fn(SocketAddr) -> String,
    ) -> Node {
        let listen = free_port();
        let path = self.config_path(name);
        std::fs::write(&path, config(listen)).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::create(self.temp.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &self.run_command()])
            .current_dir(&self.root)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &path)
            .env("TMPDIR", &self.temp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // SAFETY: between fork and exec it makes one system call, which allocates nothing.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        Node {
            name: name.into(),
            listen,
            child,
        }
    }
}

impl Node {
    /// Waits until the node answers PING with +PONG.
    pub fn wait_ready(&mut self) {
        use std::io::Read;
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Some(status) = self.ended() {
                cannot_run(&format!("{} ended at its start: {status}", self.name));
            }
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                let mut answer = [0; 7];
                if stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
                    && stream.read_exact(&mut answer).is_ok()
                    && &answer == b"+PONG\r\n"
                {
                    return;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        cannot_run(&format!("{} was not ready within 30 s", self.name));
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The memory that the process holds, in KiB.
    pub fn memory_kb(&self) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// The processor time that the process has used so far, in seconds.
    pub fn cpu_s(&self) -> Option<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields: Vec<_> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |position: usize| fields.get(position)?.parse::<f64>().ok();
        // In hundredths of a second, which the system shows on every kind of machine.
        Some((ticks(11)? + ticks(12)?) / 100.0)
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if self.ended().is_none() {
            self.signal(SIGKILL);
            let _ = self.child.wait();
        }
    }
}
