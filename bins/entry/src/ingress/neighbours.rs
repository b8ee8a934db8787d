//! Discovery of the other entries of the failure domain when an entry starts.

use std::cell::Cell;
use std::time::{Duration, Instant};

use super::gateway::Gateway;
use super::loads;

/// Maximum wait after the start of this entry.
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Time after the first read of targets in which agents respond to this entry's subscription.
const REPORT_TIME: Duration = Duration::from_millis(700);
/// Time after the first report in which agents report further entries that start at the same time.
const SETTLING_TIME: Duration = Duration::from_millis(150);
/// Interval between checks whether agents have reported other entries.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until agents report the other entries of the domain, so that a starting entry doesn't read a large
/// configuration over the link between regions that its neighbours already have or are reading.
///
/// `targets_read` is the time of the first read of targets. The wait ends at once if the
/// domain has no targets.
pub(super) async fn wait(gateway: &Gateway, targets_read: &Cell<Option<Instant>>) {
    let start = Instant::now();
    while start.elapsed() < MAX_WAIT {
        if gateway.peers.borrow().has_others() {
            compio::time::sleep(SETTLING_TIME).await;
            return;
        }
        if let Some(read) = targets_read.get() {
            let agents = loads::agents(gateway);
            let has_neighbours = agents.values().flatten().any(|(_, local)| *local);
            if !has_neighbours || read.elapsed() >= REPORT_TIME {
                return;
            }
        }
        compio::time::sleep(CHECK_INTERVAL).await;
    }
}
