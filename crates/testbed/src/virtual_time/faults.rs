//! Fault injection: begins the faults of the scenario, and ends those that have a duration.

use cluster_model::endpoint_list::{NodeId, NodeResponse};
use cluster_model::network::{AnswerFaults, Zone};
use cluster_model::{Micros, RandomStream};
use rand::seq::SliceRandom;
use router_config::HumanDuration;
use routing_policy::ServerId;

use super::discovery::DiscoveryEvent;
use super::lifecycle::NodeEvent;
use super::servers::ServerEvent;
use super::{Event, Simulation};
use crate::scenario::{FaultEvent, OriginFailure};
use crate::{deployment, micros};

/// An event of the fault injection.
pub(super) enum InjectionEvent {
    /// A fault begins, by its index in the scenario.
    Begin { index: usize },
    /// A fault ends.
    End(FaultEnd),
}

/// The end of a fault that has a duration.
pub(super) enum FaultEnd {
    /// A zone is connected to the others again.
    ZoneIsolation { zone: Zone },
    /// Clients send requests at the usual rate again.
    Burst { factor: f64 },
    /// A noisy neighbour stops using capacity of a machine.
    NoisyNeighbour { server: ServerId },
    /// Calls to the origin succeed again.
    OriginFailure,
    /// The origin has all of its cores again.
    OriginSlowness,
    /// Answers arrive intact again.
    AnswerDamage,
    /// A fraction of the requests no longer asks for the hot key.
    HotKey { fraction: f64 },
    /// A fraction of the requests stops scanning.
    Scan { fraction: f64 },
}

/// Picks a fraction of the candidates at random.
fn pick<T>(mut candidates: Vec<T>, fraction: f64, random: &mut RandomStream) -> Vec<T> {
    candidates.shuffle(random);
    candidates.truncate((candidates.len() as f64 * fraction).round() as usize);
    candidates
}

/// Times that are spread evenly over a period.
struct EvenlySpread {
    begin: Micros,
    period: Micros,
    count: Micros,
}

impl EvenlySpread {
    fn new(begin: Micros, period: Micros, count: usize) -> Self {
        EvenlySpread {
            begin,
            period,
            count: count.max(1) as Micros,
        }
    }

    fn time(&self, index: usize) -> Micros {
        self.begin + self.period * index as Micros / self.count
    }
}

impl Simulation<'_> {
    pub(super) fn handle_injection_event(&mut self, event: InjectionEvent) {
        match event {
            InjectionEvent::Begin { index } => self.begin_fault(&self.scenario.faults[index]),
            InjectionEvent::End(end) => self.end_fault(&end),
        }
    }

    fn schedule_end(&mut self, duration: HumanDuration, end: FaultEnd) {
        let end = InjectionEvent::End(end);
        self.schedule(self.now + micros(duration), Event::Injection(end));
    }

    fn begin_fault(&mut self, fault: &FaultEvent) {
        match *fault {
            FaultEvent::ReplaceServers {
                part,
                period,
                drain,
                ..
            } => self.replace_servers(part, micros(period), micros(drain)),
            FaultEvent::CrashServers { part, back, .. } => self.crash_servers(part, micros(back)),
            FaultEvent::NoisyNeighbour {
                part, taken, lasts, ..
            } => self.add_noisy_neighbours(part, taken, lasts),
            FaultEvent::KillNodes { part, back, .. } => self.kill_nodes(part, micros(back)),
            FaultEvent::PauseNodes { part, lasts, .. } => self.pause_nodes(part, micros(lasts)),
            FaultEvent::RestartNodes { part, period, .. } => {
                self.restart_nodes(part, micros(period))
            }
            FaultEvent::RelocateList { .. } => self.relocate_list(),
            FaultEvent::ListDown { lasts, .. } => self.stop_list(micros(lasts)),
            FaultEvent::IsolateZone { zone, lasts, .. } => self.isolate_zone(zone, lasts),
            FaultEvent::Burst { factor, lasts, .. } => self.begin_burst(factor, lasts),
            FaultEvent::HotKey { part, lasts, .. } => self.begin_hot_key(part, lasts),
            FaultEvent::Scan { part, lasts, .. } => self.begin_scan(part, lasts),
            FaultEvent::OriginFails {
                part,
                failure,
                lasts,
                ..
            } => self.fail_origin(part, failure, lasts),
            FaultEvent::OriginSlow { taken, lasts, .. } => self.slow_origin(taken, lasts),
            FaultEvent::DamageAnswers {
                lost,
                corrupted_share,
                reset,
                lasts,
                ..
            } => {
                let corrupted = corrupted_share;
                let faults = AnswerFaults {
                    lost,
                    corrupted,
                    reset,
                };
                self.damage_answers(faults, lasts);
            }
            // Policies see no malformed commands and make no system calls, and there is only one clock.
            FaultEvent::MalformedTraffic { .. }
            | FaultEvent::SystemCalls { .. }
            | FaultEvent::ShortCounts { .. }
            | FaultEvent::StepClock { .. } => {}
        }
    }

    fn end_fault(&mut self, end: &FaultEnd) {
        match *end {
            FaultEnd::ZoneIsolation { zone } => self.set_zone_isolated(zone, false),
            FaultEnd::Burst { factor } => self.clients.scale_rate(1.0 / factor),
            FaultEnd::NoisyNeighbour { server } => self.set_stolen_share(server, 0.0),
            FaultEnd::OriginFailure => self.origin.set_fault(None),
            FaultEnd::OriginSlowness => {
                self.origin.set_stolen_share(self.now, 0.0);
                self.schedule_origin();
            }
            FaultEnd::AnswerDamage => self.network.set_answer_faults(AnswerFaults::default()),
            FaultEnd::HotKey { fraction } => self.clients.adjust_hot_share(-fraction),
            FaultEnd::Scan { fraction } => self.clients.adjust_scan_share(-fraction),
        }
    }

    /// A fraction of the nodes, picked at random.
    fn pick_nodes(&mut self, fraction: f64) -> Vec<NodeId> {
        pick(self.nodes.ids(), fraction, &mut self.random.faults)
    }

    /// A fraction of the running servers, picked at random.
    fn pick_servers(&mut self, fraction: f64) -> Vec<ServerId> {
        let running = self
            .servers
            .iter()
            .filter(|(_, server)| server.cache.is_running())
            .map(|(id, _)| *id)
            .collect();
        pick(running, fraction, &mut self.random.faults)
    }

    fn replace_servers(&mut self, fraction: f64, period: Micros, drain: Micros) {
        let servers = self.pick_servers(fraction);
        let times = EvenlySpread::new(self.now, period, servers.len());
        for (index, server) in servers.into_iter().enumerate() {
            let at = times.time(index);
            self.schedule(at, Event::Server(ServerEvent::Drain { server }));
            self.schedule(at + drain, Event::Server(ServerEvent::Stop { server }));
            // The replacement starts while the old server drains.
            let server = self.add_replacement(server);
            self.schedule(at, Event::Server(ServerEvent::Start { server }));
        }
    }

    fn crash_servers(&mut self, fraction: f64, restart_after: Micros) {
        for server in self.pick_servers(fraction) {
            self.stop_server(server);
            let start = ServerEvent::Start { server };
            self.schedule(self.now + restart_after, Event::Server(start));
        }
    }

    fn kill_nodes(&mut self, fraction: f64, restart_after: Micros) {
        for node in self.pick_nodes(fraction) {
            self.kill_node(node);
            self.schedule(
                self.now + restart_after,
                Event::Node(NodeEvent::Start { node }),
            );
        }
    }

    fn pause_nodes(&mut self, fraction: f64, duration: Micros) {
        for node in self.pick_nodes(fraction) {
            self.nodes[node].pause();
            self.invariants.paused(self.now, node);
            self.schedule(
                self.now + duration,
                Event::Node(NodeEvent::PauseEnds { node }),
            );
        }
    }

    fn restart_nodes(&mut self, fraction: f64, period: Micros) {
        let nodes = self.pick_nodes(fraction);
        let times = EvenlySpread::new(self.now, period, nodes.len());
        for (index, node) in nodes.into_iter().enumerate() {
            let restart = NodeEvent::Restart { node };
            self.schedule(times.time(index), Event::Node(restart));
        }
    }

    fn relocate_list(&mut self) {
        for node in self.nodes.iter_mut() {
            node.list_version = 0;
        }
        for NodeResponse { node, response } in self.list.move_to_new_address() {
            self.schedule_list_response(self.now, node, response);
        }
    }

    fn stop_list(&mut self, duration: Micros) {
        self.invariants.discovery_reachable(self.now, false);
        for NodeResponse { node, response } in self.list.set_available(self.now, false) {
            self.schedule_list_response(self.now, node, response);
        }
        let restored = DiscoveryEvent::ServiceRestored;
        self.schedule(self.now + duration, Event::Discovery(restored));
    }

    fn isolate_zone(&mut self, zone: Zone, duration: HumanDuration) {
        self.set_zone_isolated(zone, true);
        self.schedule_end(duration, FaultEnd::ZoneIsolation { zone });
    }

    fn set_zone_isolated(&mut self, zone: Zone, isolated: bool) {
        self.network
            .set_isolated(zone, self.scenario.zones, isolated);
    }

    fn add_noisy_neighbours(&mut self, fraction: f64, stolen_share: f64, duration: HumanDuration) {
        for server in self.pick_servers(fraction) {
            self.set_stolen_share(server, stolen_share);
            self.schedule_end(duration, FaultEnd::NoisyNeighbour { server });
        }
    }

    fn begin_burst(&mut self, factor: f64, duration: HumanDuration) {
        self.clients.scale_rate(factor);
        self.schedule_end(duration, FaultEnd::Burst { factor });
    }

    fn begin_hot_key(&mut self, fraction: f64, duration: HumanDuration) {
        self.clients.adjust_hot_share(fraction);
        self.schedule_end(duration, FaultEnd::HotKey { fraction });
    }

    fn begin_scan(&mut self, fraction: f64, duration: HumanDuration) {
        self.clients.adjust_scan_share(fraction);
        self.schedule_end(duration, FaultEnd::Scan { fraction });
    }

    fn fail_origin(&mut self, fraction: f64, failure: OriginFailure, duration: HumanDuration) {
        self.origin
            .set_fault(Some(deployment::fault(failure, fraction)));
        self.schedule_end(duration, FaultEnd::OriginFailure);
    }

    fn slow_origin(&mut self, stolen_share: f64, duration: HumanDuration) {
        self.origin.set_stolen_share(self.now, stolen_share);
        self.schedule_origin();
        self.schedule_end(duration, FaultEnd::OriginSlowness);
    }

    fn damage_answers(&mut self, faults: AnswerFaults, duration: HumanDuration) {
        self.network.set_answer_faults(faults);
        self.schedule_end(duration, FaultEnd::AnswerDamage);
    }
}
