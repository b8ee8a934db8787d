//! Files of entries, read with the place of every value.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;

use crate::Finding;

/// Deepest nesting read; an entry needs 3 levels, and deeper values are findings anyway.
const DEPTH: usize = 8;

/// Longest text of a value in a finding, in characters.
const SHOWN: usize = 80;

/// The text of one file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Source<'a> {
    /// Name of the file, used in findings only.
    pub file: &'a str,
    /// Content of the file.
    pub text: &'a str,
}

/// A JSON value and its place.
#[derive(Debug)]
pub(crate) struct Tree<'a> {
    pub(crate) raw: &'a str,
    pub(crate) kind: Kind<'a>,
}

#[derive(Debug)]
pub(crate) enum Kind<'a> {
    Object(Vec<(String, Tree<'a>)>),
    Array(Vec<Tree<'a>>),
    Scalar(serde_json::Value),
}

struct Members<'a>(Vec<(String, &'a RawValue)>);

impl<'a> Source<'a> {
    pub(crate) fn tree(&self) -> Result<Tree<'a>, Finding> {
        let raw: &RawValue = serde_json::from_str(self.text).map_err(|error| Finding {
            file: self.file.into(),
            line: error.line().max(1),
            column: error.column().max(1),
            pointer: String::new(),
            read: format!("text that is not JSON ({error})"),
            allowed: "one JSON object".into(),
        })?;
        Ok(tree(raw.get(), 0))
    }

    /// Returns a finding about `tree` with its place.
    pub(crate) fn finding(&self, tree: &Tree<'_>, pointer: &str, allowed: &str) -> Finding {
        let mut read: String = tree.raw.split_whitespace().collect::<Vec<_>>().join(" ");
        if read.chars().count() > SHOWN {
            read = read.chars().take(SHOWN).chain("…".chars()).collect();
        }
        self.place(tree, pointer, read, allowed)
    }

    /// Returns a finding about a field that `object` lacks.
    pub(crate) fn absent(&self, object: &Tree<'_>, pointer: &str, allowed: &str) -> Finding {
        self.place(object, pointer, "nothing".into(), allowed)
    }

    fn place(&self, tree: &Tree<'_>, pointer: &str, read: String, allowed: &str) -> Finding {
        // Every tree borrows a part of the text, so its address tells its offset.
        let offset = (tree.raw.as_ptr() as usize).saturating_sub(self.text.as_ptr() as usize);
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

impl<'a> Tree<'a> {
    /// Returns the value of a field, the last one if it stands twice.
    pub(crate) fn field(&self, name: &str) -> Option<&Tree<'a>> {
        match &self.kind {
            Kind::Object(members) => members
                .iter()
                .rev()
                .find(|(key, _)| key == name)
                .map(|(_, tree)| tree),
            _ => None,
        }
    }

    pub(crate) fn text(&self) -> Option<&str> {
        match &self.kind {
            Kind::Scalar(value) => value.as_str(),
            _ => None,
        }
    }

    pub(crate) fn integer(&self) -> Option<u64> {
        match &self.kind {
            Kind::Scalar(value) => value.as_u64(),
            _ => None,
        }
    }

    pub(crate) fn number(&self) -> Option<f64> {
        match &self.kind {
            Kind::Scalar(value) => value.as_f64(),
            _ => None,
        }
    }

    pub(crate) fn truth(&self) -> Option<bool> {
        match &self.kind {
            Kind::Scalar(value) => value.as_bool(),
            _ => None,
        }
    }
}

fn tree(raw: &str, depth: usize) -> Tree<'_> {
    let null = || Kind::Scalar(serde_json::Value::Null);
    let kind = match raw.as_bytes().first() {
        _ if depth >= DEPTH => null(),
        Some(b'{') => match serde_json::from_str::<Members<'_>>(raw) {
            Ok(Members(members)) => {
                let members = members.into_iter();
                Kind::Object(
                    members
                        .map(|(key, raw)| (key, tree(raw.get(), depth + 1)))
                        .collect(),
                )
            }
            Err(_) => null(),
        },
        Some(b'[') => match serde_json::from_str::<Vec<&RawValue>>(raw) {
            Ok(items) => Kind::Array(
                items
                    .into_iter()
                    .map(|raw| tree(raw.get(), depth + 1))
                    .collect(),
            ),
            Err(_) => null(),
        },
        _ => serde_json::from_str(raw).map_or_else(|_| null(), Kind::Scalar),
    };
    Tree { raw, kind }
}

impl<'de> Deserialize<'de> for Members<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct MembersVisitor;

        impl<'de> Visitor<'de> for MembersVisitor {
            type Value = Members<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Members<'de>, A::Error> {
                let mut members = Vec::new();
                while let Some(member) = map.next_entry()? {
                    members.push(member);
                }
                Ok(Members(members))
            }
        }

        deserializer.deserialize_map(MembersVisitor)
    }
}
