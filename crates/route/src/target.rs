//! A target as one entry sees it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gossip::Phase;
use weights::Pin;
use wire::{Gate, Report};

use crate::concurrency::Concurrency;
use crate::limit::share;

/// Time without a report after which a target gets no new work.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// Time without a report after which a target is down.
pub(crate) const DOWN_AFTER: Duration = Duration::from_secs(5);

/// Time for which a target without reports gets no work after it refused all.
const CLOSED_FOR: Duration = Duration::from_secs(2);

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// Reports, and its gate is open.
    Open,
    /// Known from its member record alone: it reports to other entries.
    Unreported,
    /// Its gate is closed or draining.
    Closed,
    /// Has not reported for 2 s.
    Suspect,
    /// Has not reported for 5 s, or others found it down.
    Down,
    /// Finishes what is in progress.
    Leaving,
}

/// A target: its member record, its last report and this entry's requests on it.
#[derive(Debug)]
pub struct Target {
    pub(crate) domain: String,
    pub(crate) phase: Phase,
    pub(crate) concurrency: Concurrency,
    pub(crate) own: Rc<Cell<u32>>,
    report: Option<Load>,
    closed_until: Option<Instant>,
}

/// What matters of a report, and this entry's requests when it arrived.
#[derive(Clone, Copy, Debug)]
struct Load {
    at: Instant,
    version: (u64, u64),
    gate: Gate,
    weights: Option<u64>,
    requests: u32,
    slots: u16,
    own: u32,
}

impl Target {
    /// Returns a target with the given member record and concurrency limit.
    pub fn new(member: &gossip::Target, per_target: Option<u32>) -> Self {
        Self {
            domain: member.domain.clone(),
            phase: member.phase,
            concurrency: Concurrency::new(per_target),
            own: Rc::default(),
            report: None,
            closed_until: None,
        }
    }

    /// Returns whether the target takes work at `now`.
    pub fn state(&self, now: Instant) -> State {
        let silent = self
            .report
            .map(|report| now.saturating_duration_since(report.at));
        match (self.phase, silent) {
            (Phase::Leaving, _) => State::Leaving,
            (Phase::Down, _) => State::Down,
            (Phase::Live, None) if self.closed_until.is_some_and(|until| now < until) => {
                State::Closed
            }
            (Phase::Live, None) => State::Unreported,
            (Phase::Live, Some(silent)) if silent >= DOWN_AFTER => State::Down,
            (Phase::Live, Some(silent)) if silent >= SUSPECT_AFTER => State::Suspect,
            (Phase::Live, Some(_)) if self.is_open() => State::Open,
            (Phase::Live, Some(_)) => State::Closed,
        }
    }

    /// Returns the number of requests on the target: those reported, and this entry's change since the report.
    pub fn requests(&self) -> u32 {
        let own = self.own.get();
        match self.report {
            Some(report) => (report.requests + own).saturating_sub(report.own).max(own),
            None => own,
        }
    }

    /// Returns the requests on the target as a share of its limit.
    pub fn load(&self) -> f64 {
        f64::from(self.requests()) / f64::from(self.concurrency.limit().max(1))
    }

    /// Tells whether another request fits, when `sharers` entries send to the target.
    ///
    /// An entry may always use its share of the limit. Otherwise an entry without requests in progress would wait for
    /// the next report while the others hand each free place to themselves.
    pub fn has_room(&self, sharers: u32) -> bool {
        let limit = self.concurrency.limit();
        self.requests() < limit || self.own.get() < (limit / sharers.max(1)).max(1)
    }

    /// Returns whether the last report names the target as owner of claim slot `slot`.
    pub fn owns(&self, slot: u8) -> bool {
        self.report
            .is_some_and(|report| report.slots & (1u16 << (slot & 15)) != 0)
    }

    /// Returns the first of `pins` that the target serves by its last report; any, for a target without a report.
    pub fn pin<'a>(&self, pins: &'a [Pin]) -> Option<&'a Pin> {
        match self.report {
            None => pins.first(),
            Some(report) => pins
                .iter()
                .find(|pin| report.weights == Some(pin.digest.short())),
        }
    }

    /// Takes a report unless a later one has arrived, and returns whether it did.
    pub fn update(&mut self, now: Instant, report: &Report) -> bool {
        let version = (report.incarnation, report.sequence);
        if self.report.is_some_and(|held| held.version >= version) {
            return false;
        }
        self.report = Some(Load {
            at: now,
            version,
            gate: report.gate,
            weights: report.weights,
            requests: report.running.saturating_add(report.waiting),
            slots: report.slots,
            own: self.own.get(),
        });
        true
    }

    /// Treats the target's gate as closed until its next report, or for a while when it doesn't report here.
    pub(crate) fn close(&mut self, now: Instant) {
        match &mut self.report {
            Some(report) => report.gate = Gate::Closed,
            None => self.closed_until = Some(now + CLOSED_FOR),
        }
    }

    fn is_open(&self) -> bool {
        self.report.is_some_and(|report| report.gate == Gate::Open)
    }
}

/// Returns the number of entries to which each target of a service reports.
pub(crate) fn sharers(entries: u32, targets: usize) -> u32 {
    let wanted = share(
        entries.saturating_mul(8),
        u32::try_from(targets).unwrap_or(u32::MAX),
    );
    wanted.clamp(3.min(entries), entries.max(1))
}
