//! Start of a run: opens services and links, fills the cache servers, starts the nodes, and begins the schedule.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cluster_model::random_stream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::load_balancer::LoadBalancer;
use super::schedule::Scheduled;
use super::system_faults::SystemFaults;
use super::{Driver, Message, RandomStreams};
use crate::clients::{Clients, Stream};
use crate::event_queue::EventQueue;
use crate::scenario::Scenario;
use crate::sockets::loopback::{LoopbackBlock, listen};
use crate::sockets::router_process::RouterProcess;
use crate::sockets::services::{discovery, origin};
use crate::sockets::shared::{SharedCluster, record_heartbeats, run_due_work};
use crate::sockets::{RunOptions, SocketError};
use crate::{deployment, micros};

/// Interval of the checks whether a node has ended while it is starting.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of messages from tasks that are queued for the driver.
const MAX_MESSAGES: usize = 4096;

impl<'a> Driver<'a> {
    /// Opens all listeners and links of a scenario, and prepares the fault injector if there is one. Starts no node.
    pub(in crate::sockets) fn new(
        scenario: &'a Scenario,
        seed: u64,
        options: &'a RunOptions<'a>,
        injector: Option<&Path>,
    ) -> Result<Driver<'a>, SocketError> {
        let mut driver = Driver::open(scenario, seed, options).map_err(|source| {
            SocketError::io("cannot open the listeners of the emulated cluster", source)
        })?;
        if let Some(library) = injector {
            driver.prepare_fault_injection(library);
        }
        driver.begin_initial_system_faults();
        Ok(driver)
    }

    fn open(
        scenario: &'a Scenario,
        seed: u64,
        options: &'a RunOptions<'a>,
    ) -> std::io::Result<Driver<'a>> {
        let mut addresses = LoopbackBlock::reserve()?;
        let origin_listener = listen(addresses.next_address()?)?;
        let origin_address = origin_listener.local_addr()?;
        let shared = Arc::new(SharedCluster::new(scenario, seed, origin_address));
        let mut services = JoinSet::new();
        services.spawn(run_due_work(shared.clone()));
        services.spawn(record_heartbeats(shared.clone()));
        let serve_origin = origin::serve(shared.clone(), origin_listener);
        services.spawn(async move { drop(serve_origin.await) });
        let begin = shared.now();
        let (message_sender, messages) = mpsc::channel(MAX_MESSAGES);
        let mut random = RandomStreams::new(seed);
        let system_faults = SystemFaults::draw(scenario, &mut random.system_faults);
        let mut driver = Driver {
            begin,
            schedule: EventQueue::new(),
            clients: Clients::new(scenario, seed, begin),
            nodes: Vec::new(),
            load_balancer: LoadBalancer::new(random_stream(seed, Stream::LoadBalancer as u64)),
            links: (0..scenario.zones).map(|_| Vec::new()).collect(),
            services,
            discovery_listeners: Vec::new(),
            tasks: JoinSet::new(),
            last_request: 0,
            overdue: BTreeSet::new(),
            message_sender,
            messages,
            random,
            system_faults,
            progress_messages: Vec::new(),
            failures: Vec::new(),
            addresses,
            shared,
            scenario,
            options,
        };
        driver.open_nodes()?;
        driver.open_servers()?;
        Ok(driver)
    }

    fn open_nodes(&mut self) -> std::io::Result<()> {
        for node in 0..self.scenario.nodes {
            let discovery = self.open_discovery_listener(node)?;
            let process = RouterProcess::new(
                node,
                self.addresses.next_address()?,
                discovery,
                self.options.folder,
            )?;
            self.nodes.push(process);
        }
        Ok(())
    }

    fn open_servers(&mut self) -> std::io::Result<()> {
        let servers = self.shared.state().server_numbers();
        for server in servers {
            self.open_server(server)?;
        }
        Ok(())
    }

    /// Opens a discovery listener for a node, and returns its address.
    pub(super) fn open_discovery_listener(&mut self, node: u32) -> std::io::Result<SocketAddr> {
        let listener = listen(self.addresses.next_address()?)?;
        let address = listener.local_addr()?;
        let zone = deployment::zone(self.scenario, node);
        let serve = discovery::serve(self.shared.clone(), listener, node, zone);
        let task = self.services.spawn(async move { drop(serve.await) });
        self.discovery_listeners.push(task);
        Ok(address)
    }

    /// Fills the cache servers, starts the nodes, and begins the schedule when all nodes answer.
    pub(in crate::sockets) async fn begin(&mut self) -> Result<(), SocketError> {
        let now = self.shared.now();
        self.shared.state().fill_caches(now);
        for node in 0..self.scenario.nodes {
            self.start_node(node)
                .map_err(|source| SocketError::io("cannot start a node", source))?;
        }
        self.wait_for_nodes().await?;
        self.begin = self.shared.now();
        self.clients.set_begin(self.begin);
        for (index, event) in self.scenario.faults.iter().enumerate() {
            let at = self.begin + micros(event.at());
            self.schedule_at(at, Scheduled::ScenarioEvent(index));
        }
        if let Some(first) = self.clients.next_arrival(self.begin) {
            self.schedule_at(first, Scheduled::NextArrival);
        }
        Ok(())
    }

    async fn wait_for_nodes(&mut self) -> Result<(), SocketError> {
        let mut exit_check = tokio::time::interval(START_CHECK_INTERVAL);
        while self.load_balancer.node_count() < self.nodes.len() {
            tokio::select! {
                Some(message) = self.messages.recv() => self.record_startup(&message)?,
                _ = exit_check.tick() => self.check_for_exited_nodes()?,
            }
        }
        self.load_balancer.sort();
        Ok(())
    }

    fn record_startup(&mut self, message: &Message) -> Result<(), SocketError> {
        let Message::NodeReady { started, ready } = message else {
            return Ok(());
        };
        if !ready {
            return Err(self.nodes[started.node as usize].startup_error());
        }
        self.load_balancer.add(started.node);
        Ok(())
    }

    /// Fails if a node has ended while it was starting; its log then states the reason.
    fn check_for_exited_nodes(&mut self) -> Result<(), SocketError> {
        for node in &mut self.nodes {
            if node.take_exit_status().is_some() {
                return Err(node.startup_error());
            }
        }
        Ok(())
    }
}
