//! Emulated cache servers of a run: their listeners, the links to them, and the starts and ends of their processes.

use std::time::Duration;

use cluster_model::Micros;
use cluster_model::endpoint_list::{EndpointRecord, ServerState};
use cluster_model::network::Zone;

use super::Driver;
use super::schedule::Scheduled;
use crate::micros;
use crate::sockets::cluster::ServerNumber;
use crate::sockets::link::{DirectionState, Link, LinkState};
use crate::sockets::loopback::listen;
use crate::sockets::services::cache_server;

impl Driver<'_> {
    /// Opens the listener of the next cache server (they are opened in order of their numbers), and a link to it from
    /// each zone.
    pub(super) fn open_server(&mut self, server: ServerNumber) -> std::io::Result<()> {
        let listener = listen(self.addresses.next_address()?)?;
        let address = listener.local_addr()?;
        let serve = cache_server::serve(self.shared.clone(), listener, server);
        self.services.spawn(serve);
        let (placement, up) = {
            let state = self.shared.state();
            (state.server_placement(server), state.is_server_up(server))
        };
        for zone in 0..self.scenario.zones {
            let same_zone = placement.is_some_and(|placement| placement.zone == zone);
            let direction = DirectionState {
                delay: self.delay(same_zone),
                stalled: false,
            };
            let state = LinkState {
                listens: up,
                forward: direction,
                backward: direction,
                resets: 0,
            };
            let listen_address = self.addresses.next_address()?;
            let link = Link::open(listen_address, address, state)?;
            self.shared.add_server_address(zone, link.address());
            self.links[usize::from(zone)].push(link);
        }
        Ok(())
    }

    /// One-way network delay.
    fn delay(&self, same_zone: bool) -> Duration {
        let network = &self.scenario.network;
        if same_zone {
            network.same_zone.0
        } else {
            network.cross_zone.0
        }
    }

    /// The links to a server, one from each zone.
    fn links_to(&self, server: ServerNumber) -> impl Iterator<Item = &Link> {
        let index = server as usize - 1;
        self.links.iter().filter_map(move |links| links.get(index))
    }

    pub(super) fn start_server(&mut self, now: Micros, server: ServerNumber) {
        self.shared.state().restart_server(now, server);
        for link in self.links_to(server) {
            link.update(|state| state.listens = true);
        }
        self.schedule_endpoint_change(now, server, ServerState::Ready, now);
    }

    pub(super) fn stop_server(&mut self, now: Micros, server: ServerNumber) {
        self.shared.state().stop_server(now, server);
        self.server_ended(now, server);
    }

    /// Handles the end of a server's process: its links refuse connections, and the discovery service learns of it
    /// later.
    pub(super) fn server_ended(&mut self, now: Micros, server: ServerNumber) {
        for link in self.links_to(server) {
            link.fail();
        }
        self.schedule_endpoint_change(now, server, ServerState::Removed, 0);
    }

    /// Schedules that the discovery service learns a server's state and start time after the detection delay.
    pub(super) fn schedule_endpoint_change(
        &mut self,
        now: Micros,
        server: ServerNumber,
        state: ServerState,
        started: Micros,
    ) {
        let known_at = now + micros(self.scenario.endpoint_list.detection_delay);
        let record = EndpointRecord {
            server,
            state,
            started,
        };
        self.schedule_at(known_at, Scheduled::EndpointChange(record));
    }

    /// Stalls or resumes the links between a zone and the others. A new connection into an isolated zone is established
    /// but carries no bytes, because a program can't stop the operating system from completing the handshake.
    pub(super) fn stall_links_across(&self, zone: Zone, stalled: bool) {
        for (from, links) in (0..).zip(&self.links) {
            for (server, link) in (1..).zip(links) {
                let placement = self.shared.state().server_placement(server);
                let crosses_zones =
                    placement.is_some_and(|placement| (from == zone) != (placement.zone == zone));
                if crosses_zones {
                    link.update(|state| {
                        state.forward.stalled = stalled;
                        state.backward.stalled = stalled;
                    });
                }
            }
        }
    }
}
