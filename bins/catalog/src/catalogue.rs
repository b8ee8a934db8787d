//! The catalogue as the platform holds it.

use std::collections::{BTreeMap, BTreeSet};

use catalog::{CheckResult, Entry, Finding, Revision, StoredEntry};
use platform::{Listing, Object};

use crate::files::{self, Files};
use crate::force::Revisions;
use crate::{KIND, put, show};

/// Most characters of a malformed object that a finding shows.
const SHOWN: usize = 60;

/// Stored entries, and objects of the kind that hold none.
#[derive(Debug, Default)]
pub struct Catalogue {
    /// Versions that the platform holds, by kind and name.
    pub entries: BTreeMap<String, (Revision, StoredEntry)>,
    /// What is wrong with the other objects, by their names.
    pub malformed: BTreeMap<String, Finding>,
}

impl Catalogue {
    /// Reads the platform's objects.
    pub fn new(listing: &Listing) -> Self {
        let mut catalogue = Self::default();
        for object in &listing.objects {
            let name = object.name.clone();
            match read(object) {
                Ok(stored) => {
                    let version = (object.revision, stored);
                    catalogue.entries.insert(name, version);
                }
                Err(reason) => {
                    catalogue.malformed.insert(name, finding(object, &reason));
                }
            }
        }
        catalogue
    }

    /// Returns the revisions of the entries that could be read.
    pub fn revisions(&self) -> Revisions {
        let entries = self.entries.iter();
        entries
            .map(|(key, (revision, _))| (key.clone(), *revision))
            .collect()
    }

    /// Checks files together with the stored entries, so that what they break elsewhere is found too.
    ///
    /// Findings in stored entries that the files don't cause are left out, and so are malformed objects that the files
    /// neither replace nor refer to.
    pub fn check(&self, files: &Files) -> CheckResult {
        let own = files::check_all(files, &BTreeMap::new());
        let keys: BTreeSet<String> = own.entries.iter().map(|(_, entry)| entry.key()).collect();
        let stored: Files = self.entries.iter().map(text).collect();
        let kept = self.entries.iter().filter(|(key, _)| !keys.contains(*key));
        let all = files.iter().cloned().chain(kept.map(text)).collect();
        let mut result = files::check_all(&all, &BTreeMap::new());
        let place = |finding: &Finding| (finding.file.clone(), finding.pointer.clone());
        let before: BTreeSet<_> = files::check_all(&stored, &BTreeMap::new())
            .findings
            .iter()
            .map(place)
            .collect();
        result.findings.retain(|finding| {
            let is_file = files.iter().any(|(file, _)| *file == finding.file);
            is_file || !before.contains(&place(finding))
        });
        let needed = own.entries.iter().flat_map(|(_, entry)| needs(entry));
        let needed: BTreeSet<String> = needed.collect();
        let malformed = self.malformed.iter();
        let needed = malformed.filter(|(key, _)| needed.contains(*key));
        result
            .findings
            .extend(needed.map(|(_, finding)| finding.clone()));
        result
    }
}

/// Returns a stored entry as a file whose name tells the object and its revision.
fn text((key, (revision, stored)): (&String, &(Revision, StoredEntry))) -> (String, String) {
    (format!("{key}@{revision}"), show::entry(&stored.entry))
}

/// Returns the keys of the entry and of the entries that it names.
fn needs(entry: &Entry) -> Vec<String> {
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

fn read(object: &Object) -> Result<StoredEntry, String> {
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

fn finding(object: &Object, reason: &str) -> Finding {
    let (name, revision) = (&object.name, object.revision);
    let text = object.value.get();
    let mut read: String = text.chars().take(SHOWN).collect();
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
