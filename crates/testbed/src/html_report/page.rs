//! The HTML page: a table of the variants and plots for each scenario.

use std::collections::BTreeMap;

use super::plot;
use super::variant::{VariantReports, escape};
use crate::compare::Difference;
use crate::experiment::{Experiment, Run};
use crate::report::Report;

/// The beginning of the page.
const HEAD: &str = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Experiment</title><style>\
     body{font:15px sans-serif;margin:2em auto;max-width:70em;padding:0 1em}table{border-collapse:collapse}\
     td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child,\
     td:nth-child(2),th:nth-child(2){text-align:left}svg{margin:.3em}.off{color:#b00}</style><h1>Experiment</h1>\n";

/// The beginning of each table.
const TABLE_HEAD: &str = "<table><tr><th>variant</th><th>metric</th><th>runs</th><th>service</th><th>difference</th>\
     <th>95% interval</th><th>invariant violations</th></tr>\n";

/// The page of an experiment.
pub(super) fn render(
    experiment: &Experiment,
    reports: &BTreeMap<Run, Report>,
    differences: &[Difference],
) -> String {
    let mut page = String::from(HEAD);
    let total = experiment.run_count();
    page += &format!("<p>{} of {total} runs are complete.</p>\n", reports.len());
    let mut scenarios: Vec<&str> = reports.keys().map(|run| run.scenario.as_str()).collect();
    scenarios.dedup();
    for scenario in scenarios {
        let variants = variant_reports(experiment, reports, scenario);
        page += &format!("<h2>{}</h2>\n", escape(scenario));
        page += &table(scenario, &variants, differences);
        for plot in plot::plots(&variants) {
            page += &plot.to_svg();
        }
    }
    page + "</html>\n"
}

fn variant_reports<'a>(
    experiment: &'a Experiment,
    reports: &'a BTreeMap<Run, Report>,
    scenario: &str,
) -> Vec<VariantReports<'a>> {
    let of_variant = |variant: &'a str| {
        let of_pair = |run: &Run| run.scenario == scenario && run.variant == variant;
        let reports = reports.iter().filter(|(run, _)| of_pair(run));
        VariantReports {
            variant,
            reports: reports.map(|(_, report)| report).collect(),
        }
    };
    let variants = experiment.variants.iter();
    variants.map(|variant| of_variant(&variant.name)).collect()
}

fn table(scenario: &str, variants: &[VariantReports], differences: &[Difference]) -> String {
    let mut table = String::from(TABLE_HEAD);
    for variant in variants {
        let of_variant: Vec<&Difference> = differences
            .iter()
            .filter(|difference| {
                difference.scenario == scenario && difference.variant == variant.variant
            })
            .collect();
        let is_total = |difference: &&Difference| difference.metric == "service";
        let total = of_variant.iter().copied().find(is_total);
        table += &total_row(variant, total);
        for difference in of_variant.into_iter().filter(|d| !is_total(d)) {
            table += &metric_row(difference);
        }
    }
    table + "</table>\n"
}

/// The row of a variant's service level, with its difference from the first variant unless it is that one.
fn total_row(variant: &VariantReports, difference: Option<&Difference>) -> String {
    let reports = &variant.reports;
    let name = escape(variant.variant);
    let count = reports.len();
    let service = reports
        .iter()
        .map(|report| report.service_level)
        .sum::<f64>()
        / reports.len().max(1) as f64;
    let violations: usize = reports.iter().map(|report| report.violation_count).sum();
    let mark = if violations > 0 { " class=\"off\"" } else { "" };
    let mean = difference.map(mean_text).unwrap_or_default();
    let interval = difference.map(interval_text).unwrap_or_default();
    format!(
        "<tr><td>{name}</td><td>service</td><td>{count}</td><td>{service:.4}</td><td>{mean}</td><td>{interval}</td>\
         <td{mark}>{violations}</td></tr>\n"
    )
}

fn metric_row(difference: &Difference) -> String {
    format!(
        "<tr><td></td><td>{}</td><td>{}</td><td>{:.4}</td><td>{}</td><td>{}</td><td></td></tr>\n",
        escape(&difference.metric),
        difference.pairs,
        difference.baseline_mean + difference.mean_difference,
        mean_text(difference),
        interval_text(difference)
    )
}

fn mean_text(difference: &Difference) -> String {
    format!("{:+.4}", difference.mean_difference)
}

fn interval_text(difference: &Difference) -> String {
    let interval = difference.interval;
    format!("{:+.4} to {:+.4}", interval.low, interval.high)
}
