//! The fields of one JSON object and the findings about them.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{Finding, Settings};

/// Longest value text that a finding repeats, in characters.
const MAX_READ: usize = 80;

/// Reader of one object's fields; each method adds a finding instead of failing.
pub struct Fields<'a> {
    object: &'a Map<String, Value>,
    pointer: &'a str,
    known: Vec<&'static str>,
    findings: &'a mut Vec<Finding>,
}

impl<'a> Fields<'a> {
    /// Reads a required field that serde can decode; `allowed` describes it to the operator.
    pub fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        allowed: &str,
    ) -> Option<T> {
        match self.take(name) {
            Some(value) => self.decode(name, value, allowed),
            None => self.missing(name, allowed),
        }
    }

    /// Reads an optional field that serde can decode, with a default.
    pub fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        allowed: &str,
        default: T,
    ) -> Option<T> {
        match self.take(name) {
            Some(value) => self.decode(name, value, allowed),
            None => Some(default),
        }
    }

    /// Reads a required text that isn't empty.
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        let allowed = "a text that isn't empty";
        let text: String = self.required(name, allowed)?;
        if text.is_empty() {
            self.finding(name, allowed);
            return None;
        }
        Some(text)
    }

    /// Reads a number within `range`; without a default it is required.
    pub fn number<T>(
        &mut self,
        name: &'static str,
        range: RangeInclusive<T>,
        default: Option<T>,
    ) -> Option<T>
    where
        T: DeserializeOwned + PartialOrd + Display,
    {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        let number = match default {
            Some(default) => self.optional(name, &allowed, default),
            None => self.required(name, &allowed),
        }?;
        if !range.contains(&number) {
            self.finding(name, &allowed);
            return None;
        }
        Some(number)
    }

    /// Reads a time in milliseconds within `range`; without a default it is required.
    pub fn millis(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<Duration> {
        self.number(name, range, default).map(Duration::from_millis)
    }

    /// Reads a required time in seconds within `range`.
    pub fn seconds(&mut self, name: &'static str, range: RangeInclusive<f64>) -> Option<Duration> {
        self.number(name, range, None).map(Duration::from_secs_f64)
    }

    /// Reads a required object.
    pub fn object<T: Settings>(&mut self, name: &'static str) -> Option<T> {
        match self.take(name) {
            Some(value) => read_object(value, &self.place(name), self.findings),
            None => self.missing(name, "an object"),
        }
    }

    /// Reads a required array of objects.
    pub fn objects<T: Settings>(&mut self, name: &'static str) -> Option<Vec<T>> {
        let allowed = "an array of objects";
        let value = match self.take(name) {
            Some(value) => value,
            None => return self.missing(name, allowed),
        };
        let Some(items) = value.as_array() else {
            self.finding(name, allowed);
            return None;
        };
        let place = self.place(name);
        let read: Vec<_> = items
            .iter()
            .enumerate()
            .map(|(index, item)| read_object(item, &format!("{place}/{index}"), self.findings))
            .collect();
        read.into_iter().collect()
    }

    /// Adds a finding about the field `name`, for example when two fields contradict each other.
    pub fn finding(&mut self, name: &str, allowed: impl Into<String>) {
        let read = self
            .object
            .get(name)
            .map_or_else(|| "nothing".into(), shorten);
        self.findings.push(Finding {
            pointer: self.place(name),
            read,
            allowed: allowed.into(),
        });
    }

    fn take(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.object.get(name)
    }

    fn decode<T: DeserializeOwned>(
        &mut self,
        name: &str,
        value: &Value,
        allowed: &str,
    ) -> Option<T> {
        match T::deserialize(value) {
            Ok(decoded) => Some(decoded),
            Err(_) => {
                self.finding(name, allowed);
                None
            }
        }
    }

    fn missing<T>(&mut self, name: &str, allowed: &str) -> Option<T> {
        self.finding(name, allowed);
        None
    }

    fn place(&self, name: &str) -> String {
        let escaped = name.replace('~', "~0").replace('/', "~1");
        format!("{}/{escaped}", self.pointer)
    }

    fn find_unknown(&mut self) {
        let object = self.object;
        for name in object.keys() {
            if !self.known.contains(&name.as_str()) {
                let allowed = format!("only the fields {}", self.known.join(", "));
                self.finding(name, allowed);
            }
        }
    }
}

/// Reads `value`, which must be an object, and adds findings below `pointer`.
pub fn read_object<T: Settings>(
    value: &Value,
    pointer: &str,
    findings: &mut Vec<Finding>,
) -> Option<T> {
    let Some(object) = value.as_object() else {
        findings.push(Finding {
            pointer: pointer.into(),
            read: shorten(value),
            allowed: "an object".into(),
        });
        return None;
    };
    let mut fields = Fields {
        object,
        pointer,
        known: Vec::new(),
        findings,
    };
    let read = T::read(&mut fields);
    fields.find_unknown();
    read
}

fn shorten(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_READ) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}
