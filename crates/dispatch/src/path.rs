//! Tells targets that can't be reached from paths that can't.
//!
//! When a link between failure domains is full or cut, connections to all targets behind it are late at the same moment.
//! That says nothing about any of them. Ejecting each one would keep requests away from sound targets long after the link
//! is free again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::target::TargetId;

/// Time for which a connection that came about, or didn't, says something about the path.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Targets without a connection from which the path is to blame, if they are more than those that answered.
const MIN_FAILED_TARGETS: usize = 3;
/// Time for which a path that is to blame gets no requests while there are others.
const BLOCK_DURATION: Duration = Duration::from_millis(500);
/// Time between two requests that show whether it carries any again.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Paths from this entry to the failure domains.
#[derive(Debug, Default)]
pub(crate) struct NetworkPaths(BTreeMap<String, NetworkPath>);

#[derive(Debug, Default)]
struct NetworkPath {
    /// Targets that could not be connected to, and when.
    failed: BTreeMap<TargetId, Instant>,
    /// Targets that answered, and when.
    answered: BTreeMap<TargetId, Instant>,
    blocked: Option<Blocked>,
}

/// A path that is to blame for connections that didn't come about.
#[derive(Clone, Copy, Debug)]
struct Blocked {
    until: Instant,
    /// When the last request was sent over it.
    last_probe: Option<Instant>,
}

impl NetworkPaths {
    /// Notes that no connection to `target` in `domain` came about in time, and returns whether the path is to blame.
    pub(crate) fn record_failure(&mut self, now: Instant, domain: &str, target: &str) -> bool {
        let path = self.0.entry(domain.into()).or_default();
        path.expire(now);
        path.answered.remove(target);
        path.failed.insert(target.into(), now);
        let path_failed = path.blocked.is_some()
            || path.failed.len() >= MIN_FAILED_TARGETS && path.failed.len() > path.answered.len();
        if path_failed {
            path.blocked = Some(Blocked {
                until: now + BLOCK_DURATION,
                last_probe: path.blocked.and_then(|blocked| blocked.last_probe),
            });
        }
        path_failed
    }

    /// Notes that `target` in `domain` answered.
    pub(crate) fn record_answer(&mut self, now: Instant, domain: &str, target: &str) {
        let path = self.0.entry(domain.into()).or_default();
        path.expire(now);
        path.failed.remove(target);
        path.answered.insert(target.into(), now);
        path.blocked = None;
    }

    /// Notes that a request was sent to a target in `domain`.
    pub(crate) fn record_sent(&mut self, now: Instant, domain: &str) {
        let path = self.0.get_mut(domain);
        if let Some(blocked) = path.and_then(|path| path.blocked.as_mut()) {
            blocked.last_probe = Some(now);
        }
    }

    /// Tells whether requests may go to `domain` while there are other targets.
    pub(crate) fn is_open(&self, now: Instant, domain: &str) -> bool {
        let Some(blocked) = self.0.get(domain).and_then(|path| path.blocked) else {
            return true;
        };
        let probed = blocked
            .last_probe
            .is_some_and(|at| now.saturating_duration_since(at) < PROBE_INTERVAL);
        now >= blocked.until && !probed
    }
}

impl NetworkPath {
    fn expire(&mut self, now: Instant) {
        let fresh = |_: &TargetId, at: &mut Instant| now.saturating_duration_since(*at) < MAX_AGE;
        self.failed.retain(fresh);
        self.answered.retain(fresh);
    }
}
