//! The cache servers and the origin: completion of their jobs, and start and stop of the cache servers.

use std::collections::BTreeMap;

use cluster_model::CompletedJob;
use cluster_model::endpoint_list::ServerState;
use cluster_model::machine::JobId;
use cluster_model::network::Zone;
use cluster_model::origin::Response as OriginResponse;
use cluster_model::server::{CacheServer, Response};
use routing_policy::{AttemptStatus, ServerId};

use super::{BEGIN, Event, Simulation};
use crate::deployment;
use crate::scenario::Scenario;

/// Id of the origin. Cache servers have ids from 1.
pub(super) const ORIGIN: ServerId = 1_000_000;
/// The first id of a cache server.
const FIRST_SERVER: ServerId = 1;
/// A value fetched for a request is stored on at most this many of the cache servers that answered it with a miss.
const MAX_STORES: usize = 2;

/// An event at a server. An event with an earlier generation than the server's is ignored.
#[derive(Debug, Clone, Copy)]
pub(super) enum ServerEvent {
    /// Jobs of a cache server may be complete.
    CacheServerDue { server: ServerId, generation: u64 },
    /// Calls to the origin may be complete.
    OriginDue { generation: u64 },
    /// A cache server begins to drain.
    Drain { server: ServerId },
    /// A cache server's process ends.
    Stop { server: ServerId },
    /// A cache server's process starts.
    Start { server: ServerId },
}

/// A cache server.
pub(super) struct Server {
    pub(super) cache: CacheServer,
    /// Index of the server's kind in the scenario.
    pub(super) kind: usize,
    pub(super) zone: Zone,
    /// Incremented whenever the next event is rescheduled. Events with an earlier generation are ignored.
    generation: u64,
}

/// The servers of a scenario at the beginning of a run. They started long before it and are warm.
pub(super) fn initial_servers(scenario: &Scenario) -> BTreeMap<ServerId, Server> {
    let mut servers = BTreeMap::new();
    for (kind, spec) in scenario.kinds.iter().enumerate() {
        for _ in 0..spec.servers {
            let id = servers.len() as ServerId + FIRST_SERVER;
            let server = Server {
                cache: CacheServer::new(deployment::cache_server(scenario, spec), 0, BEGIN),
                kind,
                zone: deployment::zone(scenario, id),
                generation: 0,
            };
            servers.insert(id, server);
        }
    }
    servers
}

/// The status of an attempt that the origin answered with a response.
pub(super) fn origin_status(response: OriginResponse) -> AttemptStatus {
    match response {
        OriginResponse::Done => AttemptStatus::Served,
        OriginResponse::Failed => AttemptStatus::Error,
        OriginResponse::Unprocessed => AttemptStatus::Rejected,
        OriginResponse::Refused => AttemptStatus::ConnectFailed,
    }
}

impl Simulation<'_> {
    pub(super) fn handle_server_event(&mut self, event: ServerEvent) {
        match event {
            ServerEvent::CacheServerDue { server, generation } => {
                self.complete_at_cache_server(server, generation);
            }
            ServerEvent::OriginDue { generation } => self.complete_at_origin(generation),
            ServerEvent::Drain { server } => self.drain_server(server),
            ServerEvent::Stop { server } => self.stop_server(server),
            ServerEvent::Start { server } => self.start_server(server),
        }
    }

    /// Stores the initial contents of the caches.
    pub(super) fn fill_caches(&mut self) {
        let endpoints = self.endpoints(&self.list.records());
        let contents = deployment::initial_cache_contents(self.scenario, BEGIN, endpoints);
        let value_bytes = self.scenario.load.value_bytes;
        for (key, server) in contents {
            if let Some(server) = self.servers.get_mut(&server) {
                server.cache.memory().store(BEGIN, key, value_bytes);
            }
        }
    }

    /// Schedules a cache server's next event, which replaces the one scheduled before.
    pub(super) fn schedule_cache_server(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.generation += 1;
        let due = ServerEvent::CacheServerDue {
            server: id,
            generation: server.generation,
        };
        if let Some(at) = server.cache.next_event_at() {
            self.schedule(at, Event::Server(due));
        }
    }

    fn complete_at_cache_server(&mut self, id: ServerId, generation: u64) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if server.generation != generation {
            return;
        }
        for CompletedJob { job, response } in server.cache.take_completed(self.now) {
            let status = if response == Response::Hit {
                AttemptStatus::Served
            } else {
                AttemptStatus::Miss
            };
            self.send_outcome(job, status);
        }
        self.schedule_cache_server(id);
    }

    /// Schedules the origin's next event, which replaces the one scheduled before.
    pub(super) fn schedule_origin(&mut self) {
        self.origin_generation += 1;
        if let Some(at) = self.origin.next_event_at() {
            let generation = self.origin_generation;
            self.schedule(at, Event::Server(ServerEvent::OriginDue { generation }));
        }
    }

    fn complete_at_origin(&mut self, generation: u64) {
        if generation != self.origin_generation {
            return;
        }
        for CompletedJob { job, response } in self.origin.take_completed(self.now) {
            if response == OriginResponse::Done {
                self.update_caches(job);
            }
            self.send_outcome(job, origin_status(response));
        }
        self.schedule_origin();
    }

    /// Updates the caches after the origin has served a call whose client still waits: a write invalidates all copies,
    /// and a read is stored on cache servers that answered with a miss.
    fn update_caches(&mut self, job: JobId) {
        let Some(attempt) = self.attempts.get(job) else {
            return;
        };
        let Some(client) = self.clients.get(attempt.client) else {
            return;
        };
        if self.scenario.classes[client.class].write {
            for server in self.servers.values_mut() {
                server.cache.memory().remove(client.key);
            }
            return;
        }
        let Some(request) = self.nodes[attempt.node()].open.get(&attempt.request()) else {
            return;
        };
        let value_bytes = self.scenario.load.value_bytes;
        for missed in request.missed.iter().take(MAX_STORES) {
            if let Some(server) = self.servers.get_mut(missed)
                && server.cache.is_running()
            {
                let memory = server.cache.memory();
                memory.store(self.now, client.key, value_bytes);
            }
        }
    }

    fn drain_server(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.cache.drain();
        }
        self.report_state_change(id, ServerState::Draining, 0);
    }

    /// Ends a server's process. Its connections are reset.
    pub(super) fn stop_server(&mut self, id: ServerId) {
        let lost = self.servers.get_mut(&id).map(|server| server.cache.stop());
        for job in lost.unwrap_or_default() {
            self.send_outcome(job, AttemptStatus::Reset);
        }
        self.report_server_removed(id);
    }

    /// Starts a server's process with an empty cache.
    fn start_server(&mut self, id: ServerId) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&id) {
            server.cache.restart(now);
        }
        self.report_state_change(id, ServerState::Ready, now);
    }

    /// Adds a server that has not started yet, with the same kind and zone as the one it replaces.
    pub(super) fn add_replacement(&mut self, replaced: ServerId) -> ServerId {
        let (kind, zone) = self
            .servers
            .get(&replaced)
            .map_or((0, 0), |server| (server.kind, server.zone));
        let last = self.servers.last_key_value();
        let id = last.map_or(FIRST_SERVER, |(id, _)| id + 1);
        let config = deployment::cache_server(self.scenario, &self.scenario.kinds[kind]);
        let mut cache = CacheServer::new(config, self.now, self.now);
        cache.stop();
        let server = Server {
            cache,
            kind,
            zone,
            generation: 0,
        };
        self.servers.insert(id, server);
        id
    }

    /// Sets the fraction of a server's machine that a noisy neighbour uses from now on.
    pub(super) fn set_stolen_share(&mut self, id: ServerId, share: f64) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.cache.set_stolen_share(self.now, share);
        }
        self.schedule_cache_server(id);
    }
}
