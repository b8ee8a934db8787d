//! What targets ask for in their answers: no new work because they leave, no requests for a while, or only so many a second.
//!
//! A notice outlives the registration of its target: a target that leaves is often removed from the registry first, and
//! its registration may lapse and come back while the store is away. It ends with the start of the target that gave it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use quota::{AdvertisedLimit, Limit, Permits};

use crate::target::{Target, TargetId};

/// Time for which the notices of a target that isn't registered are kept.
const KEPT: Duration = Duration::from_secs(600);
/// Longest pause that a target can ask for; a longer one is taken for a fault.
const LONGEST_PAUSE: Duration = Duration::from_secs(300);

/// Notices of all targets, by the target's id.
#[derive(Debug, Default)]
pub(crate) struct Notices(BTreeMap<TargetId, Notice>);

/// What one start of a target asked for.
#[derive(Debug)]
struct Notice {
    /// Start of the target that gave the notice.
    born: Option<u64>,
    leaving: bool,
    /// End of the longest pause that was asked for.
    paused_until: Option<Instant>,
    /// What it said of the requests that it takes from all entries together.
    statement: Option<AdvertisedLimit>,
    /// When this entry learned of that.
    learned: Option<Instant>,
    /// Time until which the start of the target is recent enough for the limit of its service.
    cold_until: Option<Instant>,
    permits: Permits,
    given: Instant,
}

/// Whether a target may get new requests, as far as its notices say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    Open,
    /// It wants none until the given time.
    Paused(Instant),
    /// This entry has no permit for it, and may have one at the given time.
    Limited(Instant),
    /// It leaves and gets none any more.
    Leaving,
}

impl Notices {
    /// Notes that `target` leaves, and returns whether that is news.
    pub(crate) fn leaves(&mut self, now: Instant, target: &Target) -> bool {
        let notice = self.notice(now, target);
        !std::mem::replace(&mut notice.leaving, true)
    }

    /// Notes that `target` wants no requests for `pause`, and returns whether that is news: a shorter pause doesn't end a
    /// longer one.
    pub(crate) fn pauses(&mut self, now: Instant, target: &Target, pause: Duration) -> bool {
        let until = now + pause.min(LONGEST_PAUSE);
        let notice = self.notice(now, target);
        let news = notice.paused_until.is_none_or(|known| known < until);
        if news {
            notice.paused_until = Some(until);
        }
        news
    }

    /// Notes what an answer of `target` to a request that was sent at `sent` says of the requests that it takes, and
    /// returns whether that is news.
    pub(crate) fn limits(
        &mut self,
        now: Instant,
        target: &Target,
        sent: Instant,
        limit: Option<Limit>,
    ) -> bool {
        let learned = self.get(target).and_then(|notice| notice.learned);
        if limit.is_none() && learned.is_none_or(|learned| sent < learned) {
            return false;
        }
        let notice = self.notice(now, target);
        let news = AdvertisedLimit::record(&mut notice.statement, limit);
        if news {
            notice.learned = Some(now);
            notice.permits.set_limit_changed();
        }
        news
    }

    /// Takes what another process heard `target` say of the requests that it takes, and returns whether that is news.
    pub(crate) fn hears(
        &mut self,
        now: Instant,
        target: &Target,
        statement: AdvertisedLimit,
    ) -> bool {
        let notice = self.notice(now, target);
        let news = AdvertisedLimit::merge(&mut notice.statement, Some(statement));
        if news {
            notice.learned = Some(now);
        }
        news
    }

    /// Notes that `target` stays cold for `cold` after its start.
    pub(crate) fn warms_up(&mut self, now: Instant, target: &Target, cold: Duration) {
        if cold.is_zero() && self.get(target).is_none() {
            return;
        }
        let notice = self.notice(now, target);
        notice.cold_until = (!cold.is_zero()).then(|| now + cold);
    }

    /// Returns the requests a second that `target` takes now from all entries together; `cold` is the limit of its service
    /// for cold targets.
    pub(crate) fn limit(
        &self,
        now: Instant,
        target: &Target,
        cold: Option<Limit>,
    ) -> Option<Limit> {
        self.get(target)?.limit(now, cold)
    }

    /// Uses a permit of `target` if it has a limit.
    pub(crate) fn use_permit(&mut self, now: Instant, target: &Target, cold: Option<Limit>) {
        let notice = self.0.get_mut(&target.id);
        let notice = notice.filter(|notice| notice.born == target.born);
        if let Some(notice) = notice.filter(|notice| notice.limit(now, cold).is_some()) {
            notice.permits.try_take(now);
        }
    }

    /// Returns the permits of `target`, and what it said of its limit.
    pub(crate) fn permits(
        &mut self,
        target: &Target,
    ) -> Option<(&mut Permits, Option<AdvertisedLimit>)> {
        let notice = self.0.get_mut(&target.id);
        let notice = notice.filter(|notice| notice.born == target.born)?;
        Some((&mut notice.permits, notice.statement))
    }

    /// Returns the ids of the targets about whose limits there is a question to put.
    pub(crate) fn asking(&self) -> impl Iterator<Item = &TargetId> {
        let asking = self
            .0
            .iter()
            .filter(|(_, notice)| notice.permits.has_request());
        asking.map(|(id, _)| id)
    }

    /// Tells whether `target` may get new requests; `cold` is the limit of its service for cold targets.
    pub(crate) fn admission(
        &self,
        now: Instant,
        target: &Target,
        cold: Option<Limit>,
    ) -> Admission {
        let Some(notice) = self.get(target) else {
            return Admission::Open;
        };
        match notice.paused_until {
            _ if notice.leaving => Admission::Leaving,
            Some(until) if now < until => Admission::Paused(until),
            _ if notice.limit(now, cold).is_some() && !notice.permits.is_available(now) => {
                Admission::Limited(notice.permits.next_permit_at(now))
            }
            _ => Admission::Open,
        }
    }

    /// Forgets old notices of targets that `is_registered` doesn't know.
    pub(crate) fn expire(&mut self, now: Instant, is_registered: impl Fn(&str) -> bool) {
        self.0.retain(|id, notice| {
            is_registered(id) || now.saturating_duration_since(notice.given) < KEPT
        });
    }

    fn get(&self, target: &Target) -> Option<&Notice> {
        let notice = self.0.get(&target.id);
        notice.filter(|notice| notice.born == target.born)
    }

    fn notice(&mut self, now: Instant, target: &Target) -> &mut Notice {
        let notice = self
            .0
            .entry(target.id.clone())
            .or_insert_with(|| Notice::new(now, target));
        if notice.born != target.born {
            *notice = Notice::new(now, target);
        }
        notice.given = now;
        notice
    }
}

impl Notice {
    fn new(now: Instant, target: &Target) -> Self {
        Self {
            born: target.born,
            leaving: false,
            paused_until: None,
            statement: None,
            learned: None,
            cold_until: None,
            permits: Permits::default(),
            given: now,
        }
    }

    fn limit(&self, now: Instant, cold: Option<Limit>) -> Option<Limit> {
        let named = self.statement.and_then(|statement| statement.limit);
        let cold = cold.filter(|_| self.cold_until.is_some_and(|until| now < until));
        match (named, cold) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }
}
