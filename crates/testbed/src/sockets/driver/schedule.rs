//! Scheduled actions of a run, and what each of them does.

use cluster_model::Micros;
use cluster_model::endpoint_list::{EndpointRecord, ServerState};
use cluster_model::network::{AnswerFaults, Zone};
use nix::sys::signal::Signal;

use super::{ClientId, Driver, NodeIncarnation};
use crate::sockets::cluster::ServerNumber;

/// An action that is scheduled for a time.
#[derive(Debug, Clone, Copy)]
pub(super) enum Scheduled {
    /// The next client arrives.
    NextArrival,
    /// A client retries.
    Retry(ClientId),
    /// An event of the scenario occurs; this is its index there.
    ScenarioEvent(usize),
    /// A cache server starts to drain: it completes its attempts in flight and rejects all others.
    DrainServer(ServerNumber),
    /// A cache server's process ends.
    StopServer(ServerNumber),
    /// A cache server's process starts.
    StartServer(ServerNumber),
    /// The discovery service learns a cache server's state.
    EndpointChange(EndpointRecord),
    /// A node's process starts, unless it is running.
    StartNode(u32),
    /// A paused node resumes.
    ResumeNode(u32),
    /// A node is told to shut down.
    TerminateNode(u32),
    /// A node that was told to shut down is killed, unless it has ended.
    KillTerminated(NodeIncarnation),
    /// A node that is shutting down is removed from the load balancer's rotation.
    RemoveFromRotation(NodeIncarnation),
    /// The load balancer detects that a node was killed.
    NodeDeathDetected(NodeIncarnation),
    /// The isolation of a zone ends.
    HealZone(Zone),
    /// The discovery service becomes available again.
    RestoreDiscovery,
    /// A burst of arrivals ends.
    EndBurst {
        /// The factor by which the arrival rate was multiplied.
        factor: f64,
    },
    /// A hot key is requested no more often than other keys again.
    EndHotKey {
        /// The fraction of the clients that requested it.
        fraction: f64,
    },
    /// A scan through all keys ends.
    EndScan {
        /// The fraction of the clients that took part in it.
        fraction: f64,
    },
    /// A cache server has its full machine capacity again.
    RestoreServerCapacity(ServerNumber),
    /// The origin has its full machine capacity again.
    RestoreOriginCapacity,
    /// Calls to the origin stop failing.
    ClearOriginFault,
    /// Replies are no longer damaged.
    ClearAnswerFaults,
    /// A fault of system calls ends; this is its index in the scenario.
    EndSystemFault(usize),
    /// A peer sends malformed bytes to a node.
    SendMalformed(MalformedTraffic),
}

/// Peers that send malformed bytes.
#[derive(Debug, Clone, Copy)]
pub(super) struct MalformedTraffic {
    pub(super) per_second: f64,
    pub(super) until: Micros,
}

impl Driver<'_> {
    /// Performs an action that is due.
    pub(super) async fn execute(&mut self, at: Micros, scheduled: Scheduled) {
        let now = self.shared.now();
        match scheduled {
            Scheduled::NextArrival => self.handle_client_arrival(at),
            Scheduled::Retry(client) => self.begin_request(client),
            Scheduled::ScenarioEvent(index) => self.inject(index, now).await,
            Scheduled::DrainServer(server) => {
                self.shared.state().drain_server(server);
                self.schedule_endpoint_change(now, server, ServerState::Draining, 0);
            }
            Scheduled::StopServer(server) => self.stop_server(now, server),
            Scheduled::StartServer(server) => self.start_server(now, server),
            Scheduled::EndpointChange(record) => self.shared.state().endpoint_changed(now, record),
            Scheduled::StartNode(node) => self.start_node_if_stopped(node),
            Scheduled::ResumeNode(node) => self.resume_node(now, node),
            Scheduled::TerminateNode(node) => self.terminate_node(now, node),
            Scheduled::KillTerminated(terminated) => self.kill_terminated(now, terminated).await,
            Scheduled::RemoveFromRotation(leaving) => self.remove_from_rotation(leaving),
            Scheduled::NodeDeathDetected(killed) => self.handle_node_death(killed),
            Scheduled::HealZone(zone) => self.heal_zone(now, zone),
            Scheduled::RestoreDiscovery => {
                self.progress_messages
                    .push("the discovery service is available again".into());
                self.shared.state().set_discovery_up(now, true);
            }
            Scheduled::EndBurst { factor } => self.clients.scale_rate(1.0 / factor),
            Scheduled::EndHotKey { fraction } => self.clients.adjust_hot_share(-fraction),
            Scheduled::EndScan { fraction } => self.clients.adjust_scan_share(-fraction),
            Scheduled::RestoreServerCapacity(server) => {
                self.shared.state().reduce_server_capacity(now, server, 0.0);
            }
            Scheduled::RestoreOriginCapacity => {
                self.shared.state().reduce_origin_capacity(now, 0.0);
            }
            Scheduled::ClearOriginFault => self.shared.state().clear_origin_fault(),
            Scheduled::ClearAnswerFaults => self
                .shared
                .state()
                .set_answer_faults(AnswerFaults::default()),
            Scheduled::EndSystemFault(event) => self.end_system_fault(event),
            Scheduled::SendMalformed(traffic) => self.send_malformed(at, traffic),
        }
        self.shared.notify_work_scheduled();
    }

    fn resume_node(&mut self, now: Micros, node: u32) {
        self.shared.state().node_resumed(now, node);
        self.nodes[node as usize].signal(Signal::SIGCONT);
        self.progress_messages.push(format!("node {node} resumed"));
    }

    fn heal_zone(&mut self, now: Micros, zone: Zone) {
        self.progress_messages
            .push(format!("zone {zone} is reachable again"));
        self.shared.state().heal_zone(now, zone);
        self.stall_links_across(zone, false);
    }
}
