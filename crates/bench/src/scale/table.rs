//! The table, the plot and the fitted slopes of a scale run.

use std::path::Path;

use serde::Serialize;

use super::Row;
use super::bundle_cost::BundleCost;
use crate::error::BenchError;

/// Size of the target.
const TARGET: f64 = 30_000.0;

/// A quantity fitted as `constant + slope * shape(n)`.
#[derive(Debug, Clone, Serialize)]
pub struct Fit {
    pub quantity: &'static str,
    pub shape: &'static str,
    pub constant: f64,
    pub slope: f64,
    /// Sum of squared relative errors.
    pub error: f64,
    /// Value extrapolated to the target's size.
    pub at_target: f64,
}

type Quantity = (&'static str, fn(&Row) -> f64);

const QUANTITIES: [Quantity; 10] = [
    ("resident_bytes", |row| row.resident_bytes),
    ("quiet_cpu_us_per_s", |row| row.quiet_cpu_us),
    ("changing_cpu_us_per_s", |row| row.changing_cpu_us),
    ("quiet_bytes_per_s", |row| row.quiet_bytes),
    ("changing_bytes_per_s", |row| row.changing_bytes),
    ("sync_bytes_per_s", |row| row.sync_bytes),
    ("change_median_ms", |row| row.change_median_ms),
    ("change_last_ms", |row| row.change_last_ms),
    ("death_first_ms", |row| row.death_first_ms),
    ("death_all_ms", |row| row.death_all_ms),
];

type Shape = (&'static str, fn(f64) -> f64);

const SHAPES: [Shape; 3] = [("constant", |_| 0.0), ("log n", |n| n.log2()), ("n", |n| n)];

/// Least squares over the rows for one shape.
fn fit(rows: &[Row], quantity: Quantity, shape: Shape) -> Fit {
    let points: Vec<(f64, f64)> = rows.iter().map(|row| (shape.1(row.nodes as f64), quantity.1(row))).collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let constant = mean_y - slope * mean_x;
    let relative = |(x, y): &(f64, f64)| ((constant + slope * x - y) / y.abs().max(1e-9)).powi(2);
    let error = points.iter().map(relative).sum();
    Fit {
        quantity: quantity.0,
        shape: shape.0,
        constant,
        slope,
        error,
        at_target: constant + slope * shape.1(TARGET),
    }
}

/// The best fit of each quantity. A shape with a slope must at least halve the error of
/// the simpler one before it, else the simpler one is taken.
fn fits(rows: &[Row]) -> Vec<Fit> {
    let best = |quantity: &Quantity| {
        let mut best = fit(rows, *quantity, SHAPES[0]);
        for shape in &SHAPES[1..] {
            let other = fit(rows, *quantity, *shape);
            if other.error < best.error / 2.0 {
                best = other;
            }
        }
        best
    };
    QUANTITIES.iter().map(best).collect()
}

/// Rows as text.
pub fn of_rows(rows: &[Row]) -> String {
    let seconds = |value: Option<f64>| value.map_or("none".to_string(), |value| format!("{value:.1}"));
    let line = |row: &Row| {
        format!(
            "nodes={} resident_bytes={:.0} quiet_cpu_us={:.0} changing_cpu_us={:.0} quiet_bytes={:.0} changing_bytes={:.0} \
             sync_bytes={:.0} change_median_ms={:.0} change_last_ms={:.0} death_first_ms={:.0} death_all_ms={:.0} \
             false_deaths={} zone_heal_s={} region_heal_s={}",
            row.nodes,
            row.resident_bytes,
            row.quiet_cpu_us,
            row.changing_cpu_us,
            row.quiet_bytes,
            row.changing_bytes,
            row.sync_bytes,
            row.change_median_ms,
            row.change_last_ms,
            row.death_first_ms,
            row.death_all_ms,
            row.false_deaths,
            seconds(row.zone_heal_s),
            seconds(row.region_heal_s),
        )
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}

#[derive(Serialize)]
struct Output<'a> {
    rows: &'a [Row],
    fits: Vec<Fit>,
    bundle: &'a [BundleCost],
}

/// Writes `scale.json` and `scale.svg` and prints fits and costs.
pub fn write(rows: &[Row], costs: &[BundleCost], out: &Path) -> Result<(), BenchError> {
    let fits = fits(rows);
    for fit in &fits {
        println!(
            "fit quantity={} shape={:?} constant={:.3} slope={:.5} extrapolated_to_30000={:.1}",
            fit.quantity, fit.shape, fit.constant, fit.slope, fit.at_target
        );
    }
    for cost in costs {
        println!(
            "bundle services={} bytes={} delta_bytes={} change_us={:.0}",
            cost.services, cost.bundle_bytes, cost.delta_bytes, cost.change_us
        );
    }
    let text = serde_json::to_string_pretty(&Output { rows, fits, bundle: costs }).unwrap_or_default();
    let fail = |error: std::io::Error| BenchError::File(error.to_string());
    std::fs::write(out.join("scale.json"), text).map_err(fail)?;
    std::fs::write(out.join("scale.svg"), plot(rows)).map_err(fail)
}

/// Bytes per second over the number of nodes, both logarithmic.
fn plot(rows: &[Row]) -> String {
    let curve = |value: fn(&Row) -> f64, colour: &str| {
        let point = |row: &Row| {
            let x = (row.nodes as f64).log10() * 150.0 - 250.0;
            let y = 320.0 - value(row).max(1.0).log10() * 60.0;
            format!("{x:.1},{y:.1}")
        };
        let points: Vec<String> = rows.iter().map(point).collect();
        format!("<polyline fill=\"none\" stroke=\"{colour}\" points=\"{}\"/>", points.join(" "))
    };
    format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"480\" height=\"340\">{}{}{}\
         <text x=\"10\" y=\"14\" font-size=\"11\">per node, log scales: bytes/s (blue), cpu us/s (red), last node ms (green)</text></svg>",
        curve(|row| row.changing_bytes + row.sync_bytes, "#2b7bba"),
        curve(|row| row.changing_cpu_us, "#b2182b"),
        curve(|row| row.change_last_ms, "#1b7837"),
    )
}
