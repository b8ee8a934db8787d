//! Which agent should own which slot.

use crate::SLOTS;

/// Returns the place of the agent `name` in the order in which `agents` should own each slot; 0 is first.
///
/// This is rendezvous hashing with bounded load: no agent is first for more than `ceil(16 / agents)` slots. Plain
/// rendezvous hashing of 16 slots over 3 agents can leave one of them with half of the keyed calls. An agent that isn't
/// among `agents` comes after all of them.
///
/// ```
/// let agents: Vec<String> = ["a", "b", "c"].map(String::from).into();
/// let first = |agent: &str| claim::places(agent, &agents).iter().filter(|place| **place == 0).count();
/// assert!(first("a") <= 6 && first("b") <= 6 && first("c") <= 6);
/// assert_eq!(first("a") + first("b") + first("c"), 16);
/// ```
pub fn places(name: &str, agents: &[String]) -> [usize; SLOTS as usize] {
    let share = usize::from(SLOTS).div_ceil(agents.len().max(1));
    let mut taken = vec![0; agents.len()];
    let mut places = [agents.len(); SLOTS as usize];
    for (slot, place) in (0..SLOTS).zip(&mut places) {
        let mut order: Vec<usize> = (0..agents.len()).collect();
        // Agents with room come first; within both groups the hash decides.
        order.sort_by_cached_key(|index| (taken[*index] >= share, weight(slot, &agents[*index])));
        if let Some(first) = order.first() {
            taken[*first] += 1;
        }
        if let Some(found) = order.iter().position(|index| agents[*index] == name) {
            *place = found;
        }
    }
    places
}

fn weight(slot: u8, agent: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[slot]);
    hasher.update(agent.as_bytes());
    *hasher.finalize().as_bytes()
}
