//! Evaluates the runs of an experiment: differences between variants with confidence intervals. Runs are paired by
//! scenario and seed. Paired runs have the same clients, keys and faults, so that the variation between seeds cancels
//! out.

use std::collections::BTreeMap;

use cluster_model::random_stream;
use rand::Rng;
use serde::Serialize;

use crate::experiment::{Experiment, Run};
use crate::report::{Report, WINDOW};

/// Number of resamples of a bootstrap.
const RESAMPLES: usize = 2_000;
/// Fraction of the resamples' means that is within the interval.
const CONFIDENCE: f64 = 0.95;

/// A confidence interval of a mean.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct Interval {
    /// The lower bound.
    pub low: f64,
    /// The upper bound.
    pub high: f64,
}

impl From<Interval> for (f64, f64) {
    /// The representation in result files.
    fn from(interval: Interval) -> Self {
        (interval.low, interval.high)
    }
}

/// The difference of a metric between two variants.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the variant.
    pub variant: String,
    /// Name of the baseline variant, which is the first one of the experiment.
    pub against: String,
    /// The metric: `service`, `class NAME`, or the second at which a window begins, such as `5s`. All are service
    /// levels.
    #[serde(rename = "what")]
    pub metric: String,
    /// Number of pairs of runs.
    pub pairs: usize,
    /// Mean of the baseline variant.
    #[serde(rename = "base")]
    pub baseline_mean: f64,
    /// Mean difference from the baseline variant.
    #[serde(rename = "mean")]
    pub mean_difference: f64,
    /// The 95% interval of the mean difference (percentile bootstrap over the pairs).
    pub interval: Interval,
}

/// The reports of two variants with the same scenario and seed.
struct Pair<'a> {
    baseline: &'a Report,
    other: &'a Report,
}

/// All differences of an experiment: for each scenario and variant the total service level and that by class and by
/// window.
pub fn differences(experiment: &Experiment, reports: &BTreeMap<Run, Report>) -> Vec<Difference> {
    let Some((first, others)) = experiment.variants.split_first() else {
        return Vec::new();
    };
    let mut differences = Vec::new();
    let mut scenarios: Vec<&str> = reports.keys().map(|run| run.scenario.as_str()).collect();
    scenarios.dedup();
    for scenario in scenarios {
        for variant in others {
            let report = |seed: u64, variant: &str| {
                reports.get(&Run {
                    scenario: scenario.to_string(),
                    seed,
                    variant: variant.to_string(),
                })
            };
            let pair = |seed: &u64| {
                let baseline = report(*seed, &first.name)?;
                let other = report(*seed, &variant.name)?;
                Some(Pair { baseline, other })
            };
            let comparison = Comparison {
                scenario,
                variant: &variant.name,
                against: &first.name,
                pairs: experiment.seeds.iter().filter_map(pair).collect(),
            };
            differences.extend(comparison.differences());
        }
    }
    differences
}

/// The comparison of two variants for one scenario.
struct Comparison<'a> {
    scenario: &'a str,
    variant: &'a str,
    against: &'a str,
    pairs: Vec<Pair<'a>>,
}

impl Comparison<'_> {
    fn differences(&self) -> Vec<Difference> {
        let mut differences = Vec::new();
        differences.extend(self.difference("service".into(), |report| Some(report.service_level)));
        let first = self.pairs.first();
        for class in first.map_or_else(Vec::new, |pair| class_names(pair.baseline)) {
            let service =
                |report: &Report| Some(report.classes.get(&class)?.counts.service_level());
            differences.extend(self.difference(format!("class {class}"), service));
        }
        let windows = self.pairs.iter().map(|pair| pair.baseline.windows.len());
        for window in 0..windows.max().unwrap_or(0) {
            let begins_at = window as u64 * WINDOW / 1_000_000;
            let service = |report: &Report| Some(report.windows.get(window)?.service_level());
            differences.extend(self.difference(format!("{begins_at}s"), service));
        }
        differences
    }

    /// The difference of a metric; `None` if no pair has it.
    fn difference(
        &self,
        metric: String,
        value: impl Fn(&Report) -> Option<f64>,
    ) -> Option<Difference> {
        let mut baselines = Vec::new();
        let mut differences = Vec::new();
        for pair in &self.pairs {
            if let (Some(baseline), Some(other)) = (value(pair.baseline), value(pair.other)) {
                baselines.push(baseline);
                differences.push(other - baseline);
            }
        }
        if differences.is_empty() {
            return None;
        }
        Some(Difference {
            scenario: self.scenario.into(),
            variant: self.variant.into(),
            against: self.against.into(),
            metric,
            pairs: differences.len(),
            baseline_mean: mean(baselines.iter().copied()),
            mean_difference: mean(differences.iter().copied()),
            interval: bootstrap(&differences),
        })
    }
}

fn class_names(report: &Report) -> Vec<String> {
    report.classes.keys().cloned().collect()
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let mut sum = 0.0;
    let mut count = 0;
    for value in values {
        sum += value;
        count += 1;
    }
    if count == 0 {
        return 0.0;
    }
    sum / f64::from(count)
}

/// The confidence interval of the mean of values, by a percentile bootstrap with a fixed seed.
pub fn bootstrap(values: &[f64]) -> Interval {
    if values.is_empty() {
        return Interval {
            low: 0.0,
            high: 0.0,
        };
    }
    let mut random = random_stream(1, 1);
    let mut resample_mean = |_| {
        let resample = 0..values.len();
        mean(resample.map(|_| values[random.random_range(0..values.len())]))
    };
    let mut means: Vec<f64> = (0..RESAMPLES).map(&mut resample_mean).collect();
    means.sort_unstable_by(f64::total_cmp);
    let quantile = |fraction: f64| means[((means.len() - 1) as f64 * fraction).round() as usize];
    Interval {
        low: quantile((1.0 - CONFIDENCE) / 2.0),
        high: quantile((1.0 + CONFIDENCE) / 2.0),
    }
}

/// The ranks of values, from 1. Equal values all get the mean of their ranks.
fn ranks(values: &[f64]) -> Vec<f64> {
    let rank = |value: &f64| {
        let below = values.iter().filter(|other| *other < value).count() as f64;
        let equal = values.iter().filter(|other| *other == value).count() as f64;
        below + (equal + 1.0) / 2.0
    };
    values.iter().map(rank).collect()
}

/// Spearman's rank correlation of two series; `None` if one of them is constant or their lengths differ.
pub fn rank_correlation(a: &[f64], b: &[f64]) -> Option<f64> {
    let ranks_a = ranks(a);
    let ranks_b = ranks(b);
    let mean_a = mean(ranks_a.iter().copied());
    let mean_b = mean(ranks_b.iter().copied());
    let covariance: f64 = ranks_a
        .iter()
        .zip(&ranks_b)
        .map(|(a, b)| (a - mean_a) * (b - mean_b))
        .sum();
    let variance = |ranks: &[f64], mean: f64| {
        let squares = ranks.iter().map(|rank| (rank - mean).powi(2));
        squares.sum::<f64>()
    };
    let deviation = (variance(&ranks_a, mean_a) * variance(&ranks_b, mean_b)).sqrt();
    (deviation > 0.0 && a.len() == b.len()).then(|| covariance / deviation)
}
