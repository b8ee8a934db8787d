//! Detection of callers that disconnect before their response has ended.

use std::rc::Rc;
use std::time::Instant;

use dispatch::TargetId;
use node::event;

use super::call::Call;
use super::gateway::Gateway;

/// Logs that the caller disconnected if it is dropped before [`DisconnectGuard::disarm`] is called.
///
/// Without this event, the log does not distinguish a response that ended because the caller disconnected from one that
/// the entry aborted.
pub(super) struct DisconnectGuard {
    gateway: Rc<Gateway>,
    id: String,
    arrived: Instant,
    deadline: Instant,
    target: Option<TargetId>,
    last_event: Option<u64>,
    disarmed: bool,
}

impl DisconnectGuard {
    /// Returns a guard for `call`, which no target has answered yet.
    pub(super) fn new(gateway: &Rc<Gateway>, call: &Call) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            id: call.caller.id.clone(),
            arrived: call.arrived,
            deadline: call.deadline,
            target: None,
            last_event: None,
            disarmed: false,
        }
    }

    /// Sets the target whose response is forwarded.
    pub(super) fn set_target(&mut self, target: &TargetId) {
        self.target = Some(target.clone());
    }

    /// Records the id of the last forwarded event.
    pub(super) fn record_event(&mut self, event: Option<u64>) {
        self.last_event = event;
    }

    /// Disarms the guard after the response ended, either complete or with a log event of its own.
    pub(super) fn disarm(&mut self) {
        self.disarmed = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.disarmed {
            return;
        }
        let now = Instant::now();
        self.gateway.metrics.count_disconnect();
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
