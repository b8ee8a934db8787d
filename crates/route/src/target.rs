//! One entry's view of a target.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gossip::Phase;
use weights::Pin;
use wire::{Gate, Report};

use crate::concurrency::Concurrency;
use crate::limit::share_per_entry;

/// Time without a report after which a target gets no new requests.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// Time without a report after which a target that is not marked as down is assumed to report to other entries.
///
/// The entries that a target reports to mark it as down well within this time if it is. A target changes the entries
/// that it reports to as entries join and leave; a starting agent reports to those in its settings.
const UNREPORTED_AFTER: Duration = Duration::from_secs(8);
/// Time for which a target that doesn't report here gets no requests after a refusal that applies to all requests.
const REFUSAL_CLOSED_TIME: Duration = Duration::from_secs(2);

/// Whether a target accepts requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// It reports to this entry, and its gate is open.
    Open,
    /// It is known from its member record alone, because it reports to other entries.
    Unreported,
    /// Its gate is closed or draining.
    Closed,
    /// It has not reported for 2 s.
    Suspect,
    /// An entry that it reports to has marked it as down through the peer port, after 5 s without a report.
    ///
    /// Missing reports alone don't put a target into this state: it may report to other entries now, and then its
    /// requests in progress must continue.
    Down,
    /// It finishes its requests in progress and accepts no new ones.
    Leaving,
}

/// A target: its member record, its last report and this entry's requests in progress on it.
#[derive(Debug)]
pub struct Target {
    pub(crate) domain: String,
    pub(crate) phase: Phase,
    pub(crate) concurrency: Concurrency,
    pub(crate) own_requests: Rc<Cell<u32>>,
    /// Whether the target is expected to report to this entry.
    pub(crate) expected_here: bool,
    last_report: Option<ReportedLoad>,
    closed_until: Option<Instant>,
    /// Short digest of the weights named by its last report, response or refusal.
    served_weights: Option<u64>,
}

/// The fields of a report that routing uses, and this entry's requests in progress when it arrived.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    received_at: Instant,
    version: (u64, u64),
    gate: Gate,
    weights: Option<u64>,
    requests: u32,
    slots: u16,
    own_requests: u32,
}

impl Target {
    /// Returns a target with the given member record and ceiling of the concurrency limit.
    pub fn new(member: &gossip::Target, per_target: Option<u32>) -> Self {
        Self {
            domain: member.domain.clone(),
            phase: member.phase,
            concurrency: Concurrency::new(per_target),
            own_requests: Rc::default(),
            expected_here: true,
            last_report: None,
            closed_until: None,
            served_weights: None,
        }
    }

    /// Returns whether the target accepts requests at `now`.
    pub fn state(&self, now: Instant) -> State {
        let silent = self
            .current_report(now)
            .map(|report| now.saturating_duration_since(report.received_at));
        match (self.phase, silent) {
            (Phase::Leaving, _) => State::Leaving,
            // A recent report takes precedence over the phase in the member record. After a partition each side still
            // marks the targets of the other as down, until these have published newer records.
            (Phase::Down, Some(silent)) if silent < SUSPECT_AFTER && self.is_open(now) => {
                State::Open
            }
            (Phase::Down, _) => State::Down,
            (Phase::Live, None) if self.closed_until.is_some_and(|until| now < until) => {
                State::Closed
            }
            (Phase::Live, None) => State::Unreported,
            (Phase::Live, Some(silent)) if silent >= SUSPECT_AFTER => State::Suspect,
            (Phase::Live, Some(_)) if self.is_open(now) => State::Open,
            (Phase::Live, Some(_)) => State::Closed,
        }
    }

    /// Returns the number of requests on the target: those in its last report, adjusted by this entry's requests that
    /// have started or ended since.
    pub fn request_count(&self, now: Instant) -> u32 {
        let own_requests = self.own_requests.get();
        match self.current_report(now) {
            Some(report) => (report.requests + own_requests)
                .saturating_sub(report.own_requests)
                .max(own_requests),
            None => own_requests,
        }
    }

    /// Returns the number of requests on the target divided by its concurrency limit.
    pub fn utilization(&self, now: Instant) -> f64 {
        f64::from(self.request_count(now)) / f64::from(self.concurrency.limit().max(1))
    }

    /// Returns whether the target has capacity for another request while `entries_per_target` entries send to it.
    ///
    /// An entry may always use its share of the limit. Otherwise an entry without requests in progress would be starved
    /// until the next report, while the other entries reuse each place that becomes free.
    pub fn has_capacity(&self, now: Instant, entries_per_target: u32) -> bool {
        let limit = self.concurrency.limit();
        self.request_count(now) < limit
            || self.own_requests.get() < (limit / entries_per_target.max(1)).max(1)
    }

    /// Returns whether the target owns the claim slot `slot` according to its last report.
    pub fn owns_slot(&self, now: Instant, slot: u8) -> bool {
        self.current_report(now)
            .is_some_and(|report| report.slots & (1u16 << (slot & 15)) != 0)
    }

    /// Returns the first of `pins` that the target serves according to its last report.
    ///
    /// For a target that doesn't report here, this is the pin named by its last response or refusal, or else the first
    /// one. The target refuses the request if it serves other weights by then.
    pub fn served_pin<'a>(&self, now: Instant, pins: &'a [Pin]) -> Option<&'a Pin> {
        match self.current_report(now) {
            None => pins
                .iter()
                .find(|pin| self.served_weights == Some(pin.digest.prefix()))
                .or(pins.first()),
            Some(report) => pins
                .iter()
                .find(|pin| report.weights == Some(pin.digest.prefix())),
        }
    }

    /// Stores a report if it is newer than the stored one, and returns whether it was.
    pub fn apply_report(&mut self, now: Instant, report: &Report) -> bool {
        let version = (report.incarnation, report.sequence);
        if self.last_report.is_some_and(|held| held.version >= version) {
            return false;
        }
        self.last_report = Some(ReportedLoad {
            received_at: now,
            version,
            gate: report.gate,
            weights: report.weights,
            requests: report.running.saturating_add(report.waiting),
            slots: report.slots,
            own_requests: self.own_requests.get(),
        });
        self.served_weights = report.weights.or(self.served_weights);
        true
    }

    /// Stores the short digest of the weights named by a response or refusal, and returns whether it was stored. It is
    /// ignored for a target that reports here, because reports take precedence.
    pub(crate) fn learn_weights(&mut self, now: Instant, served_weights: u64) -> bool {
        let unreported = self.current_report(now).is_none();
        if unreported {
            self.served_weights = Some(served_weights);
        }
        unreported
    }

    /// Treats the target's gate as closed until its next report, or for [`REFUSAL_CLOSED_TIME`] if it doesn't report
    /// here.
    pub(crate) fn mark_closed(&mut self, now: Instant) {
        if let Some(report) = &mut self.last_report {
            report.gate = Gate::Closed;
        }
        self.closed_until = Some(now + REFUSAL_CLOSED_TIME);
    }

    /// Returns the last report, unless it is so old that the target is assumed to report to other entries.
    fn current_report(&self, now: Instant) -> Option<ReportedLoad> {
        let max_age = if self.expected_here {
            UNREPORTED_AFTER
        } else {
            SUSPECT_AFTER
        };
        self.last_report
            .filter(|report| now.saturating_duration_since(report.received_at) < max_age)
    }

    /// Returns whether the target reports here and its gate is open.
    fn is_open(&self, now: Instant) -> bool {
        self.current_report(now)
            .is_some_and(|report| report.gate == Gate::Open)
    }
}

/// Returns the number of entries to which each target of a service reports: `8 * entries / targets` rounded up, at
/// least 2 and at most all.
pub(crate) fn entries_per_target(entries: u32, targets: usize) -> u32 {
    let count = share_per_entry(
        entries.saturating_mul(8),
        u32::try_from(targets).unwrap_or(u32::MAX),
    );
    count.clamp(2.min(entries), entries.max(1))
}
