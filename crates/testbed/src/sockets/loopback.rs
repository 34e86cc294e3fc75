//! Addresses and listeners on 127.0.0.0/8. Each party of a run has an address of its own, so that the port it had is
//! still free when it comes back after a fault.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cluster_model::network::Zone;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that the system queues for a listener.
const LISTEN_BACKLOG: u32 = 256;
/// Hosts in one /24 network, without .0 and the last ones.
const HOSTS_PER_NETWORK: u32 = 250;

/// A block of addresses, 127.x.0.0/16, for all parties of one role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoopbackBlock {
    /// Emulated cache servers.
    CacheServer,
    /// Nodes, which are `cache-router` processes.
    Node,
    /// The discovery service's listeners, one for each node.
    Discovery,
    /// The origin.
    Origin,
    /// Links from the nodes of a zone to cache servers.
    LinkFrom(Zone),
}

impl LoopbackBlock {
    fn second_octet(self) -> u8 {
        match self {
            LoopbackBlock::CacheServer => 1,
            LoopbackBlock::Node => 2,
            LoopbackBlock::Discovery => 3,
            LoopbackBlock::Origin => 4,
            LoopbackBlock::LinkFrom(zone) => 10 + zone,
        }
    }
}

/// The address of one party, with port 0: the system chooses a free port.
pub fn loopback_address(block: LoopbackBlock, number: u32) -> SocketAddr {
    let network = (number / HOSTS_PER_NETWORK) as u8;
    let host = (number % HOSTS_PER_NETWORK) as u8 + 1;
    let ip = Ipv4Addr::new(127, block.second_octet(), network, host);
    SocketAddr::new(IpAddr::V4(ip), 0)
}

/// Opens a listener whose address can be bound again at once after it was closed.
///
/// # Errors
/// Where the system refuses the socket or the address is in use.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
