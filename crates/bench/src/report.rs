//! HTML report: goodput over time by importance, one SVG chart per arm.

use std::path::Path;

use crate::error::BenchError;
use crate::experiment::{ArmResult, Experiment};
use crate::summary::{BIN_US, logical_requests};

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 220.0;
/// Line colours by importance, lowest first.
const COLOURS: [&str; 4] = ["#999999", "#2b7bba", "#e08214", "#b2182b"];

/// Writes `report.html`.
pub fn write(experiment: &Experiment, results: &[ArmResult], out: &Path) -> Result<(), BenchError> {
    let mut html = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0} {1}</title><h1>{0}, {1}, seed {2}</h1>\
         <p>Successful requests per second, by importance (red 3, orange 2, blue 1, grey 0); dotted: all offered.</p>",
        experiment.spec.deployment, experiment.scenario.name, experiment.seed
    );
    for result in results {
        html += &format!("<h2>{}</h2>{}", result.arm.name(), chart_svg(experiment, result));
    }
    std::fs::write(out.join("report.html"), html).map_err(|error| BenchError::File(error.to_string()))
}

fn chart_svg(experiment: &Experiment, result: &ArmResult) -> String {
    let bins = (experiment.seconds * 1e6 / BIN_US as f64) as usize + 1;
    let mut successful = vec![vec![0.0; bins]; COLOURS.len()];
    let mut offered = vec![0.0; bins];
    for request in logical_requests(&result.history) {
        let bin = (request.start_us.saturating_sub(result.start_us) / BIN_US) as usize;
        if bin < bins {
            offered[bin] += 1e6 / BIN_US as f64;
            if request.successful {
                successful[usize::from(request.importance).min(COLOURS.len() - 1)][bin] += 1e6 / BIN_US as f64;
            }
        }
    }
    let max_value = offered.iter().copied().fold(1.0, f64::max);
    let mut svg = format!("<svg width=\"{WIDTH}\" height=\"{}\" style=\"border:1px solid #ccc\">", HEIGHT + 20.0);
    svg += &polyline(&offered, max_value, "#000000", "2,4");
    for (level, values) in successful.iter().enumerate() {
        svg += &polyline(values, max_value, COLOURS[level], "");
    }
    svg + &format!("<text x=\"4\" y=\"12\" font-size=\"11\">{max_value:.0}/s</text></svg>")
}

fn polyline(values: &[f64], max_value: f64, colour: &str, dashes: &str) -> String {
    let points: Vec<String> = values
        .iter()
        .enumerate()
        .map(|(index, value)| {
            let x = index as f64 / values.len() as f64 * WIDTH;
            format!("{x:.1},{:.1}", HEIGHT + 10.0 - value / max_value * HEIGHT)
        })
        .collect();
    format!(
        "<polyline fill=\"none\" stroke=\"{colour}\" stroke-dasharray=\"{dashes}\" points=\"{}\"/>",
        points.join(" ")
    )
}
