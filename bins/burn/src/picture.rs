//! The report as an SVG picture.

use std::path::Path;
use std::time::Duration;

use plotters::prelude::*;

use crate::Sample;
use crate::report::{Question, Report};
use crate::text;
use crate::window::show;

const WIDTH: u32 = 1000;
const HEIGHT: u32 = 560;
/// Height of a line of text above the chart.
const LINE: u32 = 18;
/// Points of each curve.
const POINTS: u64 = 120;
/// Lowest burn rate of the axis, which is logarithmic: an outage burns a thousand times faster than an alert's rate.
const LOWEST: f64 = 0.1;
/// Window of the curves when the report has no pair.
const WINDOW: Duration = Duration::from_secs(300);

/// A picture that can't be drawn.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("picture {path}: {reason}")]
pub struct Error {
    path: String,
    reason: String,
}

/// Draws the burn rate of each objective over the sampled time, in the shortest window of all pairs.
///
/// Entries that were not reached are named above the chart; the alert rates are drawn as lines.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn draw(
    path: &Path,
    report: &Report,
    question: &Question,
    samples: &[Sample],
) -> Result<(), Error> {
    let error = |reason: String| Error {
        path: path.display().to_string(),
        reason,
    };
    let drawn = svg(report, question, samples).map_err(|failed| error(failed.to_string()))?;
    std::fs::write(path, drawn).map_err(|failed| error(failed.to_string()))
}

/// Returns the picture as SVG text.
///
/// # Errors
///
/// Fails when the chart can't be laid out.
pub fn svg(
    report: &Report,
    question: &Question,
    samples: &[Sample],
) -> Result<String, Box<dyn std::error::Error>> {
    let mut drawn = String::new();
    let lines = u32::try_from(report.unreached.len())? * LINE;
    let area = SVGBackend::with_string(&mut drawn, (WIDTH, HEIGHT + lines)).into_drawing_area();
    area.fill(&WHITE)?;
    let (head, body) = area.split_vertically(lines);
    for (index, entry) in report.unreached.iter().enumerate() {
        let line = text::unreached_short(entry, report.time_ms);
        let place = (8, i32::try_from(index as u32 * LINE)? + 4);
        head.draw(&Text::new(
            line,
            place,
            ("sans-serif", 14).into_font().color(&RED),
        ))?;
    }
    let window = question.pairs.iter().map(|pair| pair.fast).min();
    let window = window.unwrap_or(WINDOW);
    let times = times(question, samples, report.time_ms);
    let history = Report::history(question, samples, window, &times);
    let minutes = |time: u64| -((report.time_ms - time) as f64) / 60_000.0;
    let burns = history.iter().flatten().flatten();
    let rates = question.pairs.iter().map(|pair| &pair.rate);
    let top = burns.chain(rates).fold(1.0_f64, |top, burn| top.max(*burn)) * 2.0;
    let first = times
        .first()
        .map_or(-1.0, |first| minutes(*first))
        .min(-0.1);
    let title = format!("Burn rate in windows of {}", show(window));
    let mut chart = ChartBuilder::on(&body)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(first..0.0, (LOWEST..top).log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("minutes from the report")
        .y_desc(format!("burn rate; {LOWEST} stands for less"))
        .draw()?;
    for pair in &question.pairs {
        let line = [(first, pair.rate), (0.0, pair.rate)];
        chart
            .draw_series(DashedLineSeries::new(line, 6, 4, RED.stroke_width(1)))?
            .label(format!("alert above {}", pair.rate))
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED.mix(0.5)));
    }
    for (index, (burn, values)) in report.objectives.iter().zip(&history).enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = times.iter().zip(values);
        let points = points.filter_map(|(time, burn)| Some((minutes(*time), (*burn)?.max(LOWEST))));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(text::name(burn))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    drop((chart, head, body, area));
    Ok(drawn)
}

/// Returns the times of the points: from the first sample, but at most the longest window before the report.
fn times(question: &Question, samples: &[Sample], now_ms: u64) -> Vec<u64> {
    let longest = question.pairs.iter().map(|pair| pair.slow).max();
    let longest = longest.unwrap_or(question.period).as_millis();
    let earliest = now_ms.saturating_sub(u64::try_from(longest).unwrap_or(u64::MAX));
    let first = samples.iter().map(|sample| sample.time_ms).min();
    let first = first.unwrap_or(now_ms).clamp(earliest, now_ms);
    let step = (now_ms - first) as f64 / POINTS as f64;
    (0..=POINTS)
        .map(|point| first + (step * point as f64) as u64)
        .collect()
}
