//! Draws a report as an SVG chart.

use std::path::Path;
use std::time::Duration;

use plotters::prelude::*;

use crate::Sample;
use crate::report::{Report, ReportConfig};
use crate::text;
use crate::window::format_duration;

const WIDTH: u32 = 1000;
const HEIGHT: u32 = 560;
/// Height of a line of text above the chart, in pixels.
const LINE_HEIGHT: u32 = 18;
/// Number of intervals that each curve is divided into.
const INTERVALS: u64 = 120;
/// Lower end of the burn rate axis. The axis is logarithmic because the burn rate of an outage can be a thousand times
/// the rate of an alert.
const MIN_BURN_RATE: f64 = 0.1;
/// Window of the curves if no window pair is configured.
const DEFAULT_WINDOW: Duration = Duration::from_secs(300);

/// Error while drawing the chart or writing its file.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("picture {path}: {reason}")]
pub struct Error {
    path: String,
    reason: String,
}

/// Writes a chart of each objective's burn rate over the sampled time, in the shortest window of all pairs.
///
/// Unreached entries are listed above the chart; alert rates are drawn as dashed lines.
///
/// # Errors
///
/// Returns an error if the chart can't be drawn or the file can't be written.
pub fn write_svg(
    path: &Path,
    report: &Report,
    config: &ReportConfig,
    samples: &[Sample],
) -> Result<(), Error> {
    let error = |reason: String| Error {
        path: path.display().to_string(),
        reason,
    };
    let svg = render_svg(report, config, samples).map_err(|failed| error(failed.to_string()))?;
    std::fs::write(path, svg).map_err(|failed| error(failed.to_string()))
}

/// Renders the chart as SVG text.
///
/// # Errors
///
/// Returns an error if the chart can't be drawn.
pub fn render_svg(
    report: &Report,
    config: &ReportConfig,
    samples: &[Sample],
) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    let header_height = u32::try_from(report.unreached.len())? * LINE_HEIGHT;
    let area =
        SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT + header_height)).into_drawing_area();
    area.fill(&WHITE)?;
    let (header, body) = area.split_vertically(header_height);
    for (index, entry) in report.unreached.iter().enumerate() {
        let line = text::unreached_summary(entry, report.time_ms);
        let position = (8, i32::try_from(index as u32 * LINE_HEIGHT)? + 4);
        header.draw(&Text::new(
            line,
            position,
            ("sans-serif", 14).into_font().color(&RED),
        ))?;
    }
    let window = config.pairs.iter().map(|pair| pair.fast).min();
    let window = window.unwrap_or(DEFAULT_WINDOW);
    let times = curve_times(config, samples, report.time_ms);
    let burn_rates = Report::burn_rates(config, samples, window, &times);
    let minutes = |time: u64| -((report.time_ms - time) as f64) / 60_000.0;
    let burns = burn_rates.iter().flatten().flatten();
    let rates = config.pairs.iter().map(|pair| &pair.rate);
    let top = burns.chain(rates).fold(1.0_f64, |top, burn| top.max(*burn)) * 2.0;
    let first = times
        .first()
        .map_or(-1.0, |first| minutes(*first))
        .min(-0.1);
    let title = format!("Burn rate in windows of {}", format_duration(window));
    let mut chart = ChartBuilder::on(&body)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(first..0.0, (MIN_BURN_RATE..top).log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("minutes from the report")
        .y_desc(format!("burn rate; {MIN_BURN_RATE} stands for less"))
        .draw()?;
    for pair in &config.pairs {
        let line = [(first, pair.rate), (0.0, pair.rate)];
        chart
            .draw_series(DashedLineSeries::new(line, 6, 4, RED.stroke_width(1)))?
            .label(format!("alert above {}", pair.rate))
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED.mix(0.5)));
    }
    for (index, (burn, values)) in report.objectives.iter().zip(&burn_rates).enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = times.iter().zip(values);
        let points =
            points.filter_map(|(time, burn)| Some((minutes(*time), (*burn)?.max(MIN_BURN_RATE))));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(text::objective_name(burn))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    drop((chart, header, body, area));
    Ok(svg)
}

/// Returns the times of a curve's points, evenly spaced from the first sample to the report, but no further back than
/// the longest window.
fn curve_times(config: &ReportConfig, samples: &[Sample], now_ms: u64) -> Vec<u64> {
    let longest = config.pairs.iter().map(|pair| pair.slow).max();
    let longest = longest.unwrap_or(config.period).as_millis();
    let earliest = now_ms.saturating_sub(u64::try_from(longest).unwrap_or(u64::MAX));
    let first = samples.iter().map(|sample| sample.time_ms).min();
    let first = first.unwrap_or(now_ms).clamp(earliest, now_ms);
    let step = (now_ms - first) as f64 / INTERVALS as f64;
    (0..=INTERVALS)
        .map(|point| first + (step * point as f64) as u64)
        .collect()
}
