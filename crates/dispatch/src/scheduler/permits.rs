//! Permits for targets that take a limited number of requests from all entries together.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use quota::{AdvertisedLimit, Grant, Limit, PermitRequest, Role, TargetStart};
use rand::RngExt;

use super::Scheduler;
use crate::target::{Target, TargetId};

/// A question to the issuer of a target's permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    /// VM on which the issuer runs.
    pub issuer: IpAddr,
    /// Whether that is the only issuer that the target can have.
    pub role: Role,
    /// The target.
    pub target: TargetStart,
    /// What is asked.
    pub ask: PermitRequest,
}

impl Scheduler {
    /// Notes that an answer of target `id` says that it takes `limit` requests a second from all entries together, or any
    /// number, and returns whether that is news.
    ///
    /// `sent` is when the request was sent: an answer without a limit says nothing of a limit that this entry learned of
    /// since, because it may have been made before.
    pub fn target_limits(
        &mut self,
        now: Instant,
        id: &str,
        sent: Instant,
        limit: Option<Limit>,
    ) -> bool {
        if limit.is_some() {
            self.expire_notices(now);
        }
        let held = self.targets.get(id);
        held.is_some_and(|held| self.notices.limits(now, &held.target, sent, limit))
    }

    /// Takes what another process heard a target say of its limit, and returns whether that is news.
    pub fn hear_limit(
        &mut self,
        now: Instant,
        target: &TargetStart,
        statement: AdvertisedLimit,
    ) -> bool {
        let (id, born) = target;
        let held = self.targets.get(id);
        let held = held.filter(|held| held.target.born == *born);
        held.is_some_and(|held| self.notices.hears(now, &held.target, statement))
    }

    /// Notes that target `id` stays cold for `cold` after its start.
    pub fn target_warms_up(&mut self, now: Instant, id: &str, cold: Duration) {
        if let Some(held) = self.targets.get(id) {
            self.notices.warms_up(now, &held.target, cold);
        }
    }

    /// Returns the requests a second that target `id` takes now from all entries together, where they are limited.
    pub fn limit(&self, now: Instant, id: &str) -> Option<Limit> {
        let target = &self.targets.get(id)?.target;
        let cold = self.cold_limit(&target.service);
        self.notices.limit(now, target, cold)
    }

    /// Returns the questions for permits that are to be put now.
    pub fn questions(&mut self, now: Instant) -> Vec<Question> {
        let asking: Vec<TargetId> = self.notices.asking().cloned().collect();
        asking
            .iter()
            .filter_map(|id| self.question(now, id))
            .collect()
    }

    fn question(&mut self, now: Instant, id: &str) -> Option<Question> {
        let target = self.targets.get(id)?.target.clone();
        let limit = self.limit(now, id);
        let waiting = self.queues.get(&target.service);
        let waiting = waiting.map_or(0, |queue| queue.len());
        let (permits, statement) = self.notices.permits(&target)?;
        let skipped = permits.skipped_issuers(now);
        let ask = permits.next_request(now, waiting, limit, statement)?;
        let (issuer, role) = self.issuer(&target, skipped)?;
        Some(Question {
            issuer,
            role,
            target: (target.id, target.born),
            ask,
        })
    }

    /// Takes an issuer's answer.
    pub fn take_grant(&mut self, now: Instant, target: &TargetStart, grant: &Grant) {
        if let Some(statement) = grant.statement {
            self.hear_limit(now, target, statement);
        }
        let draw = self.random.random();
        let (id, born) = target;
        let held = self.targets.get(id);
        let Some(held) = held.filter(|held| held.target.born == *born) else {
            return;
        };
        if let Some((permits, _)) = self.notices.permits(&held.target) {
            permits.apply_grant(now, grant, draw);
        }
    }

    /// Notes that requests would go to `targets` if there were permits.
    pub(super) fn want_permits(&mut self, targets: &[TargetId]) {
        for id in targets {
            let Some(held) = self.targets.get(id) else {
                continue;
            };
            if let Some((permits, _)) = self.notices.permits(&held.target) {
                permits.set_wanted();
            }
        }
    }

    /// Uses a permit of target `id`, where one is needed.
    pub(super) fn use_permit(&mut self, now: Instant, id: &str) {
        let Some(held) = self.targets.get(id) else {
            return;
        };
        let cold = self.cold_limit(&held.target.service);
        self.notices.use_permit(now, &held.target, cold);
    }

    /// Returns the limit of cold targets of `service`.
    pub(super) fn cold_limit(&self, service: &str) -> Option<Limit> {
        let config = self.config.as_ref()?;
        config.services.get(service)?.cold_limit
    }

    /// Returns the VM that issues permits for `target`, passing over the first `skipped` ones that would.
    ///
    /// Beside an engine runs an agent, which shares its fate. Of other targets it is an agent of the same failure domain,
    /// so that an entry which is cut off from it hardly reaches the target either; all entries choose the same one.
    fn issuer(&self, target: &Target, skipped: usize) -> Option<(IpAddr, Role)> {
        if self.is_engine(target) {
            return Some((target.address.ip(), Role::Sole));
        }
        let agents = self.targets.values().map(|held| &held.target);
        let agents = agents.filter(|agent| self.is_engine(agent));
        // Agents of the own failure domain come first.
        let mut order: Vec<(bool, u64, IpAddr)> = agents
            .map(|agent| {
                let ip = agent.address.ip();
                (agent.domain != target.domain, score(&target.id, ip), ip)
            })
            .collect();
        order.sort_unstable();
        order.dedup();
        let chosen = order.get(skipped % order.len().max(1));
        chosen.map(|(_, _, ip)| (*ip, Role::Chosen))
    }

    fn is_engine(&self, target: &Target) -> bool {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.services.get(&target.service));
        service.is_some_and(|service| service.engine.is_some())
    }
}

fn score(target: &str, agent: IpAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (target, agent).hash(&mut hasher);
    hasher.finish()
}
