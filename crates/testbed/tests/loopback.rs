//! Addresses of runs beside each other. A run that shared them took another run's router for its own: a port was chosen
//! and given up for a router to bind, and the other run's router could take it meanwhile.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::collections::BTreeSet;
use std::net::IpAddr;

use testbed::sockets::loopback::{LoopbackBlock, listen};

/// Parties of each run; more than one /24 network holds.
const PARTIES: usize = 400;

#[test]
fn runs_beside_each_other_share_no_address() {
    let mut blocks: Vec<LoopbackBlock> =
        (0..4).map(|_| LoopbackBlock::reserve().unwrap()).collect();
    let addresses: Vec<IpAddr> = blocks
        .iter_mut()
        .flat_map(|block| (0..PARTIES).map(|_| block.next_address().unwrap().ip()))
        .collect();
    let distinct: BTreeSet<IpAddr> = addresses.iter().copied().collect();
    assert_eq!(distinct.len(), 4 * PARTIES);
    assert!(addresses.iter().all(IpAddr::is_loopback));
}

#[tokio::test]
async fn a_port_that_a_party_gave_up_is_free_for_it_though_another_run_listens_there() {
    let mut ours = LoopbackBlock::reserve().unwrap();
    let mut others = LoopbackBlock::reserve().unwrap();
    let address = listen(ours.next_address().unwrap())
        .unwrap()
        .local_addr()
        .unwrap();
    let mut elsewhere = others.next_address().unwrap();
    elsewhere.set_port(address.port());
    let _other_party = listen(elsewhere).unwrap();
    assert_eq!(listen(address).unwrap().local_addr().unwrap(), address);
}
