//! Decides when requests without a response can no longer take effect in an engine.

use std::time::{Duration, Instant};

use weights::Digest;

/// Maximum time between two reports of an engine that handles its requests; longer than the timeout of one report.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which an engine must have reported without interruption before an earlier request counts as handled.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Requests to an engine that may still take effect although they have no response.
///
/// A paused engine finds them in its sockets when it continues, even if their sender has closed its connections or has
/// ended. An engine that has answered reports for some time has handled what was in its sockets before.
#[derive(Clone, Debug)]
pub struct Settling {
    pending: Option<Pending>,
    reports: Option<Reports>,
}

/// Requests that may still take effect.
#[derive(Clone, Copy, Debug)]
struct Pending {
    /// Manifest of the version that they stage or load; `None` if it may be any.
    manifest: Option<Digest>,
    since: Instant,
}

/// An uninterrupted series of reports.
#[derive(Clone, Copy, Debug)]
struct Reports {
    since: Instant,
    last: Instant,
}

impl Settling {
    /// Returns the state at the start of an agent, whose predecessor may have left requests of any version.
    pub fn new(now: Instant) -> Self {
        Self {
            pending: Some(Pending {
                manifest: None,
                since: now,
            }),
            reports: None,
        }
    }

    /// Records that a request for the version with `manifest` has no certain response.
    pub fn response_lost(&mut self, now: Instant, manifest: Digest) {
        let same = |pending: Pending| pending.manifest == Some(manifest);
        let pending = self.pending(now).filter(|pending| !same(*pending));
        self.pending = Some(Pending {
            manifest: pending.is_none().then_some(manifest),
            since: now,
        });
    }

    /// Records that the engine answered a report.
    pub fn report_answered(&mut self, now: Instant) {
        let unbroken = self
            .reports
            .filter(|reports| now.saturating_duration_since(reports.last) <= MAX_REPORT_INTERVAL);
        self.reports = Some(Reports {
            since: unbroken.map_or(now, |reports| reports.since),
            last: now,
        });
    }

    /// Returns whether chunks of the version with `manifest` may be staged.
    ///
    /// Late requests of the same version are harmless: they write the same chunks or repeat the same order.
    pub fn may_stage(&self, now: Instant, manifest: Digest) -> bool {
        self.pending(now)
            .is_none_or(|pending| pending.manifest == Some(manifest))
    }

    /// Returns the requests that may still take effect at `now`.
    fn pending(&self, now: Instant) -> Option<Pending> {
        self.pending
            .filter(|pending| !self.is_settled(now, *pending))
    }

    fn is_settled(&self, now: Instant, pending: Pending) -> bool {
        self.reports.is_some_and(|reports| {
            let since = reports.since.max(pending.since);
            let is_current = now.saturating_duration_since(reports.last) <= MAX_REPORT_INTERVAL;
            is_current && reports.last.saturating_duration_since(since) >= SETTLE_TIME
        })
    }
}
