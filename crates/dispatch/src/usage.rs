//! Cost of the requests of each workspace, now and usually.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time constant of the recent cost: about as long as a rejected caller waits before it returns.
const RECENT: Duration = Duration::from_secs(2);
/// Time constant of the usual cost, long enough that a surge of minutes does not become usual.
const USUAL: Duration = Duration::from_secs(300);
/// Multiple of its usual cost from which a workspace may exceed its share. One entry gets few requests of a workspace, so
/// lower multiples occur by chance.
const SURGE_FACTOR: f64 = 4.0;
/// Part of the cost beyond a workspace's share that counts as usual, so that a lasting change becomes usual after minutes.
const SURGE_LEARNED: f64 = 0.1;
/// Number of workspaces from which those without recent requests are removed.
const MAX_WORKSPACES: usize = 1024;

/// Costs of the requests for one service by workspace, in tokens.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    workspaces: BTreeMap<Rc<str>, Cost>,
    /// Time of the first request, from which usual costs are known.
    since: Option<Instant>,
}

/// Decaying sums of one workspace's costs.
#[derive(Clone, Copy, Debug)]
struct Cost {
    recent: f64,
    usual: f64,
    updated: Instant,
}

impl Usage {
    /// Adds `cost` to that of `workspace`; returns whether the workspace exceeds its share of the service.
    ///
    /// It does if its recent cost is a multiple of the usual one and more than an equal part of the cost of all
    /// workspaces with recent requests.
    pub(crate) fn record(&mut self, now: Instant, workspace: &Rc<str>, cost: f64) -> bool {
        let since = *self.since.get_or_insert(now);
        if self.workspaces.len() >= MAX_WORKSPACES {
            self.workspaces
                .retain(|_, cost| now.saturating_duration_since(cost.updated) < USUAL);
        }
        let entry = self.workspaces.entry(Rc::clone(workspace)).or_insert(Cost {
            recent: 0.0,
            usual: 0.0,
            updated: now,
        });
        entry.recent = entry.recent_at(now) + cost;
        entry.usual *= decay(now, entry.updated, USUAL);
        entry.updated = now;
        let (recent, usual) = (entry.recent, entry.usual + cost);
        // A decaying sum over a time constant much longer than the time since the start is the sum since the start.
        let known = now.saturating_duration_since(since).as_secs_f64();
        let usual_rate = usual / weight(known, USUAL);
        let recent_rate = recent / weight(known, RECENT);
        let exceeds =
            recent_rate > SURGE_FACTOR * usual_rate && self.exceeds_equal_part(now, recent);
        let learned = if exceeds { SURGE_LEARNED } else { 1.0 };
        if let Some(entry) = self.workspaces.get_mut(workspace) {
            entry.usual += cost * learned;
        }
        exceeds
    }

    fn exceeds_equal_part(&self, now: Instant, recent: f64) -> bool {
        let is_active =
            |cost: &&Cost| now.saturating_duration_since(cost.updated) < RECENT.mul_f64(2.0);
        let active = self.workspaces.values().filter(is_active);
        let (count, total) = active.fold((0.0, 0.0), |(count, total), cost| {
            (count + 1.0, total + cost.recent_at(now))
        });
        recent * count > total
    }
}

impl Cost {
    fn recent_at(&self, now: Instant) -> f64 {
        self.recent * decay(now, self.updated, RECENT)
    }
}

fn decay(now: Instant, then: Instant, constant: Duration) -> f64 {
    let elapsed = now.saturating_duration_since(then);
    (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp()
}

/// Returns the seconds that a decaying sum stands for after `known` seconds.
fn weight(known: f64, constant: Duration) -> f64 {
    let constant = constant.as_secs_f64();
    (constant * (1.0 - (-known / constant).exp())).max(1.0)
}
