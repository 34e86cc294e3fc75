//! Discovery: the whole list, and the watch on its changes. HTTP is hyper's; what is decided here is only how long a
//! call may be silent, and that a silent one never stands in the way of the next.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{Request, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::{info, warn};

use crate::message::{DiscoveryCall, EndpointListUpdate, RouterEvent};

/// A connection that is not up by the first is made anew beside it, as a lost packet is sent again after a second only;
/// by the second the call has failed.
const CONNECT: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));
/// Calls wait in turn at discovery, by the operators' terms for 2 s: one that has not begun its answer after this is
/// taken for half open, and a second is made beside it. Whichever answers first is used, since a call that waits
/// longer than that elsewhere would lose its place if it were ended.
const HALF_OPEN: Duration = Duration::from_millis(2_100);
/// The agent that pushes lists is on this machine and answers at once, or is silent.
const AGENT_HALF_OPEN: Duration = Duration::from_millis(300);
/// No call is given longer than this to begin its answer.
const ANSWER: Duration = Duration::from_secs(5);
/// A watch brings a line every two seconds: one that is silent for longer is dead. What it had to tell counts
/// as told after six seconds, so that there must be time left to ask anew: with a call that is half open as well, three
/// quarters of it are used up. A list that has begun must be whole within the same time, however its bytes drip.
const SILENCE: Duration = Duration::from_millis(2_400);
/// Pauses before a watch on pushed lists is opened again. The agent is on this machine, so that asking costs nothing,
/// and what it learns at a return counts as told at once: a longer pause would use up the grace of a drain.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(200));
/// The longest list.
const MAX_LIST: usize = 4 * 1024 * 1024;
/// The longest head of an answer.
const MAX_HEAD: usize = 16 * 1024;

/// What a list or a change is, by the call that brought it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It tells what is so now, as far as is known.
    News,
    /// It tells of an earlier time than what is held, or comes from where discovery was before.
    Stale,
    /// A change of an earlier version, though nothing newer has come since the call: discovery has lost its state.
    WentBack,
}

/// What the calls that are out share with their owner.
#[derive(Clone)]
struct Calls {
    address: SocketAddr,
    home: u64,
    /// Version of the list held.
    index: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
    hub: mpsc::Sender<RouterEvent>,
    half_open: Duration,
}

impl Calls {
    /// Begins a call: what marks all that it brings.
    fn begin(&self) -> DiscoveryCall {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        DiscoveryCall {
            number,
            address_generation: self.home,
            held_version: self.index.load(Ordering::Relaxed),
        }
    }
}

/// The calls to discovery that are out: one watch and one whole list at most, each with a second connection while the
/// first may be half open.
pub struct Discovery {
    calls: Calls,
    watch: Option<AbortHandle>,
    /// The number of the watch that is open, where the module opens it.
    watching: Option<u64>,
    /// Whether the watch is opened again by itself.
    follows: bool,
    fetch: Option<AbortHandle>,
}

impl Discovery {
    /// Discovery at an address, where a list of a version is held.
    pub fn new(address: SocketAddr, index: u64, hub: mpsc::Sender<RouterEvent>) -> Self {
        let (index, next) = (Arc::new(AtomicU64::new(index)), Arc::default());
        let calls = Calls {
            address,
            home: 0,
            index,
            next,
            hub,
            half_open: HALF_OPEN,
        };
        Discovery {
            calls,
            watch: None,
            watching: None,
            follows: false,
            fetch: None,
        }
    }

    /// A list of a version is held now.
    pub fn held(&self, index: u64) {
        self.calls.index.store(index, Ordering::Relaxed);
    }

    /// What a list is, by the call that brought it: events of two calls can cross on their way here.
    pub fn judge(&self, call: &DiscoveryCall, listing: &EndpointListUpdate) -> Verdict {
        let held = self.calls.index.load(Ordering::Relaxed);
        match call.address_generation == self.calls.home {
            true if listing.version >= held => Verdict::News,
            // Nothing newer has come since it was asked for: discovery began anew, with versions of its own.
            true if call.held_version == held && listing.is_complete => Verdict::News,
            true if call.held_version == held => Verdict::WentBack,
            _ => Verdict::Stale,
        }
    }

    /// Whether a call that has ended was the watch of now, which it is no more.
    pub fn ended(&mut self, call: &DiscoveryCall) -> bool {
        let current = self.watching == Some(call.number);
        self.watching = self.watching.filter(|_| !current);
        current
    }

    /// Discovery lives elsewhere from now on: what was asked of the old one is asked of the new one.
    pub fn moved(&mut self, address: SocketAddr) {
        if address == self.calls.address {
            return;
        }
        self.calls.address = address;
        self.calls.home += 1;
        let fetches = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| !fetch.is_finished());
        // The versions of two discoveries can't be compared: the whole list is asked for.
        self.begin_anew();
        if fetches {
            self.fetch();
        }
    }

    /// Asks for the whole list on a new watch: what is held may be another discovery's.
    pub fn begin_anew(&mut self) {
        self.held(0);
        if self.follows {
            self.follow();
        } else if self.watch.is_some() {
            self.subscribe(false);
            self.subscribe(true);
        }
    }

    /// Begins the watch, unless it is open already, or ends it.
    pub fn subscribe(&mut self, on: bool) {
        if on && self.watching.is_some() {
            return; // It was opened since the module meant to, when discovery had moved.
        }
        self.watch.take().inspect(AbortHandle::abort);
        self.watching = None;
        if !on {
            return;
        }
        let (calls, mark) = (self.calls.clone(), self.calls.begin());
        self.watching = Some(mark.number);
        let call = async move {
            // The module is told how it ended, and says when to ask again.
            let ended = match watch(&calls, mark).await {
                Ok(()) => {
                    info!("discovery: the watch has ended");
                    RouterEvent::DiscoveryFailed(mark)
                }
                Err(CallError::Silent) => {
                    warn!("discovery: {}", CallError::Silent);
                    RouterEvent::WatchStalled(mark)
                }
                Err(e) => {
                    warn!("discovery: {e}");
                    RouterEvent::DiscoveryFailed(mark)
                }
            };
            let _ = calls.hub.send(ended).await;
        };
        self.watch = Some(tokio::spawn(call).abort_handle());
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self) {
        self.fetch.take().inspect(AbortHandle::abort);
        let (calls, mark) = (self.calls.clone(), self.calls.begin());
        let call = async move {
            let called = lists(&calls, "/v1/servers", mark).await;
            if let Err(e) = called {
                warn!("discovery: {e}");
                let _ = calls.hub.send(RouterEvent::DiscoveryFailed(mark)).await;
            }
        };
        self.fetch = Some(tokio::spawn(call).abort_handle());
    }

    /// Where lists are pushed, an agent on this machine has them: its watch is opened again by itself.
    pub fn follow(&mut self) {
        self.follows = true;
        self.watch.take().inspect(AbortHandle::abort);
        self.calls.half_open = AGENT_HALF_OPEN;
        let calls = self.calls.clone();
        let call = async move {
            let mut pause = BACKOFF.0;
            loop {
                pause = match watch(&calls, calls.begin()).await {
                    // Its silence was waited for already.
                    Err(CallError::Silent) => {
                        pause = BACKOFF.0;
                        continue;
                    }
                    // It was there a moment ago; one that ends each watch at once is not called without a pause.
                    Ok(()) => BACKOFF.0,
                    Err(_) => pause,
                };
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(BACKOFF.1);
            }
        };
        self.watch = Some(tokio::spawn(call).abort_handle());
    }
}

/// Why a call to discovery ended.
#[derive(Debug)]
enum CallError {
    /// It could not be made.
    Io(std::io::Error),
    /// It broke, or what came is not HTTP.
    Http(hyper::Error),
    /// It did not begin its answer.
    Unanswered,
    /// It was answered and then silent for too long, or brought a list too slowly.
    Silent,
    /// It was turned away.
    Status(u16),
    /// It brought what is no list; the list held stays in force.
    Garbage(String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::Io(e) => write!(f, "{e}"),
            CallError::Http(e) => write!(f, "{e}"),
            CallError::Unanswered => write!(f, "no answer in time"),
            CallError::Silent => write!(f, "silent for too long"),
            CallError::Status(status) => write!(f, "answered with status {status}"),
            CallError::Garbage(what) => {
                write!(f, "brought no list, or one that was cut off: {what}")
            }
        }
    }
}

impl From<std::io::Error> for CallError {
    fn from(e: std::io::Error) -> Self {
        CallError::Io(e)
    }
}

impl From<hyper::Error> for CallError {
    fn from(e: hyper::Error) -> Self {
        CallError::Http(e)
    }
}

async fn watch(calls: &Calls, mark: DiscoveryCall) -> Result<(), CallError> {
    let path = match mark.held_version {
        0 => "/v1/servers?watch=1".into(),
        held => format!("/v1/servers?watch=1&after={held}"),
    };
    lists(calls, &path, mark).await
}

/// An answer that has begun, with the task that moves its bytes.
struct Answer {
    body: Incoming,
    _mover: Mover,
}

/// Ends a connection's task with the call that it is for.
struct Mover(AbortHandle);

impl Drop for Mover {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection, with a second one beside a first that does not come up.
async fn connect(address: SocketAddr) -> Result<TcpStream, CallError> {
    let both = async {
        let first = TcpStream::connect(address);
        tokio::pin!(first);
        if let Ok(stream) = timeout(CONNECT.0, &mut first).await {
            return stream;
        }
        tokio::select! {
            stream = &mut first => stream,
            stream = TcpStream::connect(address) => stream,
        }
    };
    Ok(timeout(CONNECT.1, both)
        .await
        .map_err(|_| CallError::Unanswered)??)
}

/// Makes a call and waits for its answer's head. Dropped at any point, it leaves no connection behind.
async fn call(address: SocketAddr, path: &str) -> Result<Answer, CallError> {
    let stream = connect(address).await?;
    let _ = stream.set_nodelay(true);
    let (mut send, conn) = http1::Builder::new()
        .max_buf_size(MAX_HEAD)
        .handshake(TokioIo::new(stream))
        .await?;
    let mover = Mover(tokio::spawn(async move { drop(conn.await) }).abort_handle());
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .header(header::ACCEPT, "application/json")
        .body(Empty::<Bytes>::new())
        .map_err(|e| CallError::Garbage(e.to_string()))?;
    let answer = send.send_request(request).await?;
    match answer.status().as_u16() {
        200 => Ok(Answer {
            body: answer.into_body(),
            _mover: mover,
        }),
        status => Err(CallError::Status(status)),
    }
}

/// The same, with a second call beside a first that may be half open. What failed first decides nothing while the
/// other may still be answered.
async fn answered(calls: &Calls, path: &str) -> Result<Answer, CallError> {
    let address = calls.address;
    let both = async {
        let first = call(address, path);
        tokio::pin!(first);
        if let Ok(answer) = timeout(calls.half_open, &mut first).await {
            return answer;
        }
        tokio::select! {
            Ok(answer) = &mut first => Ok(answer),
            Ok(answer) = call(address, path) => Ok(answer),
            else => Err(CallError::Unanswered),
        }
    };
    timeout(ANSWER.min(calls.half_open * 3), both)
        .await
        .unwrap_or(Err(CallError::Unanswered))
}

/// Makes a call and passes on each list of its answer, until the answer ends.
async fn lists(calls: &Calls, path: &str, mark: DiscoveryCall) -> Result<(), CallError> {
    let mut answer = answered(calls, path).await?;
    let mut lists = Lists::default();
    loop {
        let by = lists.since.unwrap_or_else(Instant::now) + SILENCE;
        let frame = timeout_at(by, answer.body.frame())
            .await
            .map_err(|_| CallError::Silent)?;
        let Some(frame) = frame else {
            return lists.end();
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        for listing in lists.take(&data)? {
            let _ = calls
                .hub
                .send(RouterEvent::EndpointList(mark, listing))
                .await;
        }
    }
}

/// Takes lists off a stream of bytes: JSON values one after another, on however many lines each.
#[derive(Default)]
struct Lists {
    pending: BytesMut,
    /// When the list that is not whole yet began; `None` where none has.
    since: Option<Instant>,
}

impl Lists {
    /// The lists that are whole now.
    fn take(&mut self, data: &[u8]) -> Result<Vec<EndpointListUpdate>, CallError> {
        self.pending.extend_from_slice(data);
        let mut taken = Vec::new();
        // A list ends with a brace: without one among the new bytes none has become whole, and what drips
        // is not read from its start each time.
        if data.contains(&b'}') || self.pending.trim_ascii().is_empty() {
            let mut values = serde_json::Deserializer::from_slice(&self.pending).into_iter();
            let cut_off = loop {
                match values.next() {
                    Some(Ok(listing)) => taken.push(listing),
                    Some(Err(e)) if !e.is_eof() => return Err(CallError::Garbage(e.to_string())),
                    Some(Err(_)) => break true,
                    None => break false,
                }
            };
            let read = if cut_off {
                values.byte_offset()
            } else {
                self.pending.len()
            };
            self.pending.advance(read);
        }
        if self.pending.len() > MAX_LIST {
            return Err(CallError::Garbage(format!("more than {MAX_LIST} bytes")));
        }
        let begun = taken.is_empty().then_some(self.since).flatten();
        self.since = (!self.pending.is_empty()).then(|| begun.unwrap_or_else(Instant::now));
        Ok(taken)
    }

    /// The stream has ended: nothing may be left over.
    fn end(&self) -> Result<(), CallError> {
        match self.pending.len() {
            0 => Ok(()),
            left => Err(CallError::Garbage(format!(
                "{left} bytes of a list that did not come whole"
            ))),
        }
    }
}

#[cfg(test)]
#[path = "../tests/parts/discovery.rs"]
mod tests;
