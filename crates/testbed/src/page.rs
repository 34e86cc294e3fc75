//! The results of an experiment as JSON lines and as one page that needs nothing beside it: plots are drawn into it.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use crate::compare::{self, Difference};
use crate::experiment::{Experiment, ExperimentError, Play, results};
use crate::report::{Report, WINDOW, write_whole};

const SIZE: (u32, u32) = (640, 300);
const COLORS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];

/// A line of the results.
#[derive(Serialize)]
#[serde(tag = "line", rename_all = "lowercase")]
enum Line<'a> {
    Play {
        #[serde(flatten)]
        play: &'a Play,
        report: &'a Report,
    },
    Difference(&'a Difference),
}

/// What was written, and whether all plays are there and kept the rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The differences.
    pub differences: Vec<Difference>,
    /// Plays that are there, and all.
    pub plays: (usize, usize),
    /// Plays that broke a rule.
    pub broken: Vec<Play>,
}

/// Reads the plays of a folder and writes `results.jsonl` and `report.html` into it.
///
/// # Errors
/// Where the folder holds no experiment, or a file can't be read or written.
pub fn write(folder: &Path) -> Result<Summary, ExperimentError> {
    let (experiment, reports) = results(folder)?;
    let differences = compare::differences(&experiment, &reports);
    let lines = reports
        .iter()
        .map(|(play, report)| Line::Play { play, report });
    let lines = lines.chain(differences.iter().map(Line::Difference));
    let mut text = String::new();
    for line in lines {
        let line = serde_json::to_string(&line);
        text += &line.map_err(|e| ExperimentError::File {
            path: folder.into(),
            source: e.into(),
        })?;
        text.push('\n');
    }
    let put = |name: &str, text: &str| {
        let path = folder.join(name);
        write_whole(&path, text.as_bytes()).map_err(|source| ExperimentError::File { path, source })
    };
    put("results.jsonl", &text)?;
    put("report.html", &page(&experiment, &reports, &differences))?;
    let broken = reports
        .iter()
        .filter(|(_, report)| !report.kept())
        .map(|(play, _)| play.clone());
    let all = experiment.scenarios.len() * experiment.seeds.len() * experiment.variant.len();
    Ok(Summary {
        plays: (reports.len(), all),
        broken: broken.collect(),
        differences,
    })
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

fn page(
    experiment: &Experiment,
    reports: &BTreeMap<Play, Report>,
    differences: &[Difference],
) -> String {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Experiment</title><style>\
         body{font:15px sans-serif;margin:2em auto;max-width:70em;padding:0 1em}table{border-collapse:collapse}\
         td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child,\
         td:nth-child(2),th:nth-child(2){text-align:left}svg{margin:.3em}.off{color:#b00}</style><h1>Experiment</h1>\n",
    );
    let variants: Vec<&str> = experiment
        .variant
        .iter()
        .map(|variant| variant.name.as_str())
        .collect();
    let all = experiment.scenarios.len() * experiment.seeds.len() * variants.len();
    let _ = writeln!(page, "<p>{} of {all} plays are there.</p>", reports.len());
    let mut scenarios: Vec<&str> = reports.keys().map(|play| play.scenario.as_str()).collect();
    scenarios.dedup();
    for scenario in scenarios {
        let of = |variant: &str| -> Vec<&Report> {
            let its = |play: &&Play| play.scenario == scenario && play.variant == variant;
            reports
                .keys()
                .filter(its)
                .map(|play| &reports[play])
                .collect()
        };
        let plays: Vec<(&str, Vec<&Report>)> =
            variants.iter().map(|name| (*name, of(name))).collect();
        let _ = writeln!(page, "<h2>{}</h2>", escaped(scenario));
        page += &table(scenario, &plays, differences);
        for (title, top, series) in plots(&plays) {
            page += &plot(&title, top, &series);
        }
    }
    page + "</html>\n"
}

fn table(scenario: &str, plays: &[(&str, Vec<&Report>)], differences: &[Difference]) -> String {
    let mut table = String::from(
        "<table><tr><th>variant</th><th>of</th><th>plays</th><th>service</th><th>difference</th><th>95% interval</th>\
         <th>rules broken</th></tr>\n",
    );
    for (variant, reports) in plays {
        let service =
            reports.iter().map(|report| report.service).sum::<f64>() / reports.len().max(1) as f64;
        let broken: usize = reports.iter().map(|report| report.broken_in_all).sum();
        let mark = if broken > 0 { " class=\"off\"" } else { "" };
        let its = |d: &&Difference| d.scenario == scenario && d.variant == *variant;
        let all = differences.iter().find(|d| its(d) && d.what == "service");
        let shown = all.map_or(("".into(), "".into()), shown);
        let (name, count) = (escaped(variant), reports.len());
        let _ = writeln!(
            table,
            "<tr><td>{name}</td><td>all</td><td>{count}</td><td>{service:.4}</td><td>{}</td><td>{}</td>\
             <td{mark}>{broken}</td></tr>",
            shown.0, shown.1
        );
        for d in differences
            .iter()
            .filter(its)
            .filter(|d| d.what != "service")
        {
            let (mean, interval) = self::shown(d);
            let _ = writeln!(
                table,
                "<tr><td></td><td>{}</td><td>{}</td><td>{:.4}</td><td>{mean}</td><td>{interval}</td><td></td></tr>",
                escaped(&d.what),
                d.pairs,
                d.base + d.mean
            );
        }
    }
    table + "</table>\n"
}

fn shown(d: &Difference) -> (String, String) {
    (
        format!("{:+.4}", d.mean),
        format!("{:+.4} to {:+.4}", d.interval.0, d.interval.1),
    )
}

type Series = Vec<(String, Vec<(f64, f64)>)>;

/// Title, the least top of the plot, and a line for each variant.
fn plots(plays: &[(&str, Vec<&Report>)]) -> Vec<(String, f64, Series)> {
    let over_time = |value: &dyn Fn(&crate::report::Counts) -> f64| -> Series {
        let line = |(name, reports): &(&str, Vec<&Report>)| {
            let windows = reports
                .iter()
                .map(|report| report.windows.len())
                .max()
                .unwrap_or(0);
            let at = |window: usize| {
                let counts = reports
                    .iter()
                    .filter_map(|report| report.windows.get(window));
                let values: Vec<f64> = counts.map(value).collect();
                let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
                (window as f64 * WINDOW as f64 / 1e6, mean)
            };
            (name.to_string(), (0..windows).map(at).collect())
        };
        plays.iter().map(line).collect()
    };
    let seconds = WINDOW as f64 / 1e6;
    let mut all = vec![
        (
            "service by the second of the first try".into(),
            1.0,
            over_time(&|counts| counts.service()),
        ),
        (
            "calls to the origin a second".into(),
            1.0,
            over_time(&|counts| counts.origin as f64 / seconds),
        ),
    ];
    let latency: Series = plays
        .iter()
        .flat_map(|(name, reports)| {
            let classes = reports
                .first()
                .map(|report| report.classes.keys().cloned().collect::<Vec<_>>());
            classes.unwrap_or_default().into_iter().map(move |class| {
                let mean = |of: fn(&crate::report::Latency) -> u64| {
                    let its = reports
                        .iter()
                        .filter_map(|report| report.classes.get(&class));
                    its.map(|its| of(&its.latency) as f64 / 1e3).sum::<f64>()
                        / reports.len().max(1) as f64
                };
                let points = vec![
                    (50.0, mean(|latency| latency.p50_us)),
                    (99.0, mean(|latency| latency.p99_us)),
                    (99.9, mean(|latency| latency.p999_us)),
                ];
                (format!("{name}, {class}"), points)
            })
        })
        .collect();
    all.push((
        "latency in ms by percentile (50, 99, 99.9)".into(),
        1.0,
        latency,
    ));
    let load = |(name, reports): &(&str, Vec<&Report>)| {
        let mut loads: Vec<f64> = reports.first().map_or(Vec::new(), |report| {
            report.load.values().map(|n| *n as f64).collect()
        });
        loads.sort_unstable_by(|a, b| b.total_cmp(a));
        (
            name.to_string(),
            loads
                .into_iter()
                .enumerate()
                .map(|(i, load)| (i as f64, load))
                .collect(),
        )
    };
    let load: Series = plays.iter().map(load).collect();
    all.push((
        "attempts per cache server, busiest first (first seed)".into(),
        1.0,
        load,
    ));
    all
}

/// One plot as an SVG element; nothing where there is nothing to draw.
fn plot(title: &str, top: f64, series: &Series) -> String {
    let points = || series.iter().flat_map(|(_, points)| points);
    let most = |of: fn(&(f64, f64)) -> f64| points().map(of).fold(0.0, f64::max);
    let (right, top) = (
        most(|point| point.0).max(1.0),
        most(|point| point.1).max(top) * 1.05,
    );
    let mut svg = String::new();
    let drawn = (|| {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).draw()?;
        for (i, (name, points)) in series.iter().enumerate() {
            let color = COLORS[i % COLORS.len()];
            chart
                .draw_series(LineSeries::new(
                    points.iter().copied(),
                    color.stroke_width(2),
                ))?
                .label(escaped(name))
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .draw()?;
        area.present()
    })();
    match drawn {
        Ok(()) => svg,
        Err(e) => {
            format!(
                "<p class=\"off\">{} could not be drawn: {}</p>",
                escaped(title),
                escaped(&e.to_string())
            )
        }
    }
}
