//! Registrations of targets, and their validity after a store outage or when the store comes back from an older copy.
//!
//! The store removes the registration of a target that does not renew it, even if the store itself was unreachable. A
//! live target registers again soon after an outage. Until then, a missing registration does not show that the target
//! is gone. The same holds for targets that registered after the copy was made.
//!
//! A copy also holds registrations that were removed or changed after it was made. A target that has left in this way
//! is not used until it writes its registration anew, or until the store would have removed a registration that nobody
//! renews.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use dispatch::Target;
use platform::Revision;

/// Time after a store outage within which live targets have registered again.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);
/// Minimum duration of a store outage during which registrations may have expired.
const MIN_OUTAGE: Duration = Duration::from_millis(1500);
/// Number of heartbeats without a renewal after which this entry has seen the store remove a registration. The store
/// removes it after three; one more is for the entry to read that, since it gathers changes.
const HEARTBEATS_TO_REMOVAL: u32 = 4;
/// Time for which departures are remembered; longer than the age of any copy from which the store may come back.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// Start of a target in milliseconds since the Unix epoch, if the target reports it.
type StartMs = Option<u64>;

/// The registered targets, those whose registration is missing, and those that left recently.
#[derive(Clone, Debug)]
pub struct Registrations {
    /// Time without a renewal after which this entry has seen the store remove a registration.
    time_to_removal: Duration,
    present: BTreeMap<String, Known>,
    missing: BTreeMap<String, Instant>,
    departed: BTreeMap<String, Departure>,
    /// Targets that left and are registered in the copy, with the time from which they count as live.
    unconfirmed: BTreeMap<String, (Instant, Target)>,
    /// When the store began to fail, if it is failing now.
    failing_since: Option<Instant>,
    /// When the last outage of the store ended.
    recovered_at: Option<Instant>,
    /// First revision read in the current era; earlier registrations of the era may be those of the copy.
    era_start: Option<Revision>,
}

/// What is known of a registered target.
#[derive(Clone, Copy, Debug)]
struct Known {
    started_at_ms: StartMs,
    draining: bool,
}

/// A target that left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    last: Known,
    at: Instant,
    /// Era of the store in which the registration was removed.
    era: u64,
}

/// The effect of a registration.
#[derive(Clone, Debug, PartialEq)]
pub enum Insertion {
    /// The target was unknown and is to be used.
    New(Target),
    /// The target was known already; holds its registration.
    Known(Target),
    /// This start of the target left before, and may be registered only in the copy from which the store came back.
    Unconfirmed,
}

/// The effect of the removal of a registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    /// The target is gone.
    Gone,
    /// The target may register again until the given time.
    Missing(Instant),
}

impl Known {
    fn of(target: &Target) -> Self {
        Self {
            started_at_ms: target.started_at_ms,
            draining: target.draining,
        }
    }
}

impl Registrations {
    /// Returns an empty record; targets renew their registrations every `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            time_to_removal: heartbeat * HEARTBEATS_TO_REMOVAL,
            present: BTreeMap::new(),
            missing: BTreeMap::new(),
            departed: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            failing_since: None,
            recovered_at: None,
            era_start: None,
        }
    }

    /// Records a call to the store that failed at `now`.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that the store is reachable at `now`, as a call of another kind showed.
    ///
    /// A watch of registrations returns with the first change, which may come long after the end of an outage.
    pub fn record_reachable(&mut self, now: Instant) {
        if let Some(since) = self.failing_since.take()
            && now.saturating_duration_since(since) >= MIN_OUTAGE
        {
            self.recovered_at = Some(now);
        }
    }

    /// Records a call to the store that succeeded at `now` and returned its state at `revision`.
    ///
    /// `reached_for` is the time for which the entry that passed the state on has reached the store.
    pub fn record_success(
        &mut self,
        now: Instant,
        revision: Revision,
        reached_for: Option<Duration>,
    ) {
        self.record_reachable(now);
        let reached_since = reached_for.and_then(|time| now.checked_sub(time));
        if let (Some(recovered_at), Some(since)) = (&mut self.recovered_at, reached_since) {
            // This entry alone may have lost the store for longer than others.
            *recovered_at = since.min(*recovered_at);
        }
        let Some(start) = self.era_start else {
            self.era_start = Some(revision);
            return;
        };
        if revision.era > start.era {
            self.era_start = Some(revision);
            self.recovered_at = Some(now);
        }
    }

    /// Records the registration that `target` wrote at `revision`, and returns its effect.
    pub fn insert(&mut self, now: Instant, mut target: Target, revision: Revision) -> Insertion {
        let copied = self.may_be_copied(revision);
        let known = self.present.get(&target.id).copied();
        if copied && known.is_some_and(|known| known.started_at_ms > target.started_at_ms) {
            return Insertion::Unconfirmed;
        }
        let departure = self.departure_before(now, &target, revision.era);
        if let Some(departure) = departure.filter(|_| copied && known.is_none()) {
            let until = now + self.time_to_removal;
            target.draining |= departure.last.draining;
            let (id, held) = (target.id.clone(), (until, target));
            self.unconfirmed.entry(id).or_insert(held);
            return Insertion::Unconfirmed;
        }
        self.unconfirmed.remove(&target.id);
        self.missing.remove(&target.id);
        // The copy may be older than the notice that the target drains, which holds until the target starts anew.
        let known = known.filter(|known| known.started_at_ms == target.started_at_ms);
        target.draining |= copied && known.is_some_and(|known| known.draining);
        let is_new = self
            .present
            .insert(target.id.clone(), Known::of(&target))
            .is_none();
        match is_new {
            true => Insertion::New(target),
            false => Insertion::Known(target),
        }
    }

    /// Records the removal of a registration, and returns its effect.
    pub fn remove(&mut self, now: Instant, id: &str) -> Removal {
        self.unconfirmed.remove(id);
        let until = self
            .recovered_at
            .map(|recovered_at| recovered_at + REREGISTRATION_TIME);
        match until.filter(|until| now < *until) {
            Some(until) if self.present.contains_key(id) => {
                self.missing.insert(id.into(), until);
                Removal::Missing(until)
            }
            _ => {
                self.record_departure(now, id);
                Removal::Gone
            }
        }
    }

    /// Returns the ids of known targets that are not in `listed`.
    pub fn unlisted(&self, listed: &BTreeSet<&str>) -> Vec<String> {
        let known = self.present.keys().chain(self.unconfirmed.keys());
        let unlisted = known.filter(|id| !listed.contains(id.as_str()));
        unlisted.cloned().collect()
    }

    /// Removes and returns the targets that did not register again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let due = |(_, until): &(&String, &Instant)| **until <= now;
        let gone: Vec<String> = self
            .missing
            .iter()
            .filter(due)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.missing.remove(id);
            self.record_departure(now, id);
        }
        gone
    }

    /// Returns the targets that left before the store came back, and whose registration the store has since had time to
    /// remove but did not: they are live.
    pub fn confirm(&mut self, now: Instant) -> Vec<Target> {
        let due = |_: &String, (until, _): &mut (Instant, Target)| *until <= now;
        let confirmed: Vec<Target> = self
            .unconfirmed
            .extract_if(.., due)
            .map(|(_, (_, target))| target)
            .collect();
        for target in &confirmed {
            self.present.insert(target.id.clone(), Known::of(target));
        }
        confirmed
    }

    /// Returns whether a registration of `revision` may be in the copy from which the store came back, rather than
    /// written since.
    fn may_be_copied(&self, revision: Revision) -> bool {
        self.era_start.is_some_and(|start| revision <= start)
    }

    /// Returns the departure of `target`, or of a later start of it, in an era before `era`.
    fn departure_before(&self, now: Instant, target: &Target, era: u64) -> Option<Departure> {
        let departure = self.departed.get(&target.id)?;
        let recent = now.saturating_duration_since(departure.at) < DEPARTURE_RETENTION;
        let same_start = departure.last.started_at_ms >= target.started_at_ms;
        (recent && same_start && departure.era < era).then_some(*departure)
    }

    fn record_departure(&mut self, now: Instant, id: &str) {
        let Some(last) = self.present.remove(id) else {
            return;
        };
        self.departed.retain(|_, departure| {
            now.saturating_duration_since(departure.at) < DEPARTURE_RETENTION
        });
        let era = self.era_start.map_or(0, |start| start.era);
        self.departed
            .insert(id.into(), Departure { last, at: now, era });
    }
}
