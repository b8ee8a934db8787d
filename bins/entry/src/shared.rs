//! State that the gossip tasks write and request routing reads.
//!
//! [`SharedState`] holds the latest members and catalogue entries that arrived on the peer port. Each write is also
//! queued as a [`Change`]; routing consumes the queue in order and never writes.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;

use catalog::{Entry, Revision};
use futures::future::poll_fn;

/// A cloneable handle to the state; all clones refer to the same state.
#[derive(Clone, Debug, Default)]
pub struct SharedState(Rc<RefCell<Inner>>);

/// A write to the state.
#[derive(Clone, Debug)]
pub enum Change {
    /// A catalogue entry was added or updated.
    Catalog {
        /// Revision of the entry.
        revision: Revision,
        /// The entry.
        entry: Entry,
    },
    /// A target's member record changed.
    Target {
        /// Name of the target.
        name: String,
        /// The content of the member record.
        member: gossip::Target,
    },
    /// A target was removed because its member record expired.
    TargetRemoved(String),
    /// A target reported its load.
    Report {
        /// Time at which the report arrived.
        received_at: Instant,
        /// The report.
        report: wire::Report,
    },
    /// The number of live entries in the system changed.
    LiveEntries(u32),
    /// The set of targets that are expected to report to this entry changed.
    ExpectedReporters(BTreeSet<String>),
}

/// A target's member record and last report.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// The content of the member record; `None` if only reports have arrived so far.
    pub member: Option<gossip::Target>,
    /// The last report and its time of arrival; `None` for targets that report to other entries.
    pub report: Option<(Instant, wire::Report)>,
}

#[derive(Debug, Default)]
struct Inner {
    targets: BTreeMap<String, Target>,
    catalogue: BTreeMap<String, (Revision, Entry)>,
    live_entries: u32,
    expected_reporters: BTreeSet<String>,
    changes: VecDeque<Change>,
    change_waker: Option<Waker>,
}

impl SharedState {
    /// Creates an empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the target named `name`.
    pub fn target(&self, name: &str) -> Option<Target> {
        self.0.borrow().targets.get(name).cloned()
    }

    /// Returns all targets, keyed by name.
    pub fn targets(&self) -> BTreeMap<String, Target> {
        self.0.borrow().targets.clone()
    }

    /// Returns the catalogue entries with their revisions, keyed by `kind/name`.
    pub fn catalogue(&self) -> BTreeMap<String, (Revision, Entry)> {
        self.0.borrow().catalogue.clone()
    }

    /// Returns the number of live entries in the system, at least 1.
    pub fn live_entries(&self) -> u32 {
        self.0.borrow().live_entries.max(1)
    }

    /// Stores a catalogue entry unless the stored one has the same or a higher revision.
    ///
    /// Returns whether the entry was stored.
    pub fn put_catalog(&self, revision: Revision, entry: Entry) -> bool {
        let mut state = self.0.borrow_mut();
        let key = entry.key();
        if state
            .catalogue
            .get(&key)
            .is_some_and(|(stored, _)| *stored >= revision)
        {
            return false;
        }
        state.catalogue.insert(key, (revision, entry.clone()));
        state.push_change(Change::Catalog { revision, entry });
        true
    }

    /// Stores a target's member record without comparing versions; the caller must have merged it by version already.
    pub fn put_target(&self, name: &str, member: gossip::Target) {
        let mut state = self.0.borrow_mut();
        state.targets.entry(name.into()).or_default().member = Some(member.clone());
        state.push_change(Change::Target {
            name: name.into(),
            member,
        });
    }

    /// Removes a target whose member record expired.
    pub fn remove_target(&self, name: &str) {
        let mut state = self.0.borrow_mut();
        if state.targets.remove(name).is_some() {
            state.push_change(Change::TargetRemoved(name.into()));
        }
    }

    /// Stores a report unless the stored one of the target is the same or newer.
    ///
    /// Returns whether the report was stored.
    pub fn put_report(&self, received_at: Instant, report: wire::Report) -> bool {
        let mut state = self.0.borrow_mut();
        let target = state.targets.entry(report.target.clone()).or_default();
        let version = |report: &wire::Report| (report.incarnation, report.sequence);
        if target
            .report
            .as_ref()
            .is_some_and(|(_, stored)| version(stored) >= version(&report))
        {
            return false;
        }
        target.report = Some((received_at, report.clone()));
        state.push_change(Change::Report {
            received_at,
            report,
        });
        true
    }

    /// Stores the number of live entries in the system, this one included.
    pub fn set_live_entries(&self, count: u32) {
        let mut state = self.0.borrow_mut();
        if state.live_entries != count {
            state.live_entries = count;
            state.push_change(Change::LiveEntries(count.max(1)));
        }
    }

    /// Stores the names of the targets that are expected to report to this entry.
    pub fn set_expected_reporters(&self, names: BTreeSet<String>) {
        let mut state = self.0.borrow_mut();
        if state.expected_reporters != names {
            state.expected_reporters.clone_from(&names);
            state.push_change(Change::ExpectedReporters(names));
        }
    }

    /// Waits until there are changes, then removes and returns all of them in the order of the writes.
    ///
    /// Only one task may wait at a time.
    pub async fn next_changes(&self) -> VecDeque<Change> {
        poll_fn(|context| {
            let mut state = self.0.borrow_mut();
            if state.changes.is_empty() {
                state.change_waker = Some(context.waker().clone());
                return Poll::Pending;
            }
            Poll::Ready(std::mem::take(&mut state.changes))
        })
        .await
    }
}

impl Inner {
    fn push_change(&mut self, change: Change) {
        self.changes.push_back(change);
        if let Some(waker) = self.change_waker.take() {
            waker.wake();
        }
    }
}
