//! Entry files, parsed with the source position of every value.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;

use crate::Finding;

/// Maximum nesting depth that is parsed; an entry needs 3 levels, and deeper values are findings anyway.
const MAX_DEPTH: usize = 8;

/// Maximum length of the value shown in a finding, in characters.
const MAX_READ_CHARS: usize = 80;

/// Name and content of one file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SourceFile<'a> {
    /// Name of the file; only used in findings.
    pub file: &'a str,
    /// Content of the file.
    pub text: &'a str,
}

/// A JSON value with its source text, whose address gives its position in the file.
#[derive(Debug)]
pub(crate) struct JsonValue<'a> {
    pub(crate) raw: &'a str,
    pub(crate) kind: JsonKind<'a>,
}

#[derive(Debug)]
pub(crate) enum JsonKind<'a> {
    Object(Vec<(String, JsonValue<'a>)>),
    Array(Vec<JsonValue<'a>>),
    Scalar(serde_json::Value),
}

struct ObjectMembers<'a>(Vec<(String, &'a RawValue)>);

impl<'a> SourceFile<'a> {
    pub(crate) fn parse(&self) -> Result<JsonValue<'a>, Finding> {
        let raw: &RawValue = serde_json::from_str(self.text).map_err(|error| Finding {
            file: self.file.into(),
            line: error.line().max(1),
            column: error.column().max(1),
            pointer: String::new(),
            read: format!("invalid JSON ({error})"),
            allowed: "one JSON object".into(),
        })?;
        Ok(parse(raw.get(), 0))
    }

    /// Returns a finding about `value`, with its position in the file.
    pub(crate) fn finding(&self, value: &JsonValue<'_>, pointer: &str, allowed: &str) -> Finding {
        let mut read: String = value.raw.split_whitespace().collect::<Vec<_>>().join(" ");
        if read.chars().count() > MAX_READ_CHARS {
            read = read
                .chars()
                .take(MAX_READ_CHARS)
                .chain("…".chars())
                .collect();
        }
        self.finding_at(value, pointer, read, allowed)
    }

    /// Returns a finding about a field missing from `object`.
    pub(crate) fn missing_field(
        &self,
        object: &JsonValue<'_>,
        pointer: &str,
        allowed: &str,
    ) -> Finding {
        self.finding_at(object, pointer, "nothing".into(), allowed)
    }

    fn finding_at(
        &self,
        value: &JsonValue<'_>,
        pointer: &str,
        read: String,
        allowed: &str,
    ) -> Finding {
        // Every value borrows a part of the text, so its offset follows from its address.
        let offset = (value.raw.as_ptr() as usize).saturating_sub(self.text.as_ptr() as usize);
        let before = self.text.get(..offset).unwrap_or_default();
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        Finding {
            file: self.file.into(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            pointer: pointer.into(),
            read,
            allowed: allowed.into(),
        }
    }
}

impl<'a> JsonValue<'a> {
    /// Returns the value of a field; the last one if the field is duplicated.
    pub(crate) fn field(&self, name: &str) -> Option<&JsonValue<'a>> {
        match &self.kind {
            JsonKind::Object(members) => members
                .iter()
                .rev()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub(crate) fn as_str(&self) -> Option<&str> {
        match &self.kind {
            JsonKind::Scalar(value) => value.as_str(),
            _ => None,
        }
    }

    pub(crate) fn as_u64(&self) -> Option<u64> {
        match &self.kind {
            JsonKind::Scalar(value) => value.as_u64(),
            _ => None,
        }
    }

    pub(crate) fn as_f64(&self) -> Option<f64> {
        match &self.kind {
            JsonKind::Scalar(value) => value.as_f64(),
            _ => None,
        }
    }

    pub(crate) fn as_bool(&self) -> Option<bool> {
        match &self.kind {
            JsonKind::Scalar(value) => value.as_bool(),
            _ => None,
        }
    }
}

fn parse(raw: &str, depth: usize) -> JsonValue<'_> {
    let null = || JsonKind::Scalar(serde_json::Value::Null);
    let kind = match raw.as_bytes().first() {
        _ if depth >= MAX_DEPTH => null(),
        Some(b'{') => match serde_json::from_str::<ObjectMembers<'_>>(raw) {
            Ok(ObjectMembers(members)) => {
                let members = members.into_iter();
                JsonKind::Object(
                    members
                        .map(|(key, raw)| (key, parse(raw.get(), depth + 1)))
                        .collect(),
                )
            }
            Err(_) => null(),
        },
        Some(b'[') => match serde_json::from_str::<Vec<&RawValue>>(raw) {
            Ok(items) => JsonKind::Array(
                items
                    .into_iter()
                    .map(|raw| parse(raw.get(), depth + 1))
                    .collect(),
            ),
            Err(_) => null(),
        },
        _ => serde_json::from_str(raw).map_or_else(|_| null(), JsonKind::Scalar),
    };
    JsonValue { raw, kind }
}

impl<'de> Deserialize<'de> for ObjectMembers<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ObjectMembersVisitor;

        impl<'de> Visitor<'de> for ObjectMembersVisitor {
            type Value = ObjectMembers<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(
                self,
                mut map: A,
            ) -> Result<ObjectMembers<'de>, A::Error> {
                let mut members = Vec::new();
                while let Some(member) = map.next_entry()? {
                    members.push(member);
                }
                Ok(ObjectMembers(members))
            }
        }

        deserializer.deserialize_map(ObjectMembersVisitor)
    }
}
