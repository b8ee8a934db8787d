//! Simulates the search for a manifest by the agents of a failure domain while the origin is down for some time.

use std::time::{Duration, Instant};

use rollout::ManifestSearch;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(5);

/// Counts of a simulation.
#[derive(Debug, Default)]
struct Count {
    /// Calls to the origin while it was down.
    refused: usize,
    /// Manifests that the origin sent.
    sent: usize,
    /// Time from the origin's return until all live agents had the manifest.
    after: Duration,
}

/// A simulated agent.
struct Agent {
    search: ManifestSearch,
    rank: usize,
    next: Instant,
    answers: u32,
    found: bool,
}

/// Simulates `count` agents, of which the first `dead` don't answer, with an origin that is down for `down`.
fn simulate(count: usize, dead: usize, down: Duration) -> Count {
    let start = Instant::now();
    let mut agents: Vec<Agent> = (dead..count)
        .map(|rank| Agent {
            search: ManifestSearch::new(start, rank, count - 1),
            rank,
            next: start + STEP * (rank as u32 % 8),
            answers: 0,
            found: false,
        })
        .collect();
    let mut counted = Count::default();
    let mut now = start;
    while agents.iter().any(|agent| !agent.found) && now < start + down + Duration::from_secs(20) {
        for place in 0..agents.len() {
            if agents[place].found || agents[place].next > now {
                continue;
            }
            let round = agents[place].search.next_round(now);
            let rank = agents[place].rank;
            let holds = |peer: &usize| {
                let other = *peer + usize::from(*peer >= rank);
                agents
                    .iter()
                    .any(|agent| agent.rank == other && agent.found)
            };
            let found = round.peers.iter().any(holds);
            let agent = &mut agents[place];
            agent.next = now + round.pause;
            agent.found = found;
            if found || !round.origin {
                continue;
            }
            if now < start + down {
                counted.refused += 1;
                agent.search.origin_failed(now);
                continue;
            }
            counted.sent += 1;
            agent.search.origin_answered();
            agent.answers += 1;
            agent.found = agent.answers >= 2;
            agent.next = now + STEP;
        }
        now += STEP;
    }
    assert!(agents.iter().all(|agent| agent.found));
    counted.after = now.saturating_duration_since(start + down);
    counted
}

// Guards against agents that all ask an origin which is down and all get the manifest from it when it returns: with 76
// agents that took 2.7 s of the 4.3 s in which the origin could have sent all chunks.
#[parameterized(
    origin_up = { 29, 0, 0, 2, 300 },
    origin_down = { 29, 0, 6_000, 10, 700 },
    first_dead = { 29, 1, 0, 2, 1_300 },
    first_two_dead = { 29, 2, 0, 2, 2_200 },
    first_dead_origin_down = { 29, 1, 6_000, 10, 1_000 },
    alone = { 1, 0, 1_000, 2, 500 },
)]
fn replay_lists_sent(
    count: usize,
    dead: usize,
    down_ms: u64,
    most_sent: usize,
    most_after_ms: u64,
) {
    let counted = simulate(count, dead, Duration::from_millis(down_ms));
    assert!(counted.sent <= most_sent, "{counted:?}");
    assert!(
        counted.after <= Duration::from_millis(most_after_ms),
        "{counted:?}"
    );
    // At most four agents of a domain ask within 6 s, eventually every 0.4 s each.
    assert!(
        counted.refused <= 4 * (down_ms as usize / 400 + 3),
        "{counted:?}"
    );
}
