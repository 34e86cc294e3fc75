//! The statistics that compare variants.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use testbed::compare::{Interval, bootstrap, rank_correlation};

fn interval(low: f64, high: f64) -> Interval {
    Interval { low, high }
}

#[test]
fn intervals_and_rank_correlations_match_known_values() {
    assert_eq!(bootstrap(&[0.5, 0.5, 0.5]), interval(0.5, 0.5));
    assert_eq!(bootstrap(&[]), interval(0.0, 0.0));
    let values: Vec<f64> = (0..100).map(f64::from).collect();
    // The mean of 100 such values has a standard error of 2.89.
    let Interval { low, high } = bootstrap(&values);
    assert!(
        (43.0..44.5).contains(&low) && (54.5..56.0).contains(&high),
        "{low} to {high}"
    );
    assert_eq!(
        rank_correlation(&[1.0, 2.0, 3.0], &[10.0, 20.0, 30.0]),
        Some(1.0)
    );
    assert_eq!(
        rank_correlation(&[1.0, 2.0, 3.0], &[3.0, 2.0, 1.0]),
        Some(-1.0)
    );
    assert_eq!(
        rank_correlation(&[1.0, 2.0, 3.0, 4.0], &[1.0, 3.0, 2.0, 4.0]),
        Some(0.8)
    );
    assert_eq!(rank_correlation(&[1.0, 1.0], &[1.0, 2.0]), None);
}
