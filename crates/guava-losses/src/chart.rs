//! A chart of losses by second, as SVG.

use crate::loss_report::LossReport;
use guava_types::FastMap;
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, Palette, Palette99, Rectangle, SVGBackend, WHITE,
};
use plotters::style::Color;
use snafu::Snafu;

const SIZE: (u32, u32) = (960, 420);
const MARGIN: u32 = 12;
const LABEL_SIZE: u32 = 36;
/// Longest time that is drawn, in seconds; of a longer one the last part.
const DRAWN_SECONDS: u64 = 900;

/// Why there is no chart.
#[derive(Debug, Snafu)]
#[snafu(display("the chart can't be drawn: {reason}"))]
pub struct ChartError {
    reason: Box<str>,
}

fn failed(error: impl std::fmt::Display) -> ChartError {
    ChartError { reason: error.to_string().into() }
}

/// Draws the losses of each second, stacked by outcome; the SVG's text.
pub fn draw_chart(report: &LossReport) -> Result<String, ChartError> {
    let last = report.seconds.iter().map(|row| row.second).max().unwrap_or(0);
    let first = last.saturating_sub(DRAWN_SECONDS);
    let mut outcomes: Vec<&str> = report.seconds.iter().map(|row| &*row.outcome).collect();
    outcomes.sort_unstable();
    outcomes.dedup();
    let bars = stacked(report, &outcomes, first);
    let highest = bars.iter().map(|bar| bar.to).max().unwrap_or(0).max(1);
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("Losses by second", ("sans-serif", 18))
            .margin(MARGIN)
            .x_label_area_size(LABEL_SIZE)
            .y_label_area_size(LABEL_SIZE)
            .build_cartesian_2d(first..last + 1, 0..highest)
            .map_err(failed)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("seconds").y_desc("requests").draw().map_err(failed)?;
        for (number, outcome) in outcomes.iter().enumerate() {
            let color = Palette99::pick(number).mix(1.0);
            let own = bars.iter().filter(|bar| bar.outcome == *outcome);
            let drawn = own.map(|bar| {
                Rectangle::new([(bar.second, bar.from), (bar.second + 1, bar.to)], color.filled())
            });
            let series = chart.draw_series(drawn).map_err(failed)?;
            series.label(*outcome).legend(move |(x, y)| {
                Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled())
            });
        }
        let mut labels = chart.configure_series_labels();
        labels.border_style(plotters::style::BLACK).background_style(WHITE);
        labels.draw().map_err(failed)?;
        area.present().map_err(failed)?;
    }
    Ok(text)
}

struct ChartBar<'a> {
    second: u64,
    outcome: &'a str,
    from: u64,
    to: u64,
}

fn stacked<'a>(report: &'a LossReport, outcomes: &[&'a str], first: u64) -> Vec<ChartBar<'a>> {
    let mut counts: FastMap<(u64, &str), u64> = FastMap::default();
    for row in report.seconds.iter().filter(|row| row.second >= first) {
        *counts.entry((row.second, &*row.outcome)).or_default() += row.count;
    }
    let mut heights: FastMap<u64, u64> = FastMap::default();
    let mut bars = Vec::new();
    for outcome in outcomes {
        let mut own: Vec<(u64, u64)> = counts
            .iter()
            .filter(|((_, other), _)| other == outcome)
            .map(|((second, _), count)| (*second, *count))
            .collect();
        own.sort_unstable();
        for (second, count) in own {
            let height = heights.entry(second).or_default();
            let bar = ChartBar { second, outcome, from: *height, to: *height + count };
            *height = bar.to;
            bars.push(bar);
        }
    }
    bars
}
