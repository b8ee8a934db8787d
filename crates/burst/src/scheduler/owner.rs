//! Which agent fetches a stripe into a domain, and how long the others wait for it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalog::Plan;

use super::{Scheduler, Selection};
use crate::StripeIndex;
use crate::draw::Permit;
use crate::peers::StripeOwner;

/// Target number of concurrent draws of all agents together; each agent may have an equal share, at least one. The
/// origin's link is divided among the draws, and no chunk spreads before the first draws end: with 4 draws at each of
/// 15 agents and an origin of 16 MiB/s, the median draw of 256 KiB took 608 ms.
const MAX_TOTAL_DRAWS: usize = 16;
/// Time without a chunk of a stripe, and without a report of a draw of it, after which an agent fetches it itself.
/// Agents that see different members may each take the other for the owner and would wait for each other forever.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum additional wait, derived from the agent's seed, so that one draw can serve several agents.
const MAX_OWNER_JITTER: Duration = Duration::from_secs(1);
/// Time after its last draw for which an agent still counts as drawing: the origin may be unavailable to all agents.
const DRAW_ACTIVITY_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of domains that draw themselves with [`Plan::TimeToReplicas`]; the fourth permit is reserved for a
/// failure.
const MAX_DRAWING_DOMAINS: usize = 3;

impl Scheduler {
    /// Returns whether the owner of a stripe has provided nothing for too long while no agent was known to draw it.
    pub(super) fn owner_timed_out(&self, stripe: StripeIndex, now: Instant) -> bool {
        let jitter = MAX_OWNER_JITTER.mul_f64((self.seed % 1000) as f64 / 1000.0);
        let state = &self.stripe_states[stripe as usize];
        let since = state.waiting_since.map(|waiting_since| {
            state
                .last_draw
                .max(Some(waiting_since))
                .max(self.pace.due(stripe))
        });
        since
            .flatten()
            .is_some_and(|since| now >= since + OWNER_TIMEOUT + jitter)
    }

    /// Restarts the owner timeouts of all stripes.
    ///
    /// This happens after each draw in place of an owner and after each failed draw. When many owners are late at once,
    /// the cause is the origin and not the owners, and agents that all draw in their place would only divide its link.
    pub(super) fn restart_owner_timeouts(&mut self, now: Instant) {
        for state in &mut self.stripe_states {
            state.waiting_since = state.waiting_since.and(Some(now));
        }
    }

    /// Returns when an agent was last known to draw `stripe`: the local agent, or one reported to it.
    ///
    /// An agent whose draws fail counts as drawing for a limited time. Draw times that agents report to each other only
    /// get older, so agents that take each other for the owner eventually time out.
    pub(crate) fn last_draw(&self, stripe: StripeIndex, now: Instant) -> Option<Instant> {
        let state = self.stripe_states.get(stripe as usize)?;
        let draws = self.plan != Plan::Direct
            && state.permit != Permit::Refused
            && self.peers.owner(stripe, now) == StripeOwner::Local
            && self.upstream_owner(stripe, now).is_none();
        match draws {
            true => self
                .last_own_draw
                .max(self.pace.due(stripe))
                .map(|last_own_draw| now.min(last_own_draw + DRAW_ACTIVITY_TIMEOUT)),
            false => state.last_draw,
        }
    }

    /// Sets the start of the draws of all agents together if it was earlier than that of this transfer.
    pub(crate) fn set_draws_since(&mut self, since: Instant) {
        self.pace.start(since);
    }

    /// Records that a draw of this agent received bytes. A draw that shares the origin's link may take longer than
    /// other agents would wait for it without a sign of progress.
    pub(crate) fn draw_progressed(&mut self, now: Instant) {
        self.last_own_draw = self.last_own_draw.max(Some(now));
    }

    /// Pauses `stripe`, which is due at `due`, until then or until the windows of the pace may have moved.
    pub(super) fn wait_for_pace(
        &mut self,
        stripe: StripeIndex,
        due: Instant,
        now: Instant,
    ) -> Selection {
        self.pause(stripe, due.min(now + self.pace.check_interval()))
    }

    /// Returns the time that the origin's link takes to carry one chunk for each agent.
    pub(crate) fn origin_round_time(&self) -> Duration {
        self.origin_chunk_time * self.peers.len() as u32
    }

    /// Returns the owner in another domain that this domain fetches `stripe` from, or `None` when this domain draws it
    /// from the origin itself.
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
        // Domains after the drawing ones are spread over them. If all of those are avoided, the other domains before
        // the local one follow.
        let first = own % drawing;
        let mut before: Vec<&str> = order[..own].to_vec();
        before[..drawing].rotate_left(first);
        before
            .into_iter()
            .find_map(|domain| self.peers.owner_in_domain(domain, stripe, now))
    }

    /// Sets this agent's share of the concurrent draws.
    pub(super) fn update_draw_limit(&mut self) {
        self.max_draws = (MAX_TOTAL_DRAWS / self.peers.len()).max(1);
    }

    /// Returns the number of permits that are requested, or granted for chunks that the local agent will draw itself.
    ///
    /// A granted stripe that is now requested from other agents doesn't count: two agents that wait for each other's
    /// stripes could otherwise both reach the limit and be unable to request permits for their own.
    pub(super) fn pending_permits(&self, now: Instant) -> usize {
        let stripe_states = (0..).zip(&self.stripe_states);
        stripe_states
            .filter(|(stripe, state)| match state.permit {
                Permit::Asked { .. } => true,
                Permit::Granted { .. } => {
                    !state.pending.is_empty()
                        && self.peers.owner(*stripe, now) == StripeOwner::Local
                        && self.upstream_owner(*stripe, now).is_none()
                }
                Permit::Wanted { .. } | Permit::Refused => false,
            })
            .count()
    }
}
