//! Random streams: one seed gives one history.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::random_stream;
use rand::Rng;

#[test]
fn one_seed_gives_one_history_and_streams_are_independent() {
    let draw = |seed, stream| random_stream(seed, stream).random::<u64>();
    assert_eq!(draw(7, 1), draw(7, 1));
    assert_ne!(draw(7, 1), draw(7, 2));
    assert_ne!(draw(7, 1), draw(8, 1));
}
