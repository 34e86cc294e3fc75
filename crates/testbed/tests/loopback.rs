//! Tests that the loopback addresses of concurrent runs are distinct. Guards against a run that uses another run's
//! router as its own: when runs shared addresses, a port was chosen and released for a router to bind, and another
//! run's router could bind it in between.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::collections::BTreeSet;
use std::net::IpAddr;

use testbed::sockets::loopback::{LoopbackBlock, listen};

/// Number of addresses for each run; more than one /24 network contains.
const ADDRESSES_PER_RUN: usize = 400;

#[test]
fn concurrent_runs_share_no_address() {
    let mut blocks: Vec<LoopbackBlock> =
        (0..4).map(|_| LoopbackBlock::reserve().unwrap()).collect();
    let addresses: Vec<IpAddr> = blocks
        .iter_mut()
        .flat_map(|block| (0..ADDRESSES_PER_RUN).map(|_| block.next_address().unwrap().ip()))
        .collect();
    let distinct: BTreeSet<IpAddr> = addresses.iter().copied().collect();
    assert_eq!(distinct.len(), 4 * ADDRESSES_PER_RUN);
    assert!(addresses.iter().all(IpAddr::is_loopback));
}

#[tokio::test]
async fn a_released_port_can_be_bound_again_while_another_run_listens_on_it() {
    let mut first_run = LoopbackBlock::reserve().unwrap();
    let mut second_run = LoopbackBlock::reserve().unwrap();
    let address = listen(first_run.next_address().unwrap())
        .unwrap()
        .local_addr()
        .unwrap();
    let mut other_address = second_run.next_address().unwrap();
    other_address.set_port(address.port());
    let _other_listener = listen(other_address).unwrap();
    assert_eq!(listen(address).unwrap().local_addr().unwrap(), address);
}
