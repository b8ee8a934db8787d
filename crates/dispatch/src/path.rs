//! Tells targets that can't be reached from paths that can't.
//!
//! When a link between failure domains is full or cut, connections to all targets behind it are late at the same moment.
//! That says nothing about any of them. Ejecting each one would keep requests away from sound targets long after the link
//! is free again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::target::TargetId;

/// Time for which a connection that came about, or didn't, says something about the path.
const SPAN: Duration = Duration::from_secs(1);
/// Targets without a connection from which the path is to blame, if they are more than those that answered.
const LEAST_FAILED: usize = 3;
/// Time for which a path that is to blame gets no requests while there are others.
const CLOSED: Duration = Duration::from_millis(500);
/// Time between two requests that show whether it carries any again.
const PROBE: Duration = Duration::from_millis(200);

/// Paths from this entry to the failure domains.
#[derive(Debug, Default)]
pub(crate) struct Paths(BTreeMap<String, Path>);

#[derive(Debug, Default)]
struct Path {
    /// Targets that could not be connected to, and when.
    failed: BTreeMap<TargetId, Instant>,
    /// Targets that answered, and when.
    answered: BTreeMap<TargetId, Instant>,
    closed: Option<Closed>,
}

/// A path that is to blame for connections that didn't come about.
#[derive(Clone, Copy, Debug)]
struct Closed {
    until: Instant,
    /// When the last request was sent over it.
    probed: Option<Instant>,
}

impl Paths {
    /// Notes that no connection to `target` in `domain` came about in time, and returns whether the path is to blame.
    pub(crate) fn failed(&mut self, now: Instant, domain: &str, target: &str) -> bool {
        let path = self.0.entry(domain.into()).or_default();
        path.expire(now);
        path.answered.remove(target);
        path.failed.insert(target.into(), now);
        let blamed = path.closed.is_some()
            || path.failed.len() >= LEAST_FAILED && path.failed.len() > path.answered.len();
        if blamed {
            path.closed = Some(Closed {
                until: now + CLOSED,
                probed: path.closed.and_then(|closed| closed.probed),
            });
        }
        blamed
    }

    /// Notes that `target` in `domain` answered.
    pub(crate) fn answered(&mut self, now: Instant, domain: &str, target: &str) {
        let path = self.0.entry(domain.into()).or_default();
        path.expire(now);
        path.failed.remove(target);
        path.answered.insert(target.into(), now);
        path.closed = None;
    }

    /// Notes that a request was sent to a target in `domain`.
    pub(crate) fn sent(&mut self, now: Instant, domain: &str) {
        let path = self.0.get_mut(domain);
        if let Some(closed) = path.and_then(|path| path.closed.as_mut()) {
            closed.probed = Some(now);
        }
    }

    /// Tells whether requests may go to `domain` while there are other targets.
    pub(crate) fn is_open(&self, now: Instant, domain: &str) -> bool {
        let Some(closed) = self.0.get(domain).and_then(|path| path.closed) else {
            return true;
        };
        let probed = closed
            .probed
            .is_some_and(|at| now.saturating_duration_since(at) < PROBE);
        now >= closed.until && !probed
    }
}

impl Path {
    fn expire(&mut self, now: Instant) {
        let fresh = |_: &TargetId, at: &mut Instant| now.saturating_duration_since(*at) < SPAN;
        self.failed.retain(fresh);
        self.answered.retain(fresh);
    }
}
