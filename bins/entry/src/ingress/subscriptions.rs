//! When an entry subscribes at which agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two subscriptions at an agent of the own failure domain.
const NEAR: Duration = Duration::from_secs(1);
/// Time between two subscriptions at an agent of another one; agents forget an entry after three of them.
const FAR: Duration = Duration::from_secs(2);

/// Subscriptions of an entry by the agent's address.
///
/// An agent that is new is subscribed at once, and all of them are when operators name a version.
#[derive(Debug, Default)]
pub struct Subscriptions {
    sent: BTreeMap<SocketAddr, Instant>,
    versions: Vec<(String, u64)>,
}

impl Subscriptions {
    /// Takes the versions that operators named.
    pub fn set_versions(&mut self, versions: Vec<(String, u64)>) {
        if self.versions != versions {
            self.sent.clear();
            self.versions = versions;
        }
    }

    /// Returns those of a service's `agents` at which to subscribe now; each comes with whether it is in the own domain.
    pub fn due(&mut self, now: Instant, agents: &BTreeMap<SocketAddr, bool>) -> Vec<SocketAddr> {
        let due = |(agent, near): &(&SocketAddr, &bool)| {
            let interval = if **near { NEAR } else { FAR };
            let sent = self.sent.get(*agent);
            sent.is_none_or(|sent| now.saturating_duration_since(*sent) >= interval)
        };
        let due: Vec<SocketAddr> = agents.iter().filter(due).map(|(agent, _)| *agent).collect();
        self.sent
            .retain(|_, sent| now.saturating_duration_since(*sent) < 2 * FAR);
        self.sent.extend(due.iter().map(|agent| (*agent, now)));
        due
    }
}
