//! Faults of a scenario: each event is injected when it is due, and its end is scheduled.

use cluster_model::Micros;
use cluster_model::network::{AnswerFaults, Zone};
use nix::sys::signal::Signal;
use router_config::HumanDuration;

use super::Driver;
use super::schedule::{MalformedTraffic, Scheduled};
use crate::scenario::{FaultEvent, OriginFailure};
use crate::sockets::cluster::{ServerNumber, server_name};
use crate::{deployment, micros};

/// Returns when the `index`-th of `count` actions is due, with the actions spread evenly over a period.
fn staggered(now: Micros, spread_over: HumanDuration, index: usize, count: usize) -> Micros {
    now + micros(spread_over) * index as Micros / count.max(1) as Micros
}

impl Driver<'_> {
    /// Injects the event with this index in the scenario.
    pub(super) async fn inject(&mut self, index: usize, now: Micros) {
        let event = self.scenario.faults[index].clone();
        self.progress_messages.push(event.to_string());
        match event {
            FaultEvent::KillNodes { part, back, .. } => self.kill_nodes(now, part, back).await,
            FaultEvent::PauseNodes { part, lasts, .. } => self.pause_nodes(now, part, lasts),
            FaultEvent::RestartNodes { part, period, .. } => self.restart_nodes(now, part, period),
            FaultEvent::ReplaceServers {
                part,
                period,
                drain,
                ..
            } => self.replace_servers(now, part, period, drain),
            FaultEvent::CrashServers { part, back, .. } => self.crash_servers(now, part, back),
            FaultEvent::NoisyNeighbour {
                part, taken, lasts, ..
            } => self.reduce_server_capacity(now, part, taken, lasts),
            FaultEvent::RelocateList { .. } => self.move_discovery(),
            FaultEvent::ListDown { lasts, .. } => self.stop_discovery(now, lasts),
            FaultEvent::IsolateZone { zone, lasts, .. } => self.isolate_zone(now, zone, lasts),
            FaultEvent::Burst { factor, lasts, .. } => self.begin_burst(now, factor, lasts),
            FaultEvent::HotKey { part, lasts, .. } => self.begin_hot_key(now, part, lasts),
            FaultEvent::Scan { part, lasts, .. } => self.begin_scan(now, part, lasts),
            FaultEvent::OriginFails {
                part,
                failure,
                lasts,
                ..
            } => self.fail_origin(now, failure, part, lasts),
            FaultEvent::OriginSlow { taken, lasts, .. } => self.slow_origin(now, taken, lasts),
            FaultEvent::DamageAnswers {
                lost,
                corrupted_share,
                reset,
                lasts,
                ..
            } => {
                let faults = AnswerFaults {
                    lost,
                    corrupted: corrupted_share,
                    reset,
                };
                self.begin_answer_faults(now, faults, lasts);
            }
            FaultEvent::MalformedTraffic { per_s, lasts, .. } => {
                self.begin_malformed_traffic(now, per_s, lasts)
            }
            FaultEvent::SystemCalls { lasts, .. } | FaultEvent::ShortCounts { lasts, .. } => {
                self.begin_system_fault(now, index, lasts);
            }
            FaultEvent::StepClock { clocks, step_s, .. } => {
                self.begin_clock_step(now, index, clocks, step_s);
            }
        }
    }

    // Nodes.

    fn choose_nodes(&self, fraction: f64) -> Vec<u32> {
        let nodes = (0..self.nodes.len() as u32).collect();
        self.shared.state().choose(nodes, fraction)
    }

    async fn kill_nodes(&mut self, now: Micros, fraction: f64, restart_after: HumanDuration) {
        for node in self.choose_nodes(fraction) {
            self.nodes[node as usize].kill().await;
            let killed_at = self.shared.now();
            self.shared.state().node_killed(killed_at, node);
            let detected_at = now + micros(self.scenario.load_balancer.detection_delay);
            let killed = self.current_incarnation(node);
            self.schedule_at(detected_at, Scheduled::NodeDeathDetected(killed));
            self.schedule_at(now + micros(restart_after), Scheduled::StartNode(node));
        }
    }

    fn pause_nodes(&mut self, now: Micros, fraction: f64, duration: HumanDuration) {
        for node in self.choose_nodes(fraction) {
            self.nodes[node as usize].signal(Signal::SIGSTOP);
            self.shared.state().node_paused(now, node);
            self.schedule_at(now + micros(duration), Scheduled::ResumeNode(node));
        }
    }

    fn restart_nodes(&mut self, now: Micros, fraction: f64, spread_over: HumanDuration) {
        let nodes = self.choose_nodes(fraction);
        let count = nodes.len();
        for (index, node) in nodes.into_iter().enumerate() {
            let at = staggered(now, spread_over, index, count);
            self.schedule_at(at, Scheduled::TerminateNode(node));
        }
    }

    // Cache servers.

    fn replace_servers(
        &mut self,
        now: Micros,
        fraction: f64,
        spread_over: HumanDuration,
        drain: HumanDuration,
    ) {
        let servers = self.shared.state().choose_servers(fraction);
        let count = servers.len();
        for (index, server) in servers.into_iter().enumerate() {
            let at = staggered(now, spread_over, index, count);
            self.replace_server(now, server, at, drain);
        }
    }

    /// Opens a new server, and schedules it to replace another one at the given time.
    fn replace_server(&mut self, now: Micros, old: ServerNumber, at: Micros, drain: HumanDuration) {
        let new = self.shared.state().add_server_like(now, old);
        if let Err(error) = self.open_server(new) {
            self.failures
                .push(format!("no port for {}: {error}", server_name(new)));
            return;
        }
        self.schedule_at(at, Scheduled::DrainServer(old));
        self.schedule_at(at + micros(drain), Scheduled::StopServer(old));
        // The new server starts before the old one stops.
        self.schedule_at(at, Scheduled::StartServer(new));
    }

    fn crash_servers(&mut self, now: Micros, fraction: f64, restart_after: HumanDuration) {
        let servers = self.shared.state().choose_servers(fraction);
        for server in servers {
            self.stop_server(now, server);
            self.schedule_at(now + micros(restart_after), Scheduled::StartServer(server));
        }
    }

    fn reduce_server_capacity(
        &mut self,
        now: Micros,
        fraction: f64,
        stolen_share: f64,
        duration: HumanDuration,
    ) {
        let servers = self.shared.state().choose_servers(fraction);
        for server in servers {
            self.shared
                .state()
                .reduce_server_capacity(now, server, stolen_share);
            self.schedule_at(
                now + micros(duration),
                Scheduled::RestoreServerCapacity(server),
            );
        }
    }

    // Discovery and network.

    /// Moves the discovery service to new addresses. All new listeners are opened before any node is told, and the old
    /// ones stop accepting connections.
    fn move_discovery(&mut self) {
        let old_listeners = std::mem::take(&mut self.discovery_listeners);
        for node in 0..self.nodes.len() as u32 {
            let moved = self
                .open_discovery_listener(node)
                .and_then(|address| self.nodes[node as usize].move_discovery(address));
            if let Err(error) = moved {
                self.failures.push(format!(
                    "the list of node {node} could not be moved: {error}"
                ));
            }
        }
        for listener in old_listeners {
            listener.abort();
        }
        self.shared.state().move_discovery();
    }

    fn stop_discovery(&mut self, now: Micros, duration: HumanDuration) {
        self.shared.state().set_discovery_up(now, false);
        self.schedule_at(now + micros(duration), Scheduled::RestoreDiscovery);
    }

    fn isolate_zone(&mut self, now: Micros, zone: Zone, duration: HumanDuration) {
        self.shared.state().isolate_zone(now, zone);
        self.stall_links_across(zone, true);
        self.schedule_at(now + micros(duration), Scheduled::HealZone(zone));
    }

    // Clients.

    fn begin_burst(&mut self, now: Micros, factor: f64, duration: HumanDuration) {
        self.clients.scale_rate(factor);
        self.schedule_at(now + micros(duration), Scheduled::EndBurst { factor });
    }

    fn begin_hot_key(&mut self, now: Micros, fraction: f64, duration: HumanDuration) {
        self.clients.adjust_hot_share(fraction);
        self.schedule_at(now + micros(duration), Scheduled::EndHotKey { fraction });
    }

    fn begin_scan(&mut self, now: Micros, fraction: f64, duration: HumanDuration) {
        self.clients.adjust_scan_share(fraction);
        self.schedule_at(now + micros(duration), Scheduled::EndScan { fraction });
    }

    fn begin_malformed_traffic(&mut self, now: Micros, per_second: f64, duration: HumanDuration) {
        let until = now + micros(duration);
        let traffic = MalformedTraffic { per_second, until };
        self.schedule_at(now, Scheduled::SendMalformed(traffic));
    }

    // Origin and replies.

    fn fail_origin(
        &mut self,
        now: Micros,
        failure: OriginFailure,
        fraction: f64,
        duration: HumanDuration,
    ) {
        let fault = deployment::fault(failure, fraction);
        self.shared.state().fail_origin(fault);
        self.schedule_at(now + micros(duration), Scheduled::ClearOriginFault);
    }

    fn slow_origin(&mut self, now: Micros, stolen_share: f64, duration: HumanDuration) {
        self.shared
            .state()
            .reduce_origin_capacity(now, stolen_share);
        self.schedule_at(now + micros(duration), Scheduled::RestoreOriginCapacity);
    }

    fn begin_answer_faults(&mut self, now: Micros, faults: AnswerFaults, duration: HumanDuration) {
        self.shared.state().set_answer_faults(faults);
        self.schedule_at(now + micros(duration), Scheduled::ClearAnswerFaults);
    }
}
