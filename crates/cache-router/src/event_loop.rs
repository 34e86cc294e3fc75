//! The event loop: receives what clients, server connections, discovery and signals report, drives the timers, and has
//! the policy decide on both. One task owns all of its state.
//!
//! The layers below it import each other in one direction only: the policy driver runs the policy and carries out its
//! actions, the dispatcher sends attempts over connections, and the tables of requests, endpoints and timers hold state.

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

use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::discovery::{DiscoveryClient, UpdateFreshness};
use crate::lifecycle::{Lifecycle, LifecyclePhase, ScheduledStep, ShutdownStep};
use crate::message::{
    ClientDeparture, ClientRequest, DiscoveryCall, EndpointListUpdate, RouterEvent,
};
use crate::trace::{self, Trace};

use dispatcher::Dispatcher;
use policy_driver::PolicyDriver;
use timers::Timer;

/// How often idle connections are looked through.
const SWEEP_INTERVAL: Micros = 1_000_000;
/// A loop that has not turned for this long looks at its sockets before it goes on.
pub const STALL_THRESHOLD: Micros = 50_000;
/// How often a loop that has stalled yields to the other tasks: once for the sockets to be looked at, and once each for
/// the tasks that bytes go through on their way to the loop.
const YIELDS_AFTER_STALL: usize = 3;

/// What an event loop starts with.
pub struct EventLoopConfig {
    /// The settings of the deployment.
    pub deployment: Arc<Deployment>,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Where discovery is reached.
    pub discovery: SocketAddr,
    /// The endpoint list as this router last had it.
    pub cached_list: EndpointListUpdate,
    /// How many connections to servers may be open.
    pub max_server_connections: usize,
    /// Where the tasks that the loop starts report to: the sender of its own events.
    pub events: mpsc::Sender<RouterEvent>,
    /// Tells the clients' tasks the phase of the router's life.
    pub phase: watch::Sender<LifecyclePhase>,
    /// The router's clock.
    pub clock: Clock,
    /// The trace.
    pub trace: Trace,
}

/// The event loop.
pub struct EventLoop {
    driver: PolicyDriver,
    lifecycle: Lifecycle,
    deployment: Arc<Deployment>,
    /// The list that the loop starts with, until it does.
    cached_list: Option<EndpointListUpdate>,
    clock: Clock,
    trace: Trace,
}

impl EventLoop {
    /// A loop that has not begun yet.
    pub fn new(config: EventLoopConfig) -> Self {
        let EventLoopConfig {
            deployment,
            seed,
            discovery,
            cached_list,
            max_server_connections,
            events,
            phase,
            clock,
            trace,
        } = config;
        let pool = ConnectionPool::new(
            max_server_connections,
            deployment.clone(),
            clock,
            events.clone(),
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

    /// Runs until the router has shut down; `is_idle` tells whether no client is connected any more.
    pub async fn run(
        mut self,
        mut events: mpsc::Receiver<RouterEvent>,
        is_idle: impl Fn() -> bool,
    ) {
        self.begin();
        let mut last_turn = self.clock.now();
        let mut received = None;
        loop {
            if self.clock.now() - last_turn > STALL_THRESHOLD {
                self.catch_up(&mut events, received.take()).await;
            }
            last_turn = self.clock.now();
            if let Some(event) = received.take() {
                self.handle_event(event);
            }
            self.check_readiness();
            let now = self.clock.now();
            while let Some(timer) = self.timers_mut().pop_due(now) {
                if timer == Timer::Shutdown(ShutdownStep::CheckFinished) {
                    if self.has_finished(now, &is_idle) {
                        self.trace.line(now, format_args!("exit"));
                        return;
                    }
                    self.schedule(self.lifecycle.next_finished_check(now));
                } else {
                    self.handle_timer(timer, now);
                }
            }
            let next_timer_at = self.timers_mut().next_due_at();
            let next_turn_at = next_timer_at.unwrap_or(now + SWEEP_INTERVAL);
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => received = Some(event),
                    None => return,
                },
                () = tokio::time::sleep_until(self.clock.instant(next_turn_at)) => {}
            }
        }
    }

    /// Starts with the cached list, and with the watch on discovery where lists are pushed.
    fn begin(&mut self) {
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
                settings.balancer_index,
                settings.balancer_count,
                settings.cold_capacity_share,
                settings.warm_up_period,
                settings.overload_multiple,
                settings.overload_window,
                settings.drain_grace,
                settings.origin_kind.map_or(-1, i32::from)
            ),
        );
    }

    /// The router slept, or its process was suspended: what has come to its sockets meanwhile is handled before anything
    /// that was queued or is due, and of that, events that revoke sends before those that ask for them.
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

    /// Handles an event, with all that the policy decides on it.
    pub fn handle_event(&mut self, event: RouterEvent) {
        match event {
            RouterEvent::ClientRequest(request) => self.handle_request(*request),
            RouterEvent::ClientDisconnected(departure) => self.handle_disconnect(departure),
            RouterEvent::ServerConnection(connection, event) => {
                let dispatcher = self.driver.dispatcher_mut();
                dispatcher.handle_connection_event(connection, event);
                self.driver.run();
            }
            RouterEvent::EndpointList(call, update) => self.handle_endpoint_list(&call, &update),
            RouterEvent::EndpointListUnchanged(call) => {
                if self.driver.discovery().is_to_present_address(&call) {
                    self.driver.dispatcher_mut().confirm_endpoint_list();
                }
            }
            RouterEvent::DiscoveryFailed(call) => {
                self.handle_failed_call(&call, ListUpdate::Failed);
            }
            RouterEvent::WatchStalled(call) => {
                self.handle_failed_call(&call, ListUpdate::WatchSilent);
            }
            RouterEvent::DiscoveryMoved(address) => {
                self.driver.discovery_mut().set_address(address)
            }
            RouterEvent::Terminate => self.begin_shutdown(),
        }
    }

    fn handle_request(&mut self, request: ClientRequest) {
        if request.replies.is_closed() {
            return; // Its client has disconnected, and the event that says so is queued behind.
        }
        // The time that the request was queued in the router is part of its deadline.
        let deadline = request.received_at + request.command.remaining_deadline;
        let deadline = self.lifecycle.limit_deadline(deadline);
        self.driver.dispatcher_mut().add_request(request, deadline);
        self.driver.run();
    }

    /// Nothing is sent for a client that has disconnected any more, from whatever queue.
    fn handle_disconnect(&mut self, departure: ClientDeparture) {
        let in_flight = self.driver.dispatcher().in_flight();
        let word = trace::departure_word(departure.cause);
        for request in in_flight.incomplete_requests_of(departure.client) {
            self.trace
                .line(departure.at, format_args!("{word} {request}"));
            self.driver.dispatcher_mut().cancel_request(request);
            self.driver.run();
        }
    }

    fn handle_endpoint_list(&mut self, call: &DiscoveryCall, update: &EndpointListUpdate) {
        let freshness = self.driver.discovery().freshness(call, update);
        if freshness == UpdateFreshness::Stale {
            return;
        }
        self.apply_endpoint_list(update, endpoints::list_update(update));
        if freshness == UpdateFreshness::VersionRegressed {
            // The change is in force all the same; what else is different there only the complete list shows.
            self.driver.discovery_mut().restart_watch();
        }
    }

    /// Puts an endpoint list, or a change of it, into force.
    pub fn apply_endpoint_list(&mut self, update: &EndpointListUpdate, kind: ListUpdate) {
        self.driver.discovery().set_held_version(update.version);
        self.driver
            .dispatcher_mut()
            .apply_endpoint_update(update, kind);
        self.driver.run();
    }

    /// A call to discovery brought nothing more: the list in force stays. One that was replaced is of no interest.
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

    /// Handles a timer that is due, with all that the policy decides on it.
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
            // Handled by `run`, which it may end.
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

    /// Whether the router ends: its time is over, or every reply is given and no client is connected.
    fn has_finished(&self, now: Micros, is_idle: impl Fn() -> bool) -> bool {
        let all_complete = || self.driver.dispatcher().in_flight().all_complete();
        self.lifecycle.is_past_end(now) || (all_complete() && is_idle())
    }

    fn schedule(&mut self, step: ScheduledStep) {
        self.timers_mut()
            .schedule(step.at, Timer::Shutdown(step.step));
    }

    fn timers_mut(&mut self) -> &mut timers::TimerQueue {
        self.driver.dispatcher_mut().timers_mut()
    }

    /// The state of the shutdown.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// The requests in flight and their connections.
    pub fn dispatcher(&self) -> &Dispatcher {
        self.driver.dispatcher()
    }

    /// The requests in flight and their connections, to be changed; for tests.
    #[doc(hidden)]
    pub fn dispatcher_mut(&mut self) -> &mut Dispatcher {
        self.driver.dispatcher_mut()
    }
}

/// The longest deadline of a request class.
fn longest_deadline(deployment: &Deployment) -> Micros {
    deployment
        .settings
        .classes
        .iter()
        .map(|class| class.deadline)
        .max()
        .unwrap_or(0)
}
