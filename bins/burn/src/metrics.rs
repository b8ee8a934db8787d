//! Reads an entry's `/metrics` in the OpenMetrics text format.

use crate::sample::{Bucket, Reading};

/// A text that is not the metrics of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A line can't be read.
    #[error("line {line} of the metrics can't be read: `{text}`")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// The line.
        text: String,
    },
    /// The text lacks its last line, `# EOF`.
    #[error("the metrics end without `# EOF`")]
    Cut,
}

/// Returns the counters that the report needs, summed over services and workspaces; other metrics are ignored.
///
/// # Errors
///
/// Fails when a needed line is malformed or the text was cut off.
///
/// ```
/// let text = "carobport_requests_total{service=\"s\",class=\"urgent\",outcome=\"answered\"} 3\n# EOF\n";
/// let reading = burn::metrics::parse(text).unwrap();
/// assert_eq!(reading.requests["urgent"]["answered"], 3);
/// ```
pub fn parse(text: &str) -> Result<Reading, Error> {
    if text.lines().last() != Some("# EOF") {
        return Err(Error::Cut);
    }
    let mut reading = Reading::default();
    for (index, line) in text.lines().enumerate() {
        take(&mut reading, line).ok_or_else(|| Error::Line {
            line: index + 1,
            text: line.into(),
        })?;
    }
    for buckets in reading.first_byte.values_mut() {
        let bound = |bucket: &Bucket| bucket.bound.unwrap_or(f64::INFINITY);
        buckets.sort_by(|one, other| bound(one).total_cmp(&bound(other)));
    }
    Ok(reading)
}

/// Adds a line to the reading; returns `None` when it is needed but malformed.
fn take(reading: &mut Reading, line: &str) -> Option<()> {
    let name = line.split(['{', ' ']).next().unwrap_or_default();
    let rest = &line[name.len()..];
    match name {
        "carobport_start_time_seconds" => reading.started = Some(value(rest)?.parse().ok()?),
        "carobport_requests_total" => {
            let (labels, rest) = labels(rest)?;
            let cause = match find(&labels, "reason") {
                Some(reason) if !reason.is_empty() => {
                    format!("{}/{reason}", find(&labels, "outcome")?)
                }
                _ => find(&labels, "outcome")?.into(),
            };
            let causes = reading.requests.entry(find(&labels, "class")?.into());
            let count = causes.or_default().entry(cause).or_default();
            *count = count.checked_add(value(rest)?.parse().ok()?)?;
        }
        "carobport_first_byte_seconds_bucket" => {
            let (labels, rest) = labels(rest)?;
            let bound = match find(&labels, "le")? {
                "+Inf" => None,
                bound => Some(bound.parse().ok()?),
            };
            let count = value(rest)?.parse().ok()?;
            let class = find(&labels, "class")?.to_owned();
            let buckets = reading.first_byte.entry(class).or_default();
            buckets.push(Bucket { bound, count });
        }
        _ => {}
    }
    Some(())
}

fn value(rest: &str) -> Option<&str> {
    rest.split_whitespace().next()
}

fn find<'a>(labels: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let label = labels.iter().find(|(label, _)| label == name)?;
    Some(&label.1)
}

/// Splits `{name="value",…} rest` into labels and rest; `\\`, `\"` and `\n` in values are resolved.
fn labels(text: &str) -> Option<(Vec<(String, String)>, &str)> {
    let mut labels = Vec::new();
    let mut rest = text.strip_prefix('{')?;
    while !rest.starts_with('}') {
        let (name, after) = rest.split_once("=\"")?;
        let mut value = String::new();
        let mut chars = after.char_indices();
        let end = loop {
            match chars.next()? {
                (index, '"') => break index + 1,
                (_, '\\') => value.push(match chars.next()?.1 {
                    'n' => '\n',
                    other => other,
                }),
                (_, other) => value.push(other),
            }
        };
        labels.push((name.to_owned(), value));
        rest = &after[end..];
        rest = rest.strip_prefix(',').unwrap_or(rest);
    }
    Some((labels, &rest[1..]))
}
