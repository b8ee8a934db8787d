//! The entries that an agent sends its engine's load to, and how often.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval after which an unchanged load is sent again; entries treat older ones as unknown.
const REPEAT_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum number of loads per second sent to entries of other failure domains in total.
///
/// Entries prefer the engines of their own domain, and the links between domains carry requests as well.
const MAX_REMOTE_LOADS_PER_S: u32 = 200;
/// Time after which an entry that didn't renew its subscription is removed; entries of other domains subscribe every
/// two seconds.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_millis(6500);

/// Entries that subscribed to the load of an engine.
///
/// ```
/// use std::time::Instant;
/// use rollout::{LoadChange, Subscribers};
///
/// let mut subscribers = Subscribers::default();
/// let now = Instant::now();
/// subscribers.subscribe(now, ([127, 0, 0, 1], 9).into(), true);
/// assert_eq!(subscribers.due(now, LoadChange::None).len(), 1);
/// assert_eq!(subscribers.due(now, LoadChange::None).len(), 0);
/// assert_eq!(subscribers.due(now, LoadChange::Load).len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct Subscribers(BTreeMap<SocketAddr, Subscriber>);

/// What changed since the last call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadChange {
    /// Nothing.
    None,
    /// The load figures.
    Load,
    /// Whether the engine accepts work, or its weights: until entries know, they send requests that fail.
    State,
}

#[derive(Debug)]
struct Subscriber {
    near: bool,
    subscribed: Instant,
    last_sent: Option<Instant>,
    /// Whether the load has changed since it was last sent.
    outdated: bool,
}

impl Subscribers {
    /// Adds or renews the subscription of an entry, and returns whether it is new; `near` states whether the entry is in
    /// the agent's failure domain.
    pub fn subscribe(&mut self, now: Instant, entry: SocketAddr, near: bool) -> bool {
        let is_new = !self.0.contains_key(&entry);
        let subscriber = self.0.entry(entry).or_insert(Subscriber {
            near,
            subscribed: now,
            last_sent: None,
            outdated: true,
        });
        subscriber.near = near;
        subscriber.subscribed = now;
        is_new
    }

    /// Returns the number of subscribed entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no entry is subscribed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the entries in the agent's failure domain.
    pub fn same_domain(&self) -> Vec<SocketAddr> {
        let near = self.0.iter().filter(|(_, subscriber)| subscriber.near);
        near.map(|(entry, _)| *entry).collect()
    }

    /// Removes entries that didn't renew their subscription.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, subscriber| {
            now.saturating_duration_since(subscriber.subscribed) < SUBSCRIPTION_TIMEOUT
        });
    }

    /// Returns the entries to send the load to now, given what changed.
    pub fn due(&mut self, now: Instant, change: LoadChange) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        let remote = self.0.values().filter(|subscriber| !subscriber.near);
        let remote_interval =
            Duration::from_secs(1) * remote.count() as u32 / MAX_REMOTE_LOADS_PER_S;
        for (entry, subscriber) in &mut self.0 {
            subscriber.outdated |= change != LoadChange::None;
            let interval = match subscriber.near || change == LoadChange::State {
                true => Duration::ZERO,
                false => remote_interval,
            };
            if subscriber.is_due(now, interval) {
                subscriber.last_sent = Some(now);
                subscriber.outdated = false;
                due.push(*entry);
            }
        }
        due
    }
}

impl Subscriber {
    /// Returns whether the load must be sent now, at least `interval` after the last time.
    fn is_due(&self, now: Instant, interval: Duration) -> bool {
        let Some(last_sent) = self.last_sent else {
            return true;
        };
        let age = now.saturating_duration_since(last_sent);
        age >= REPEAT_INTERVAL || (self.outdated && age >= interval)
    }
}
