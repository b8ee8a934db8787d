//! Whom an agent asks for the list of a version's parts.

use std::time::{Duration, Instant};

/// Time after which the second agent of a domain asks the origin as well; it doubles with each further agent.
const TURN: Duration = Duration::from_millis(800);
/// Bounds of the pause after a failed call to the origin; it doubles with each failure.
const ORIGIN_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));
/// Bounds of the pause between two rounds; it doubles with each round.
const ROUND_PAUSE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(160));
/// Agents after the first one that are asked in turn.
const OTHERS: usize = 4;

/// Search of one agent for the list of parts.
///
/// The agents of a failure domain stand in an order that all of them compute alike. The first one asks the origin, and the
/// others ask it. A later one asks the origin too when it has waited for long: the first ones may be down. If all did so at
/// once, an origin that comes back would have to send the list to each of them before the first part.
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
    /// Time from which the agent asks the origin itself.
    turn: Instant,
    peers: usize,
    rounds: u32,
    failures: u32,
    /// Earliest time of the next call to the origin.
    origin_at: Instant,
}

/// Whom to ask now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SearchRound {
    /// Places of agents in the order of the domain, in which the asking one is left out.
    pub peers: Vec<usize>,
    /// Whether to ask the origin after them.
    pub origin: bool,
    /// Time to wait before the next round.
    pub pause: Duration,
}

impl ManifestSearch {
    /// Returns the search of the agent that `rank` others come before, of `peers` others in all.
    pub fn new(now: Instant, rank: usize, peers: usize) -> Self {
        let turn = match rank {
            0 => Duration::ZERO,
            _ => doubled(TURN, rank as u32 - 1),
        };
        Self {
            turn: now + turn,
            peers,
            rounds: 0,
            failures: 0,
            origin_at: now,
        }
    }

    /// Returns whom to ask at `now`.
    pub fn next_round(&mut self, now: Instant) -> SearchRound {
        let others = self.peers.saturating_sub(1).min(OTHERS);
        let mut peers: Vec<usize> = (0..self.peers.min(1)).collect();
        if others > 0 {
            peers.push(1 + self.rounds as usize % others);
        }
        let pause = doubled(ROUND_PAUSE.0, self.rounds).min(ROUND_PAUSE.1);
        self.rounds = self.rounds.saturating_add(1);
        SearchRound {
            peers,
            origin: now >= self.turn && now >= self.origin_at,
            pause,
        }
    }

    /// Notes that the origin answered a call.
    pub fn origin_answered(&mut self) {
        self.failures = 0;
    }

    /// Notes that a call to the origin failed at `now`.
    pub fn origin_failed(&mut self, now: Instant) {
        let pause = doubled(ORIGIN_PAUSE.0, self.failures).min(ORIGIN_PAUSE.1);
        self.failures = self.failures.saturating_add(1);
        self.origin_at = now + pause;
    }
}

fn doubled(time: Duration, times: u32) -> Duration {
    /// Doublings after which a time is longer than any that counts here.
    const MOST: u32 = 12;
    time * 2u32.pow(times.min(MOST))
}
