//! Addresses and listeners on 127.0.0.0/8. Each run has a block of addresses that no concurrent run uses, and each
//! listener of a run has its own address. A port that a listener releases, while its process starts or after a fault,
//! is therefore still free when it is bound again.

use std::io::{Error, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that the system queues for a listener.
const LISTEN_BACKLOG: u32 = 256;
/// Number of addresses in a run's block. A run uses one for each service and node, and one for each link between a zone
/// and a server.
const BLOCK_SIZE: u32 = 1 << 17;
/// Indices of the blocks that runs may use. Block 0 contains 127.0.0.1, which other programs use, and block 127 ends
/// with a broadcast address.
const BLOCKS: std::ops::RangeInclusive<u32> = 1..=126;
/// The port that a run listens on at the first address of its block to reserve the block. The system never assigns it,
/// because its range of ephemeral ports begins higher.
const RESERVATION_PORT: u16 = 20_201;

/// The block of addresses of one run. It is released when this is dropped or its process ends.
#[derive(Debug)]
pub struct LoopbackBlock {
    first: Ipv4Addr,
    used: u32,
    _reservation: std::net::TcpListener,
}

impl LoopbackBlock {
    /// Reserves a block that no other run on this machine uses.
    ///
    /// # Errors
    /// Returns an error if all blocks are in use, or if the system refuses a socket.
    pub fn reserve() -> std::io::Result<LoopbackBlock> {
        for block in BLOCKS {
            let first =
                Ipv4Addr::from_bits(Ipv4Addr::new(127, 0, 0, 0).to_bits() + block * BLOCK_SIZE);
            match std::net::TcpListener::bind((first, RESERVATION_PORT)) {
                Ok(reservation) => {
                    return Ok(LoopbackBlock {
                        first,
                        used: 1,
                        _reservation: reservation,
                    });
                }
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(Error::new(
            ErrorKind::AddrInUse,
            "all blocks of loopback addresses are in use by other runs",
        ))
    }

    /// Returns the next unused address, with port 0, so that the system chooses a free port.
    ///
    /// # Errors
    /// Returns an error if all addresses of the block are used.
    pub fn next_address(&mut self) -> std::io::Result<SocketAddr> {
        if self.used == BLOCK_SIZE {
            return Err(Error::new(
                ErrorKind::AddrNotAvailable,
                "the run has used all of its loopback addresses",
            ));
        }
        let ip = Ipv4Addr::from_bits(self.first.to_bits() + self.used);
        self.used += 1;
        Ok(SocketAddr::new(IpAddr::V4(ip), 0))
    }
}

/// Opens a listener whose address can be bound again immediately after it is closed.
///
/// # Errors
/// Returns an error if the system refuses the socket or the address is in use.
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
