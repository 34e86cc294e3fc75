//! The client of the discovery service: it fetches the endpoint list, watches its changes, and tells by their versions
//! which of them are still current.
//!
//! [`DiscoveryClient`] belongs to the event loop, to which its calls send what they receive. Each call is a task of its
//! own, which the client aborts when another call takes its place; the last ones end with the runtime. How a single
//! call is made is in [`call`], how its bytes become endpoint lists in [`list_decoder`].

pub mod call;
pub mod list_decoder;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::{info, warn};

use crate::message::{DiscoveryCall, EndpointListUpdate, RouterEvent};
use call::{CallError, HALF_OPEN_TIMEOUT};
use list_decoder::EndpointListDecoder;

/// The agent that pushes lists runs on this machine and answers at once: a call that it has not begun to answer after
/// this is taken for half open.
const AGENT_HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// A watch carries a line every two seconds: one that is silent for longer is dead. A change counts as notified after
/// six seconds, so there must be time left to ask again: with a call that is half open as well, three quarters of it
/// are used up. A list that has begun must be complete within the same time, however slowly its bytes come.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(2_400);
/// First backoff before a watch on pushed lists is opened again: the agent is on this machine, so asking it is cheap.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff before a watch on pushed lists is opened again: what the agent has learned counts as notified at
/// once, and a longer one would use up the grace period of a draining server.
pub const MAX_BACKOFF: Duration = Duration::from_millis(200);

const LIST_PATH: &str = "/v1/servers";

/// How current an update is, by the call that brought it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateFreshness {
    /// It describes the present state, as far as is known.
    Current,
    /// It describes an earlier state than the list in force, or comes from an earlier address of discovery.
    Stale,
    /// A change of an earlier version although nothing newer was received since its call: discovery has lost its state.
    VersionRegressed,
}

/// What every call needs; cloned into the task of each.
#[derive(Clone)]
struct CallContext {
    address: SocketAddr,
    /// How often the address has changed.
    address_generation: u64,
    /// Version of the endpoint list in force.
    held_version: Arc<AtomicU64>,
    next_call_number: Arc<AtomicU64>,
    events: mpsc::Sender<RouterEvent>,
    half_open_timeout: Duration,
}

impl CallContext {
    /// Identifies a call that begins now.
    fn begin_call(&self) -> DiscoveryCall {
        let number = self.next_call_number.fetch_add(1, Ordering::Relaxed);
        DiscoveryCall {
            number,
            address_generation: self.address_generation,
            held_version: self.held_version.load(Ordering::Relaxed),
        }
    }
}

/// The open calls to discovery: at most one watch and one fetch of the complete list.
pub struct DiscoveryClient {
    context: CallContext,
    watch: Option<AbortHandle>,
    /// Number of the watch that is open, where the policy decides when to open it.
    open_watch: Option<u64>,
    /// Whether the watch opens itself again, since lists are pushed.
    watches_agent: bool,
    fetch: Option<AbortHandle>,
}

impl DiscoveryClient {
    /// A client of discovery at an address, where the endpoint list in force has a version. It makes no call yet.
    pub fn new(address: SocketAddr, held_version: u64, events: mpsc::Sender<RouterEvent>) -> Self {
        DiscoveryClient {
            context: CallContext {
                address,
                address_generation: 0,
                held_version: Arc::new(AtomicU64::new(held_version)),
                next_call_number: Arc::default(),
                events,
                half_open_timeout: HALF_OPEN_TIMEOUT,
            },
            watch: None,
            open_watch: None,
            watches_agent: false,
            fetch: None,
        }
    }

    /// Records the version of the endpoint list that is in force now.
    pub fn set_held_version(&self, version: u64) {
        self.context.held_version.store(version, Ordering::Relaxed);
    }

    /// Identifies a call that would begin now.
    pub fn begin_call(&self) -> DiscoveryCall {
        self.context.begin_call()
    }

    /// Whether a call was made to discovery's present address.
    pub fn is_to_present_address(&self, call: &DiscoveryCall) -> bool {
        call.address_generation == self.context.address_generation
    }

    /// How current an update is: events of two calls can cross on their way to the event loop.
    pub fn freshness(&self, call: &DiscoveryCall, update: &EndpointListUpdate) -> UpdateFreshness {
        let held_version = self.context.held_version.load(Ordering::Relaxed);
        if !self.is_to_present_address(call) {
            return UpdateFreshness::Stale;
        }
        if update.version >= held_version {
            return UpdateFreshness::Current;
        }
        if call.held_version != held_version {
            return UpdateFreshness::Stale;
        }
        // Nothing newer was received since the call began: discovery has begun anew, with versions of its own.
        if update.is_complete {
            UpdateFreshness::Current
        } else {
            UpdateFreshness::VersionRegressed
        }
    }

    /// Records that a call has ended; `true` if it was the open watch, which it no longer is.
    pub fn watch_ended(&mut self, call: &DiscoveryCall) -> bool {
        let is_open_watch = self.open_watch == Some(call.number);
        if is_open_watch {
            self.open_watch = None;
        }
        is_open_watch
    }

    /// Changes the address of discovery; the calls that are open are made anew at the new one.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address == self.context.address {
            return;
        }
        self.context.address = address;
        self.context.address_generation += 1;
        let is_fetching = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| !fetch.is_finished());
        // Versions of two discovery services can't be compared: the complete list is requested.
        self.restart_watch();
        if is_fetching {
            self.fetch();
        }
    }

    /// Opens a new watch that begins with the complete list, since the list in force may be that of another discovery
    /// service.
    pub fn restart_watch(&mut self) {
        self.set_held_version(0);
        if self.watches_agent {
            self.watch_agent();
        } else if self.watch.is_some() {
            self.subscribe(false);
            self.subscribe(true);
        }
    }

    /// Opens the watch, unless it is open already, or ends it. When it breaks, the event loop is notified, and the
    /// policy says when to open it again.
    pub fn subscribe(&mut self, on: bool) {
        if on && self.open_watch.is_some() {
            return; // It was opened since the policy decided to, when discovery's address changed.
        }
        abort(self.watch.take());
        self.open_watch = None;
        if !on {
            return;
        }
        let context = self.context.clone();
        let call = self.context.begin_call();
        self.open_watch = Some(call.number);
        let task = async move {
            let event = match watch(&context, call).await {
                Ok(()) => {
                    info!("the watch on discovery has ended");
                    RouterEvent::DiscoveryFailed(call)
                }
                Err(error @ CallError::Stalled) => {
                    warn!(%error, "the watch on discovery has stalled");
                    RouterEvent::WatchStalled(call)
                }
                Err(error) => {
                    warn!(%error, "the watch on discovery has failed");
                    RouterEvent::DiscoveryFailed(call)
                }
            };
            let _ = context.events.send(event).await;
        };
        self.watch = Some(tokio::spawn(task).abort_handle());
    }

    /// Requests the complete list once.
    pub fn fetch(&mut self) {
        abort(self.fetch.take());
        let context = self.context.clone();
        let call = self.context.begin_call();
        let task = async move {
            if let Err(error) = receive_updates(&context, LIST_PATH, call).await {
                warn!(%error, "fetching the endpoint list from discovery has failed");
                let event = RouterEvent::DiscoveryFailed(call);
                let _ = context.events.send(event).await;
            }
        };
        self.fetch = Some(tokio::spawn(task).abort_handle());
    }

    /// Watches an agent on this machine to which lists are pushed: the watch opens itself again.
    pub fn watch_agent(&mut self) {
        self.watches_agent = true;
        abort(self.watch.take());
        self.context.half_open_timeout = AGENT_HALF_OPEN_TIMEOUT;
        let task = keep_watching(self.context.clone());
        self.watch = Some(tokio::spawn(task).abort_handle());
    }
}

fn abort(task: Option<AbortHandle>) {
    if let Some(task) = task {
        task.abort();
    }
}

/// Opens the watch again whenever it ends, after a backoff.
async fn keep_watching(context: CallContext) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        match watch(&context, context.begin_call()).await {
            // The stall was waited for already: no pause in addition.
            Err(CallError::Stalled) => {
                backoff = FIRST_BACKOFF;
                continue;
            }
            // The agent was there a moment ago. One that ends each watch at once still gets a pause.
            Ok(()) => backoff = FIRST_BACKOFF,
            Err(_) => {}
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Receives the changes after the version that was held when the call began, until the watch ends.
async fn watch(context: &CallContext, call: DiscoveryCall) -> Result<(), CallError> {
    let path = match call.held_version {
        0 => format!("{LIST_PATH}?watch=1"),
        version => format!("{LIST_PATH}?watch=1&after={version}"),
    };
    receive_updates(context, &path, call).await
}

/// Makes a call and sends each list of its response to the event loop, until the response ends.
async fn receive_updates(
    context: &CallContext,
    path: &str,
    call: DiscoveryCall,
) -> Result<(), CallError> {
    let mut response = call::request(context.address, path, context.half_open_timeout).await?;
    let mut decoder = EndpointListDecoder::default();
    loop {
        let silent_since = decoder.incomplete_since().unwrap_or_else(Instant::now);
        let Some(frame) = response.next_frame(silent_since + STALL_TIMEOUT).await? else {
            return Ok(decoder.finish()?);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let updates = decoder.decode(&data)?;
        if data.trim_ascii().is_empty() && decoder.incomplete_since().is_none() {
            let event = RouterEvent::EndpointListUnchanged(call);
            let _ = context.events.send(event).await;
        }
        for update in updates {
            let event = RouterEvent::EndpointList(call, update);
            let _ = context.events.send(event).await;
        }
    }
}
