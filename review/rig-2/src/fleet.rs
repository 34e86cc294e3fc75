//! The stand-ins: discovery, cache servers and the origin. Without a trouble they behave as sound ones do.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::resp;
use crate::support::{listen, reset_on_close};

/// An entry of the list of servers.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn new(name: &str, address: SocketAddr, kind: &'static str) -> Self {
        Entry {
            name: name.into(),
            address,
            zone: "budapest",
            kind,
            status: "active",
            since_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":0,"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.zone, self.kind, self.status, self.since_ms
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<_> = entries.iter().map(Entry::json).collect();
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

struct Version {
    index: u64,
    changed: Vec<Entry>,
}

#[derive(Default)]
struct ListState {
    entries: Vec<Entry>,
    versions: Vec<Version>,
}

/// The list of servers and its changes.
#[derive(Default)]
pub struct List {
    state: Mutex<ListState>,
    changed: Condvar,
}

impl List {
    pub fn new(entries: Vec<Entry>) -> Arc<Self> {
        let list = List::default();
        list.state.lock().unwrap().entries = entries;
        Arc::new(list)
    }

    pub fn index(&self) -> u64 {
        1 + self.state.lock().unwrap().versions.len() as u64
    }

    pub fn entry(&self, name: &str) -> Entry {
        let state = self.state.lock().unwrap();
        state
            .entries
            .iter()
            .find(|entry| entry.name == name)
            .unwrap()
            .clone()
    }

    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(1 + state.versions.len() as u64, true, &state.entries)
    }

    /// Changes entries; `left` removes one from the whole list.
    pub fn change(&self, changed: Vec<Entry>) {
        let mut state = self.state.lock().unwrap();
        for entry in &changed {
            state.entries.retain(|other| other.name != entry.name);
            if entry.status != "left" {
                state.entries.push(entry.clone());
            }
        }
        let index = 2 + state.versions.len() as u64;
        state.versions.push(Version { index, changed });
        self.changed.notify_all();
    }

    /// What changed after a version, once there is something or the time is over.
    fn wait_changes(&self, after: u64, time: Duration) -> Option<(u64, String)> {
        let state = self.state.lock().unwrap();
        let latest = |state: &ListState| 1 + state.versions.len() as u64;
        let (state, _) = self
            .changed
            .wait_timeout_while(state, time, |state| latest(state) <= after)
            .unwrap();
        let index = latest(&state);
        if index <= after {
            return None;
        }
        let mut changed: Vec<Entry> = Vec::new();
        for version in state
            .versions
            .iter()
            .filter(|version| version.index > after)
        {
            for entry in &version.changed {
                changed.retain(|other| other.name != entry.name);
                changed.push(entry.clone());
            }
        }
        Some((index, list_json(index, false, &changed)))
    }
}

/// What discovery does with a call.
pub enum Treatment {
    /// It is answered, and a watch goes on for as long as `treat` says so.
    Answer(Duration),
    /// It ends with 503 after this time.
    Unavailable(Duration),
}

/// How discovery treats calls.
pub trait Treat: Send + Sync + 'static {
    /// What happens to a call that begins now.
    fn call(&self) -> Treatment;
    /// Whether open watches end now.
    fn ends_watches(&self) -> bool;
    /// Called when a list or a change has been written to the node.
    fn written(&self, index: u64);
}

/// Discovery that answers at once.
pub struct Sound;

impl Treat for Sound {
    fn call(&self) -> Treatment {
        Treatment::Answer(Duration::ZERO)
    }

    fn ends_watches(&self) -> bool {
        false
    }

    fn written(&self, _index: u64) {}
}

/// Discovery, at an address that is kept for one node.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(list: Arc<List>) -> Self {
        Discovery::start_with(list, Arc::new(Sound))
    }

    pub fn start_with(list: Arc<List>, treat: Arc<dyn Treat>) -> Self {
        let (listener, address) = listen();
        accept(listener, move |stream| {
            let _ = serve_discovery(stream, &list, &*treat);
        });
        Discovery { address }
    }
}

fn accept(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// Head and body of an HTTP request.
pub struct HttpRequest {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

pub fn read_http(reader: &mut impl BufRead) -> io::Result<Option<HttpRequest>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let mut word = || words.next().unwrap_or("").to_owned();
    let mut request = HttpRequest {
        method: word(),
        path: word(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        request.headers.push((name.into(), value.trim().into()));
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

fn serve_discovery(mut stream: TcpStream, list: &List, treat: &dyn Treat) -> io::Result<()> {
    const LINE_EVERY: Duration = Duration::from_secs(2);
    const STEP: Duration = Duration::from_millis(20);
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_http(&mut reader)? {
        match treat.call() {
            Treatment::Answer(after) => std::thread::sleep(after),
            Treatment::Unavailable(after) => {
                std::thread::sleep(after);
                return stream
                    .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            }
        }
        let Some((_, query)) = request.path.split_once('?') else {
            let body = list.known();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes())?;
            treat.written(list.index());
            continue;
        };
        let after = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("after="));
        let mut held: u64 = after.and_then(|n| n.parse().ok()).unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        if held == 0 || held > list.index() {
            held = list.index();
            write_chunk(&mut stream, &list.known())?;
            treat.written(held);
        }
        let mut last_line = Instant::now();
        loop {
            let changes = list.wait_changes(held, STEP);
            if treat.ends_watches() {
                reset_on_close(&stream);
                return Ok(());
            }
            if let Some((index, changes)) = changes {
                held = index;
                write_chunk(&mut stream, &changes)?;
                treat.written(held);
                last_line = Instant::now();
            } else if last_line.elapsed() >= LINE_EVERY {
                write_chunk(&mut stream, "")?;
                last_line = Instant::now();
            }
        }
    }
    Ok(())
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes())
}

/// A command or call that reached a server.
pub struct Attempt {
    /// The id of its request.
    pub id: String,
    pub is_write: bool,
}

/// What a server does with an attempt.
#[derive(Default)]
pub struct Reaction {
    /// Time until the first part.
    pub after: Duration,
    /// What is sent, each part after a pause.
    pub parts: Vec<(Duration, Vec<u8>)>,
    /// Whether the connection is reset after the last part.
    pub reset: bool,
}

impl Reaction {
    pub fn answer(after: Duration, bytes: Vec<u8>) -> Self {
        Reaction {
            after,
            parts: vec![(Duration::ZERO, bytes)],
            reset: false,
        }
    }

    fn play(self, mut stream: &TcpStream) -> io::Result<()> {
        std::thread::sleep(self.after);
        for (pause, bytes) in self.parts {
            std::thread::sleep(pause);
            stream.write_all(&bytes)?;
        }
        if self.reset {
            reset_on_close(stream);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

/// A cache server or the origin.
pub struct Server {
    pub address: SocketAddr,
}

type React = Arc<dyn Fn(&Attempt) -> Reaction + Send + Sync>;

fn start_server(react: React, serve: fn(TcpStream, &React) -> io::Result<()>) -> Server {
    let (listener, address) = listen();
    accept(listener, move |stream| {
        let _ = serve(stream, &react);
    });
    Server { address }
}

/// Starts a cache server.
pub fn cache_server(react: impl Fn(&Attempt) -> Reaction + Send + Sync + 'static) -> Server {
    start_server(Arc::new(react), serve_cache)
}

/// Starts the origin.
pub fn origin(react: impl Fn(&Attempt) -> Reaction + Send + Sync + 'static) -> Server {
    start_server(Arc::new(react), serve_origin)
}

/// Reads commands while earlier reactions are still being played, as a machine does whose answers are sent by other
/// threads: what follows an answer may come after the next command has begun.
fn serve_cache(stream: TcpStream, react: &React) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(words) = resp::read_command(&mut reader)? {
        let text = |position: usize| -> String {
            words
                .get(position)
                .map(|word| String::from_utf8_lossy(word).into_owned())
                .unwrap_or_default()
        };
        let name = text(0);
        if name == "PING" {
            (&stream).write_all(b"+PONG\r\n")?;
            continue;
        }
        if !matches!(
            (name.as_str(), words.len()),
            ("OBJ.GET", 4) | ("OBJ.SET", 5)
        ) {
            (&stream).write_all(b"-SYNTAX\r\n")?;
            continue;
        }
        let attempt = Attempt {
            id: text(2),
            is_write: words.len() == 5,
        };
        play_beside(react(&attempt), &stream);
    }
    Ok(())
}

fn serve_origin(stream: TcpStream, react: &React) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_http(&mut reader)? {
        let attempt = Attempt {
            id: request.header("x-correlation-id").into(),
            is_write: request.method == "PUT",
        };
        play_beside(react(&attempt), &stream);
    }
    Ok(())
}

/// Plays a reaction in a thread of its own.
fn play_beside(reaction: Reaction, stream: &TcpStream) {
    let Ok(stream) = stream.try_clone() else {
        return;
    };
    std::thread::spawn(move || {
        if reaction.play(&stream).is_err() {
            // Ends the thread that reads, without a regular end: the last close then resets the connection.
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
    });
}

/// An answer of the origin.
pub fn http_answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    out
}

/// A pause.
pub fn ms(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / 1e3)
}
