//! Ranking of the agents for the ownership of each slot.

use crate::SLOT_COUNT;

/// Returns the rank of the agent `name` among `agents` for the ownership of each slot; 0 is the preferred owner.
///
/// Agents are ranked by rendezvous hashing with bounded load: no agent is preferred for more than `ceil(16 / agents)`
/// slots. With plain rendezvous hashing of 16 slots over 3 agents, one of them can get half of the keyed calls. An
/// agent that isn't among `agents` ranks after all of them.
///
/// ```
/// let agents: Vec<String> = ["a", "b", "c"].map(String::from).into();
/// let first = |agent: &str| claim::slot_ranks(agent, &agents).iter().filter(|place| **place == 0).count();
/// assert!(first("a") <= 6 && first("b") <= 6 && first("c") <= 6);
/// assert_eq!(first("a") + first("b") + first("c"), 16);
/// ```
pub fn slot_ranks(name: &str, agents: &[String]) -> [usize; SLOT_COUNT as usize] {
    let limit = usize::from(SLOT_COUNT).div_ceil(agents.len().max(1));
    let mut count = vec![0; agents.len()];
    let mut slot_ranks = [agents.len(); SLOT_COUNT as usize];
    for (slot, rank) in (0..SLOT_COUNT).zip(&mut slot_ranks) {
        let mut order: Vec<usize> = (0..agents.len()).collect();
        // Agents below their bound come first. Within both groups the order is that of the hashes.
        order.sort_by_cached_key(|index| (count[*index] >= limit, weight(slot, &agents[*index])));
        if let Some(first) = order.first() {
            count[*first] += 1;
        }
        if let Some(position) = order.iter().position(|index| agents[*index] == name) {
            *rank = position;
        }
    }
    slot_ranks
}

fn weight(slot: u8, agent: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[slot]);
    hasher.update(agent.as_bytes());
    *hasher.finalize().as_bytes()
}
