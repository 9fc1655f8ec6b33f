//! Plots the results of the control plane experiment.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::lab_scenario::ScenarioResult;

/// Width and height of the plot in pixels.
const PICTURE_SIZE: (u32, u32) = (900, 480);
/// Maximum control traffic of a host in bytes per second.
const BYTE_BUDGET: f64 = 25_000.0;

/// One line of the plot.
struct PlotLine {
    name: &'static str,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Plots the control traffic per host against the number of hosts in a zone as an SVG file, both
/// axes logarithmic.
///
/// Returns an error if the plot cannot be drawn or written.
pub fn plot_slopes(path: &Path, results: &[ScenarioResult]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, PICTURE_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Control bytes a second a host, 5,000 upstreams a zone",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (6.0..600.0_f64).log_scale(),
            (300.0..200_000.0_f64).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc("hosts in the zone")
        .y_desc("bytes a second, both directions, platform included")
        .draw()?;
    for line in plot_lines(results) {
        let colour = line.colour;
        chart
            .draw_series(LineSeries::new(line.points.clone(), colour.stroke_width(2)))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        chart.draw_series(
            line.points
                .iter()
                .map(|at| Circle::new(*at, 4, colour.filled())),
        )?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    root.present()?;
    Ok(())
}

fn plot_lines(results: &[ScenarioResult]) -> Vec<PlotLine> {
    let points = |rate: f64, read: fn(&ScenarioResult) -> f64| {
        let zones = results.iter().filter(move |result| {
            result.changes_per_second == rate
                && result.upstream_shard == 32
                && result.upstreams == 5_000
        });
        zones
            .map(|result| (f64::from(result.hosts), read(result)))
            .collect()
    };
    vec![
        PlotLine {
            name: "average host, 0.6 changes a second",
            colour: RGBColor(31, 119, 180),
            points: points(0.6, |result| result.mean_bytes_per_second),
        },
        PlotLine {
            name: "busiest host (a reader), 0.6 changes a second",
            colour: RGBColor(44, 160, 44),
            points: points(0.6, |result| result.most_bytes_per_second),
        },
        PlotLine {
            name: "average host, 60 changes a second",
            colour: RGBColor(255, 127, 14),
            points: points(60.0, |result| result.mean_bytes_per_second),
        },
        PlotLine {
            name: "busiest host (a reader), 60 changes a second",
            colour: RGBColor(214, 39, 40),
            points: points(60.0, |result| result.most_bytes_per_second),
        },
        PlotLine {
            name: "budget",
            colour: RGBColor(120, 120, 120),
            points: vec![(6.0, BYTE_BUDGET), (600.0, BYTE_BUDGET)],
        },
    ]
}
