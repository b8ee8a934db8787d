//! The end of a planned stop, at which requests without a response are answered.

use std::time::Duration;

use dispatch::Failure;

use super::call::Call;
use super::error::{Rejection, RequestError};
use super::gateway::Gateway;

/// Reason of refusals by an entry that is stopping.
pub(super) const STOPPING: &str = "stopping";
/// Time after which a caller may retry at another entry because this one is stopping.
pub(super) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Gateway {
    /// Answers all requests that have no response yet; streams that have begun continue.
    pub fn cut_off(&self) {
        self.cutoff.reach();
    }

    /// Returns the result of `work` for `call`, or an error if the process has to stop first.
    ///
    /// A request of which nothing was sent to a target has not run.
    pub(super) async fn until_cutoff<T>(
        &self,
        call: &Call,
        work: impl Future<Output = T>,
    ) -> Result<T, RequestError> {
        let result = self.cutoff.limit(work).await;
        result.ok_or_else(|| {
            let rejection = Rejection {
                reason: STOPPING,
                retry_after: STOPPING_RETRY_AFTER,
            };
            let possible_run = call.sent.get().then_some(Failure::Stopped);
            RequestError::after(None, possible_run, rejection)
        })
    }
}
