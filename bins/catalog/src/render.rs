//! Renders entries and histories as text.

use std::fmt::Write;

use catalog::{Entry, Revision, StoredEntry, diff};

/// Returns an entry as indented JSON, in the form that `put` reads.
pub fn entry(entry: &Entry) -> String {
    serde_json::to_string_pretty(&entry.without_replaced())
        .unwrap_or_else(|error| error.to_string())
}

/// Lists the versions of an entry, newest first, each with its author, time and changes.
pub fn history(revision: Revision, stored: &StoredEntry) -> String {
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
        let previous = versions.get(index + 1).map(|version| version.4);
        let _ = writeln!(
            text,
            "revision {revision} by {author} at {} (put {write})",
            node::time::format_utc(*time_ms)
        );
        for change in diff(previous, entry) {
            let _ = writeln!(text, "  {change}");
        }
    }
    text
}
