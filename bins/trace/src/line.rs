//! One line of a log.

use std::time::Duration;

use jiff::Timestamp;

/// A line `TIME LEVEL PROCESS NUMBER NAME field=value …`, with whatever stood before it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Time by the clock of the VM that wrote the line.
    pub time: Timestamp,
    /// Where the line comes from: the file, and what a log collector put before the line.
    pub source: String,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: String,
    /// Fields in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Reads a line of the log `file`; `None` for lines of another form.
    ///
    /// ```
    /// let text = "2026-05-05T11:12:29.372Z WARN carobport-entry 246 stream-cut request=7b88 failure=refused";
    /// let line = trace::Line::parse("entry-1", text).unwrap();
    /// assert_eq!((line.number, line.field("request")), (246, Some("7b88")));
    /// ```
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        let words: Vec<&str> = text.split_whitespace().take(8).collect();
        let at = words.iter().position(|word| is_time(word))?;
        let time: Timestamp = words[at].parse().ok()?;
        let (_, rest) = text.split_once(words[at])?;
        let mut rest = rest.trim_start().splitn(5, ' ');
        let (_level, process) = (rest.next()?, rest.next()?);
        let number = rest.next()?.parse().ok()?;
        let name = rest.next()?.to_owned();
        let before = words[..at].join(" ");
        let source = [file, &before, process]
            .into_iter()
            .filter(|part| !part.is_empty())
            .collect::<Vec<_>>()
            .join(" ");
        Some(Self {
            time,
            source,
            number,
            name,
            fields: fields(rest.next().unwrap_or_default()),
        })
    }

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(field, _)| field == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the time from `other` to this line, or from this line to `other`.
    pub fn distance(&self, other: &Self) -> Duration {
        self.time.duration_since(other.time).unsigned_abs()
    }
}

fn is_time(word: &str) -> bool {
    word.ends_with('Z') && word.contains('T') && word.starts_with(|c: char| c.is_ascii_digit())
}

/// Reads `name=value` pairs; values with spaces are quoted, with backslashes before quotes.
fn fields(text: &str) -> Vec<(String, String)> {
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

/// Reads a quoted value up to its closing quote, and returns it with what follows.
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
