//! The client of the discovery service. It fetches the endpoint list, watches for changes, and uses their versions to
//! tell which updates are still current.
//!
//! The event loop owns the [`DiscoveryClient`]. Each call runs in a task of its own, which sends what it receives to
//! the event loop. The client aborts the task when another call replaces it; the last tasks end with the runtime. The
//! module [`call`] makes a single call, and [`list_decoder`] decodes its bytes into endpoint lists.

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

/// The agent that pushes lists runs on this machine and answers at once. A call without a response after this time
/// counts as half open.
const AGENT_HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// A watch sends a line every two seconds, so one that is silent for this long is dead. Discovery counts a change as
/// notified after six seconds, so there must be time left to ask again: even if the next call is half open, three
/// quarters of that time are used. A list that has begun must be complete within the same timeout, however slowly its
/// bytes arrive.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(2_400);
/// First backoff before a watch on the agent is reopened. It is short because the agent is on this machine, so a call
/// to it is cheap.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff before a watch on the agent is reopened. Changes that the agent has received count as notified at
/// once, so a longer backoff would use up the grace period of a draining server.
pub const MAX_BACKOFF: Duration = Duration::from_millis(200);

const LIST_PATH: &str = "/v1/servers";

/// How current an update is, according to the call that returned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateFreshness {
    /// The update is the latest known state.
    Current,
    /// The update is older than the current list, or was received from an earlier address of discovery.
    Stale,
    /// A change with an earlier version, although nothing newer was received since the call began: discovery has lost
    /// its state.
    VersionRegressed,
}

/// Data that every call needs; cloned into the task of each call.
#[derive(Clone)]
struct CallContext {
    address: SocketAddr,
    /// How many times the address has changed.
    address_generation: u64,
    /// Version of the current endpoint list.
    held_version: Arc<AtomicU64>,
    next_call_number: Arc<AtomicU64>,
    events: mpsc::Sender<RouterEvent>,
    half_open_timeout: Duration,
}

impl CallContext {
    /// Returns the identity of a call that begins now.
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
    /// Number of the open watch, if the policy decides when to open it.
    open_watch: Option<u64>,
    /// Whether the watch is on a local agent that pushes lists, and is reopened without the policy.
    watches_agent: bool,
    fetch: Option<AbortHandle>,
}

impl DiscoveryClient {
    /// Creates a client for discovery at `address`, where the current endpoint list has version `held_version`. It
    /// makes no call yet.
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

    /// Records the version of the current endpoint list.
    pub fn set_held_version(&self, version: u64) {
        self.context.held_version.store(version, Ordering::Relaxed);
    }

    /// Returns the identity of a call that would begin now.
    pub fn begin_call(&self) -> DiscoveryCall {
        self.context.begin_call()
    }

    /// Returns whether a call was made to discovery's current address.
    pub fn is_to_current_address(&self, call: &DiscoveryCall) -> bool {
        call.address_generation == self.context.address_generation
    }

    /// Returns how current an update is. The events of two calls may arrive in either order.
    pub fn freshness(&self, call: &DiscoveryCall, update: &EndpointListUpdate) -> UpdateFreshness {
        let held_version = self.context.held_version.load(Ordering::Relaxed);
        if !self.is_to_current_address(call) {
            return UpdateFreshness::Stale;
        }
        if update.version >= held_version {
            return UpdateFreshness::Current;
        }
        if call.held_version != held_version {
            return UpdateFreshness::Stale;
        }
        // Nothing newer was received since the call began: discovery has restarted with new version numbers.
        if update.is_complete {
            UpdateFreshness::Current
        } else {
            UpdateFreshness::VersionRegressed
        }
    }

    /// Records that a call has ended. Returns `true` if it was the open watch, which then counts as closed.
    pub fn watch_ended(&mut self, call: &DiscoveryCall) -> bool {
        let is_open_watch = self.open_watch == Some(call.number);
        if is_open_watch {
            self.open_watch = None;
        }
        is_open_watch
    }

    /// Changes the address of discovery. Open calls are repeated at the new address.
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
        // Versions of different discovery services cannot be compared, so the complete list is requested.
        self.restart_watch();
        if is_fetching {
            self.fetch();
        }
    }

    /// Opens a new watch that begins with the complete list, because the current list may come from another discovery
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

    /// Opens the watch unless it is open already, or closes it. When the watch breaks, the event loop is notified, and
    /// the policy decides when to open it again.
    pub fn subscribe(&mut self, on: bool) {
        if on && self.open_watch.is_some() {
            return; // It was opened after the policy's decision, because discovery's address changed.
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
                    info!("discovery closed the watch");
                    RouterEvent::DiscoveryFailed(call)
                }
                Err(error @ CallError::Stalled) => {
                    warn!(%error, "the discovery watch has stalled");
                    RouterEvent::WatchStalled(call)
                }
                Err(error) => {
                    warn!(%error, "the discovery watch has failed");
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
                warn!(%error, "failed to fetch the endpoint list from discovery");
                let event = RouterEvent::DiscoveryFailed(call);
                let _ = context.events.send(event).await;
            }
        };
        self.fetch = Some(tokio::spawn(task).abort_handle());
    }

    /// Watches a local agent that pushes lists. The watch is reopened automatically.
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

/// Reopens the watch after a backoff whenever it ends.
async fn keep_watching(context: CallContext) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        match watch(&context, context.begin_call()).await {
            // The stall timeout has passed already, so there is no further delay.
            Err(CallError::Stalled) => {
                backoff = FIRST_BACKOFF;
                continue;
            }
            // The agent was reachable a moment ago. The delay remains for an agent that ends each watch at once.
            Ok(()) => backoff = FIRST_BACKOFF,
            Err(_) => {}
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Receives changes until the watch ends, beginning after the version that was held when the call began.
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
