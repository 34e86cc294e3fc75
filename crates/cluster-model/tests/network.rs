//! The network: delays, cuts and losses.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::network::{Network, NetworkConfig};
use cluster_model::random_stream;

#[test]
fn a_link_may_be_cut_in_one_direction_and_a_message_takes_longer_between_zones() {
    let mut network = Network::new(NetworkConfig {
        jitter: 0.0,
        ..NetworkConfig::default()
    });
    let mut random = random_stream(1, 0);
    assert_eq!(network.transit_time(0, 0, &mut random), Some(200));
    assert_eq!(network.transit_time(0, 1, &mut random), Some(4_000));
    network.set_cut(0, 1, true);
    assert_eq!(network.transit_time(0, 1, &mut random), None);
    assert_eq!(network.transit_time(1, 0, &mut random), Some(4_000));
    network.set_isolated(2, 3, true);
    assert!(network.is_open(2, 2));
    assert!(!network.is_open(2, 0));
    assert!(!network.is_open(1, 2));
    network.set_isolated(2, 3, false);
    network.set_cut(0, 1, false);
    assert!(network.is_open(0, 1) && network.is_open(1, 2));
    let lossy = Network::new(NetworkConfig {
        loss: 0.25,
        ..NetworkConfig::default()
    });
    let lost = (0..10_000)
        .filter(|_| lossy.transit_time(0, 1, &mut random).is_none())
        .count();
    assert!((2_300..2_700).contains(&lost), "{lost} of 10,000");
}
