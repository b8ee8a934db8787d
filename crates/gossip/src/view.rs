//! Incremental updates of the views of agents.

use std::collections::{BTreeMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::exchange::approximate_size;
use crate::record::{Key, Record, Value};
use crate::store::Store;

/// Approximate limit of the records in one reply, in bytes.
const MAX_REPLY_BYTES: usize = 32 * 1024;

/// Number of recent changes from which a reply can be computed without sending all records.
const MAX_RECENT_CHANGES: usize = 1024;

/// Number of past hashes kept for each scope.
const MAX_PAST_HASHES: usize = 256;

/// Number of replies with the latest changes before all records are sent to a target whose hash stays unknown.
///
/// A target that reports to several entries has the records of the most up-to-date one, so the other entries often
/// don't know its hash for a second or two.
const MAX_LATEST_REPLIES: u8 = 5;

/// Number of latest changes to send to a target whose hash is unknown.
const LATEST_CHANGES: usize = 32;

/// The set of records that concern a target: all services of the catalogue, the entries of its domain and the targets
/// of its service and of those that share its model.
///
/// All services are covered because both sides derive from them which services share the target's model. With fewer, an
/// agent would never learn that another service moved to a different model.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Scope {
    /// Failure domain of the target.
    pub domain: String,
    /// The target's service and those that serve the same model, sorted.
    pub services: Vec<String>,
}

/// Update of a target's view in the reply to a report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ViewUpdate {
    /// Hash of the entry's records in the target's scope.
    pub hash: u64,
    /// Records that the target seems to lack.
    pub records: Vec<Record>,
    /// Range of keys in which `records` contains every record in scope; `None` if `records` are changes only.
    pub span: Option<KeyRange>,
}

/// A range of keys for which all records are sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyRange {
    /// Exclusive lower bound; `None` if the range starts at the first key.
    pub after: Option<Key>,
    /// Inclusive upper bound; `None` if the range ends at the last key.
    pub last: Option<Key>,
}

/// Computes the replies of one entry to the targets that report to it.
#[derive(Clone, Debug, Default)]
pub struct ViewReplies {
    scopes: BTreeMap<Scope, ScopeState>,
    targets: BTreeMap<String, Progress>,
    recent_changes: VecDeque<(u64, Key)>,
}

#[derive(Clone, Debug, Default)]
struct ScopeState {
    /// Change count of the store when `hash` was computed.
    change_count: u64,
    hash: u64,
    /// Past hashes with the last change count of the store at which each was current.
    past_hashes: VecDeque<(u64, u64)>,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    unknown_replies: u8,
    /// Last change sent, while the changes since a known hash are sent in parts.
    last_change: Option<u64>,
    /// Last key sent, while all records are sent in parts.
    cursor: Option<Key>,
}

impl Scope {
    /// Returns the scope of a target of `service` in `domain`; `models` maps each service to its weights.
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
        let matching = models
            .iter()
            .filter(|(name, model)| *name == service || Some(*model) == own);
        let mut services: Vec<String> = matching.map(|(name, _)| name.clone()).collect();
        if own.is_none() {
            services.push(service.into());
        }
        Self {
            domain: domain.into(),
            services,
        }
    }

    /// Returns whether a record is in the scope.
    pub fn covers(&self, key: &Key, value: &Value) -> bool {
        match (key, value) {
            (Key::Catalog(name), _) => name.starts_with("service/"),
            (_, Value::Entry(node)) => node.domain == self.domain,
            (_, Value::Target(target)) => self.services.contains(&target.service),
            _ => false,
        }
    }

    /// Returns the hash of the records of `store` in the scope, except members that are down.
    ///
    /// The hash is 0 if there are no such records.
    pub fn hash(&self, store: &Store) -> u64 {
        // Members that are down are excluded, because each process drops their records at a different time.
        let covered = store
            .hashes()
            .filter(|(key, value, _)| self.covers(key, value));
        covered.fold(0, |sum, (_, _, hash)| sum ^ hash)
    }
}

impl KeyRange {
    /// Returns the members of `view` in this range that are not in `records`, the complete records of the range.
    ///
    /// The entry has dropped their records, or never had them. Members that are down are excluded from the hashes and
    /// left out here; catalogue entries are never dropped.
    pub fn missing(&self, view: &Store, records: &[Record]) -> Vec<Key> {
        let present: HashSet<&Key> = records.iter().map(|record| &record.key).collect();
        let in_range = |key: &Key| {
            self.after.as_ref().is_none_or(|after| key > after)
                && self.last.as_ref().is_none_or(|last| key <= last)
        };
        let members = view.iter().filter(|(key, _, value)| {
            value.phase().is_some() && !value.is_down() && in_range(key) && !present.contains(key)
        });
        members.map(|(key, _, _)| key.clone()).collect()
    }
}

impl ViewReplies {
    /// Records a change of `store`. Must be called after each merge that returned true.
    pub fn record_change(&mut self, store: &Store, key: Key) {
        self.recent_changes.push_back((store.change_count(), key));
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    /// Drops the state of a target, such as one that is down.
    pub fn remove_target(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Returns the hash of the records in `scope` and the records that the target seems to lack.
    ///
    /// `reported` is the hash that the target reported. The answer to a known past hash is the changes since then, in
    /// parts; to 0 it is all records, in parts; to an unknown hash it is at first the latest changes and after several
    /// replies all records. A part of all records names its range of keys, so that the target can drop members that the
    /// entry no longer has.
    ///
    /// After a part of the changes the target's hash is unknown, so the last change sent is remembered. If the target
    /// missed a part, its hash still differs after the last one and it gets all records.
    pub fn reply(
        &mut self,
        store: &Store,
        target: &str,
        scope: &Scope,
        reported: u64,
    ) -> ViewUpdate {
        let state = self.refresh_scope(store, scope);
        let hash = state.hash;
        let since = state
            .past_hashes
            .iter()
            .rev()
            .find(|(past_hash, _)| *past_hash == reported)
            .map(|(_, at)| *at);
        if reported == hash {
            self.targets.remove(target);
            return ViewUpdate {
                hash,
                ..ViewUpdate::default()
            };
        }
        let oldest_change = self.recent_changes.front().map_or(u64::MAX, |(at, _)| *at);
        let progress = self.targets.get(target);
        let since = since.or_else(|| progress?.last_change);
        if let Some(since) = since.filter(|since| since + 1 >= oldest_change) {
            let (records, last) = self.changes_since(store, scope, since);
            if !records.is_empty() {
                self.targets.entry(target.into()).or_default().last_change = last;
                return ViewUpdate {
                    hash,
                    records,
                    span: None,
                };
            }
        }
        let progress = self.targets.entry(target.into()).or_default();
        progress.last_change = None;
        if reported != 0
            && progress.cursor.is_none()
            && progress.unknown_replies < MAX_LATEST_REPLIES
        {
            progress.unknown_replies += 1;
            let first = self.recent_changes.len().saturating_sub(LATEST_CHANGES);
            let since = self.recent_changes.get(first).map_or(0, |(at, _)| at - 1);
            return ViewUpdate {
                hash,
                records: self.changes_since(store, scope, since).0,
                span: None,
            };
        }
        let (records, span) = progress.next_part(store, scope);
        ViewUpdate {
            hash,
            records,
            span: Some(span),
        }
    }

    fn refresh_scope(&mut self, store: &Store, scope: &Scope) -> &ScopeState {
        if !self.scopes.contains_key(scope) {
            self.scopes.insert(scope.clone(), ScopeState::default());
        }
        let state = self.scopes.entry(scope.clone()).or_default();
        if state.change_count != store.change_count() {
            let hash = scope.hash(store);
            if hash != state.hash {
                state
                    .past_hashes
                    .push_back((state.hash, state.change_count));
                if state.past_hashes.len() > MAX_PAST_HASHES {
                    state.past_hashes.pop_front();
                }
            }
            state.hash = hash;
            state.change_count = store.change_count();
        }
        state
    }

    /// Returns a part of the records that changed after the change `since`.
    ///
    /// The second value is the last change that the part covers, or `None` if it is the last part.
    fn changes_since(
        &self,
        store: &Store,
        scope: &Scope,
        since: u64,
    ) -> (Vec<Record>, Option<u64>) {
        let mut seen = HashSet::new();
        let mut records = Vec::new();
        let mut bytes = 0;
        for (at, key) in self.recent_changes.iter().filter(|(at, _)| *at > since) {
            if bytes >= MAX_REPLY_BYTES {
                return (records, Some(at - 1));
            }
            let record = store.get(key).filter(|_| seen.insert(key));
            let covered = record.filter(|record| scope.covers(&record.key, &record.value));
            if let Some(record) = covered {
                bytes += approximate_size(&record.key, &record.value);
                records.push(record);
            }
        }
        (records, None)
    }
}

impl Progress {
    fn next_part(&mut self, store: &Store, scope: &Scope) -> (Vec<Record>, KeyRange) {
        let mut records = Vec::new();
        let mut bytes = 0;
        let cursor = self.cursor.take();
        let rest = store.iter().filter(|(key, _, value)| {
            cursor.as_ref().is_none_or(|cursor| *key > cursor) && scope.covers(key, value)
        });
        for (key, version, value) in rest {
            bytes += approximate_size(key, value);
            records.push(Record {
                key: key.clone(),
                version,
                value: value.clone(),
            });
            if bytes >= MAX_REPLY_BYTES {
                self.cursor = Some(key.clone());
                let last = self.cursor.clone();
                return (
                    records,
                    KeyRange {
                        after: cursor,
                        last,
                    },
                );
            }
        }
        self.unknown_replies = 0;
        (
            records,
            KeyRange {
                after: cursor,
                last: None,
            },
        )
    }
}
