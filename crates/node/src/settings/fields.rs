//! Reader for the fields of a JSON object.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{Finding, Settings};

/// Maximum length of the value shown in a finding, in characters.
const MAX_READ_CHARS: usize = 80;

/// Reader for the fields of a JSON object.
///
/// A method that can't read a field adds a finding and returns `None`.
pub struct Fields<'a> {
    object: &'a Map<String, Value>,
    pointer: &'a str,
    read_names: Vec<&'static str>,
    findings: &'a mut Vec<Finding>,
}

impl<'a> Fields<'a> {
    /// Reads a required field with serde; `allowed` describes the allowed values in a finding.
    pub fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        allowed: &str,
    ) -> Option<T> {
        match self.lookup(name) {
            Some(value) => self.decode(name, value, allowed),
            None => self.missing_field(name, allowed),
        }
    }

    /// Reads an optional field with serde; returns `default` if it is missing.
    pub fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        allowed: &str,
        default: T,
    ) -> Option<T> {
        match self.lookup(name) {
            Some(value) => self.decode(name, value, allowed),
            None => Some(default),
        }
    }

    /// Reads a required non-empty string.
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        let allowed = "a non-empty string";
        let text: String = self.required(name, allowed)?;
        if text.is_empty() {
            self.add_finding(name, allowed);
            return None;
        }
        Some(text)
    }

    /// Reads a number in `range`; the field is required if `default` is `None`.
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
            self.add_finding(name, &allowed);
            return None;
        }
        Some(number)
    }

    /// Reads a duration in milliseconds in `range`; the field is required if `default` is `None`.
    pub fn millis(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<Duration> {
        self.number(name, range, default).map(Duration::from_millis)
    }

    /// Reads a required duration in seconds in `range`.
    pub fn seconds(&mut self, name: &'static str, range: RangeInclusive<f64>) -> Option<Duration> {
        self.number(name, range, None).map(Duration::from_secs_f64)
    }

    /// Reads a required object.
    pub fn object<T: Settings>(&mut self, name: &'static str) -> Option<T> {
        match self.lookup(name) {
            Some(value) => read_object(value, &self.pointer_to(name), self.findings),
            None => self.missing_field(name, "an object"),
        }
    }

    /// Reads an optional object; if it is missing, its fields have their defaults.
    pub fn optional_object<T: Settings>(&mut self, name: &'static str) -> Option<T> {
        let empty = Value::Object(Map::new());
        let value = self.lookup(name).unwrap_or(&empty);
        read_object(value, &self.pointer_to(name), self.findings)
    }

    /// Reads a required array of objects.
    pub fn objects<T: Settings>(&mut self, name: &'static str) -> Option<Vec<T>> {
        let allowed = "an array of objects";
        let value = match self.lookup(name) {
            Some(value) => value,
            None => return self.missing_field(name, allowed),
        };
        let Some(items) = value.as_array() else {
            self.add_finding(name, allowed);
            return None;
        };
        let pointer = self.pointer_to(name);
        let read: Vec<_> = items
            .iter()
            .enumerate()
            .map(|(index, item)| read_object(item, &format!("{pointer}/{index}"), self.findings))
            .collect();
        read.into_iter().collect()
    }

    /// Adds a finding about the field `name`, for example if two fields contradict each other.
    pub fn add_finding(&mut self, name: &str, allowed: impl Into<String>) {
        let read = self
            .object
            .get(name)
            .map_or_else(|| "nothing".into(), shortened_json);
        self.findings.push(Finding {
            pointer: self.pointer_to(name),
            read,
            allowed: allowed.into(),
        });
    }

    fn lookup(&mut self, name: &'static str) -> Option<&'a Value> {
        self.read_names.push(name);
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
                self.add_finding(name, allowed);
                None
            }
        }
    }

    fn missing_field<T>(&mut self, name: &str, allowed: &str) -> Option<T> {
        self.add_finding(name, allowed);
        None
    }

    fn pointer_to(&self, name: &str) -> String {
        let escaped = name.replace('~', "~0").replace('/', "~1");
        format!("{}/{escaped}", self.pointer)
    }

    fn report_unknown_fields(&mut self) {
        let object = self.object;
        for name in object.keys() {
            if !self.read_names.contains(&name.as_str()) {
                let allowed = format!("only the fields {}", self.read_names.join(", "));
                self.add_finding(name, allowed);
            }
        }
    }
}

/// Reads `value`, which must be an object; the pointers of findings start with `pointer`.
pub fn read_object<T: Settings>(
    value: &Value,
    pointer: &str,
    findings: &mut Vec<Finding>,
) -> Option<T> {
    let Some(object) = value.as_object() else {
        findings.push(Finding {
            pointer: pointer.into(),
            read: shortened_json(value),
            allowed: "an object".into(),
        });
        return None;
    };
    let mut fields = Fields {
        object,
        pointer,
        read_names: Vec::new(),
        findings,
    };
    let read = T::read(&mut fields);
    fields.report_unknown_fields();
    read
}

fn shortened_json(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_READ_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}
