//! What is scheduled in a run, and what happens when it is due.

use cluster_model::Micros;
use cluster_model::endpoint_list::{Condition, EndpointRecord};
use cluster_model::network::{AnswerFaults, Zone};
use nix::sys::signal::Signal;

use super::{ClientId, Driver, NodeIncarnation};
use crate::sockets::cluster::ServerNumber;

/// Something that is to happen at a time.
#[derive(Debug, Clone, Copy)]
pub(super) enum Scheduled {
    /// The next client arrives.
    NextArrival,
    /// A client retries.
    Retry(ClientId),
    /// An event of the scenario, by its place there.
    ScenarioEvent(usize),
    /// A cache server finishes what it has in flight.
    DrainServer(ServerNumber),
    /// A cache server's process ends.
    StopServer(ServerNumber),
    /// A cache server's process starts.
    StartServer(ServerNumber),
    /// The discovery service learns the condition of a cache server.
    EndpointChange(EndpointRecord),
    /// A node's process starts, unless it runs.
    StartNode(u32),
    /// A paused node goes on.
    ResumeNode(u32),
    /// A node is asked to shut down.
    TerminateNode(u32),
    /// A node that was asked to shut down is killed, unless it has ended.
    KillTerminated(NodeIncarnation),
    /// A node that shuts down gets no new requests.
    RemoveFromRotation(NodeIncarnation),
    /// It is noticed that a node was killed.
    NodeDeathNoticed(NodeIncarnation),
    /// The cut of a zone ends.
    HealZone(Zone),
    /// The discovery service is back.
    RestoreDiscovery,
    /// A burst of arrivals ends.
    EndBurst {
        /// By how much arrivals were more frequent.
        factor: f64,
    },
    /// A hot key is as popular as others again.
    EndHotKey {
        /// The fraction of the clients that asked for it.
        fraction: f64,
    },
    /// A scan through all keys ends.
    EndScan {
        /// The fraction of the clients that took part.
        fraction: f64,
    },
    /// A cache server has its whole machine again.
    RestoreServerCapacity(ServerNumber),
    /// The origin has its whole machine again.
    RestoreOriginCapacity,
    /// Calls to the origin do not fail any more.
    HealOrigin,
    /// Answers are damaged no more.
    RepairAnswers,
    /// A fault of system calls ends, by its place in the scenario.
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
    /// Makes happen what was scheduled for a time that has come.
    pub(super) async fn perform(&mut self, at: Micros, scheduled: Scheduled) {
        let now = self.shared.now();
        match scheduled {
            Scheduled::NextArrival => self.client_arrives(at),
            Scheduled::Retry(client) => self.begin_request(client),
            Scheduled::ScenarioEvent(index) => self.inject(index, now).await,
            Scheduled::DrainServer(server) => {
                self.shared.state().drain_server(server);
                self.announce(now, server, Condition::Draining, 0);
            }
            Scheduled::StopServer(server) => self.stop_server(now, server),
            Scheduled::StartServer(server) => self.start_server(now, server),
            Scheduled::EndpointChange(record) => self.shared.state().endpoint_changed(now, record),
            Scheduled::StartNode(node) => self.start_node_again(node),
            Scheduled::ResumeNode(node) => self.resume_node(now, node),
            Scheduled::TerminateNode(node) => self.terminate_node(now, node),
            Scheduled::KillTerminated(terminated) => self.kill_terminated(now, terminated).await,
            Scheduled::RemoveFromRotation(leaving) => self.remove_from_rotation(leaving),
            Scheduled::NodeDeathNoticed(killed) => self.notice_node_death(killed),
            Scheduled::HealZone(zone) => self.heal_zone(now, zone),
            Scheduled::RestoreDiscovery => {
                self.progress_messages
                    .push("the list service is back".into());
                self.shared.state().set_discovery_up(now, true);
            }
            Scheduled::EndBurst { factor } => self.clients.scale_rate(1.0 / factor),
            Scheduled::EndHotKey { fraction } => self.clients.adjust_hot_share(-fraction),
            Scheduled::EndScan { fraction } => self.clients.adjust_scan_share(-fraction),
            Scheduled::RestoreServerCapacity(server) => {
                self.shared.state().take_server_capacity(now, server, 0.0);
            }
            Scheduled::RestoreOriginCapacity => {
                self.shared.state().take_origin_capacity(now, 0.0);
            }
            Scheduled::HealOrigin => self.shared.state().heal_origin(),
            Scheduled::RepairAnswers => self
                .shared
                .state()
                .set_answer_faults(AnswerFaults::default()),
            Scheduled::EndSystemFault(event) => self.end_system_fault(event),
            Scheduled::SendMalformed(traffic) => self.send_malformed(at, traffic),
        }
        self.shared.notify_due_changed();
    }

    fn resume_node(&mut self, now: Micros, node: u32) {
        self.shared.state().node_resumed(now, node);
        self.nodes[node as usize].signal(Signal::SIGCONT);
        self.progress_messages.push(format!("node {node} goes on"));
    }

    fn heal_zone(&mut self, now: Micros, zone: Zone) {
        self.progress_messages
            .push(format!("zone {zone} is reached again"));
        self.shared.state().heal_zone(now, zone);
        self.stall_links_across(zone, false);
    }
}
