//! Parser for an entry's `/metrics` in the OpenMetrics text format.

use crate::sample::{Bucket, Reading};

/// Errors while parsing an entry's metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A required line is malformed.
    #[error("line {line} of the metrics can't be read: `{text}`")]
    InvalidLine {
        /// Line number, starting at 1.
        line: usize,
        /// Text of the line.
        text: String,
    },
    /// The text doesn't end with the line `# EOF`.
    #[error("the metrics end without `# EOF`")]
    Truncated,
}

/// Parses the counters that the report uses and sums them over services and workspaces; other metrics are ignored.
///
/// # Errors
///
/// Returns an error if a required line is malformed or the text is truncated.
///
/// ```
/// let text = "carobport_requests_total{service=\"s\",class=\"urgent\",outcome=\"answered\"} 3\n# EOF\n";
/// let reading = burn::metrics::parse(text).unwrap();
/// assert_eq!(reading.requests["urgent"]["answered"], 3);
/// ```
pub fn parse(text: &str) -> Result<Reading, Error> {
    if text.lines().last() != Some("# EOF") {
        return Err(Error::Truncated);
    }
    let mut reading = Reading::default();
    for (index, line) in text.lines().enumerate() {
        parse_line(&mut reading, line).ok_or_else(|| Error::InvalidLine {
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

/// Adds a line to the reading; returns `None` if the line is required but malformed.
fn parse_line(reading: &mut Reading, line: &str) -> Option<()> {
    let name = line.split(['{', ' ']).next().unwrap_or_default();
    let rest = &line[name.len()..];
    match name {
        "carobport_start_time_seconds" => reading.started = Some(first_token(rest)?.parse().ok()?),
        "carobport_requests_total" => {
            let (labels, rest) = parse_labels(rest)?;
            let cause = match label_value(&labels, "reason") {
                Some(reason) if !reason.is_empty() => {
                    format!("{}/{reason}", label_value(&labels, "outcome")?)
                }
                _ => label_value(&labels, "outcome")?.into(),
            };
            let causes = reading
                .requests
                .entry(label_value(&labels, "class")?.into());
            let count = causes.or_default().entry(cause).or_default();
            *count = count.checked_add(first_token(rest)?.parse().ok()?)?;
        }
        "carobport_first_byte_seconds_bucket" => {
            let (labels, rest) = parse_labels(rest)?;
            let bound = match label_value(&labels, "le")? {
                "+Inf" => None,
                bound => Some(bound.parse().ok()?),
            };
            let count = first_token(rest)?.parse().ok()?;
            let class = label_value(&labels, "class")?.to_owned();
            let buckets = reading.first_byte.entry(class).or_default();
            buckets.push(Bucket { bound, count });
        }
        _ => {}
    }
    Some(())
}

fn first_token(rest: &str) -> Option<&str> {
    rest.split_whitespace().next()
}

fn label_value<'a>(labels: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let label = labels.iter().find(|(label, _)| label == name)?;
    Some(&label.1)
}

/// Splits `{name="value",…} rest` into labels and rest; the escapes `\\`, `\"` and `\n` in values are decoded.
fn parse_labels(text: &str) -> Option<(Vec<(String, String)>, &str)> {
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
