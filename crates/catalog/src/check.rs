//! Checks of a set of entries.

use std::collections::BTreeMap;

use crate::entry::{Entry, Service};
use crate::schema::{Checker, services};
use crate::source::{Source, Tree};
use crate::{Finding, Name};

/// Result of [`check`].
#[derive(Clone, Debug, Default)]
pub struct Check {
    /// Entries of the files that could be read, with their files.
    pub entries: Vec<(String, Entry)>,
    /// Everything that is wrong, in the order of files and places; empty if the set is good.
    pub findings: Vec<Finding>,
}

struct File<'a, 'b> {
    source: &'b Source<'a>,
    tree: Tree<'a>,
    entry: Entry,
}

/// Checks files that together are the catalogue, one entry each.
///
/// All findings are reported at once. `targets` is the number of targets of the services for which it is known; their
/// limits are compared with what these targets can run.
///
/// ```
/// use std::collections::BTreeMap;
/// use catalog::{Source, check};
///
/// let text = r#"{"kind":"workspace","name":"captains","owner":"league","class":"standrad",
///     "limits":{"concurrent":0},"services":["club-registry"]}"#;
/// let result = check(&[Source { file: "captains.json", text }], &BTreeMap::new());
/// let lines: Vec<String> = result.findings.iter().map(|finding| finding.to_string()).collect();
/// assert_eq!(lines[0], "captains.json:2:28: /limits/concurrent: read 0, allowed: a whole number from 1 to 4294967295");
/// ```
pub fn check(sources: &[Source<'_>], targets: &BTreeMap<Name, u32>) -> Check {
    let mut findings = Vec::new();
    let mut files = Vec::new();
    // Keys of files with faults of their own: references to them are no faults.
    let mut faulty = Vec::new();
    for source in sources {
        match read(source, &mut faulty) {
            Ok(file) => files.push(file),
            Err(found) => findings.extend(found),
        }
    }
    for (index, file) in files.iter().enumerate() {
        findings.extend(same_key(file, &files[..index]));
        if !file.entry.is_retired() {
            findings.extend(references(file, &files, &faulty));
            findings.extend(capacity(file, &files, targets));
        }
    }
    let place = |finding: &Finding| {
        sources
            .iter()
            .position(|source| source.file == finding.file)
    };
    findings.sort_by_key(|finding| (place(finding), finding.line, finding.column));
    let entries = files
        .into_iter()
        .map(|file| (file.source.file.to_owned(), file.entry))
        .collect();
    Check { entries, findings }
}

fn read<'a, 'b>(
    source: &'b Source<'a>,
    faulty: &mut Vec<String>,
) -> Result<File<'a, 'b>, Vec<Finding>> {
    let tree = source.tree().map_err(|finding| vec![finding])?;
    let mut checker = Checker {
        source,
        findings: Vec::new(),
    };
    checker.entry(&tree);
    if !checker.findings.is_empty() {
        let text = |name| tree.field(name).and_then(Tree::text).unwrap_or_default();
        faulty.push(format!("{}/{}", text("kind"), text("name")));
        return Err(checker.findings);
    }
    match serde_json::from_str(source.text) {
        Ok(entry) => Ok(File {
            source,
            tree,
            entry,
        }),
        Err(error) => Err(vec![source.finding(
            &tree,
            "",
            &format!("an entry ({error})"),
        )]),
    }
}

fn same_key(file: &File<'_, '_>, earlier: &[File<'_, '_>]) -> Option<Finding> {
    let first = earlier
        .iter()
        .find(|other| other.entry.key() == file.entry.key())?;
    let name = file.tree.field("name")?;
    let allowed = format!(
        "one entry for {}, which {} has",
        file.entry.key(),
        first.source.file
    );
    Some(file.source.finding(name, "/name", &allowed))
}

fn references(file: &File<'_, '_>, files: &[File<'_, '_>], faulty: &[String]) -> Vec<Finding> {
    let declared = |kind: &str| -> Vec<Name> {
        let live = files.iter().filter(|file| !file.entry.is_retired());
        let keys = live
            .map(|file| file.entry.key())
            .chain(faulty.iter().cloned());
        let mut names: Vec<Name> = keys
            .filter_map(|key| Some(key.strip_prefix(kind)?.to_owned()))
            .collect();
        names.sort();
        names.dedup();
        names
    };
    let mut findings = Vec::new();
    let classes = declared("class/");
    if let Some(tree) = file.tree.field("class")
        && !classes
            .iter()
            .any(|class| Some(class.as_str()) == tree.text())
    {
        let allowed = format!(
            "a class that is declared and not retired: {}",
            list(&classes)
        );
        findings.push(file.source.finding(tree, "/class", &allowed));
    }
    let known = declared("service/");
    for (index, name, tree) in services(&file.tree) {
        if !known.contains(&name) {
            let allowed = format!(
                "a service that is declared and not retired: {}",
                list(&known)
            );
            findings.push(
                file.source
                    .finding(tree, &format!("/services/{index}"), &allowed),
            );
        }
    }
    findings
}

fn capacity(
    file: &File<'_, '_>,
    files: &[File<'_, '_>],
    targets: &BTreeMap<Name, u32>,
) -> Vec<Finding> {
    let limit = |name: &str, allowed: String| {
        let tree = file.tree.field("limits")?.field(name)?;
        Some(
            file.source
                .finding(tree, &format!("/limits/{name}"), &allowed),
        )
    };
    let finding = match &file.entry {
        Entry::Class(_) => None,
        Entry::Service(service) => {
            let (concurrent, per_target) = (service.limits.concurrent, service.limits.per_target);
            match (concurrent, per_target, targets.get(&service.name)) {
                (Some(concurrent), Some(per_target), _) if per_target > concurrent => limit(
                    "per_target",
                    format!("at most the service's limit `concurrent`, {concurrent}"),
                ),
                (Some(concurrent), Some(per_target), Some(count))
                    if u64::from(concurrent) > u64::from(per_target) * u64::from(*count) =>
                {
                    let most = u64::from(per_target) * u64::from(*count);
                    limit(
                        "concurrent",
                        format!("at most {most}: {count} targets of {per_target} requests"),
                    )
                }
                _ => None,
            }
        }
        Entry::Workspace(workspace) => {
            let limits = workspace.services.iter().map(|name| {
                let service = |file: &File<'_, '_>| {
                    as_service(&file.entry, name).and_then(|s| s.limits.concurrent)
                };
                files.iter().find_map(service).map(u64::from)
            });
            match (workspace.limits.concurrent, limits.sum::<Option<u64>>()) {
                (Some(concurrent), Some(most)) if u64::from(concurrent) > most && most > 0 => {
                    limit(
                        "concurrent",
                        format!("at most {most}, the sum of its services' limits"),
                    )
                }
                _ => None,
            }
        }
    };
    finding.into_iter().collect()
}

fn as_service<'e>(entry: &'e Entry, name: &str) -> Option<&'e Service> {
    match entry {
        Entry::Service(service) if service.name == name => Some(service),
        _ => None,
    }
}

fn list(names: &[Name]) -> String {
    if names.is_empty() {
        return "none is".into();
    }
    let quoted: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
    quoted.join(", ")
}
