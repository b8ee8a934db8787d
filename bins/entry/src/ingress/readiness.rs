//! What an entry must have read before it routes requests.

use std::rc::Rc;

use dispatch::Config;

use super::gateway::Gateway;

/// Reason of a refusal while no configuration has been read.
const UNCONFIGURED: &str = "unconfigured";
/// Reason of a refusal while the evacuations of failure domains have not been read.
const EVACUATIONS_UNKNOWN: &str = "evacuations-unknown";

impl Gateway {
    /// Returns the configuration in force if requests can be routed by it, or else the reason why they can't.
    ///
    /// An evacuation that has not been read can't be told from none.
    pub(super) fn routing_config(&self) -> Result<Rc<Config>, &'static str> {
        let config = self.config().ok_or(UNCONFIGURED)?;
        match self.evacuations_known.get() {
            true => Ok(config),
            false => Err(EVACUATIONS_UNKNOWN),
        }
    }

    /// Returns whether the evacuations of failure domains are known.
    pub(super) fn are_evacuations_known(&self) -> bool {
        self.evacuations_known.get()
    }

    /// Records that the evacuations of failure domains are known from now on.
    pub(super) fn set_evacuations_known(&self) {
        self.evacuations_known.set(true);
    }
}
