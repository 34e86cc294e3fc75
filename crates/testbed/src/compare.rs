//! What an experiment's plays say: differences between variants, paired by scenario and seed, with intervals. Pairs share
//! their clients, keys and faults, so that what the seeds have in common falls out.

use std::collections::BTreeMap;

use cluster_model::chance;
use rand::Rng;
use serde::Serialize;

use crate::experiment::{Experiment, Play};
use crate::report::{Report, WINDOW};

/// Resamples of a bootstrap.
const RESAMPLES: usize = 2_000;
/// Part of the resamples' means that lies in the interval.
const WITHIN: f64 = 0.95;

/// A difference between two variants.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// The scenario.
    pub scenario: String,
    /// The variant.
    pub variant: String,
    /// What it is compared with: the first variant.
    pub against: String,
    /// What is compared: `service`, `class NAME`, or the seconds from which a window runs, as `5s`.
    pub what: String,
    /// Pairs of plays that are there.
    pub pairs: usize,
    /// Mean of the first variant.
    pub base: f64,
    /// Mean difference.
    pub mean: f64,
    /// The least and the most of 95 of 100 means of pairs drawn anew (percentile bootstrap).
    pub interval: (f64, f64),
}

/// All differences of an experiment: per scenario and variant the service, per class, and per five seconds.
pub fn differences(experiment: &Experiment, reports: &BTreeMap<Play, Report>) -> Vec<Difference> {
    let Some((first, others)) = experiment.variant.split_first() else {
        return Vec::new();
    };
    let mut found = Vec::new();
    let mut scenarios: Vec<&str> = reports.keys().map(|play| play.scenario.as_str()).collect();
    scenarios.dedup();
    for scenario in scenarios {
        for variant in others {
            let of = |seed: u64, variant: &str| {
                let (scenario, variant) = (scenario.to_string(), variant.to_string());
                reports.get(&Play {
                    scenario,
                    seed,
                    variant,
                })
            };
            let pairs: Vec<(&Report, &Report)> = experiment
                .seeds
                .iter()
                .filter_map(|seed| of(*seed, &first.name).zip(of(*seed, &variant.name)))
                .collect();
            let mut add = |what: String, value: &dyn Fn(&Report) -> Option<f64>| {
                let values = pairs
                    .iter()
                    .filter_map(|(base, other)| value(base).zip(value(other)));
                let values: Vec<(f64, f64)> = values.collect();
                if values.is_empty() {
                    return;
                }
                let differences: Vec<f64> =
                    values.iter().map(|(base, other)| other - base).collect();
                found.push(Difference {
                    scenario: scenario.into(),
                    variant: variant.name.clone(),
                    against: first.name.clone(),
                    what,
                    pairs: values.len(),
                    base: mean(values.iter().map(|(base, _)| *base)),
                    mean: mean(differences.iter().copied()),
                    interval: bootstrap(&differences),
                });
            };
            add("service".into(), &|report| Some(report.service));
            let classes = pairs
                .first()
                .map(|(base, _)| base.classes.keys().cloned().collect::<Vec<_>>());
            for class in classes.unwrap_or_default() {
                let service = |report: &Report| Some(report.classes.get(&class)?.counts.service());
                add(format!("class {class}"), &service);
            }
            let windows = pairs
                .iter()
                .map(|(base, _)| base.windows.len())
                .max()
                .unwrap_or(0);
            for window in 0..windows {
                let from = window as u64 * WINDOW / 1_000_000;
                add(format!("{from}s"), &|report| {
                    Some(report.windows.get(window)?.service())
                });
            }
        }
    }
    found
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    if count == 0 {
        0.0
    } else {
        sum / f64::from(count)
    }
}

/// The interval of a mean by drawing as many values anew, with the same draws each time.
pub fn bootstrap(values: &[f64]) -> (f64, f64) {
    if values.is_empty() {
        return (0.0, 0.0);
    }
    let mut draws = chance(1, 1);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| mean((0..values.len()).map(|_| values[draws.random_range(0..values.len())])))
        .collect();
    means.sort_unstable_by(f64::total_cmp);
    let at = |part: f64| means[((means.len() - 1) as f64 * part).round() as usize];
    (at((1.0 - WITHIN) / 2.0), at((1.0 + WITHIN) / 2.0))
}

/// Rank correlation of two orders of the same things (Spearman), equal values sharing their rank; `None` where one of
/// them does not differ at all.
pub fn rank_correlation(a: &[f64], b: &[f64]) -> Option<f64> {
    let ranks = |values: &[f64]| -> Vec<f64> {
        let below = |value: &f64| values.iter().filter(|other| *other < value).count() as f64;
        let alike = |value: &f64| values.iter().filter(|other| *other == value).count() as f64;
        values
            .iter()
            .map(|value| below(value) + (alike(value) + 1.0) / 2.0)
            .collect()
    };
    let (a, b) = (ranks(a), ranks(b));
    let (mean_a, mean_b) = (mean(a.iter().copied()), mean(b.iter().copied()));
    let both: f64 = a
        .iter()
        .zip(&b)
        .map(|(a, b)| (a - mean_a) * (b - mean_b))
        .sum();
    let of = |values: &[f64], mean: f64| {
        values
            .iter()
            .map(|value| (value - mean).powi(2))
            .sum::<f64>()
    };
    let spread = (of(&a, mean_a) * of(&b, mean_b)).sqrt();
    (spread > 0.0 && a.len() == b.len()).then(|| both / spread)
}
