//! The plots of the page, drawn as SVG elements.

use std::error::Error;

use plotters::prelude::*;

use super::variant::{VariantReports, escape};
use crate::report::{Counts, LatencyPercentiles, Report, WINDOW};

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (640, 300);
/// Colors of the lines, in turn.
const COLORS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];
/// The smallest upper end of the vertical axis.
const MIN_TOP: f64 = 1.0;
/// Space above the highest point, as a multiple of its height.
const TOP_MARGIN: f64 = 1.05;
/// Length of a window in seconds.
const WINDOW_SECONDS: f64 = WINDOW as f64 / 1e6;

/// A point of a line.
#[derive(Debug, Clone, Copy)]
struct Point {
    x: f64,
    y: f64,
}

/// A line of a plot.
struct Line {
    name: String,
    points: Vec<Point>,
}

/// A plot.
pub(super) struct Plot {
    title: &'static str,
    lines: Vec<Line>,
}

/// The plots of a scenario.
pub(super) fn plots(variants: &[VariantReports]) -> Vec<Plot> {
    vec![
        Plot {
            title: "service level by time of the first attempt in s",
            lines: lines_over_time(variants, Counts::service_level),
        },
        Plot {
            title: "calls to the origin per second",
            lines: lines_over_time(variants, |counts| {
                counts.origin_calls as f64 / WINDOW_SECONDS
            }),
        },
        Plot {
            title: "latency in ms by percentile (50, 99, 99.9)",
            lines: variants.iter().flat_map(latency_lines).collect(),
        },
        Plot {
            title: "attempts by cache server, highest first (first seed)",
            lines: variants.iter().map(load_line).collect(),
        },
    ]
}

/// A line for each variant: the mean of a value over the variant's runs, by window.
fn lines_over_time(variants: &[VariantReports], value: impl Fn(&Counts) -> f64) -> Vec<Line> {
    let line = |variant: &VariantReports| {
        let reports = &variant.reports;
        let windows = reports.iter().map(|report| report.windows.len()).max();
        let point = |window: usize| {
            let counts = reports
                .iter()
                .filter_map(|report| report.windows.get(window));
            let values: Vec<f64> = counts.map(&value).collect();
            Point {
                x: window as f64 * WINDOW as f64 / 1e6,
                y: values.iter().sum::<f64>() / values.len().max(1) as f64,
            }
        };
        Line {
            name: variant.variant.to_string(),
            points: (0..windows.unwrap_or(0)).map(point).collect(),
        }
    };
    variants.iter().map(line).collect()
}

/// A line for each class of a variant: the mean of each latency percentile over the variant's runs.
fn latency_lines(variant: &VariantReports) -> Vec<Line> {
    let reports = &variant.reports;
    let Some(first) = reports.first() else {
        return Vec::new();
    };
    let line = |class: &String| {
        let mean = |percentile: fn(&LatencyPercentiles) -> u64| {
            let reports_of_class = reports
                .iter()
                .filter_map(|report| report.classes.get(class));
            let milliseconds = reports_of_class.map(|of| percentile(&of.latency) as f64 / 1e3);
            milliseconds.sum::<f64>() / reports.len().max(1) as f64
        };
        let point = |x, percentile| Point {
            x,
            y: mean(percentile),
        };
        Line {
            name: format!("{}, {class}", variant.variant),
            points: vec![
                point(50.0, |latency| latency.p50_us),
                point(99.0, |latency| latency.p99_us),
                point(99.9, |latency| latency.p999_us),
            ],
        }
    };
    first.classes.keys().map(line).collect()
}

/// The number of attempts at each cache server in the first run of a variant, in descending order.
fn load_line(variant: &VariantReports) -> Line {
    let attempts = |report: &&Report| -> Vec<f64> {
        let counts = report.attempts_by_server.values();
        counts.map(|count| *count as f64).collect()
    };
    let mut attempts = variant.reports.first().map(attempts).unwrap_or_default();
    attempts.sort_unstable_by(|a, b| b.total_cmp(a));
    let points = attempts.into_iter().enumerate();
    Line {
        name: variant.variant.to_string(),
        points: points
            .map(|(index, y)| Point { x: index as f64, y })
            .collect(),
    }
}

impl Plot {
    /// The plot as an SVG element, or a paragraph that says why it could not be drawn.
    pub(super) fn to_svg(&self) -> String {
        let mut svg = String::new();
        match self.draw(&mut svg) {
            Ok(()) => svg,
            Err(e) => format!(
                "<p class=\"off\">{} could not be drawn: {}</p>",
                escape(self.title),
                escape(&e.to_string())
            ),
        }
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn Error + '_>> {
        let largest = |coordinate: fn(&Point) -> f64| {
            let points = self.lines.iter().flat_map(|line| &line.points);
            points.map(coordinate).fold(0.0, f64::max)
        };
        let right = largest(|point| point.x).max(1.0);
        let top = largest(|point| point.y).max(MIN_TOP) * TOP_MARGIN;
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).draw()?;
        for (index, line) in self.lines.iter().enumerate() {
            let style = COLORS[index % COLORS.len()].stroke_width(2);
            let points = line.points.iter().map(|point| (point.x, point.y));
            chart
                .draw_series(LineSeries::new(points, style))?
                .label(escape(&line.name))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .draw()?;
        area.present()?;
        Ok(())
    }
}
