//! A copy of the objects of a kind.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use node::time::Uptime;
use platform::{Listing, Object, Revision, Update};
use serde_json::value::RawValue;

use crate::held::{Held, digest};
use crate::message::{Changed, Changes, Patch, millis};
use crate::replica::Error;

/// Deletions that are kept. A reader that missed older ones gets the whole kind again.
const MAX_DELETIONS: usize = 1024;
/// Largest object that is accepted, in bytes; the store's own limit.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// An object that replaces an older version.
struct Version {
    object: Object,
    written_after: Option<Uptime>,
    /// Differences to the version held, if it came in this form.
    patches: Vec<Rc<Patch>>,
}

/// The objects of a kind as they were last read.
///
/// Revisions are those of the store, so a reader can switch to another mirror or to the store itself. All objects are
/// of one era of the store. A mirror never goes back: an update to an older revision changes nothing.
///
/// ```
/// use platform::{Listing, Revision, Update};
/// use replica::Mirror;
///
/// let mut mirror = Mirror::default();
/// assert!(mirror.list().is_none());
/// let revision = Revision::new(0, 7);
/// let listing = Listing { revision, ..Listing::default() };
/// mirror.apply(&Update { listing, whole: true }, None);
/// assert_eq!(mirror.list().unwrap().revision, revision);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    /// Revision of the store that the objects reflect; `None` until they have been read.
    revision: Option<Revision>,
    /// Number of the revision after which `deleted` is complete.
    known_after: u64,
    /// Newest revision at which an object changed or was deleted.
    changed: Revision,
    objects: BTreeMap<String, Held>,
    /// Names of deleted objects, each with the number of the revision of the update that reported the deletion.
    deleted: VecDeque<(u64, String)>,
}

impl Mirror {
    /// Returns the revision that the objects reflect, or `None` until they have been read.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns whether an object with this name is held.
    pub(crate) fn holds(&self, name: &str) -> bool {
        self.objects.contains_key(name)
    }

    /// Returns the time before which the current version of an object was not written yet, if known.
    pub fn written_after(&self, name: &str) -> Option<Uptime> {
        self.objects.get(name)?.written_after
    }

    /// Applies an update that was read from the store; returns whether objects changed.
    ///
    /// `written_after` is a time before which the changed objects were not written yet, if known.
    pub fn apply(&mut self, update: &Update, written_after: Option<Uptime>) -> bool {
        let listing = &update.listing;
        if !self.is_newer(listing.revision, update.whole) {
            return false;
        }
        let version = |object: &Object| Version {
            object: object.clone(),
            written_after,
            patches: Vec::new(),
        };
        let versions = listing.objects.iter().map(version).collect();
        self.replace(listing.revision, update.whole, versions, &listing.deleted)
    }

    /// Applies changes that another entry sent, and which arrived at `now` on a way of `transit`; returns whether objects
    /// changed.
    ///
    /// # Errors
    ///
    /// Fails, without an effect, if a change doesn't fit the version held or is malformed.
    pub(crate) fn merge(
        &mut self,
        now: Uptime,
        transit: Duration,
        changes: &Changes,
    ) -> Result<bool, Error> {
        if !self.is_newer(changes.revision, changes.whole) {
            return Ok(false);
        }
        let mut versions = Vec::new();
        for changed in &changes.objects {
            let age = changed.age_ms;
            let age = age.map(|ms| Duration::from_millis(ms.into()) + transit);
            let written_after = age.map(|age| now.saturating_sub(age));
            versions.push(self.build(changed, written_after)?);
        }
        Ok(self.replace(changes.revision, changes.whole, versions, &changes.deleted))
    }

    /// Returns all objects, or `None` if they have not been read yet.
    pub fn list(&self) -> Option<Listing> {
        Some(Listing {
            revision: self.revision?,
            objects: self.objects().cloned().collect(),
            ..Listing::default()
        })
    }

    /// Returns the changes after `after`, or all objects if they aren't known or `after` is `None`. Returns `None` if there is
    /// nothing new.
    pub fn update_after(&self, after: Option<Revision>) -> Option<Update> {
        let (whole, deleted) = self.news_after(after)?;
        let newer = |object: &&Object| whole || Some(object.revision) > after;
        Some(Update {
            listing: Listing {
                revision: self.revision?,
                objects: self.objects().filter(newer).cloned().collect(),
                deleted,
                ..Listing::default()
            },
            whole,
        })
    }

    /// Returns what an entry that knows the objects at `after` lacks at `now`, if anything.
    pub(crate) fn changes_after(&self, now: Uptime, after: Option<Revision>) -> Option<Changes> {
        let (whole, deleted) = self.news_after(after)?;
        let newer = |held: &&Held| whole || Some(held.object.revision) > after;
        let changed = |held: &Held| {
            let (base, steps) = held.patches_since(after);
            Changed {
                name: held.object.name.clone(),
                revision: held.object.revision,
                age_ms: held.written_after.map(|at| millis(now.saturating_sub(at))),
                base,
                steps,
                digest: held.digest(),
            }
        };
        Some(Changes {
            revision: self.revision?,
            whole,
            objects: self.objects.values().filter(newer).map(changed).collect(),
            deleted,
        })
    }

    /// Returns whether an entry that knows the objects at `after` lacks any.
    pub(crate) fn has_news_after(&self, after: Option<Revision>) -> bool {
        self.revision.is_some() && after.is_none_or(|after| after < self.changed)
    }

    /// Returns what is new after `after`: whether all objects are needed, and the names of the deleted ones.
    fn news_after(&self, after: Option<Revision>) -> Option<(bool, Vec<String>)> {
        let revision = self.revision?;
        if !self.has_news_after(after) {
            return None;
        }
        let known = after.filter(|after| after.era == revision.era);
        let known = known.filter(|after| after.number >= self.known_after);
        let Some(known) = known else {
            return Some((true, Vec::new()));
        };
        let deleted = self.deleted.iter();
        let deleted: BTreeSet<&String> = deleted
            .filter(|(at, name)| *at > known.number && !self.objects.contains_key(name))
            .map(|(_, name)| name)
            .collect();
        Some((false, deleted.into_iter().cloned().collect()))
    }

    fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values().map(|held| &held.object)
    }

    /// Returns whether an update to `revision` is newer than what is held, and can be applied to it.
    fn is_newer(&self, revision: Revision, whole: bool) -> bool {
        let same_era = self.revision.is_some_and(|held| held.era == revision.era);
        Some(revision) > self.revision && (whole || same_era)
    }

    /// Sets the objects to the given versions, as far as they are new; returns whether objects changed.
    fn replace(
        &mut self,
        revision: Revision,
        whole: bool,
        versions: Vec<Version>,
        deleted: &[String],
    ) -> bool {
        let mut has_changed = !deleted.is_empty() || self.revision.is_none();
        self.revision = Some(revision);
        if whole {
            let names = versions.iter().map(|version| version.object.name.as_str());
            let listed: BTreeSet<&str> = names.collect();
            let count = self.objects.len();
            self.objects
                .retain(|name, _| listed.contains(name.as_str()));
            has_changed |= self.objects.len() < count;
            self.deleted.clear();
            self.known_after = revision.number;
        }
        for name in deleted {
            self.objects.remove(name);
            self.deleted.push_back((revision.number, name.clone()));
        }
        for version in versions {
            let Version { object, .. } = &version;
            match self.objects.get_mut(&object.name) {
                Some(held) if held.object.revision == object.revision => continue,
                Some(held) => held.replace(version.object, version.written_after, &version.patches),
                None => {
                    let name = object.name.clone();
                    let held = Held::new(version.object, version.written_after);
                    self.objects.insert(name, held);
                }
            }
            has_changed = true;
        }
        while self.deleted.len() > MAX_DELETIONS
            && let Some((number, _)) = self.deleted.pop_front()
        {
            self.known_after = number;
        }
        if has_changed {
            self.changed = revision;
        }
        has_changed
    }

    /// Returns the version that `changed` leads to, or the one held if that is as new.
    fn build(&self, changed: &Changed, written_after: Option<Uptime>) -> Result<Version, Error> {
        let held = self.objects.get(&changed.name);
        if let Some(held) = held.filter(|held| held.object.revision >= changed.revision) {
            // Another entry sent it already.
            return Ok(Version {
                object: held.object.clone(),
                written_after: held.written_after,
                patches: Vec::new(),
            });
        }
        let held = held.map(|held| &held.object);
        let (mut text, steps) = match (changed.base, held) {
            (None, _) => (Vec::new(), &changed.steps[..]),
            (Some(base), Some(held)) if base <= held.revision => {
                // Another entry may have sent some of the steps already.
                let known = |step: &&Rc<Patch>| step.to <= held.revision;
                let skipped = changed.steps.iter().take_while(known).count();
                let at = match skipped.checked_sub(1) {
                    Some(last) => changed.steps[last].to,
                    None => base,
                };
                if at != held.revision {
                    return Err(Error::Base);
                }
                let text = held.value.get().as_bytes().to_vec();
                (text, &changed.steps[skipped..])
            }
            _ => return Err(Error::Base),
        };
        for step in steps {
            text = step.delta.apply(&text, MAX_OBJECT_BYTES)?;
        }
        if digest(&text) != changed.digest {
            return Err(Error::Digest);
        }
        let text = String::from_utf8(text).map_err(|_| Error::Text)?;
        let value = RawValue::from_string(text).map_err(|_| Error::Text)?;
        let patches = changed.base.map_or_else(Vec::new, |_| steps.to_vec());
        Ok(Version {
            object: Object {
                name: changed.name.clone(),
                revision: changed.revision,
                value,
            },
            written_after,
            patches,
        })
    }
}
