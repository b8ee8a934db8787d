//! Requests whose prompts crash engines.

use std::time::Instant;

use ::quarantine::{Changes, CrashId, Evidence, Prompt, Quarantine, Refusal, Seat};

use super::{Decision, Scheduler};
use crate::request::{Reason, RequestContext, RequestId};

impl Scheduler {
    /// Returns the parts of prompts that are blamed for crashes.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Sets the entry's place in the order in which entries may try a quarantined part again.
    pub fn set_quarantine_seat(&mut self, seat: Seat) {
        self.quarantine.set_seat(seat);
    }

    /// Records that a target crashed on a request with `prompt` that had not lasted.
    pub fn record_crash(&mut self, now: Instant, crash: CrashId, prompt: &Prompt) -> Changes {
        self.quarantine.record_crash(now, crash, prompt)
    }

    /// Records that a target survived a request with `prompt`.
    pub fn record_survival(&mut self, now: Instant, prompt: &Prompt) -> Changes {
        self.quarantine.record_survival(now, prompt)
    }

    /// Merges what another process knows of parts that are blamed for crashes.
    ///
    /// Returns what that changed, and what this entry knows better, which others must be told.
    pub fn merge_evidence(&mut self, now: Instant, evidence: &[Evidence]) -> (Changes, Changes) {
        let merged = self.quarantine.merge(now, evidence);
        let refuted = self.quarantine.refute(now, &merged.parts);
        (merged, refuted)
    }

    pub(super) fn reject_quarantined(
        &mut self,
        now: Instant,
        request: RequestId,
        work: &RequestContext,
    ) -> Decision {
        let refusal = self.quarantine.check(now, &work.prompt);
        Decision::Reject {
            request,
            reason: Reason::Quarantined,
            retry_after: match refusal {
                Some(Refusal { retry_after, .. }) => retry_after,
                None => self.retry_after(now, work.deadline),
            },
        }
    }
}
