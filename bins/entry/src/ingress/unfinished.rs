//! Requests whose answers have not ended.

use std::rc::Rc;
use std::time::Instant;

use dispatch::TargetId;
use node::event;

use super::call::Call;
use super::gateway::Gateway;

/// A request whose answer has not ended; dropping it before [`Unfinished::finish`] logs that the caller left.
///
/// Without that line, an answer that ends because the caller's connection ended can't be told from one that the entry
/// cut.
pub(super) struct Unfinished {
    gateway: Rc<Gateway>,
    id: String,
    arrived: Instant,
    deadline: Instant,
    target: Option<TargetId>,
    last_event: Option<u64>,
    finished: bool,
}

impl Unfinished {
    /// Returns the request of `call`, which no target answers yet.
    pub(super) fn new(gateway: &Rc<Gateway>, call: &Call) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            id: call.caller.id.clone(),
            arrived: call.arrived,
            deadline: call.deadline,
            target: None,
            last_event: None,
            finished: false,
        }
    }

    /// Notes the target whose answer is passed on.
    pub(super) fn answered_by(&mut self, target: &TargetId) {
        self.target = Some(target.clone());
    }

    /// Notes the last event that was passed on.
    pub(super) fn passed(&mut self, event: Option<u64>) {
        self.last_event = event;
    }

    /// Notes that the answer ended, as a whole or with a line of its own.
    pub(super) fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for Unfinished {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let now = Instant::now();
        self.gateway.metrics.caller_left();
        event!(
            event::CALLER_LEFT,
            request = self.id,
            target = self.target.as_deref().unwrap_or("none"),
            after = self.last_event.unwrap_or_default(),
            age_ms = now.saturating_duration_since(self.arrived).as_millis(),
            left_ms = self.deadline.saturating_duration_since(now).as_millis()
        );
    }
}
