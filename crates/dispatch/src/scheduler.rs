//! Placement, queueing and rejection of one entry's requests.

mod choice;
mod evacuations;
mod permits;
mod quarantine;
mod rejection;
mod reserve;
mod streams;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ::quarantine::Quarantine;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::admission::AdmissionTable;
use crate::budget::{Budget, RetryLimit};
use crate::config::Config;
use crate::health::Failure;
use crate::path::NetworkPaths;
use crate::queue::{Class, Queue};
use crate::region::RegionMap;
use crate::request::{Reason, RequestContext, RequestId};
use crate::target::{Load, LoadSource, Target, TargetId, TargetState};
use crate::versions::RequiredVersions;
use choice::{Backlog, Choice};

pub use permits::PermitQuery;

/// Minimum time that must be left before the deadline for an attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// Number of targets whose connection may break under a request that has not begun. It may itself be why they fail.
const MAX_BROKEN_ATTEMPTS: u32 = 2;
/// A request whose attempt got no connection is retried while it has tried at most this many targets.
const MAX_UNCONNECTED_ATTEMPTS: usize = 3;
/// Number of entries assumed for dividing the retry budget until the actual number is known.
const DEFAULT_ENTRIES_FOR_RETRIES: usize = 32;
/// Maximum number of waiting requests of a class that are considered in one poll.
const MAX_SCANNED: usize = 64;
/// Number of consecutive requests without room at any target after which the search stops. The rest of those considered
/// only wait or expire, because they are unlikely to find room either.
const MAX_CONSECUTIVE_BUSY: usize = 8;

/// Scheduler of one entry: its requests, the known targets and the configuration.
#[derive(Debug)]
pub struct Scheduler {
    domain: String,
    regions: RegionMap,
    /// Evacuated failure domains, and when this entry learned of each.
    evacuations: BTreeMap<String, Instant>,
    config: Option<Rc<Config>>,
    versions: RequiredVersions,
    targets: BTreeMap<TargetId, TargetState>,
    admissions: AdmissionTable,
    paths: NetworkPaths,
    quarantine: Quarantine,
    queues: BTreeMap<String, Queue>,
    retry_budgets: HashMap<String, Budget>,
    retry_limit: RetryLimit,
    /// Number of entries, once an agent has reported it.
    entries: Option<usize>,
    placed: HashMap<RequestId, PlacedRequest>,
    last_id: RequestId,
    pending_rejections: Vec<Decision>,
    rng: SmallRng,
}

/// A request that was sent to a target.
#[derive(Clone, Debug)]
struct PlacedRequest {
    target: TargetId,
    work: RequestContext,
    /// Version of the weights that the target held when the request was sent.
    weights: Option<u64>,
    /// Whether its first event has arrived.
    started: bool,
}

/// Action that the owner of the scheduler must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to a target.
    Send(Placement),
    /// Cancel a stream and continue it after its last event at another target.
    Move {
        /// Number of the stream's current attempt.
        request: RequestId,
        /// The new placement, under a new number.
        place: Placement,
    },
    /// Tell the caller that the request did not run.
    Reject {
        /// Number of the request.
        request: RequestId,
        /// Why it is rejected.
        reason: Reason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Assignment of a request to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Number of the request.
    pub request: RequestId,
    /// The request's state; the target is among those tried.
    pub work: RequestContext,
    /// Id of the target.
    pub target: TargetId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Start time of the target, if known.
    pub started_at_ms: Option<u64>,
    /// Estimated number of requests on the target, not counting this one.
    pub load: u32,
    /// Priority that the target is given with the request; 0 is the most urgent.
    pub target_priority: u8,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target's answer was passed to the caller.
    Answered,
    /// There was no answer to pass on.
    Failed(Failure),
    /// The caller disconnected.
    Abandoned,
}

impl Scheduler {
    /// Creates the scheduler of an entry in `domain`; `seed` initializes the random number generator.
    pub fn new(
        domain: &str,
        versions: RequiredVersions,
        retry_limit: RetryLimit,
        seed: u64,
    ) -> Self {
        Self {
            domain: domain.into(),
            regions: RegionMap::new(),
            evacuations: BTreeMap::new(),
            config: None,
            versions,
            targets: BTreeMap::new(),
            admissions: AdmissionTable::default(),
            paths: NetworkPaths::default(),
            quarantine: Quarantine::default(),
            queues: BTreeMap::new(),
            retry_budgets: HashMap::new(),
            retry_limit,
            entries: None,
            placed: HashMap::new(),
            last_id: 0,
            pending_rejections: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the region of each failure domain. A request that is restricted to regions is not sent to other domains.
    pub fn set_regions(&mut self, regions: RegionMap) {
        self.regions = regions;
    }

    /// Sets the number of entries that share the retry budget and the targets' places.
    pub fn set_entries(&mut self, entries: usize) {
        let entries = entries.max(1);
        if self.entries.replace(entries) != Some(entries) {
            for budget in self.retry_budgets.values_mut() {
                budget.set_entries(entries);
            }
        }
    }

    /// Returns the current configuration.
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// Replaces the configuration.
    pub fn set_config(&mut self, config: Rc<Config>) {
        self.config = Some(config);
    }

    /// Adds `version` of `model`, required since `now`; returns whether it is newer than the known versions.
    pub fn require_version(&mut self, now: Instant, model: &str, version: u64) -> bool {
        self.versions.require(now, model, version)
    }

    /// Adds `version` of `model`, required since before this process started; returns whether it is newer than the
    /// known versions.
    pub fn add_undated_version(&mut self, model: &str, version: u64) -> bool {
        self.versions.add_undated(model, version)
    }

    /// Adds `version` of `model`, required for `age` as reported by another process; returns whether it was unknown.
    pub fn add_version_with_age(
        &mut self,
        now: Instant,
        model: &str,
        version: u64,
        age: Duration,
    ) -> bool {
        self.versions.add_with_age(now, model, version, age)
    }

    /// Returns the versions that operators require.
    pub fn versions(&self) -> &RequiredVersions {
        &self.versions
    }

    /// Adds a target or updates its registration.
    pub fn put_target(&mut self, target: Target) {
        match self.targets.get_mut(&target.id) {
            Some(state) => state.update(target),
            None => {
                self.targets
                    .insert(target.id.clone(), TargetState::new(target));
            }
        }
    }

    /// Removes a target; requests already sent to it are unaffected.
    pub fn remove_target(&mut self, id: &str) {
        self.targets.remove(id);
    }

    /// Returns the targets in order of their ids.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|state| &state.target)
    }

    /// Returns the targets whose service has engines.
    pub fn engines(&self) -> impl Iterator<Item = &Target> {
        self.targets().filter(|target| {
            let config = self.config.as_ref();
            let service = config.and_then(|config| config.services.get(&target.service));
            service.is_some_and(|service| service.engine.is_some())
        })
    }

    /// Returns the target with the given id.
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.targets.get(id).map(|state| &state.target)
    }

    /// Records that target `id` announced its shutdown; returns whether this was unknown. This start of the target gets
    /// no more requests.
    pub fn set_target_leaving(&mut self, now: Instant, id: &str) -> bool {
        self.expire_admissions(now);
        let state = self.targets.get(id);
        state.is_some_and(|state| self.admissions.set_leaving(now, &state.target))
    }

    /// Records that target `id` accepts no requests for `pause`; returns whether this extends the known pause.
    pub fn pause_target(&mut self, now: Instant, id: &str, pause: Duration) -> bool {
        self.expire_admissions(now);
        let state = self.targets.get(id);
        state.is_some_and(|state| self.admissions.set_pause(now, &state.target, pause))
    }

    fn expire_admissions(&mut self, now: Instant) {
        let targets = &self.targets;
        self.admissions.expire(now, |id| targets.contains_key(id));
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the number of attempts in progress at targets.
    pub fn in_progress(&self) -> usize {
        self.placed.len()
    }

    /// Records the load that the target at `address` reported.
    pub fn report_load(&mut self, now: Instant, address: SocketAddr, load: Load) {
        let state = self
            .targets
            .values_mut()
            .find(|state| state.target.address == address);
        if let Some(state) = state {
            state.record_load(now, load, LoadSource::Agent, self.rng.random());
        }
    }

    /// Records the load that an answer of target `id` carried.
    pub fn report_answer_load(&mut self, now: Instant, id: &str, load: Load) {
        if let Some(state) = self.targets.get_mut(id) {
            state.record_load(now, load, LoadSource::Response, self.rng.random());
        }
    }

    /// Submits a request; [`Scheduler::poll`] returns the decision about it.
    pub fn submit(&mut self, now: Instant, work: RequestContext) -> RequestId {
        self.retry_budget(now, &work.service).record_request(now);
        self.enqueue(now, work)
    }

    /// Submits a request again after its attempt failed, or returns `None` if it may not be retried.
    ///
    /// A retry requires that the request is known not to have run or that its kind allows it to run again, that an
    /// attempt and enough time are left, and that the budget has a retry. After an attempt that got no connection, a
    /// retry needs neither an attempt left nor the budget.
    pub fn retry(
        &mut self,
        now: Instant,
        work: RequestContext,
        failure: Failure,
    ) -> Option<RequestId> {
        let allowed = failure.is_not_run() || work.is_repeatable();
        let unsent = failure.is_unsent();
        let left = match unsent {
            true => work.tried_targets.len() < MAX_UNCONNECTED_ATTEMPTS + 1,
            false => work.attempts_left > 0,
        };
        let suspect = work.broken_attempts >= MAX_BROKEN_ATTEMPTS;
        if !allowed || !left || suspect || now + MIN_ATTEMPT_TIME >= work.deadline {
            return None;
        }
        if !unsent && !self.retry_budget(now, &work.service).try_take(now) {
            return None;
        }
        Some(self.enqueue(now, work))
    }

    /// Places a second attempt for `work` while the first one continues, or returns `None` if no target has room now.
    ///
    /// As for a retry, the request's kind must allow it to run again, and an attempt, enough time and a retry in the
    /// budget must be left.
    pub fn place_concurrent(&mut self, now: Instant, work: RequestContext) -> Option<Placement> {
        let quarantined = self.quarantine.check(now, &work.prompt).is_some();
        if !work.may_repeat() || quarantined || now + MIN_ATTEMPT_TIME >= work.deadline {
            return None;
        }
        let Choice::Target(target) = self.choose(now, &work, Backlog::None) else {
            return None;
        };
        if !self.retry_budget(now, &work.service).try_take(now) {
            return None;
        }
        self.last_id += 1;
        self.place(now, self.last_id, work, &target)
    }

    /// Counts a failure of a request's target that has been silent for too long, while the attempt continues; returns
    /// whether the target was ejected.
    pub fn record_late(&mut self, now: Instant, id: RequestId) -> bool {
        let state = self.target_state(id);
        state.is_some_and(|state| state.health.record_failure(now, Failure::Late))
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, id: RequestId) {
        for queue in self.queues.values_mut() {
            if queue.cancel(id) {
                return;
            }
        }
    }

    /// Records that the first event of a request arrived; `version` is that of its weights, if the answer states it.
    pub fn record_first_event(&mut self, now: Instant, id: RequestId, version: Option<u64>) {
        let Some(placed) = self.placed.get_mut(&id) else {
            return;
        };
        placed.started = true;
        if let Some(state) = self.targets.get_mut(&placed.target) {
            state.record_first_event(id, version);
            self.paths
                .record_answer(now, &state.target.domain, &placed.target);
        }
    }

    /// Records the end of an attempt; returns whether its target was ejected for it.
    pub fn record_end(&mut self, now: Instant, id: RequestId, outcome: Outcome) -> bool {
        let Some(placed) = self.placed.remove(&id) else {
            return false;
        };
        let Some(state) = self.targets.get_mut(&placed.target) else {
            return false;
        };
        state.record_end(id);
        let domain = &state.target.domain;
        match outcome {
            Outcome::Answered => {
                self.paths.record_answer(now, domain, &placed.target);
                state.health.record_success(now);
            }
            Outcome::Failed(Failure::Unreachable)
                if self.paths.record_failure(now, domain, &placed.target) =>
            {
                state.health.suspend(now);
            }
            Outcome::Failed(failure) => {
                if matches!(failure, Failure::Misdirected | Failure::OtherWeights) {
                    state.record_misdirected(now);
                }
                return state.health.record_failure(now, failure);
            }
            Outcome::Abandoned => {}
        }
        false
    }

    /// Returns the time at which [`Scheduler::poll`] must be called if no event occurs before.
    pub fn next_poll(&self) -> Option<Instant> {
        self.queues.values().filter_map(Queue::next_expiry).min()
    }

    /// Returns the decisions due at `now`.
    pub fn poll(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = std::mem::take(&mut self.pending_rejections);
        let services: Vec<String> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.len() > 0)
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.poll_service(now, &service, &mut decisions);
        }
        self.move_streams(now, &mut decisions);
        decisions
    }

    fn poll_service(&mut self, now: Instant, service: &str, decisions: &mut Vec<Decision>) {
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let mut busy_counts: BTreeMap<Class, usize> = BTreeMap::new();
        for key in queue.most_urgent(MAX_SCANNED) {
            let Some(work) = self
                .queues
                .get_mut(service)
                .and_then(|queue| queue.remove(key))
            else {
                continue;
            };
            // The caller has given up in the meantime; this process may have been suspended.
            if now + MIN_ATTEMPT_TIME >= work.deadline {
                decisions.push(self.reject(now, key.request, &work, Reason::Expired));
                continue;
            }
            if self.quarantine.check(now, &work.prompt).is_some() {
                decisions.push(self.reject_quarantined(now, key.request, &work));
                continue;
            }
            let waited = work.arrived < now;
            let class = work.allowed_regions.clone();
            let consecutive_busy = busy_counts.entry(class.clone()).or_default();
            let held_back = self.is_held_back(now, key, &work);
            let choice = match *consecutive_busy < MAX_CONSECUTIVE_BUSY && !held_back {
                true => {
                    let backlog = self.backlog(now, key, &work);
                    self.choose(now, &work, backlog)
                }
                false => Choice::Busy,
            };
            // A request that is restricted to a few targets, or leaves free places to more urgent ones, does not show
            // whether the others have room.
            let restricted =
                held_back || work.weights_version.is_some() || !work.tried_targets.is_empty();
            *consecutive_busy = match choice {
                Choice::Busy if restricted => *consecutive_busy,
                Choice::Busy => *consecutive_busy + 1,
                _ => 0,
            };
            match choice {
                Choice::Target(id) => {
                    if let Some(place) = self.place(now, key.request, work, &id) {
                        decisions.push(Decision::Send(place));
                    }
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.record_decision(now, &class, key.urgency, false);
                        queue.record_placement(now, class, waited);
                    }
                }
                Choice::Busy if Queue::wait_deadline(&work) > now => {
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.push(key, work);
                    }
                }
                Choice::Busy => {
                    decisions.push(self.reject_overload(now, key, &work));
                }
                Choice::Paused(until) if Queue::wait_deadline(&work) > until => {
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.push(key, work);
                    }
                }
                Choice::Paused(until) => {
                    decisions.push(self.reject_paused(now, key.request, &work, until));
                }
                Choice::NoTarget => {
                    let reason = self.no_target_reason(&work);
                    decisions.push(self.reject(now, key.request, &work, reason));
                }
            }
        }
    }

    fn enqueue(&mut self, now: Instant, work: RequestContext) -> RequestId {
        self.last_id += 1;
        let id = self.last_id;
        if self.quarantine.admit(now, &work.prompt).is_err() {
            let rejected = self.reject_quarantined(now, id, &work);
            self.pending_rejections.push(rejected);
            return id;
        }
        let cost = self.cost(&work);
        let queue = self.queues.entry(work.service.clone()).or_default();
        let key = queue.key(now, id, &work, cost);
        let wait = queue.expected_wait(now, key, &work);
        if queue.len() > 0 && wait.is_some_and(|wait| now + wait > Queue::wait_deadline(&work)) {
            let rejected = self.reject_overload(now, key, &work);
            self.pending_rejections.push(rejected);
        } else {
            queue.push(key, work);
        }
        id
    }

    fn place(
        &mut self,
        now: Instant,
        request: RequestId,
        mut work: RequestContext,
        id: &str,
    ) -> Option<Placement> {
        self.use_permit(now, id);
        let target_priority = self.target_priority(now, &work);
        let state = self.targets.get_mut(id)?;
        let load = state.request_count(now);
        state.record_sent(now, request, work.prompt_tokens);
        self.paths.record_sent(now, &state.target.domain);
        work.attempts_left = work.attempts_left.saturating_sub(1);
        work.tried_targets.push(id.into());
        let weights = work.model.as_ref();
        let placed = PlacedRequest {
            target: id.into(),
            weights: weights.and_then(|model| state.target.weights.get(model).copied()),
            work: work.clone(),
            started: false,
        };
        self.placed.insert(request, placed);
        Some(Placement {
            request,
            target: id.into(),
            address: state.target.address,
            started_at_ms: state.target.started_at_ms,
            work,
            load,
            target_priority,
        })
    }

    fn retry_budget(&mut self, now: Instant, service: &str) -> &mut Budget {
        let entries = self.entries.unwrap_or(DEFAULT_ENTRIES_FOR_RETRIES);
        self.retry_budgets
            .entry(service.into())
            .or_insert_with(|| Budget::new(self.retry_limit, entries, now))
    }

    fn target_state(&mut self, id: RequestId) -> Option<&mut TargetState> {
        let placed = self.placed.get(&id)?;
        self.targets.get_mut(&placed.target)
    }
}
