//! The records that agents are given.

use std::collections::{BTreeMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::exchange::size;
use crate::record::{Key, Record, Value};
use crate::store::Store;

/// Size of the records in one reply, about, in bytes.
const REPLY_BYTES: usize = 32 * 1024;

/// Number of changes that a reply can make up for without sending all records.
const CHANGES_KEPT: usize = 1024;

/// Number of earlier hashes kept of each view.
const HASHES_KEPT: usize = 256;

/// Replies with the latest changes before all records are sent again to a target whose hash stays unknown.
///
/// A target that reports to several entries holds what the newest of them sent, so its hash is often unknown to the
/// others for a second or two.
const PATIENCE: u8 = 5;

/// Number of latest changes sent to a target whose hash is unknown.
const LATEST: usize = 32;

/// The records that concern a target: all services of the catalogue, the entries of its domain and the targets of some
/// services.
///
/// All services are covered because both sides derive from them which services share the target's model; with fewer,
/// an agent would never learn that another service moved to a model of its own.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Scope {
    /// Failure domain of the target.
    pub domain: String,
    /// The target's service and those that serve the same model, in order.
    pub services: Vec<String>,
}

/// What the reply to a report says of the target's view.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Hash of the entry's records that concern the target.
    pub hash: u64,
    /// Records that the target seems to lack.
    pub records: Vec<Record>,
    /// Keys between which `records` has all members that concern the target.
    pub span: Option<Span>,
}

/// A range of keys of which all records are given.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Span {
    /// Key before the first; `None` from the start.
    pub after: Option<Key>,
    /// Last key; `None` to the end.
    pub last: Option<Key>,
}

/// Replies to the targets that report to one entry.
#[derive(Clone, Debug, Default)]
pub struct Views {
    scopes: BTreeMap<Scope, View>,
    targets: BTreeMap<String, Progress>,
    changed: VecDeque<(u64, Key)>,
}

#[derive(Clone, Debug, Default)]
struct View {
    /// State of the store that `hash` was computed from.
    at: u64,
    hash: u64,
    /// Earlier hashes and the states of the store up to which they held.
    past: VecDeque<(u64, u64)>,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    unknown: u8,
    /// Last change sent while the changes since a known hash are being sent.
    change: Option<u64>,
    /// Last record sent while all records are being sent.
    cursor: Option<Key>,
}

impl Scope {
    /// Returns the scope of a target of `service` in `domain`; `models` are the weights of each service.
    ///
    /// ```
    /// use gossip::Scope;
    ///
    /// let models = [("assistant", 7), ("summaries", 7), ("drafting", 8)];
    /// let models = models.map(|(service, digest)| (service.to_owned(), digest)).into();
    /// assert_eq!(Scope::new("levis", "summaries", &models).services, ["assistant", "summaries"]);
    /// ```
    pub fn new<D: PartialEq>(domain: &str, service: &str, models: &BTreeMap<String, D>) -> Self {
        let own = models.get(service);
        let sharing = models
            .iter()
            .filter(|(name, model)| *name == service || Some(*model) == own);
        let mut services: Vec<String> = sharing.map(|(name, _)| name.clone()).collect();
        if own.is_none() {
            services.push(service.into());
        }
        Self {
            domain: domain.into(),
            services,
        }
    }

    /// Tells whether a record concerns the target.
    pub fn covers(&self, key: &Key, value: &Value) -> bool {
        match (key, value) {
            (Key::Catalog(name), _) => name.starts_with("service/"),
            (_, Value::Entry(node)) => node.domain == self.domain,
            (_, Value::Target(target)) => self.services.contains(&target.service),
            _ => false,
        }
    }

    /// Returns the hash of the records in `store` that concern the target, without members that are down.
    ///
    /// It is 0 if there are none.
    pub fn hash(&self, store: &Store) -> u64 {
        // Members that are down count for no hash: a process drops their records when its own time for them is over.
        let covered = store
            .hashes()
            .filter(|(key, value, _)| self.covers(key, value));
        covered.fold(0, |sum, (_, _, hash)| sum ^ hash)
    }
}

impl Span {
    /// Returns the members held in `view` that the complete `records` of this range lack.
    ///
    /// The entry has dropped their records, or never had them. Members that are down count for no hash and are not
    /// named; catalogue entries are never dropped.
    pub fn missing(&self, view: &Store, records: &[Record]) -> Vec<Key> {
        let given: HashSet<&Key> = records.iter().map(|record| &record.key).collect();
        let inside = |key: &Key| {
            self.after.as_ref().is_none_or(|after| key > after)
                && self.last.as_ref().is_none_or(|last| key <= last)
        };
        let members = view.iter().filter(|(key, _, value)| {
            value.phase().is_some() && !value.is_down() && inside(key) && !given.contains(key)
        });
        members.map(|(key, _, _)| key.clone()).collect()
    }
}

impl Views {
    /// Notes that a record changed in `store`; call it after each merge that returned true.
    pub fn changed(&mut self, store: &Store, key: Key) {
        self.changed.push_back((store.changes(), key));
        if self.changed.len() > CHANGES_KEPT {
            self.changed.pop_front();
        }
    }

    /// Drops what is kept of a target, such as one that is down.
    pub fn forget(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Returns the hash of a target's view and the records that it seems to lack.
    ///
    /// `reported` is the hash that the target reported. A known earlier hash is answered with the changes since, in
    /// parts; 0 with all records, in parts; an unknown hash first with the latest changes and then with all. A part of
    /// all records names the span of its keys, so that the target can drop members that the entry no longer holds.
    ///
    /// After a part of the changes the target's hash is unknown, so the entry remembers how far it got. If the target
    /// missed a part, its hash still differs after the last one and it gets all records.
    pub fn reply(&mut self, store: &Store, target: &str, scope: &Scope, reported: u64) -> Update {
        let view = self.view(store, scope);
        let hash = view.hash;
        let since = view
            .past
            .iter()
            .rev()
            .find(|(past, _)| *past == reported)
            .map(|(_, at)| *at);
        if reported == hash {
            self.targets.remove(target);
            return Update {
                hash,
                ..Update::default()
            };
        }
        let kept = self.changed.front().map_or(u64::MAX, |(at, _)| *at);
        let progress = self.targets.get(target);
        let since = since.or_else(|| progress?.change);
        if let Some(since) = since.filter(|since| since + 1 >= kept) {
            let (records, last) = self.since(store, scope, since);
            if !records.is_empty() {
                self.targets.entry(target.into()).or_default().change = last;
                return Update {
                    hash,
                    records,
                    span: None,
                };
            }
        }
        let progress = self.targets.entry(target.into()).or_default();
        progress.change = None;
        if reported != 0 && progress.cursor.is_none() && progress.unknown < PATIENCE {
            progress.unknown += 1;
            let first = self.changed.len().saturating_sub(LATEST);
            let since = self.changed.get(first).map_or(0, |(at, _)| at - 1);
            return Update {
                hash,
                records: self.since(store, scope, since).0,
                span: None,
            };
        }
        let (records, span) = progress.next(store, scope);
        Update {
            hash,
            records,
            span: Some(span),
        }
    }

    fn view(&mut self, store: &Store, scope: &Scope) -> &View {
        if !self.scopes.contains_key(scope) {
            self.scopes.insert(scope.clone(), View::default());
        }
        let view = self.scopes.entry(scope.clone()).or_default();
        if view.at != store.changes() {
            let hash = scope.hash(store);
            if hash != view.hash {
                view.past.push_back((view.hash, view.at));
                if view.past.len() > HASHES_KEPT {
                    view.past.pop_front();
                }
            }
            view.hash = hash;
            view.at = store.changes();
        }
        view
    }

    /// Returns a part of the records that changed after the change `since`, and the last change it covers if more follow.
    fn since(&self, store: &Store, scope: &Scope, since: u64) -> (Vec<Record>, Option<u64>) {
        let mut seen = HashSet::new();
        let mut records = Vec::new();
        let mut bytes = 0;
        for (at, key) in self.changed.iter().filter(|(at, _)| *at > since) {
            if bytes >= REPLY_BYTES {
                return (records, Some(at - 1));
            }
            let record = store.get(key).filter(|_| seen.insert(key));
            let covered = record.filter(|record| scope.covers(&record.key, &record.value));
            if let Some(record) = covered {
                bytes += size(&record.key, &record.value);
                records.push(record);
            }
        }
        (records, None)
    }
}

impl Progress {
    fn next(&mut self, store: &Store, scope: &Scope) -> (Vec<Record>, Span) {
        let mut records = Vec::new();
        let mut bytes = 0;
        let cursor = self.cursor.take();
        let rest = store.iter().filter(|(key, _, value)| {
            cursor.as_ref().is_none_or(|cursor| *key > cursor) && scope.covers(key, value)
        });
        for (key, version, value) in rest {
            bytes += size(key, value);
            records.push(Record {
                key: key.clone(),
                version,
                value: value.clone(),
            });
            if bytes >= REPLY_BYTES {
                self.cursor = Some(key.clone());
                let last = self.cursor.clone();
                return (
                    records,
                    Span {
                        after: cursor,
                        last,
                    },
                );
            }
        }
        self.unknown = 0;
        (
            records,
            Span {
                after: cursor,
                last: None,
            },
        )
    }
}
