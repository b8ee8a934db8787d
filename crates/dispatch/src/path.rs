//! Distinguishes unreachable targets from unreachable network paths.
//!
//! When a link between failure domains is congested or cut, connections to all targets behind it time out at the same
//! moment, which says nothing about the targets. Ejecting each of them would keep requests away from healthy targets
//! long after the link has recovered.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::target::TargetId;

/// Age up to which the outcome of a connection counts as evidence about its path.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Number of unreachable targets at which the path is blocked, provided that they outnumber those that answered.
const MIN_FAILED_TARGETS: usize = 3;
/// Time for which a blocked path gets no requests while other targets are available.
const BLOCK_DURATION: Duration = Duration::from_millis(500);
/// Time between two requests that probe a blocked path.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Network paths from this entry to the failure domains.
#[derive(Debug, Default)]
pub(crate) struct NetworkPaths(BTreeMap<String, NetworkPath>);

#[derive(Debug, Default)]
struct NetworkPath {
    /// Targets whose connections timed out, and when.
    failed: BTreeMap<TargetId, Instant>,
    /// Targets that answered, and when.
    answered: BTreeMap<TargetId, Instant>,
    blocked: Option<Blocked>,
}

/// State of a path that is held responsible for connection timeouts.
#[derive(Clone, Copy, Debug)]
struct Blocked {
    until: Instant,
    /// When the last request was sent over it.
    last_probe: Option<Instant>,
}

impl NetworkPaths {
    /// Records a connection timeout of `target` in `domain`; returns whether the path is held responsible.
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

    /// Records that `target` in `domain` answered, which unblocks the path.
    pub(crate) fn record_answer(&mut self, now: Instant, domain: &str, target: &str) {
        let path = self.0.entry(domain.into()).or_default();
        path.expire(now);
        path.failed.remove(target);
        path.answered.insert(target.into(), now);
        path.blocked = None;
    }

    /// Records that a request was sent to a target in `domain`; on a blocked path it serves as a probe.
    pub(crate) fn record_sent(&mut self, now: Instant, domain: &str) {
        let path = self.0.get_mut(domain);
        if let Some(blocked) = path.and_then(|path| path.blocked.as_mut()) {
            blocked.last_probe = Some(now);
        }
    }

    /// Returns whether requests may go to `domain` although other targets are available.
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
