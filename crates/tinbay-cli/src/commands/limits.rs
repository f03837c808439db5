//! `tinbay experiment limits`.

use std::error::Error;
use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, IntoDrawingArea, LineSeries, RED, SVGBackend, WHITE,
};
use serde::Serialize;
use tinbay_experiment::limits::{LimitMeasures, LimitStrategy, Second, simulate};

use crate::error::CliError;
use crate::options::{CommonOptions, LimitsOptions};
use crate::report::{Table, print_json};

/// Size of the plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 420);

/// Width of the area for the axis labels in pixels.
const LABEL_AREA_PX: u32 = 60;

#[derive(Debug, Serialize)]
struct Run {
    strategy: LimitStrategy,
    measures: LimitMeasures,
}

/// Simulates limits of client accounts with each strategy for enforcing them.
///
/// # Errors
/// Returns [`CliError::Demand`] if the demand cannot be generated and [`CliError::Plot`] if the
/// plot cannot be drawn.
pub fn run(common: &CommonOptions, options: &LimitsOptions) -> Result<(), CliError> {
    let mut runs = Vec::new();
    for strategy in LimitStrategy::ALL {
        let measures = simulate(&options.terms, strategy)?;
        runs.push(Run { strategy, measures });
    }
    if common.json {
        print_json(&runs)?;
    } else {
        print_runs(&runs);
    }
    let Some(path) = &options.plot else {
        return Ok(());
    };
    let Some(last) = runs.last() else {
        return Ok(());
    };
    draw_plot(Path::new(path), &last.measures).map_err(|error| CliError::Plot {
        path: path.clone(),
        reason: error.to_string(),
    })
}

fn print_runs(runs: &[Run]) {
    let mut table = Table::new(&[
        "STRATEGY",
        "REQUESTS",
        "REFUSED%",
        "REFUSED_BELOW_LIMIT%",
        "MOST_OF_LIMIT",
        "ACCOUNTS_OVER",
        "MESSAGES/S/BOX",
        "KB/S/BOX",
        "KB/S_BUSIEST",
        "ACCOUNTS/BOX",
    ]);
    for run in runs {
        let measures = &run.measures;
        let percent = |part: u64| 100.0 * part as f64 / measures.requests.max(1) as f64;
        table.add(vec![
            run.strategy.as_str().to_owned(),
            measures.requests.to_string(),
            format!("{:.2}", percent(measures.refused)),
            format!("{:.3}", percent(measures.refused_below)),
            format!("{:.3}", measures.most_of_limit),
            measures.accounts_over.to_string(),
            format!("{:.1}", measures.messages_per_s),
            format!("{:.2}", measures.bytes_per_s / 1_000.0),
            format!("{:.1}", measures.busiest_bytes_per_s / 1_000.0),
            format!("{:.0}", measures.accounts_a_box),
        ]);
    }
    print!("{table}");
}

/// Plots the hot account's demand, its admitted part and its limit over time.
fn draw_plot(path: &Path, measures: &LimitMeasures) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = measures.hot.len() as f64;
    let demand = measures.hot.iter().map(|second| second.asked);
    let highest = demand.fold(measures.hot_limit_per_s, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .set_all_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..seconds, 0.0..highest)?;
    chart.configure_mesh().draw()?;
    let points = |value: fn(&Second) -> f64| {
        let hot = measures.hot.iter().enumerate();
        hot.map(move |(at, second)| (at as f64, value(second)))
    };
    chart.draw_series(LineSeries::new(points(|second| second.asked), &RED))?;
    chart.draw_series(LineSeries::new(points(|second| second.admitted), &BLUE))?;
    let limit = [0.0, seconds].map(|at| (at, measures.hot_limit_per_s));
    chart.draw_series(LineSeries::new(limit, &BLACK))?;
    area.present()?;
    Ok(())
}
