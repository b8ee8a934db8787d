//! Field-by-field comparison of two versions of an entry.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::Entry;

/// A field that differs between two versions of an entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct FieldChange {
    /// JSON pointer of the field.
    pub pointer: String,
    /// Value in the old version; `None` if the field is missing there.
    pub old: Option<Value>,
    /// Value in the new version; `None` if the field is missing there.
    pub new: Option<Value>,
}

/// Returns the fields in which `new` differs from `old`, sorted by name.
///
/// Without an old version, every field is new. The field `replaced` of a model is ignored: it is derived from the
/// earlier versions, and entry files don't contain it.
///
/// ```
/// let entry = |concurrent: u32| -> catalog::Entry {
///     serde_json::from_value(serde_json::json!({
///         "kind": "workspace", "name": "captains", "owner": "league", "class": "standard",
///         "limits": {"concurrent": concurrent}, "services": ["club-registry"]
///     }))
///     .unwrap()
/// };
/// let changes = catalog::diff(Some(&entry(4)), &entry(6));
/// assert_eq!(changes[0].to_string(), "/limits/concurrent: 4 -> 6");
/// ```
pub fn diff(old: Option<&Entry>, new: &Entry) -> Vec<FieldChange> {
    let json = |entry: &Entry| serde_json::to_value(entry.without_replaced()).ok();
    let mut changes = Vec::new();
    collect_changes(
        String::new(),
        old.and_then(json).as_ref(),
        json(new).as_ref(),
        &mut changes,
    );
    changes
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text =
            |value: &Option<Value>| value.as_ref().map_or("nothing".into(), Value::to_string);
        write!(
            f,
            "{}: {} -> {}",
            self.pointer,
            text(&self.old),
            text(&self.new)
        )
    }
}

fn collect_changes(
    pointer: String,
    old: Option<&Value>,
    new: Option<&Value>,
    changes: &mut Vec<FieldChange>,
) {
    if old == new {
        return;
    }
    let fields = |value: Option<&Value>| match value {
        Some(Value::Object(fields)) => Some(fields.keys().cloned().collect::<Vec<_>>()),
        None => Some(Vec::new()),
        Some(_) => None,
    };
    let (Some(mut names), Some(more)) = (fields(old), fields(new)) else {
        let (old, new) = (old.cloned(), new.cloned());
        changes.push(FieldChange { pointer, old, new });
        return;
    };
    names.extend(more);
    names.sort();
    names.dedup();
    for name in names {
        let field = |value: Option<&Value>| value.and_then(|value| value.get(&name)).cloned();
        collect_changes(
            format!("{pointer}/{name}"),
            field(old).as_ref(),
            field(new).as_ref(),
            changes,
        );
    }
}
