//! State that the peer port writes and request routing reads.
//!
//! [`Shared`] holds the members and catalogue entries as the peer port last heard of them. Every write is also queued
//! as a [`Change`], which routing drains in order; routing never writes.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;

use catalog::{Entry, Revision};
use futures::future::poll_fn;

/// Handle to the state; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Shared(Rc<RefCell<State>>);

/// One write to the state.
#[derive(Clone, Debug)]
pub enum Change {
    /// A catalogue entry got a new revision.
    Catalog {
        /// Revision of the new version.
        revision: Revision,
        /// The new version.
        entry: Entry,
    },
    /// A target's member record changed.
    Target {
        /// Name of the target.
        name: String,
        /// The record's content.
        member: gossip::Target,
    },
    /// A target's member record was dropped.
    TargetRemoved(String),
    /// A target reported its load.
    Report {
        /// Time at which the report arrived.
        at: Instant,
        /// The report.
        report: wire::Report,
    },
    /// The number of live entries in the system changed.
    Entries(u32),
    /// Other targets than before have to report to this entry.
    Reporters(BTreeSet<String>),
}

/// A target: its member record and its last report.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// Content of the member record; `None` while only reports have arrived.
    pub member: Option<gossip::Target>,
    /// Last report and its time of arrival; `None` for targets that report to other entries.
    pub report: Option<(Instant, wire::Report)>,
}

#[derive(Debug, Default)]
struct State {
    targets: BTreeMap<String, Target>,
    catalogue: BTreeMap<String, (Revision, Entry)>,
    live_entries: u32,
    reporters: BTreeSet<String>,
    changes: VecDeque<Change>,
    reader: Option<Waker>,
}

impl Shared {
    /// Returns an empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the target called `name`.
    pub fn target(&self, name: &str) -> Option<Target> {
        self.0.borrow().targets.get(name).cloned()
    }

    /// Returns all targets by name.
    pub fn targets(&self) -> BTreeMap<String, Target> {
        self.0.borrow().targets.clone()
    }

    /// Returns the catalogue entries and their revisions by `kind/name`.
    pub fn catalogue(&self) -> BTreeMap<String, (Revision, Entry)> {
        self.0.borrow().catalogue.clone()
    }

    /// Returns the number of live entries in the system, at least 1.
    pub fn live_entries(&self) -> u32 {
        self.0.borrow().live_entries.max(1)
    }

    /// Stores a catalogue entry unless the held version has the same or a higher revision.
    ///
    /// Returns whether the entry was stored.
    pub fn put_catalog(&self, revision: Revision, entry: Entry) -> bool {
        let mut state = self.0.borrow_mut();
        let key = entry.key();
        if state
            .catalogue
            .get(&key)
            .is_some_and(|(held, _)| *held >= revision)
        {
            return false;
        }
        state.catalogue.insert(key, (revision, entry.clone()));
        state.record(Change::Catalog { revision, entry });
        true
    }

    /// Stores a target's member record; the caller has already merged it by version.
    pub fn put_target(&self, name: &str, member: gossip::Target) {
        let mut state = self.0.borrow_mut();
        state.targets.entry(name.into()).or_default().member = Some(member.clone());
        state.record(Change::Target {
            name: name.into(),
            member,
        });
    }

    /// Removes a target whose member record was dropped.
    pub fn remove_target(&self, name: &str) {
        let mut state = self.0.borrow_mut();
        if state.targets.remove(name).is_some() {
            state.record(Change::TargetRemoved(name.into()));
        }
    }

    /// Stores a report unless a later one of the target is held.
    ///
    /// Returns whether the report was stored.
    pub fn put_report(&self, at: Instant, report: wire::Report) -> bool {
        let mut state = self.0.borrow_mut();
        let target = state.targets.entry(report.target.clone()).or_default();
        let version = |report: &wire::Report| (report.incarnation, report.sequence);
        if target
            .report
            .as_ref()
            .is_some_and(|(_, held)| version(held) >= version(&report))
        {
            return false;
        }
        target.report = Some((at, report.clone()));
        state.record(Change::Report { at, report });
        true
    }

    /// Stores the number of live entries in the system, this one included.
    pub fn set_live_entries(&self, count: u32) {
        let mut state = self.0.borrow_mut();
        if state.live_entries != count {
            state.live_entries = count;
            state.record(Change::Entries(count.max(1)));
        }
    }

    /// Stores the names of the targets that have to report to this entry.
    pub fn set_reporters(&self, names: BTreeSet<String>) {
        let mut state = self.0.borrow_mut();
        if state.reporters != names {
            state.reporters.clone_from(&names);
            state.record(Change::Reporters(names));
        }
    }

    /// Waits for changes and takes them, in the order of their writes.
    ///
    /// Only one task may wait at a time.
    pub async fn changes(&self) -> VecDeque<Change> {
        poll_fn(|context| {
            let mut state = self.0.borrow_mut();
            if state.changes.is_empty() {
                state.reader = Some(context.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready(std::mem::take(&mut state.changes))
        })
        .await
    }
}

impl State {
    fn record(&mut self, change: Change) {
        self.changes.push_back(change);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}
