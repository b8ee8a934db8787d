//! Selects whom an agent asks for the manifest of a version.

use std::time::{Duration, Instant};

/// Time after which the second agent of a domain asks the origin as well; it doubles with each further agent.
const ORIGIN_DELAY: Duration = Duration::from_millis(800);
/// Bounds of the delay after a failed call to the origin; it doubles with each failure.
const ORIGIN_RETRY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(400));
/// Bounds of the delay between two rounds; it doubles with each round.
const ROUND_PAUSE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(40), Duration::from_millis(160));
/// Number of agents after the first one that are asked in rotation.
const MAX_ROTATED_PEERS: usize = 4;

/// Search of one agent for a manifest.
///
/// The agents of a failure domain have an order that all of them compute alike. The first one asks the origin, and the
/// others ask the first. A later agent also asks the origin after a delay, because the earlier ones may be down. If all
/// did so at once, an origin that recovers would have to send the manifest to each of them before the first chunk.
///
/// ```
/// use std::time::Instant;
/// use rollout::ManifestSearch;
///
/// let now = Instant::now();
/// assert!(ManifestSearch::new(now, 0, 5).next_round(now).origin);
/// let round = ManifestSearch::new(now, 3, 5).next_round(now);
/// assert_eq!((round.peers, round.origin), (vec![0, 1], false));
/// ```
#[derive(Clone, Debug)]
pub struct ManifestSearch {
    /// Time from which the agent itself asks the origin.
    ask_origin_at: Instant,
    peers: usize,
    rounds: u32,
    failures: u32,
    /// Earliest time of the next call to the origin.
    origin_retry_at: Instant,
}

/// Whom to ask in one round.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SearchRound {
    /// Indices of agents in the order of the domain, not counting the asking one.
    pub peers: Vec<usize>,
    /// Whether to ask the origin after them.
    pub origin: bool,
    /// Delay before the next round.
    pub pause: Duration,
}

impl ManifestSearch {
    /// Returns the search of an agent with `rank` others before it in the order, out of `peers` others.
    pub fn new(now: Instant, rank: usize, peers: usize) -> Self {
        let delay = match rank {
            0 => Duration::ZERO,
            _ => doubled(ORIGIN_DELAY, rank as u32 - 1),
        };
        Self {
            ask_origin_at: now + delay,
            peers,
            rounds: 0,
            failures: 0,
            origin_retry_at: now,
        }
    }

    /// Advances to the next round and returns whom to ask at `now`.
    pub fn next_round(&mut self, now: Instant) -> SearchRound {
        let others = self.peers.saturating_sub(1).min(MAX_ROTATED_PEERS);
        let mut peers: Vec<usize> = (0..self.peers.min(1)).collect();
        if others > 0 {
            peers.push(1 + self.rounds as usize % others);
        }
        let pause = doubled(ROUND_PAUSE_BOUNDS.0, self.rounds).min(ROUND_PAUSE_BOUNDS.1);
        self.rounds = self.rounds.saturating_add(1);
        SearchRound {
            peers,
            origin: now >= self.ask_origin_at && now >= self.origin_retry_at,
            pause,
        }
    }

    /// Records that the origin answered a call.
    pub fn origin_answered(&mut self) {
        self.failures = 0;
    }

    /// Records that a call to the origin failed at `now`.
    pub fn origin_failed(&mut self, now: Instant) {
        let pause = doubled(ORIGIN_RETRY_BOUNDS.0, self.failures).min(ORIGIN_RETRY_BOUNDS.1);
        self.failures = self.failures.saturating_add(1);
        self.origin_retry_at = now + pause;
    }
}

fn doubled(time: Duration, times: u32) -> Duration {
    /// Limit of doublings; the result exceeds any time used here.
    const MAX_DOUBLINGS: u32 = 12;
    time * 2u32.pow(times.min(MAX_DOUBLINGS))
}
