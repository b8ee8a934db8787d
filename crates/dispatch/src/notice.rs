//! What targets ask for in their answers: no new work because they leave, or no requests for a while.
//!
//! A notice outlives the registration of its target: a target that leaves is often removed from the registry first, and
//! its registration may lapse and come back while the store is away. It ends with the start of the target that gave it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

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
    /// Requests a second that the target takes from all entries together.
    limit: Option<f64>,
    given: Instant,
}

/// Whether a target may get new requests, as far as its notices say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    Open,
    /// It wants none until the given time.
    Paused(Instant),
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

    /// Notes how many requests a second `target` takes, and returns whether that is news.
    pub(crate) fn limits(&mut self, now: Instant, target: &Target, limit: Option<f64>) -> bool {
        if limit.is_none() && !self.is_limited(target) {
            return false;
        }
        let notice = self.notice(now, target);
        std::mem::replace(&mut notice.limit, limit) != limit
    }

    /// Tells whether `target` has a limit.
    pub(crate) fn is_limited(&self, target: &Target) -> bool {
        let notice = self.0.get(&target.id);
        notice.is_some_and(|notice| notice.born == target.born && notice.limit.is_some())
    }

    /// Tells whether `target` may get new requests.
    pub(crate) fn admission(&self, now: Instant, target: &Target) -> Admission {
        let notice = self.0.get(&target.id);
        let Some(notice) = notice.filter(|notice| notice.born == target.born) else {
            return Admission::Open;
        };
        match notice.paused_until {
            _ if notice.leaving => Admission::Leaving,
            Some(until) if now < until => Admission::Paused(until),
            _ => Admission::Open,
        }
    }

    /// Forgets old notices of targets that `is_registered` doesn't know.
    pub(crate) fn expire(&mut self, now: Instant, is_registered: impl Fn(&str) -> bool) {
        self.0.retain(|id, notice| {
            is_registered(id) || now.saturating_duration_since(notice.given) < KEPT
        });
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
            limit: None,
            given: now,
        }
    }
}
