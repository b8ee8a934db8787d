//! Text of entries, histories and times.

use std::fmt::Write;

use catalog::{Entry, Revision, Stored, difference};

/// Returns an entry as indented JSON, as a file of `put` has it.
pub fn entry(entry: &Entry) -> String {
    serde_json::to_string_pretty(&entry.as_written()).unwrap_or_else(|error| error.to_string())
}

/// Returns the versions of an entry, the latest first, each with its author, time and changes.
pub fn history(revision: Revision, stored: &Stored) -> String {
    let latest = (
        revision,
        &stored.author,
        stored.time_ms,
        &stored.write,
        &stored.entry,
    );
    let past = stored.history.iter();
    let past = past.map(|past| {
        (
            past.revision,
            &past.author,
            past.time_ms,
            &past.write,
            &past.entry,
        )
    });
    let versions: Vec<_> = std::iter::once(latest).chain(past).collect();
    let mut text = String::new();
    for (index, (revision, author, time_ms, write, entry)) in versions.iter().enumerate() {
        let older = versions.get(index + 1).map(|version| version.4);
        let _ = writeln!(
            text,
            "revision {revision} by {author} at {} (put {write})",
            time(*time_ms)
        );
        for change in difference(older, entry) {
            let _ = writeln!(text, "  {change}");
        }
    }
    text
}

/// Returns a time in milliseconds since 1970 as `2026-12-03T20:41:23Z`.
///
/// ```
/// assert_eq!(carobport_catalog::show::time(1_796_330_483_000), "2026-12-03T20:41:23Z");
/// ```
pub fn time(time_ms: u64) -> String {
    let (days, seconds) = (time_ms / 86_400_000, time_ms / 1000 % 86_400);
    let (year, month, day) = date(days);
    let (hour, minute, second) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns year, month and day of the Gregorian calendar for a number of days since 1970-01-01.
fn date(days: u64) -> (u64, u64, u64) {
    let is_leap = |year: u64| {
        year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
    };
    let mut rest = days;
    let mut year = 1970;
    while rest >= 365 + u64::from(is_leap(year)) {
        rest -= 365 + u64::from(is_leap(year));
        year += 1;
    }
    let february = 28 + u64::from(is_leap(year));
    let mut month = 1;
    for length in [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30] {
        if rest < length {
            break;
        }
        rest -= length;
        month += 1;
    }
    (year, month, rest + 1)
}
