//! Who brings a stripe into a domain, and until when the others wait.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalog::Plan;

use super::Scheduler;
use crate::StripeIndex;
use crate::draw::Permit;
use crate::peers::StripeOwner;

/// Draws in progress of all agents together, of which each agent may have its share, at least one. The origin's link is
/// divided among the draws, and nothing spreads before the first ones end: with 4 draws at each of 15 agents and an
/// origin of 16 MiB/s, a draw of 256 KiB took 608 ms in the median.
const MAX_TOTAL_DRAWS: usize = 16;
/// Time without a chunk of a stripe, and without word of a draw of it, after which an agent brings it in itself. Agents
/// that see different members may take each other for the owner, and would wait for each other without end.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Most time that an agent waits beyond it, by its own seed, so that one draw can serve several agents.
const MAX_OWNER_JITTER: Duration = Duration::from_secs(1);
/// Time after its last draw for which an agent still counts as drawing: the origin may be away for all agents.
const DRAW_ACTIVITY_TIMEOUT: Duration = Duration::from_secs(4);
/// Domains that draw for themselves with [`Plan::TimeToReplicas`]; the fourth permit is left for a failure.
const MAX_DRAWING_DOMAINS: usize = 3;

impl Scheduler {
    /// Tells whether the owner of a stripe has had nothing of it for too long, while no agent was known to draw it.
    pub(super) fn owner_timed_out(&self, stripe: StripeIndex, now: Instant) -> bool {
        let jitter = MAX_OWNER_JITTER.mul_f64((self.seed % 1000) as f64 / 1000.0);
        let state = &self.stripe_states[stripe as usize];
        let since = state
            .waiting_since
            .map(|waiting_since| state.last_draw.max(Some(waiting_since)));
        since
            .flatten()
            .is_some_and(|since| now >= since + OWNER_TIMEOUT + jitter)
    }

    /// Lets the owners of all stripes have their time once more.
    ///
    /// After each draw in an owner's place and each failed one: many owners late at once tell of the origin and not of
    /// the owners, and agents that all draw in their place would only divide its link.
    pub(super) fn restart_owner_timeouts(&mut self, now: Instant) {
        for state in &mut self.stripe_states {
            state.waiting_since = state.waiting_since.and(Some(now));
        }
    }

    /// Returns when an agent was last known to draw `stripe`: this one, or one that it was told of.
    ///
    /// An agent whose draws lead to nothing counts as drawing for a limited time. Times that agents tell each other only
    /// grow older, so agents that take each other for the owner notice.
    pub(crate) fn last_draw(&self, stripe: StripeIndex, now: Instant) -> Option<Instant> {
        let state = self.stripe_states.get(stripe as usize)?;
        let draws = self.plan != Plan::Direct
            && state.permit != Permit::Refused
            && self.peers.owner(stripe, now) == StripeOwner::Local
            && self.upstream_owner(stripe, now).is_none();
        match draws {
            true => self
                .last_own_draw
                .map(|last_own_draw| now.min(last_own_draw + DRAW_ACTIVITY_TIMEOUT)),
            false => state.last_draw,
        }
    }

    /// Returns the time in which the origin's link carries one chunk for each agent.
    pub(crate) fn origin_round_time(&self) -> Duration {
        self.origin_chunk_time * self.peers.len() as u32
    }

    /// Returns the owner in another domain that this domain fetches `stripe` from, or `None` when it draws itself.
    pub(super) fn upstream_owner(&self, stripe: StripeIndex, now: Instant) -> Option<SocketAddr> {
        let (order, own) = self.peers.domain_order(stripe);
        let drawing = match self.plan {
            Plan::OriginBytes => 1,
            Plan::TimeToReplicas => MAX_DRAWING_DOMAINS,
            Plan::Direct => return None,
        };
        if own < drawing {
            return None;
        }
        // Domains behind the drawing ones spread over them; those before the own one are next when all are avoided.
        let first = own % drawing;
        let mut before: Vec<&str> = order[..own].to_vec();
        before[..drawing].rotate_left(first);
        before
            .into_iter()
            .find_map(|domain| self.peers.owner_in_domain(domain, stripe, now))
    }

    /// Gives this agent its share of the draws in progress.
    pub(super) fn update_draw_limit(&mut self) {
        self.max_draws = (MAX_TOTAL_DRAWS / self.peers.len()).max(1);
    }
}
