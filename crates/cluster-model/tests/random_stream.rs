//! Random streams: a seed determines the sequence of draws.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::random_stream;
use rand::Rng;

#[test]
fn a_seed_determines_the_draws_and_streams_are_independent() {
    let draw = |seed, stream| random_stream(seed, stream).random::<u64>();
    assert_eq!(draw(7, 1), draw(7, 1));
    assert_ne!(draw(7, 1), draw(7, 2));
    assert_ne!(draw(7, 1), draw(8, 1));
}
