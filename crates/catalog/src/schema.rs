//! Schema of each kind of entry: its fields and their allowed values.

use crate::source::{JsonKind, JsonValue, SourceFile};
use crate::{Finding, Name};

const COMMON_FIELDS: [&str; 6] = ["kind", "name", "owner", "class", "limits", "retired"];
const CLASS_FIELDS: [&str; 3] = ["rank", "weight", "objective"];
const SERVICE_FIELDS: [&str; 4] = ["backend", "repeatable", "deadline_ms", "model"];
const WORKSPACE_FIELDS: [&str; 1] = ["services"];

const NAME_RULE: &str = "1 to 64 lower-case letters, digits and hyphens, first a letter";
const REPLACED_RULE: &str = "no field `replaced` in a file: `put` fills it from the stored entry";
const FRACTION_RULE: &str = "a number from 0 to 1";

/// Maximum deadline; the system keeps the state of a request for this long.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Checks one file against the schema and collects the findings.
pub(crate) struct SchemaChecker<'a, 'b> {
    pub(crate) source: &'b SourceFile<'a>,
    pub(crate) findings: Vec<Finding>,
}

/// Whether a field is required.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Presence {
    Required,
    Optional,
}

impl<'a> SchemaChecker<'a, '_> {
    /// Checks everything that doesn't depend on other files.
    pub(crate) fn check_entry(&mut self, entry: &JsonValue<'a>) {
        let kind = entry
            .field("kind")
            .and_then(JsonValue::as_str)
            .unwrap_or_default();
        let kind_fields: &[&str] = match kind {
            "class" => &CLASS_FIELDS,
            "service" => &SERVICE_FIELDS,
            "workspace" => &WORKSPACE_FIELDS,
            _ => {
                self.check_field(
                    entry,
                    "",
                    "kind",
                    Presence::Required,
                    r#""class", "service" or "workspace""#,
                    |_| false,
                );
                return;
            }
        };
        self.check_field_names(entry, "", &[&COMMON_FIELDS, kind_fields].concat());
        self.check_field(entry, "", "name", Presence::Required, NAME_RULE, is_name);
        self.check_field(
            entry,
            "",
            "owner",
            Presence::Required,
            "the name of the person or team responsible for the entry",
            |value| value.as_str().is_some_and(|text| !text.trim().is_empty()),
        );
        self.check_field(entry, "", "class", Presence::Required, NAME_RULE, is_name);
        self.check_field(
            entry,
            "",
            "retired",
            Presence::Optional,
            "true or false",
            |value| value.as_bool().is_some(),
        );
        self.check_limits(entry, kind == "service");
        match kind {
            "class" => self.check_class(entry),
            "service" => self.check_service(entry),
            _ => self.check_workspace(entry),
        }
    }

    fn check_class(&mut self, entry: &JsonValue<'a>) {
        let name = entry
            .field("name")
            .and_then(JsonValue::as_str)
            .unwrap_or_default();
        self.check_field(
            entry,
            "",
            "class",
            Presence::Optional,
            "the class's own name",
            |value| value.as_str() == Some(name),
        );
        self.check_integer(entry, "", "rank", Presence::Required, 0, 255);
        self.check_integer(entry, "", "weight", Presence::Optional, 1, 1000);
        let allowed = "an object with `answered`, `within_ms` and `within`";
        if self.check_field(
            entry,
            "",
            "objective",
            Presence::Required,
            allowed,
            is_object,
        ) {
            let Some(objective) = entry.field("objective") else {
                return;
            };
            self.check_field_names(
                objective,
                "/objective",
                &["answered", "within_ms", "within"],
            );
            self.check_field(
                objective,
                "/objective",
                "answered",
                Presence::Required,
                FRACTION_RULE,
                is_fraction,
            );
            self.check_field(
                objective,
                "/objective",
                "within",
                Presence::Required,
                FRACTION_RULE,
                is_fraction,
            );
            self.check_integer(
                objective,
                "/objective",
                "within_ms",
                Presence::Required,
                1,
                MAX_DEADLINE_MS,
            );
        }
    }

    fn check_service(&mut self, entry: &JsonValue<'a>) {
        self.check_field(
            entry,
            "",
            "repeatable",
            Presence::Required,
            "true or false",
            |value| value.as_bool().is_some(),
        );
        self.check_integer(
            entry,
            "",
            "deadline_ms",
            Presence::Required,
            1,
            MAX_DEADLINE_MS,
        );
        let backends = r#""model" or "plain""#;
        if !self.check_field(
            entry,
            "",
            "backend",
            Presence::Required,
            backends,
            |value| is_one_of(value, &["model", "plain"]),
        ) {
            return;
        }
        if entry.field("backend").and_then(JsonValue::as_str) == Some("plain") {
            self.check_field(
                entry,
                "",
                "model",
                Presence::Optional,
                r#"no model with backend "plain""#,
                |_| false,
            );
            return;
        }
        let allowed =
            r#"an object with `name`, `version`, `digest` and `plan` for backend "model""#;
        if !self.check_field(entry, "", "model", Presence::Required, allowed, is_object) {
            return;
        }
        let Some(model) = entry.field("model") else {
            return;
        };
        self.check_field_names(model, "/model", &["name", "version", "digest", "plan"]);
        for name in ["name", "version"] {
            self.check_field(
                model,
                "/model",
                name,
                Presence::Required,
                "a text without `@`, `#`, `/` and spaces",
                is_label,
            );
        }
        self.check_field(
            model,
            "/model",
            "digest",
            Presence::Required,
            "64 lower-case hexadecimal digits",
            is_digest,
        );
        let plans = r#""origin_bytes", "time_to_replicas" or "direct""#;
        self.check_field(
            model,
            "/model",
            "plan",
            Presence::Required,
            plans,
            |value| is_one_of(value, &["origin_bytes", "time_to_replicas", "direct"]),
        );
    }

    fn check_workspace(&mut self, entry: &JsonValue<'a>) {
        let allowed = "a list of at least one service";
        let non_empty = |value: &JsonValue<'_>| matches!(&value.kind, JsonKind::Array(items) if !items.is_empty());
        if !self.check_field(
            entry,
            "",
            "services",
            Presence::Required,
            allowed,
            non_empty,
        ) {
            return;
        }
        let Some(JsonKind::Array(items)) = entry.field("services").map(|value| &value.kind) else {
            return;
        };
        for (index, item) in items.iter().enumerate() {
            let pointer = format!("/services/{index}");
            if !is_name(item) {
                self.findings
                    .push(self.source.finding(item, &pointer, NAME_RULE));
            } else if items[..index]
                .iter()
                .any(|other| other.as_str() == item.as_str())
            {
                self.findings
                    .push(self.source.finding(item, &pointer, "each service once"));
            }
        }
    }

    fn check_limits(&mut self, entry: &JsonValue<'a>, service: bool) {
        if !self.check_field(
            entry,
            "",
            "limits",
            Presence::Required,
            "an object, empty if nothing is limited",
            is_object,
        ) {
            return;
        }
        let Some(limits) = entry.field("limits") else {
            return;
        };
        let all = ["concurrent", "rate_per_s", "per_target", "queue"];
        self.check_field_names(limits, "/limits", if service { &all } else { &all[..2] });
        let max = u64::from(u32::MAX);
        self.check_integer(limits, "/limits", "concurrent", Presence::Optional, 1, max);
        self.check_field(
            limits,
            "/limits",
            "rate_per_s",
            Presence::Optional,
            "a number above 0",
            |value| value.as_f64().is_some_and(|number| number > 0.0),
        );
        if service {
            self.check_integer(limits, "/limits", "per_target", Presence::Optional, 1, max);
            self.check_integer(limits, "/limits", "queue", Presence::Optional, 0, max);
        }
    }

    fn check_integer(
        &mut self,
        object: &JsonValue<'a>,
        parent: &str,
        name: &str,
        presence: Presence,
        min: u64,
        max: u64,
    ) {
        let allowed = format!("a whole number from {min} to {max}");
        self.check_field(object, parent, name, presence, &allowed, |value| {
            value
                .as_u64()
                .is_some_and(|number| (min..=max).contains(&number))
        });
    }

    /// Checks one field and returns whether it is present and allowed.
    fn check_field(
        &mut self,
        object: &JsonValue<'a>,
        parent: &str,
        name: &str,
        presence: Presence,
        allowed: &str,
        is_allowed: impl Fn(&JsonValue<'a>) -> bool,
    ) -> bool {
        let pointer = format!("{parent}/{name}");
        match object.field(name) {
            Some(value) if is_allowed(value) => return true,
            Some(value) => self
                .findings
                .push(self.source.finding(value, &pointer, allowed)),
            None if presence == Presence::Required => self
                .findings
                .push(self.source.missing_field(object, &pointer, allowed)),
            None => {}
        }
        false
    }

    /// Reports unknown and duplicate fields.
    fn check_field_names(&mut self, object: &JsonValue<'a>, parent: &str, names: &[&str]) {
        let JsonKind::Object(members) = &object.kind else {
            return;
        };
        for (index, (name, value)) in members.iter().enumerate() {
            // Escapes `~` and `/` in the JSON pointer (RFC 6901).
            let pointer = format!("{parent}/{}", name.replace('~', "~0").replace('/', "~1"));
            if (parent, name.as_str()) == ("/model", "replaced") {
                self.findings
                    .push(self.source.finding(value, &pointer, REPLACED_RULE));
            } else if !names.contains(&name.as_str()) {
                let allowed = format!("the fields {}", names.join(", "));
                self.findings
                    .push(self.source.finding(value, &pointer, &allowed));
            } else if members[..index].iter().any(|(other, _)| other == name) {
                self.findings
                    .push(self.source.finding(value, &pointer, "each field once"));
            }
        }
    }
}

/// Returns the names in the field `services`, each with its index and its value in the file.
pub(crate) fn service_names<'t, 'a>(
    entry: &'t JsonValue<'a>,
) -> Vec<(usize, Name, &'t JsonValue<'a>)> {
    let Some(JsonKind::Array(items)) = entry.field("services").map(|value| &value.kind) else {
        return Vec::new();
    };
    let named = items.iter().enumerate();
    named
        .filter_map(|(index, item)| Some((index, item.as_str()?.to_owned(), item)))
        .collect()
}

fn is_object(value: &JsonValue<'_>) -> bool {
    matches!(value.kind, JsonKind::Object(_))
}

fn is_fraction(value: &JsonValue<'_>) -> bool {
    value
        .as_f64()
        .is_some_and(|number| (0.0..=1.0).contains(&number))
}

fn is_one_of(value: &JsonValue<'_>, values: &[&str]) -> bool {
    value.as_str().is_some_and(|text| values.contains(&text))
}

fn is_name(value: &JsonValue<'_>) -> bool {
    value.as_str().is_some_and(|text| {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        text.len() <= 64
            && text.starts_with(|c: char| c.is_ascii_lowercase())
            && text.chars().all(allowed)
    })
}

fn is_label(value: &JsonValue<'_>) -> bool {
    // The text form of a pin is `model@version#digest`, and both name and version are part of paths in the store.
    value.as_str().is_some_and(|text| {
        !text.is_empty()
            && !text.contains(['@', '#', '/', '?', '%'])
            && !text.contains(char::is_whitespace)
    })
}

fn is_digest(value: &JsonValue<'_>) -> bool {
    value.as_str().is_some_and(|text| {
        text.len() == 64
            && text
                .bytes()
                .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
    })
}
