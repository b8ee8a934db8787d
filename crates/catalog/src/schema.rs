//! Fields of each kind of entry and the values that they allow.

use crate::source::{Kind, Source, Tree};
use crate::{Finding, Name};

const COMMON: [&str; 6] = ["kind", "name", "owner", "class", "limits", "retired"];
const CLASS: [&str; 3] = ["rank", "weight", "objective"];
const SERVICE: [&str; 4] = ["backend", "repeatable", "deadline_ms", "model"];
const WORKSPACE: [&str; 1] = ["services"];

const NAME: &str = "1 to 64 lower-case letters, digits and hyphens, first a letter";
const REPLACED: &str = "no field `replaced` in a file: `put` fills it from the stored entry";
const SHARE: &str = "a number from 0 to 1";

/// Longest deadline; the system holds a request's state for as long.
const DEADLINE_MS_MAX: u64 = 600_000;

/// Findings of one file.
pub(crate) struct Checker<'a, 'b> {
    pub(crate) source: &'b Source<'a>,
    pub(crate) findings: Vec<Finding>,
}

/// Whether a field must be there.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Need {
    Must,
    May,
}

impl<'a> Checker<'a, '_> {
    /// Checks everything that a file shows by itself.
    pub(crate) fn entry(&mut self, entry: &Tree<'a>) {
        let kind = entry.field("kind").and_then(Tree::text).unwrap_or_default();
        let own: &[&str] = match kind {
            "class" => &CLASS,
            "service" => &SERVICE,
            "workspace" => &WORKSPACE,
            _ => {
                self.field(
                    entry,
                    "",
                    "kind",
                    Need::Must,
                    r#""class", "service" or "workspace""#,
                    |_| false,
                );
                return;
            }
        };
        self.fields(entry, "", &[&COMMON, own].concat());
        self.field(entry, "", "name", Need::Must, NAME, is_name);
        self.field(
            entry,
            "",
            "owner",
            Need::Must,
            "the name of who answers for the entry",
            |tree| tree.text().is_some_and(|text| !text.trim().is_empty()),
        );
        self.field(entry, "", "class", Need::Must, NAME, is_name);
        self.field(entry, "", "retired", Need::May, "true or false", |tree| {
            tree.truth().is_some()
        });
        self.limits(entry, kind == "service");
        match kind {
            "class" => self.class(entry),
            "service" => self.service(entry),
            _ => self.workspace(entry),
        }
    }

    fn class(&mut self, entry: &Tree<'a>) {
        let name = entry.field("name").and_then(Tree::text).unwrap_or_default();
        self.field(
            entry,
            "",
            "class",
            Need::May,
            "the class's own name",
            |tree| tree.text() == Some(name),
        );
        self.integer(entry, "", "rank", Need::Must, 0, 255);
        self.integer(entry, "", "weight", Need::May, 1, 1000);
        let allowed = "an object with `answered`, `within_ms` and `within`";
        if self.field(entry, "", "objective", Need::Must, allowed, is_object) {
            let Some(objective) = entry.field("objective") else {
                return;
            };
            self.fields(
                objective,
                "/objective",
                &["answered", "within_ms", "within"],
            );
            self.field(
                objective,
                "/objective",
                "answered",
                Need::Must,
                SHARE,
                is_share,
            );
            self.field(
                objective,
                "/objective",
                "within",
                Need::Must,
                SHARE,
                is_share,
            );
            self.integer(
                objective,
                "/objective",
                "within_ms",
                Need::Must,
                1,
                DEADLINE_MS_MAX,
            );
        }
    }

    fn service(&mut self, entry: &Tree<'a>) {
        self.field(
            entry,
            "",
            "repeatable",
            Need::Must,
            "true or false",
            |tree| tree.truth().is_some(),
        );
        self.integer(entry, "", "deadline_ms", Need::Must, 1, DEADLINE_MS_MAX);
        let backends = r#""model" or "plain""#;
        if !self.field(entry, "", "backend", Need::Must, backends, |tree| {
            is_one_of(tree, &["model", "plain"])
        }) {
            return;
        }
        if entry.field("backend").and_then(Tree::text) == Some("plain") {
            self.field(
                entry,
                "",
                "model",
                Need::May,
                r#"no model with backend "plain""#,
                |_| false,
            );
            return;
        }
        let allowed =
            r#"an object with `name`, `version`, `digest` and `plan` for backend "model""#;
        if !self.field(entry, "", "model", Need::Must, allowed, is_object) {
            return;
        }
        let Some(model) = entry.field("model") else {
            return;
        };
        self.fields(model, "/model", &["name", "version", "digest", "plan"]);
        for name in ["name", "version"] {
            self.field(
                model,
                "/model",
                name,
                Need::Must,
                "a text without `@`, `#`, `/` and spaces",
                is_label,
            );
        }
        self.field(
            model,
            "/model",
            "digest",
            Need::Must,
            "64 lower-case hexadecimal digits",
            is_digest,
        );
        let plans = r#""origin_bytes", "time_to_replicas" or "direct""#;
        self.field(model, "/model", "plan", Need::Must, plans, |tree| {
            is_one_of(tree, &["origin_bytes", "time_to_replicas", "direct"])
        });
    }

    fn workspace(&mut self, entry: &Tree<'a>) {
        let allowed = "a list of at least one service";
        let filled =
            |tree: &Tree<'_>| matches!(&tree.kind, Kind::Array(items) if !items.is_empty());
        if !self.field(entry, "", "services", Need::Must, allowed, filled) {
            return;
        }
        let Some(Kind::Array(items)) = entry.field("services").map(|tree| &tree.kind) else {
            return;
        };
        for (index, item) in items.iter().enumerate() {
            let pointer = format!("/services/{index}");
            if !is_name(item) {
                self.findings
                    .push(self.source.finding(item, &pointer, NAME));
            } else if items[..index]
                .iter()
                .any(|other| other.text() == item.text())
            {
                self.findings
                    .push(self.source.finding(item, &pointer, "each service once"));
            }
        }
    }

    fn limits(&mut self, entry: &Tree<'a>, service: bool) {
        if !self.field(
            entry,
            "",
            "limits",
            Need::Must,
            "an object, empty if nothing is limited",
            is_object,
        ) {
            return;
        }
        let Some(limits) = entry.field("limits") else {
            return;
        };
        let all = ["concurrent", "rate_per_s", "per_target", "queue"];
        self.fields(limits, "/limits", if service { &all } else { &all[..2] });
        let most = u64::from(u32::MAX);
        self.integer(limits, "/limits", "concurrent", Need::May, 1, most);
        self.field(
            limits,
            "/limits",
            "rate_per_s",
            Need::May,
            "a number above 0",
            |tree| tree.number().is_some_and(|number| number > 0.0),
        );
        if service {
            self.integer(limits, "/limits", "per_target", Need::May, 1, most);
            self.integer(limits, "/limits", "queue", Need::May, 0, most);
        }
    }

    fn integer(
        &mut self,
        object: &Tree<'a>,
        at: &str,
        name: &str,
        need: Need,
        least: u64,
        most: u64,
    ) {
        let allowed = format!("a whole number from {least} to {most}");
        self.field(object, at, name, need, &allowed, |tree| {
            tree.integer()
                .is_some_and(|number| (least..=most).contains(&number))
        });
    }

    /// Checks one field and returns whether it is there and allowed.
    fn field(
        &mut self,
        object: &Tree<'a>,
        at: &str,
        name: &str,
        need: Need,
        allowed: &str,
        is_allowed: impl Fn(&Tree<'a>) -> bool,
    ) -> bool {
        let pointer = format!("{at}/{name}");
        match object.field(name) {
            Some(tree) if is_allowed(tree) => return true,
            Some(tree) => self
                .findings
                .push(self.source.finding(tree, &pointer, allowed)),
            None if need == Need::Must => self
                .findings
                .push(self.source.absent(object, &pointer, allowed)),
            None => {}
        }
        false
    }

    /// Reports unknown fields and fields that stand twice.
    fn fields(&mut self, object: &Tree<'a>, at: &str, names: &[&str]) {
        let Kind::Object(members) = &object.kind else {
            return;
        };
        for (index, (name, tree)) in members.iter().enumerate() {
            // RFC 6901 escapes of a JSON pointer.
            let pointer = format!("{at}/{}", name.replace('~', "~0").replace('/', "~1"));
            if (at, name.as_str()) == ("/model", "replaced") {
                self.findings
                    .push(self.source.finding(tree, &pointer, REPLACED));
            } else if !names.contains(&name.as_str()) {
                let allowed = format!("the fields {}", names.join(", "));
                self.findings
                    .push(self.source.finding(tree, &pointer, &allowed));
            } else if members[..index].iter().any(|(other, _)| other == name) {
                self.findings
                    .push(self.source.finding(tree, &pointer, "each field once"));
            }
        }
    }
}

/// Returns the names of `services` with their places.
pub(crate) fn services<'t, 'a>(entry: &'t Tree<'a>) -> Vec<(usize, Name, &'t Tree<'a>)> {
    let Some(Kind::Array(items)) = entry.field("services").map(|tree| &tree.kind) else {
        return Vec::new();
    };
    let named = items.iter().enumerate();
    named
        .filter_map(|(index, item)| Some((index, item.text()?.to_owned(), item)))
        .collect()
}

fn is_object(tree: &Tree<'_>) -> bool {
    matches!(tree.kind, Kind::Object(_))
}

fn is_share(tree: &Tree<'_>) -> bool {
    tree.number()
        .is_some_and(|number| (0.0..=1.0).contains(&number))
}

fn is_one_of(tree: &Tree<'_>, values: &[&str]) -> bool {
    tree.text().is_some_and(|text| values.contains(&text))
}

fn is_name(tree: &Tree<'_>) -> bool {
    tree.text().is_some_and(|text| {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        text.len() <= 64
            && text.starts_with(|c: char| c.is_ascii_lowercase())
            && text.chars().all(allowed)
    })
}

fn is_label(tree: &Tree<'_>) -> bool {
    // The text form of a pin is `model@version#digest`, and both parts stand in paths of the store.
    tree.text().is_some_and(|text| {
        !text.is_empty()
            && !text.contains(['@', '#', '/', '?', '%'])
            && !text.contains(char::is_whitespace)
    })
}

fn is_digest(tree: &Tree<'_>) -> bool {
    tree.text().is_some_and(|text| {
        text.len() == 64
            && text
                .bytes()
                .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
    })
}
