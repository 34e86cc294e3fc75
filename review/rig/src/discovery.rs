//! Discovery: the list, and a watch that stays open, with an empty line every 2 s while nothing changes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub status: String,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"{}\",\"group\":1,\"status\":\"{}\",\"weight\":1.0,\"since_ms\":0}}",
            self.name, self.address, self.zone, self.kind, self.status
        )
    }
}

struct State {
    version: u64,
    /// Each entry with the version of its last change.
    entries: Vec<(u64, Entry)>,
    /// Watches are closed from then on, and new connections are shut.
    closed_from: Option<Instant>,
}

/// What happens to a call before it is answered.
#[derive(Clone, Copy, Debug)]
pub enum Wait {
    /// It waits in the queue for so many milliseconds and is then answered.
    Answered(u64),
    /// It waits in the queue for so many milliseconds and then fails with 503.
    Failed(u64),
}

/// The waits of calls, by the number of the call (from 0) that comes from one node.
pub type Queue = Arc<dyn Fn(usize) -> Wait + Send + Sync>;

#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
    name: String,
}

impl Discovery {
    /// Starts discovery for one node: a node reaches it at an address of its own.
    pub fn start(
        name: &str,
        entries: &[Entry],
        queue: Queue,
        record: Record,
    ) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let entries = entries.iter().map(|entry| (41, entry.clone())).collect();
        let discovery = Discovery {
            state: Arc::new((
                Mutex::new(State {
                    version: 41,
                    entries,
                    closed_from: None,
                }),
                Condvar::new(),
            )),
            address: listener.local_addr()?,
            record,
            name: name.into(),
        };
        let accepted = discovery.clone();
        thread::spawn(move || {
            for (call, stream) in listener.incoming().flatten().enumerate() {
                let (discovery, queue) = (accepted.clone(), queue.clone());
                if discovery.state.0.lock().unwrap().closed_from.is_some() {
                    continue;
                }
                thread::spawn(move || {
                    let _ = discovery.serve(stream, queue(call));
                });
            }
        });
        Ok(discovery)
    }

    /// Changes the status of a server.
    pub fn set_status(&self, name: &str, status: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for (since, entry) in &mut state.entries {
            if entry.name == name {
                entry.status = status.into();
                *since = version;
            }
        }
        changed.notify_all();
    }

    /// Takes no new connection from now on, and closes the open ones after `after`.
    pub fn close_after(&self, after: Duration) {
        let (lock, changed) = &*self.state;
        lock.lock().unwrap().closed_from = Some(Instant::now() + after);
        changed.notify_all();
    }

    pub fn list_json(&self) -> String {
        let state = self.state.0.lock().unwrap();
        object(&state, true, 0)
    }

    fn serve(&self, stream: TcpStream, wait: Wait) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        let Some(request) = http::read_request(&mut input)? else {
            return Ok(());
        };
        let name = &self.name;
        self.record.line(&format!(
            "{name} gets {} {}; {wait:?}",
            request.method, request.target
        ));
        match wait {
            Wait::Answered(ms) => thread::sleep(Duration::from_millis(ms)),
            Wait::Failed(ms) => {
                thread::sleep(Duration::from_millis(ms));
                self.record.line(&format!("{name} answers 503"));
                return output.write_all(&http::response("503 Service Unavailable", "", b""));
            }
        }
        if !request.target.contains("watch=1") {
            let list = format!("{}\n", self.list_json());
            return output.write_all(&http::response("200 OK", "", list.as_bytes()));
        }
        output.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told: Option<u64> = request
            .target
            .split("after=")
            .nth(1)
            .and_then(|after| after.parse().ok());
        self.watch(&mut output, &mut told)
    }

    fn watch(&self, output: &mut TcpStream, told: &mut Option<u64>) -> std::io::Result<()> {
        let (lock, changed) = &*self.state;
        let mut quiet_since = Instant::now();
        loop {
            let mut state = lock.lock().unwrap();
            let is_closed = state
                .closed_from
                .is_some_and(|closed_from| Instant::now() >= closed_from);
            if is_closed {
                return Ok(());
            }
            let line = match *told {
                None => Some(object(&state, true, 0)),
                Some(version) if version < state.version => Some(object(&state, false, version)),
                Some(_) => None,
            };
            *told = Some(state.version);
            if line.is_none() && quiet_since.elapsed() < Duration::from_secs(2) {
                state = changed
                    .wait_timeout(state, Duration::from_millis(20))
                    .unwrap()
                    .0;
                drop(state);
                continue;
            }
            drop(state);
            if let Some(line) = &line {
                self.record.line(&format!("{} tells {line}", self.name));
            }
            let line = format!("{}\n", line.unwrap_or_default());
            output.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
            quiet_since = Instant::now();
        }
    }
}

/// The whole list, or the entries that changed after a version.
fn object(state: &State, is_whole: bool, after: u64) -> String {
    let entries: Vec<String> = state
        .entries
        .iter()
        .filter(|(since, _)| is_whole || *since > after)
        .map(|(_, entry)| entry.json())
        .collect();
    format!(
        "{{\"index\":{},\"snapshot\":{is_whole},\"endpoints\":[{}]}}",
        state.version,
        entries.join(",")
    )
}
