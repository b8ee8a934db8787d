//! The entries that an agent tells its engine's load, and how often.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which an unchanged load is told again; entries take older ones for unknown.
const REPEATED: Duration = Duration::from_millis(800);
/// Loads a second that are told to entries of other failure domains together, however many they are.
///
/// Entries prefer the engines of their own domain, and the links between domains carry requests as well.
const FAR_LOADS_PER_S: u32 = 200;
/// Time after which an entry that didn't subscribe again is forgotten; far ones subscribe every two seconds.
const FORGOTTEN: Duration = Duration::from_millis(6500);

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

/// What changed since the last look.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadChange {
    /// Nothing.
    None,
    /// The load.
    Load,
    /// Whether the engine takes work, or its weights: requests would be sent in vain.
    State,
}

#[derive(Debug)]
struct Subscriber {
    near: bool,
    subscribed: Instant,
    told: Option<Instant>,
    /// Whether the load has changed since it was told.
    outdated: bool,
}

impl Subscribers {
    /// Takes the subscription of an entry, which is `near` if it is in the agent's failure domain.
    pub fn subscribe(&mut self, now: Instant, entry: SocketAddr, near: bool) {
        let subscriber = self.0.entry(entry).or_insert(Subscriber {
            near,
            subscribed: now,
            told: None,
            outdated: true,
        });
        subscriber.near = near;
        subscriber.subscribed = now;
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Tells whether no entry subscribed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the entries of the agent's failure domain.
    pub fn same_domain(&self) -> Vec<SocketAddr> {
        let near = self.0.iter().filter(|(_, subscriber)| subscriber.near);
        near.map(|(entry, _)| *entry).collect()
    }

    /// Forgets entries that did not subscribe again.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, subscriber| {
            now.saturating_duration_since(subscriber.subscribed) < FORGOTTEN
        });
    }

    /// Returns the entries to tell the load now, after `news`.
    pub fn due(&mut self, now: Instant, news: LoadChange) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        let far = self.0.values().filter(|subscriber| !subscriber.near);
        let far_interval = Duration::from_secs(1) * far.count() as u32 / FAR_LOADS_PER_S;
        for (entry, subscriber) in &mut self.0 {
            subscriber.outdated |= news != LoadChange::None;
            let interval = match subscriber.near || news == LoadChange::State {
                true => Duration::ZERO,
                false => far_interval,
            };
            if subscriber.is_due(now, interval) {
                subscriber.told = Some(now);
                subscriber.outdated = false;
                due.push(*entry);
            }
        }
        due
    }
}

impl Subscriber {
    /// Tells whether the load is told now, at least `interval` after the last time.
    fn is_due(&self, now: Instant, interval: Duration) -> bool {
        let Some(told) = self.told else {
            return true;
        };
        let age = now.saturating_duration_since(told);
        age >= REPEATED || (self.outdated && age >= interval)
    }
}
