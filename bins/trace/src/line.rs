//! Parser for log lines.

use std::time::Duration;

use jiff::Timestamp;

/// Number of words at the start of a line that are searched for the timestamp.
const MAX_WORDS_TO_TIME: usize = 8;

/// A log line of the form `TIME LEVEL PROCESS NUMBER NAME field=value …`, with an optional prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Timestamp from the clock of the VM that wrote the line.
    pub time: Timestamp,
    /// Origin of the line: the file name, the prefix that a log collector added, and the process.
    pub source: String,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: String,
    /// Names and values of the fields, in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line of the log `file`, or returns `None` if the line has another form.
    ///
    /// ```
    /// let text = "2026-05-05T11:12:29.372Z WARN carobport-entry 246 stream-cut request=7b88 failure=refused";
    /// let line = trace::Line::parse("entry-1", text).unwrap();
    /// assert_eq!((line.number, line.field("request")), (246, Some("7b88")));
    /// ```
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        let words: Vec<&str> = text.split_whitespace().take(MAX_WORDS_TO_TIME).collect();
        let time_index = words.iter().position(|word| is_timestamp(word))?;
        let time: Timestamp = words[time_index].parse().ok()?;
        let (_, rest) = text.split_once(words[time_index])?;
        let mut rest = rest.trim_start().splitn(5, ' ');
        let (_level, process) = (rest.next()?, rest.next()?);
        let number = rest.next()?.parse().ok()?;
        let name = rest.next()?.to_owned();
        // A time that a log collector added differs from line to line.
        let is_origin = |word: &&&str| word.parse::<f64>().is_err();
        let prefix: Vec<&str> = words[..time_index]
            .iter()
            .filter(is_origin)
            .copied()
            .collect();
        let prefix = prefix.join(" ");
        let source = [file, &prefix, process]
            .into_iter()
            .filter(|part| !part.is_empty())
            .collect::<Vec<_>>()
            .join(" ");
        Some(Self {
            time,
            source,
            number,
            name,
            fields: parse_fields(rest.next().unwrap_or_default()),
        })
    }

    /// Returns the value of the first field with this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(field, _)| field == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the absolute difference between the timestamps of two lines.
    pub fn time_difference(&self, other: &Self) -> Duration {
        self.time.duration_since(other.time).unsigned_abs()
    }
}

/// Returns whether a word looks like a timestamp; it may still fail to parse.
fn is_timestamp(word: &str) -> bool {
    word.ends_with('Z') && word.contains('T') && word.starts_with(|c: char| c.is_ascii_digit())
}

/// Parses `name=value` pairs; values with spaces are quoted, and a backslash escapes the next character in quotes.
fn parse_fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text.trim_start();
    while let Some((name, tail)) = rest.split_once('=') {
        let (value, tail) = match tail.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let (value, tail) = tail.split_once(' ').unwrap_or((tail, ""));
                (value.to_owned(), tail)
            }
        };
        fields.push((name.trim().to_owned(), value));
        rest = tail.trim_start();
    }
    fields
}

/// Parses a quoted value after its opening quote, and returns it with the text after the closing quote.
fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            c => value.push(c),
        }
    }
    (value, "")
}
