//! Failure domains whose targets get no requests because operators evacuate them.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::request::RequestContext;
use crate::target::Target;

impl Scheduler {
    /// Sends nothing more to the targets of `domain`; returns whether it was not evacuated before.
    ///
    /// Requests in progress end as usual.
    pub fn begin_evacuation(&mut self, now: Instant, domain: &str) -> bool {
        let is_new = !self.evacuations.contains_key(domain);
        if is_new {
            self.evacuations.insert(domain.to_owned(), now);
        }
        is_new
    }

    /// Uses the targets of `domain` again; returns the time since the evacuation began, or `None` if there was none.
    pub fn end_evacuation(&mut self, now: Instant, domain: &str) -> Option<Duration> {
        let began = self.evacuations.remove(domain)?;
        Some(now.saturating_duration_since(began))
    }

    /// Returns the failure domains that are evacuated.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &String> {
        self.evacuations.keys()
    }

    /// Returns whether operators evacuate the failure domain of `target`.
    pub(super) fn is_evacuated(&self, target: &Target) -> bool {
        self.evacuations.contains_key(&target.domain)
    }

    /// Returns whether a request could be sent to a target if its failure domain were not evacuated.
    pub(super) fn is_kept_by_evacuation(&self, work: &RequestContext) -> bool {
        let mut targets = self.targets.values().map(|state| &state.target);
        targets.any(|target| {
            target.service == work.service
                && self.is_evacuated(target)
                && self.is_home(target, work)
        })
    }
}
