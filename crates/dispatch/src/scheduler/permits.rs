//! Permits for targets whose request rate is limited over all entries together.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use quota::{AdvertisedLimit, Grant, Limit, PermitRequest, Role, TargetStart};
use rand::RngExt;

use super::Scheduler;
use crate::target::{Target, TargetId};

/// A query to the issuer of a target's permits.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitQuery {
    /// Address of the VM on which the issuer runs.
    pub issuer: IpAddr,
    /// Whether this is the only possible issuer of the target.
    pub role: Role,
    /// Id and start time of the target.
    pub target: TargetStart,
    /// Content of the query.
    pub ask: PermitRequest,
}

impl Scheduler {
    /// Records the limit in an answer of target `id`, in requests per second over all entries together, or its absence;
    /// returns whether it changed.
    ///
    /// `sent` is when the request was sent. An answer without a limit does not revoke a limit that this entry learned
    /// of since then, because the target may have produced the answer earlier.
    pub fn set_target_limit(
        &mut self,
        now: Instant,
        id: &str,
        sent: Instant,
        limit: Option<Limit>,
    ) -> bool {
        if limit.is_some() {
            self.expire_admissions(now);
        }
        let state = self.targets.get(id);
        state.is_some_and(|state| self.admissions.set_limit(now, &state.target, sent, limit))
    }

    /// Merges a target's statement of its limit that another process received; returns whether it changed.
    pub fn merge_limit(
        &mut self,
        now: Instant,
        target: &TargetStart,
        statement: AdvertisedLimit,
    ) -> bool {
        let (id, started_at_ms) = target;
        let state = self.targets.get(id);
        let state = state.filter(|state| state.target.started_at_ms == *started_at_ms);
        state.is_some_and(|state| self.admissions.merge(now, &state.target, statement))
    }

    /// Sets the cold period of target `id`, which ends `cold` after `now`.
    pub fn set_cold_period(&mut self, now: Instant, id: &str, cold: Duration) {
        if let Some(state) = self.targets.get(id) {
            self.admissions.set_cold_period(now, &state.target, cold);
        }
    }

    /// Returns the requests per second that target `id` accepts now from all entries together, or `None` if unlimited.
    pub fn target_limit(&self, now: Instant, id: &str) -> Option<Limit> {
        let target = &self.targets.get(id)?.target;
        let cold = self.cold_limit(&target.service);
        self.admissions.limit(now, target, cold)
    }

    /// Returns the permit queries that are due now.
    pub fn permit_queries(&mut self, now: Instant) -> Vec<PermitQuery> {
        let pending: Vec<TargetId> = self.admissions.pending_queries().cloned().collect();
        pending
            .iter()
            .filter_map(|id| self.permit_query(now, id))
            .collect()
    }

    fn permit_query(&mut self, now: Instant, id: &str) -> Option<PermitQuery> {
        let target = self.targets.get(id)?.target.clone();
        let limit = self.target_limit(now, id);
        let waiting = self.queues.get(&target.service);
        let waiting = waiting.map_or(0, |queue| queue.len());
        let (permits, statement) = self.admissions.permits(&target)?;
        let skipped = permits.skipped_issuers(now);
        let ask = permits.next_request(now, waiting, limit, statement)?;
        let (issuer, role) = self.issuer(&target, skipped)?;
        Some(PermitQuery {
            issuer,
            role,
            target: (target.id, target.started_at_ms),
            ask,
        })
    }

    /// Applies an issuer's reply.
    pub fn apply_grant(&mut self, now: Instant, target: &TargetStart, grant: &Grant) {
        if let Some(statement) = grant.statement {
            self.merge_limit(now, target, statement);
        }
        let random_fraction = self.rng.random();
        let (id, started_at_ms) = target;
        let state = self.targets.get(id);
        let Some(state) = state.filter(|state| state.target.started_at_ms == *started_at_ms) else {
            return;
        };
        if let Some((permits, _)) = self.admissions.permits(&state.target) {
            permits.apply_grant(now, grant, random_fraction);
        }
    }

    /// Records that requests are waiting for permits of `targets`.
    pub(super) fn want_permits(&mut self, now: Instant, targets: &[TargetId]) {
        for id in targets {
            let Some(state) = self.targets.get(id) else {
                continue;
            };
            if let Some((permits, _)) = self.admissions.permits(&state.target) {
                permits.set_wanted(now);
            }
        }
    }

    /// Consumes a permit of target `id` if it is rate-limited.
    pub(super) fn use_permit(&mut self, now: Instant, id: &str) {
        let Some(state) = self.targets.get(id) else {
            return;
        };
        let cold = self.cold_limit(&state.target.service);
        self.admissions.use_permit(now, &state.target, cold);
    }

    /// Returns the rate limit for cold targets of `service`.
    pub(super) fn cold_limit(&self, service: &str) -> Option<Limit> {
        let config = self.config.as_ref()?;
        config.services.get(service)?.cold_limit
    }

    /// Returns the VM that issues permits for `target`, skipping the first `skipped` candidates.
    ///
    /// An engine's permits come from the agent on its own VM, which fails together with it. For other targets,
    /// rendezvous hashing selects an agent, so that all entries choose the same one. Agents of the target's failure
    /// domain are preferred, because an entry that is cut off from them can hardly reach the target either.
    fn issuer(&self, target: &Target, skipped: usize) -> Option<(IpAddr, Role)> {
        if self.is_engine(target) {
            return Some((target.address.ip(), Role::Sole));
        }
        let agents = self.targets.values().map(|state| &state.target);
        let agents = agents.filter(|agent| self.is_engine(agent));
        // Agents of the target's failure domain sort first.
        let mut candidates: Vec<(bool, u64, IpAddr)> = agents
            .map(|agent| {
                let ip = agent.address.ip();
                (
                    agent.domain != target.domain,
                    rendezvous_hash(&target.id, ip),
                    ip,
                )
            })
            .collect();
        candidates.sort_unstable();
        candidates.dedup();
        let chosen = candidates.get(skipped % candidates.len().max(1));
        chosen.map(|(_, _, ip)| (*ip, Role::Chosen))
    }

    fn is_engine(&self, target: &Target) -> bool {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.services.get(&target.service));
        service.is_some_and(|service| service.engine.is_some())
    }
}

fn rendezvous_hash(target: &str, agent: IpAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (target, agent).hash(&mut hasher);
    hasher.finish()
}
