//! Validation of a set of entries, including references and limits across files.

use std::collections::BTreeMap;

use crate::entry::{Entry, Service};
use crate::schema::{SchemaChecker, service_names};
use crate::source::{JsonValue, SourceFile};
use crate::{Finding, Name};

/// Result of [`check`].
#[derive(Clone, Debug, Default)]
pub struct CheckResult {
    /// File name and entry of each file without findings of its own.
    pub entries: Vec<(String, Entry)>,
    /// All errors, ordered by file and position; empty if the set is valid.
    pub findings: Vec<Finding>,
}

struct ParsedFile<'a, 'b> {
    source: &'b SourceFile<'a>,
    value: JsonValue<'a>,
    entry: Entry,
}

/// Checks the files of a complete catalogue, one entry per file.
///
/// All findings are reported at once. `targets` gives the number of targets for each service where it is known; the
/// limits of these services are compared with the capacity of their targets.
///
/// ```
/// use std::collections::BTreeMap;
/// use catalog::{SourceFile, check};
///
/// let text = r#"{"kind":"workspace","name":"captains","owner":"league","class":"standrad",
///     "limits":{"concurrent":0},"services":["club-registry"]}"#;
/// let result = check(&[SourceFile { file: "captains.json", text }], &BTreeMap::new());
/// let lines: Vec<String> = result.findings.iter().map(|finding| finding.to_string()).collect();
/// assert_eq!(
///     lines[0],
///     "captains.json:2:28: /limits/concurrent: read 0, allowed: a whole number from 1 to 4294967295"
/// );
/// ```
pub fn check(sources: &[SourceFile<'_>], targets: &BTreeMap<Name, u32>) -> CheckResult {
    let mut findings = Vec::new();
    let mut files = Vec::new();
    // Keys of files with findings of their own; references to them aren't reported as unknown.
    let mut invalid_keys = Vec::new();
    for source in sources {
        match parse_file(source, &mut invalid_keys) {
            Ok(file) => files.push(file),
            Err(found) => findings.extend(found),
        }
    }
    for (index, file) in files.iter().enumerate() {
        findings.extend(duplicate_key(file, &files[..index]));
        if !file.entry.is_retired() {
            findings.extend(check_references(file, &files, &invalid_keys));
            findings.extend(check_capacity(file, &files, targets));
        }
    }
    let file_index = |finding: &Finding| {
        sources
            .iter()
            .position(|source| source.file == finding.file)
    };
    findings.sort_by_key(|finding| (file_index(finding), finding.line, finding.column));
    let entries = files
        .into_iter()
        .map(|file| (file.source.file.to_owned(), file.entry))
        .collect();
    CheckResult { entries, findings }
}

fn parse_file<'a, 'b>(
    source: &'b SourceFile<'a>,
    invalid_keys: &mut Vec<String>,
) -> Result<ParsedFile<'a, 'b>, Vec<Finding>> {
    let value = source.parse().map_err(|finding| vec![finding])?;
    let mut checker = SchemaChecker {
        source,
        findings: Vec::new(),
    };
    checker.check_entry(&value);
    if !checker.findings.is_empty() {
        let text = |name| {
            value
                .field(name)
                .and_then(JsonValue::as_str)
                .unwrap_or_default()
        };
        invalid_keys.push(format!("{}/{}", text("kind"), text("name")));
        return Err(checker.findings);
    }
    match serde_json::from_str(source.text) {
        Ok(entry) => Ok(ParsedFile {
            source,
            value,
            entry,
        }),
        Err(error) => Err(vec![source.finding(
            &value,
            "",
            &format!("an entry ({error})"),
        )]),
    }
}

fn duplicate_key(file: &ParsedFile<'_, '_>, earlier: &[ParsedFile<'_, '_>]) -> Option<Finding> {
    let first = earlier
        .iter()
        .find(|other| other.entry.key() == file.entry.key())?;
    let name = file.value.field("name")?;
    let allowed = format!(
        "one entry for {}, which {} has",
        file.entry.key(),
        first.source.file
    );
    Some(file.source.finding(name, "/name", &allowed))
}

fn check_references(
    file: &ParsedFile<'_, '_>,
    files: &[ParsedFile<'_, '_>],
    invalid_keys: &[String],
) -> Vec<Finding> {
    let declared = |kind: &str| -> Vec<Name> {
        let live = files.iter().filter(|file| !file.entry.is_retired());
        let keys = live
            .map(|file| file.entry.key())
            .chain(invalid_keys.iter().cloned());
        let mut names: Vec<Name> = keys
            .filter_map(|key| Some(key.strip_prefix(kind)?.to_owned()))
            .collect();
        names.sort();
        names.dedup();
        names
    };
    let mut findings = Vec::new();
    let classes = declared("class/");
    if let Some(value) = file.value.field("class")
        && !classes
            .iter()
            .any(|class| Some(class.as_str()) == value.as_str())
    {
        let allowed = format!(
            "a class that is declared and not retired: {}",
            quoted_list(&classes)
        );
        findings.push(file.source.finding(value, "/class", &allowed));
    }
    let declared_services = declared("service/");
    for (index, name, value) in service_names(&file.value) {
        if !declared_services.contains(&name) {
            let allowed = format!(
                "a service that is declared and not retired: {}",
                quoted_list(&declared_services)
            );
            findings.push(
                file.source
                    .finding(value, &format!("/services/{index}"), &allowed),
            );
        }
    }
    findings
}

fn check_capacity(
    file: &ParsedFile<'_, '_>,
    files: &[ParsedFile<'_, '_>],
    targets: &BTreeMap<Name, u32>,
) -> Vec<Finding> {
    let limit_finding = |name: &str, allowed: String| {
        let value = file.value.field("limits")?.field(name)?;
        Some(
            file.source
                .finding(value, &format!("/limits/{name}"), &allowed),
        )
    };
    let finding = match &file.entry {
        Entry::Class(_) => None,
        Entry::Service(service) => {
            let (concurrent, per_target) = (service.limits.concurrent, service.limits.per_target);
            match (concurrent, per_target, targets.get(&service.name)) {
                (Some(concurrent), Some(per_target), _) if per_target > concurrent => {
                    limit_finding(
                        "per_target",
                        format!("at most the service's limit `concurrent`, {concurrent}"),
                    )
                }
                (Some(concurrent), Some(per_target), Some(count))
                    if u64::from(concurrent) > u64::from(per_target) * u64::from(*count) =>
                {
                    let max = u64::from(per_target) * u64::from(*count);
                    limit_finding(
                        "concurrent",
                        format!("at most {max}: {count} targets of {per_target} requests"),
                    )
                }
                _ => None,
            }
        }
        Entry::Workspace(workspace) => {
            let limits = workspace.services.iter().map(|name| {
                let service = |file: &ParsedFile<'_, '_>| {
                    service_named(&file.entry, name).and_then(|s| s.limits.concurrent)
                };
                files.iter().find_map(service).map(u64::from)
            });
            match (workspace.limits.concurrent, limits.sum::<Option<u64>>()) {
                (Some(concurrent), Some(max)) if u64::from(concurrent) > max && max > 0 => {
                    limit_finding(
                        "concurrent",
                        format!("at most {max}, the sum of its services' limits"),
                    )
                }
                _ => None,
            }
        }
    };
    finding.into_iter().collect()
}

fn service_named<'e>(entry: &'e Entry, name: &str) -> Option<&'e Service> {
    match entry {
        Entry::Service(service) if service.name == name => Some(service),
        _ => None,
    }
}

fn quoted_list(names: &[Name]) -> String {
    if names.is_empty() {
        return "none".into();
    }
    let quoted: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
    quoted.join(", ")
}
