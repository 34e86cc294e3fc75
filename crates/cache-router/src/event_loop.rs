//! The event loop: receives the events of clients, server connections, discovery and signals, runs the timers, and
//! passes both to the policy for decisions. A single task owns all of its state.
//!
//! The modules below it depend on each other in one direction only: the policy driver runs the policy and carries out
//! its actions, the dispatcher sends attempts over connections, and the tables of requests, endpoints and timers hold
//! the state.

pub mod clock_offset;
pub mod dispatcher;
pub mod endpoints;
pub mod in_flight;
pub mod policy_driver;
pub mod restamp;
pub mod server_starts;
pub mod timers;

use std::net::SocketAddr;
use std::sync::Arc;

use routing_policy::settings::Deployment;
use routing_policy::{AttemptStatus, Event, ListUpdate, Micros, Policy};
use tokio::sync::{mpsc, watch};
use tracing::warn;

use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::discovery::{DiscoveryClient, UpdateFreshness};
use crate::fair_share::BulkTurns;
use crate::lifecycle::{Lifecycle, LifecyclePhase, ScheduledStep, ShutdownStep};
use crate::memory_budget::MemoryBudget;
use crate::memory_usage::MemoryUsage;
use crate::message::{
    ClientDisconnect, ClientRequest, DiscoveryCall, EndpointListUpdate, RouterEvent,
};
use crate::server_connection::ServerConnectionContext;
use crate::trace::{self, Trace};

use dispatcher::Dispatcher;
use policy_driver::PolicyDriver;
use timers::Timer;

/// Interval between checks for expired idle connections, in microseconds.
const SWEEP_INTERVAL: Micros = 1_000_000;
/// If an iteration of the loop, including its wait for an event, takes longer than this many microseconds, the loop
/// polls its sockets before it goes on.
pub const STALL_THRESHOLD: Micros = 50_000;
/// A request that waits longer than this many microseconds between its arrival and the policy is logged: the router is
/// too busy to read it in time, or its connection has too many requests without a reply.
const LONG_WAIT: Micros = 50_000;
/// How often the loop yields to the other tasks after a stall: once for the runtime to poll the sockets, and once for
/// each of the two tasks through which received bytes pass on their way to the loop.
const YIELDS_AFTER_STALL: usize = 3;

/// Parameters of an event loop.
pub struct EventLoopConfig {
    /// The settings of the deployment.
    pub deployment: Arc<Deployment>,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The endpoint list that this router used last, in its previous run.
    pub cached_list: EndpointListUpdate,
    /// How many connections to servers may be open.
    pub max_server_connections: usize,
    /// The memory for responses of servers.
    pub reply_memory: MemoryBudget,
    /// What is held without a reservation.
    pub memory_usage: Arc<MemoryUsage>,
    /// The queue of the connections that have more to do than their share.
    pub bulk_turns: Arc<BulkTurns>,
    /// Channel on which the tasks started by the loop send their events; the loop receives from it.
    pub events: mpsc::Sender<RouterEvent>,
    /// Publishes the phase of the router's lifecycle to the client tasks.
    pub phase: watch::Sender<LifecyclePhase>,
    /// The router's clock.
    pub clock: Clock,
    /// The writer of trace lines.
    pub trace: Trace,
}

/// The event loop.
pub struct EventLoop {
    driver: PolicyDriver,
    lifecycle: Lifecycle,
    deployment: Arc<Deployment>,
    /// The initial list; `None` once the loop has started.
    cached_list: Option<EndpointListUpdate>,
    clock: Clock,
    trace: Trace,
}

impl EventLoop {
    /// Creates an event loop without starting it.
    pub fn new(config: EventLoopConfig) -> Self {
        let EventLoopConfig {
            deployment,
            seed,
            discovery,
            cached_list,
            max_server_connections,
            reply_memory,
            memory_usage,
            bulk_turns,
            events,
            phase,
            clock,
            trace,
        } = config;
        let pool = ConnectionPool::new(
            max_server_connections,
            ServerConnectionContext {
                deployment: deployment.clone(),
                clock,
                events: events.clone(),
                reply_memory,
                memory_usage,
                bulk_turns,
            },
        );
        let dispatcher = Dispatcher::new(deployment.clone(), pool, clock, trace);
        let policy = Policy::new(deployment.settings.clone(), seed);
        let discovery = DiscoveryClient::new(discovery, cached_list.version, events);
        EventLoop {
            driver: PolicyDriver::new(policy, dispatcher, discovery, clock, trace),
            lifecycle: Lifecycle::new(phase, longest_deadline(&deployment)),
            deployment,
            cached_list: Some(cached_list),
            clock,
            trace,
        }
    }

    /// Runs until the router has shut down; `no_client_connected` returns whether no client is connected any more.
    pub async fn run(
        mut self,
        mut events: mpsc::Receiver<RouterEvent>,
        no_client_connected: impl Fn() -> bool,
    ) {
        self.start();
        let mut iteration_started_at = self.clock.now();
        let mut received = None;
        loop {
            if self.clock.now() - iteration_started_at > STALL_THRESHOLD {
                self.catch_up(&mut events, received.take()).await;
            }
            iteration_started_at = self.clock.now();
            if let Some(event) = received.take() {
                self.handle_event(event);
            }
            self.check_readiness();
            let now = self.clock.now();
            while let Some(timer) = self.timers_mut().pop_due(now) {
                if timer == Timer::Shutdown(ShutdownStep::CheckFinished) {
                    if self.has_finished(now, &no_client_connected) {
                        self.trace.line(now, format_args!("exit"));
                        return;
                    }
                    self.schedule(self.lifecycle.next_finished_check(now));
                } else {
                    self.handle_timer(timer, now);
                }
            }
            let next_timer_at = self.timers_mut().next_due_at();
            let next_wakeup_at = next_timer_at.unwrap_or(now + SWEEP_INTERVAL);
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => received = Some(event),
                    None => return,
                },
                () = tokio::time::sleep_until(self.clock.instant(next_wakeup_at)) => {}
            }
        }
    }

    /// Applies the cached list, and opens the watch on discovery if an agent pushes lists.
    fn start(&mut self) {
        self.trace_start();
        if let Some(cached_list) = self.cached_list.take() {
            self.apply_endpoint_list(&cached_list, ListUpdate::Cached);
        }
        if !self.deployment.settings.poll_discovery {
            self.driver.discovery_mut().watch_agent();
        }
        let first_sweep = self.clock.now() + SWEEP_INTERVAL;
        self.timers_mut()
            .schedule(first_sweep, Timer::SweepConnections);
    }

    fn trace_start(&self) {
        let settings = &self.deployment.settings;
        self.trace.line(
            self.clock.now(),
            format_args!(
                "start {} {} {} {} {} {} {} {}",
                settings.router_index,
                settings.router_count,
                settings.cold_capacity_share,
                settings.warm_up_period,
                settings.overload_multiple,
                settings.overload_window,
                settings.drain_grace,
                settings.origin_kind.map_or(-1, i32::from)
            ),
        );
    }

    /// Catches up after the machine slept or the process was suspended. Events that arrived on the sockets in the
    /// meantime are handled before timers that are due. Among all waiting events, those that revoke sends are handled
    /// before those that request them.
    pub async fn catch_up(
        &mut self,
        events: &mut mpsc::Receiver<RouterEvent>,
        received: Option<RouterEvent>,
    ) {
        for _ in 0..YIELDS_AFTER_STALL {
            tokio::task::yield_now().await;
        }
        let queued = std::iter::from_fn(|| events.try_recv().ok());
        let all: Vec<_> = received.into_iter().chain(queued).collect();
        let (revoking, others): (Vec<_>, Vec<_>) =
            all.into_iter().partition(RouterEvent::revokes_sends);
        for event in revoking.into_iter().chain(others) {
            self.handle_event(event);
        }
    }

    /// Handles an event and carries out all of the policy's decisions on it.
    pub fn handle_event(&mut self, event: RouterEvent) {
        match event {
            RouterEvent::ClientRequest(request) => self.handle_request(*request),
            RouterEvent::ClientDisconnected(disconnect) => self.handle_disconnect(disconnect),
            RouterEvent::ServerConnection(connection, event) => {
                let dispatcher = self.driver.dispatcher_mut();
                dispatcher.handle_connection_event(connection, event);
                self.driver.run();
            }
            RouterEvent::EndpointList(call, update) => self.handle_endpoint_list(&call, &update),
            RouterEvent::EndpointListUnchanged(call) => {
                if self.driver.discovery().has_brought_list(&call) {
                    self.driver.dispatcher_mut().confirm_endpoint_list();
                }
            }
            RouterEvent::DiscoveryFailed(call) => {
                self.handle_failed_call(&call, ListUpdate::Failed);
            }
            RouterEvent::WatchStalled(call) => {
                self.handle_failed_call(&call, ListUpdate::WatchStalled);
            }
            RouterEvent::DiscoveryMoved(address) => {
                self.driver.discovery_mut().set_address(address)
            }
            RouterEvent::Terminate => self.begin_shutdown(),
        }
    }

    fn handle_request(&mut self, request: ClientRequest) {
        if request.replies.is_closed() {
            return; // Its client has disconnected; the event that reports this is still in the queue.
        }
        let waited = self.clock.now().saturating_sub(request.received_at);
        if waited > LONG_WAIT {
            warn!(
                client = request.client,
                waited_us = waited,
                "a request waited long before it was routed"
            );
        }
        // The deadline counts from arrival, so it includes the time that the request was queued in the router.
        let deadline = request.received_at + request.command.remaining_deadline;
        let deadline = self.lifecycle.limit_deadline(deadline);
        self.driver.dispatcher_mut().add_request(request, deadline);
        self.driver.run();
    }

    /// Cancels the requests of a client that has disconnected, so that nothing more is sent for them.
    fn handle_disconnect(&mut self, disconnect: ClientDisconnect) {
        let in_flight = self.driver.dispatcher().in_flight();
        let word = trace::disconnect_word(disconnect.cause);
        for request in in_flight.incomplete_requests_of(disconnect.client) {
            self.trace
                .line(disconnect.at, format_args!("{word} {request}"));
            self.driver.dispatcher_mut().cancel_request(request);
            self.driver.run();
        }
    }

    fn handle_endpoint_list(&mut self, call: &DiscoveryCall, update: &EndpointListUpdate) {
        let freshness = self.driver.discovery().freshness(call, update);
        if freshness == UpdateFreshness::Stale {
            return;
        }
        self.driver.discovery_mut().record_list_of(call);
        self.apply_endpoint_list(update, endpoints::list_update(update));
        if freshness == UpdateFreshness::VersionRegressed {
            // The change is applied, but other differences are visible only in the complete list.
            self.driver.discovery_mut().restart_watch();
        }
    }

    /// Applies an endpoint list, or a change of it.
    pub fn apply_endpoint_list(&mut self, update: &EndpointListUpdate, kind: ListUpdate) {
        self.driver.discovery().set_held_version(update.version);
        self.driver
            .dispatcher_mut()
            .apply_endpoint_update(update, kind);
        self.driver.run();
    }

    /// Handles the end of a call to discovery. The current list stays in use. Only the end of the open watch is
    /// reported to the policy; calls that were replaced are ignored.
    fn handle_failed_call(&mut self, call: &DiscoveryCall, kind: ListUpdate) {
        if !self.driver.discovery_mut().watch_ended(call) {
            return;
        }
        self.trace.line(self.clock.now(), format_args!("unheard"));
        self.driver.notify(Event::EndpointList {
            update: kind,
            endpoints: Vec::new(),
        });
    }

    fn begin_shutdown(&mut self) {
        let now = self.clock.now();
        self.trace.line(now, format_args!("terminate"));
        let steps = self.lifecycle.begin_shutdown(now);
        for step in steps.into_iter().flatten() {
            self.schedule(step);
        }
    }

    /// Handles a timer that is due and carries out all of the policy's decisions on it.
    pub fn handle_timer(&mut self, timer: Timer, now: Micros) {
        let dispatcher = self.driver.dispatcher_mut();
        match timer {
            Timer::Policy(token) => dispatcher.push_policy_event(Event::Timer(token)),
            Timer::AttemptTimeout(attempt) => {
                dispatcher.give_up(attempt, AttemptStatus::TimedOut);
            }
            Timer::ExtraConnection {
                attempt,
                waiting_since,
            } => dispatcher.open_extra_connection(attempt, waiting_since, now),
            Timer::ConnectTimeout {
                attempt,
                waiting_since,
            } => dispatcher.fail_unconnected(attempt, waiting_since),
            Timer::AbandonedResponse {
                connection,
                sent_at,
            } => dispatcher.close_overdue(connection, sent_at),
            Timer::RequestDeadline(request) => dispatcher.fail_at_deadline(request),
            Timer::SweepConnections => {
                dispatcher.pool_mut().close_expired(now);
                dispatcher
                    .timers_mut()
                    .schedule(now + SWEEP_INTERVAL, Timer::SweepConnections);
            }
            Timer::Shutdown(ShutdownStep::Drain) => self.lifecycle.drain(),
            Timer::Shutdown(ShutdownStep::Close) => {
                dispatcher.fail_all_incomplete();
                self.lifecycle.close(now);
            }
            // Handled in `run`, which may return on it.
            Timer::Shutdown(ShutdownStep::CheckFinished) => {}
        }
        self.driver.run();
    }

    fn check_readiness(&mut self) {
        if self.lifecycle.has_been_ready() {
            return;
        }
        if self.driver.dispatcher().endpoints().any_ready() {
            self.lifecycle.become_ready();
            let since_launch = self.clock.since_start();
            self.trace
                .line(self.clock.now(), format_args!("ready {since_launch}"));
        }
    }

    /// Returns whether the router exits: the shutdown deadline has passed, or all requests have their reply and no
    /// client is connected.
    fn has_finished(&self, now: Micros, no_client_connected: impl Fn() -> bool) -> bool {
        let all_complete = || self.driver.dispatcher().in_flight().all_complete();
        self.lifecycle.is_past_end(now) || (all_complete() && no_client_connected())
    }

    fn schedule(&mut self, step: ScheduledStep) {
        self.timers_mut()
            .schedule(step.at, Timer::Shutdown(step.step));
    }

    fn timers_mut(&mut self) -> &mut timers::TimerQueue {
        self.driver.dispatcher_mut().timers_mut()
    }

    /// Returns the lifecycle of the router.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Returns the requests in flight and their connections.
    pub fn dispatcher(&self) -> &Dispatcher {
        self.driver.dispatcher()
    }

    /// Returns the requests in flight and their connections for modification; only for tests.
    #[doc(hidden)]
    pub fn dispatcher_mut(&mut self) -> &mut Dispatcher {
        self.driver.dispatcher_mut()
    }
}

/// Returns the longest deadline of the request classes.
fn longest_deadline(deployment: &Deployment) -> Micros {
    deployment
        .settings
        .classes
        .iter()
        .map(|class| class.deadline)
        .max()
        .unwrap_or(0)
}
