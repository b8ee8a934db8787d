//! Schedule of an entry's subscriptions to agents.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between subscriptions to an agent of the same failure domain.
const LOCAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between subscriptions to an agent of another failure domain; agents forget an entry after three intervals.
const REMOTE_INTERVAL: Duration = Duration::from_secs(2);

/// Times of an entry's last subscriptions, by the agent's address.
///
/// A subscription to a new agent is due at once, and so are all subscriptions when operators name a version.
#[derive(Debug, Default)]
pub struct Subscriptions {
    last_sent: BTreeMap<SocketAddr, Instant>,
    versions: Vec<(String, u64)>,
}

impl Subscriptions {
    /// Sets the versions that operators named; a change makes all subscriptions due.
    pub fn set_versions(&mut self, versions: Vec<(String, u64)>) {
        if self.versions != versions {
            self.last_sent.clear();
            self.versions = versions;
        }
    }

    /// Returns the agents of a service to subscribe to now; `agents` maps each to whether it is in this entry's domain.
    pub fn due(&mut self, now: Instant, agents: &BTreeMap<SocketAddr, bool>) -> Vec<SocketAddr> {
        let due = |(agent, local): &(&SocketAddr, &bool)| {
            let interval = if **local {
                LOCAL_INTERVAL
            } else {
                REMOTE_INTERVAL
            };
            let last_sent = self.last_sent.get(*agent);
            last_sent.is_none_or(|sent| now.saturating_duration_since(*sent) >= interval)
        };
        let due: Vec<SocketAddr> = agents.iter().filter(due).map(|(agent, _)| *agent).collect();
        self.last_sent
            .retain(|_, sent| now.saturating_duration_since(*sent) < 2 * REMOTE_INTERVAL);
        self.last_sent.extend(due.iter().map(|agent| (*agent, now)));
        due
    }
}
