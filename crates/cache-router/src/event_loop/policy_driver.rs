//! Runs the policy: gives it the queued events one by one, and carries out the actions that it answers with. It decides
//! nothing itself; where the sockets force its hand, a comment says so.

use routing_policy::{Action, AttemptStatus, Event, LoadReport, Micros, Policy, ServerId};
use tracing::{error, info};

use super::dispatcher::Dispatcher;
use super::timers::Timer;
use crate::clock::Clock;
use crate::discovery::DiscoveryClient;
use crate::message::AttemptId;
use crate::trace::Trace;

/// The shortest time of a timer of the policy: one that is due at once would never let the loop wait.
const MIN_POLICY_TIMER: Micros = 1;

/// The policy, and what its actions work on.
pub struct PolicyDriver {
    policy: Policy,
    dispatcher: Dispatcher,
    discovery: DiscoveryClient,
    clock: Clock,
    trace: Trace,
}

impl PolicyDriver {
    /// A driver of a policy that has seen no event.
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

    /// What carries out the decisions about attempts.
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// What carries out the decisions about attempts, to be changed.
    pub fn dispatcher_mut(&mut self) -> &mut Dispatcher {
        &mut self.dispatcher
    }

    /// The calls to discovery.
    pub fn discovery(&self) -> &DiscoveryClient {
        &self.discovery
    }

    /// The calls to discovery, to be changed.
    pub fn discovery_mut(&mut self) -> &mut DiscoveryClient {
        &mut self.discovery
    }

    /// Gives the policy an event, after those that are queued, and carries out all that follows from them.
    pub fn notify(&mut self, event: Event) {
        self.dispatcher.push_policy_event(event);
        self.run();
    }

    /// Gives the policy the queued events, and carries out all that follows from them.
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
            Action::Fault(description) => error!(%description, "fault of the policy"),
            Action::CheckHealth(server) => self.fail_health_check(server),
            // Routers do not speak to their peers: the sockets for it are not built.
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

    /// Servers are not probed, since the sockets for it are not built: each health check fails at once.
    fn fail_health_check(&mut self, server: ServerId) {
        self.dispatcher.push_policy_event(Event::HealthChecked {
            server,
            healthy: false,
            elapsed: 0,
            load: LoadReport::default(),
        });
    }
}
