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
        let is_only_version = self
            .pending
            .is_none_or(|pending| pending.manifest == Some(manifest));
        self.pending = Some(Pending {
            manifest: is_only_version.then_some(manifest),
            since: now,
        });
    }

    /// Records that the engine answered a report.
    pub fn report_answered(&mut self, now: Instant) {
        let unbroken = self
            .reports
            .filter(|reports| now.saturating_duration_since(reports.last) <= MAX_REPORT_INTERVAL);
        let since = unbroken.map_or(now, |reports| reports.since);
        self.reports = Some(Reports { since, last: now });
        self.pending = self.pending.filter(|pending| {
            now.saturating_duration_since(since.max(pending.since)) < SETTLE_TIME
        });
    }

    /// Returns whether chunks of the version with `manifest` may be staged.
    ///
    /// Late requests of the same version are harmless: they write the same chunks or repeat the same order.
    pub fn may_stage(&self, manifest: Digest) -> bool {
        self.pending
            .is_none_or(|pending| pending.manifest == Some(manifest))
    }
}
