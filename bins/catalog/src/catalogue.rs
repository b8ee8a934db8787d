//! The catalogue as the platform stores it.

use std::collections::{BTreeMap, BTreeSet};

use catalog::{CheckResult, Entry, Finding, Revision, StoredEntry};
use platform::{Listing, Object};

use crate::entry_status::Revisions;
use crate::files::{self, Files};
use crate::{KIND, put, render};

/// Maximum number of characters of a malformed object that a finding shows.
const MAX_SHOWN_CHARS: usize = 60;

/// Stored entries, and objects of the kind [`KIND`] that can't be read as entries.
#[derive(Debug, Default)]
pub struct Catalogue {
    /// Current version of each entry, by kind and name.
    pub entries: BTreeMap<String, (Revision, StoredEntry)>,
    /// Finding for each malformed object, by object name.
    pub malformed: BTreeMap<String, Finding>,
}

impl Catalogue {
    /// Parses the objects of a listing.
    pub fn new(listing: &Listing) -> Self {
        let mut catalogue = Self::default();
        for object in &listing.objects {
            let name = object.name.clone();
            match parse(object) {
                Ok(stored) => {
                    let version = (object.revision.ordinal(), stored);
                    catalogue.entries.insert(name, version);
                }
                Err(reason) => {
                    catalogue
                        .malformed
                        .insert(name, malformed_finding(object, &reason));
                }
            }
        }
        catalogue
    }

    /// Returns the revisions of the well-formed entries.
    pub fn revisions(&self) -> Revisions {
        let entries = self.entries.iter();
        entries
            .map(|(key, (revision, _))| (key.clone(), *revision))
            .collect()
    }

    /// Checks files together with the stored entries, so that errors which they cause in stored entries are found too.
    ///
    /// Findings that the stored entries have without the files are omitted, and so are malformed objects that the files
    /// neither replace nor refer to.
    pub fn check(&self, files: &Files) -> CheckResult {
        let own = files::check_all(files, &BTreeMap::new());
        let keys: BTreeSet<String> = own.entries.iter().map(|(_, entry)| entry.key()).collect();
        let stored: Files = self.entries.iter().map(stored_file).collect();
        let unchanged = self.entries.iter().filter(|(key, _)| !keys.contains(*key));
        let unchanged = unchanged.map(stored_file);
        let all = files.iter().cloned().chain(unchanged).collect();
        let mut result = files::check_all(&all, &BTreeMap::new());
        let location = |finding: &Finding| (finding.file.clone(), finding.pointer.clone());
        let before: BTreeSet<_> = files::check_all(&stored, &BTreeMap::new())
            .findings
            .iter()
            .map(location)
            .collect();
        result.findings.retain(|finding| {
            let is_file = files.iter().any(|(file, _)| *file == finding.file);
            is_file || !before.contains(&location(finding))
        });
        let used = own.entries.iter().flat_map(|(_, entry)| used_keys(entry));
        let used: BTreeSet<String> = used.collect();
        let malformed = self.malformed.iter();
        let malformed = malformed.filter(|(key, _)| used.contains(*key));
        result
            .findings
            .extend(malformed.map(|(_, finding)| finding.clone()));
        result
    }
}

/// Returns a stored entry as a file named after the object and its revision.
fn stored_file((key, (revision, stored)): (&String, &(Revision, StoredEntry))) -> (String, String) {
    (format!("{key}@{revision}"), render::entry(&stored.entry))
}

/// Returns the keys of the entry and of the entries that it refers to.
fn used_keys(entry: &Entry) -> Vec<String> {
    let class = |class: &str| format!("class/{class}");
    match entry {
        Entry::Class(_) => vec![entry.key()],
        Entry::Service(service) => vec![entry.key(), class(&service.class)],
        Entry::Workspace(workspace) => {
            let services = workspace.services.iter();
            let services = services.map(|name| format!("service/{name}"));
            let own = [entry.key(), class(&workspace.class)];
            own.into_iter().chain(services).collect()
        }
    }
}

/// Parses an entry, whose key must be the name of the object.
fn parse(object: &Object) -> Result<StoredEntry, String> {
    let stored = put::parse(object).map_err(|error| match error {
        put::Error::Malformed { reason, .. } => reason,
        error => error.to_string(),
    })?;
    let key = stored.entry.key();
    if key == object.name {
        Ok(stored)
    } else {
        Err(format!("the entry is {key}"))
    }
}

fn malformed_finding(object: &Object, reason: &str) -> Finding {
    let (name, revision) = (&object.name, object.revision.ordinal());
    let text = object.value.get();
    let mut read: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    if read.len() < text.len() {
        read.push('…');
    }
    Finding {
        file: format!("{KIND}/{name}@{revision}"),
        line: 1,
        column: 1,
        pointer: String::new(),
        read,
        allowed: format!(
            "a stored entry ({reason}); if a newer carobport-catalog wrote it, use that version; else replace the \
             object through the platform's API, on the condition that its revision is {revision}, and put again"
        ),
    }
}
