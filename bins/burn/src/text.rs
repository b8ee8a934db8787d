//! Renders a report as text.

use std::fmt::{self, Write};
use std::time::Duration;

use crate::report::{Burn, Kind, PairBurn, Report, Unreached, Window};
use crate::window::format_duration;

/// Renders the report as plain text for a terminal.
pub fn render(report: &Report) -> String {
    let mut text = String::new();
    // Writing to a String can't fail.
    let _ = write_report(&mut text, report);
    text
}

/// Returns the line that reports an unreached entry with its last error. All formats list the unreached entries.
pub fn unreached_line(unreached: &Unreached, now_ms: u64) -> String {
    let mut line = unreached_summary(unreached, now_ms);
    if let Some(error) = &unreached.error {
        let _ = write!(line, "; {error}");
    }
    line
}

/// Returns the line of [`unreached_line`] without the error, which may be too long for a line in the chart.
pub fn unreached_summary(unreached: &Unreached, now_ms: u64) -> String {
    let Unreached {
        entry,
        failed,
        samples,
        last_read_ms,
        ..
    } = unreached;
    let mut line = format!("NOT REACHED {entry}: {failed} of {samples} samples failed");
    match last_read_ms {
        Some(time_ms) => {
            let _ = write!(line, "; last read {} s ago", (now_ms - time_ms) / 1000);
        }
        None => line.push_str("; never read"),
    }
    line
}

/// Returns the name of an objective, such as `urgent within 2000 ms`.
pub fn objective_name(burn: &Burn) -> String {
    match (burn.kind, burn.within_ms) {
        (Kind::Within, Some(within_ms)) => format!("{} within {within_ms} ms", burn.class),
        _ => format!("{} answered", burn.class),
    }
}

fn write_report(text: &mut String, report: &Report) -> fmt::Result {
    let entries = report.entries.len();
    writeln!(
        text,
        "service-level burn of {entries} entries at {}",
        node::time::format_utc(report.time_ms)
    )?;
    for entry in &report.unreached {
        writeln!(text, "{}", unreached_line(entry, report.time_ms))?;
    }
    for (entry, count) in &report.restarts {
        writeln!(text, "restarted {entry}: {count} time(s)")?;
    }
    for burn in &report.objectives {
        write_objective(text, burn)?;
    }
    for (class, causes) in &report.causes {
        let causes: Vec<String> = causes
            .iter()
            .map(|(cause, count)| format!("{cause} {count}"))
            .collect();
        writeln!(text, "ended in class {class}: {}", causes.join(", "))?;
    }
    let verdict = match (report.alert, report.unreached.len()) {
        (true, _) => "ALERT".into(),
        (false, 0) => "no alert".into(),
        (false, count) => format!("no alert in what was read; {count} entries are missing in it"),
    };
    writeln!(text, "{verdict}")
}

fn write_objective(text: &mut String, burn: &Burn) -> fmt::Result {
    let (objective, budget) = (burn.objective * 100.0, burn.budget * 100.0);
    write!(
        text,
        "{}: objective {objective:.3}%, budget {budget:.3}%, ",
        objective_name(burn)
    )?;
    match burn.period.burn {
        Some(used) => write!(text, "used {:.1}%", used * 100.0)?,
        None => write!(text, "no requests")?,
    }
    writeln!(text, " of {}", format_window(&burn.period))?;
    if burn.kind == Kind::Within && burn.period.requests > 0 {
        match burn.measured_s {
            Some(bound) if bound * 1000.0 + 1e-6 < burn.within_ms.unwrap_or(0) as f64 => {
                writeln!(text, "  measured at {bound} s, the next bound below")?;
            }
            Some(_) => {}
            None => writeln!(
                text,
                "  no bound at or below the time: all answers count as late"
            )?,
        }
    }
    burn.pairs.iter().try_for_each(|one| write_pair(text, one))
}

fn write_pair(text: &mut String, pair: &PairBurn) -> fmt::Result {
    let rate = |window: &Window| match window.burn {
        Some(burn) => format!("burn {burn:.2} in {}", format_window(window)),
        None => format!("no requests in {}", format_window(window)),
    };
    let verdict = if pair.alert { "ALERT" } else { "ok" };
    writeln!(
        text,
        "  {verdict}: {}; {}; alert above {}",
        rate(&pair.fast),
        rate(&pair.slow),
        pair.rate
    )
}

fn format_window(window: &Window) -> String {
    let length = format_duration(Duration::from_secs(window.seconds));
    let covered = window.covered * 100.0;
    let (missed, requests) = (window.missed, window.requests);
    let mut text = format!("{length} ({missed} of {requests} missed, {covered:.0}% covered");
    if !window.missing.is_empty() {
        let _ = write!(text, ", lacks {}", window.missing.join(" "));
    }
    text.push(')');
    text
}
