//! Runs the policy: passes it the queued events one by one and carries out the actions that it returns. The driver
//! makes no decisions. Where the state of the sockets leaves no choice, a comment says so.

use routing_policy::{Action, AttemptStatus, Event, LoadReport, Micros, Policy, ServerId};
use tracing::{error, info};

use super::dispatcher::Dispatcher;
use super::timers::Timer;
use crate::clock::Clock;
use crate::discovery::DiscoveryClient;
use crate::message::AttemptId;
use crate::trace::Trace;

/// The shortest timer of the policy, in microseconds: with a timer that is due at once the event loop would never wait.
const MIN_POLICY_TIMER: Micros = 1;

/// The policy, and the components that carry out its actions.
pub struct PolicyDriver {
    policy: Policy,
    dispatcher: Dispatcher,
    discovery: DiscoveryClient,
    clock: Clock,
    trace: Trace,
}

impl PolicyDriver {
    /// Creates a driver for a policy that has not handled any event.
    pub fn new(
        policy: Policy,
        dispatcher: Dispatcher,
        discovery: DiscoveryClient,
        clock: Clock,
        trace: Trace,
    ) -> Self {
        PolicyDriver {
            policy,
            dispatcher,
            discovery,
            clock,
            trace,
        }
    }

    /// Returns the dispatcher, which carries out the decisions about attempts.
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// Returns the dispatcher for modification.
    pub fn dispatcher_mut(&mut self) -> &mut Dispatcher {
        &mut self.dispatcher
    }

    /// Returns the discovery client.
    pub fn discovery(&self) -> &DiscoveryClient {
        &self.discovery
    }

    /// Returns the discovery client for modification.
    pub fn discovery_mut(&mut self) -> &mut DiscoveryClient {
        &mut self.discovery
    }

    /// Passes an event to the policy, after those in the queue, and carries out all resulting actions.
    pub fn notify(&mut self, event: Event) {
        self.dispatcher.push_policy_event(event);
        self.run();
    }

    /// Passes the queued events to the policy and carries out all resulting actions.
    pub fn run(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.dispatcher.pop_policy_event() {
            self.policy.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                give_up_after,
            } => self.dispatcher.send(request, server, give_up_after),
            Action::Reject {
                request,
                retry_after,
            } => self.dispatcher.reject(request, retry_after),
            Action::Fail(request) => self.dispatcher.fail(request),
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId {
                    request,
                    number: attempt,
                };
                self.dispatcher.give_up(attempt, AttemptStatus::Cancelled);
            }
            Action::Timer { after, token } => self.set_timer(after, token),
            Action::Subscribe(is_on) => self.subscribe(is_on),
            Action::FetchEndpoints => self.discovery.fetch(),
            Action::CloseIdle(server) => self.dispatcher.pool_mut().close_idle(server),
            Action::Log(event) => info!("{event}"),
            Action::Fault(description) => {
                error!(%description, "the routing policy reported an internal fault")
            }
            Action::CheckHealth(server) => self.fail_health_check(server),
            // Communication between routers over sockets is not implemented.
            Action::SendToPeer { .. } => {}
        }
    }

    fn set_timer(&mut self, after: Micros, token: u32) {
        let due_at = self.clock.now() + after.max(MIN_POLICY_TIMER);
        self.dispatcher
            .timers_mut()
            .schedule(due_at, Timer::Policy(token));
    }

    fn subscribe(&mut self, is_on: bool) {
        self.trace
            .line(self.clock.now(), format_args!("ask {is_on}"));
        self.discovery.subscribe(is_on);
    }

    /// Reports a health check as failed at once: health checks over sockets are not implemented.
    fn fail_health_check(&mut self, server: ServerId) {
        self.dispatcher.push_policy_event(Event::HealthChecked {
            server,
            healthy: false,
            elapsed: 0,
            load: LoadReport::default(),
        });
    }
}
