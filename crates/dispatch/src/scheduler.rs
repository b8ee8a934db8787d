//! Placement, waiting and refusal of one entry's requests.

mod choice;
mod permits;
mod refusal;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::admission::AdmissionTable;
use crate::budget::{Budget, Repeats};
use crate::config::{Config, Kind};
use crate::health::Failure;
use crate::path::NetworkPaths;
use crate::queue::Queue;
use crate::target::{Load, Target, TargetId, TargetState};
use crate::versions::Versions;
use crate::work::{Reason, RequestId, Work};
use choice::{Backlog, Choice};

pub use permits::Question;

/// Least time that must be left for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// Attempts that may end without a connection, beside those that were sent.
const MAX_UNCONNECTED_ATTEMPTS: usize = 3;
/// Entries among which repeats are shared until their number is known.
const DEFAULT_ENTRIES_FOR_RETRIES: usize = 32;
/// Time for which runs go on at a target that takes no new work, before they are moved: short ones end by themselves.
const MOVE_DELAY: Duration = Duration::from_millis(200);
/// Time before the bound of a version at which requests that have not begun on older weights are ended: their targets
/// must learn of it in time.
const BEGIN_MARGIN: Duration = Duration::from_millis(300);
/// Waiting requests that are looked at before the rest waits for the next poll.
const MAX_SCANNED: usize = 64;
/// Requests in a row without room at any target after which the rest of those looked at only wait or expire: where so
/// many have none, the next one hardly has.
const MAX_CONSECUTIVE_BUSY: usize = 8;

/// Requests, targets and configuration of one entry.
#[derive(Debug)]
pub struct Scheduler {
    domain: String,
    config: Option<Rc<Config>>,
    versions: Versions,
    targets: BTreeMap<TargetId, TargetState>,
    admissions: AdmissionTable,
    paths: NetworkPaths,
    queues: BTreeMap<String, Queue>,
    retry_budgets: HashMap<String, Budget>,
    retry_limit: Repeats,
    /// Number of entries, once an agent told it.
    entries: Option<usize>,
    placed: HashMap<RequestId, PlacedRequest>,
    last_id: RequestId,
    pending_rejections: Vec<Decision>,
    rng: SmallRng,
}

/// A request at a target.
#[derive(Clone, Debug)]
struct PlacedRequest {
    target: TargetId,
    work: Work,
    /// Version of the weights that the target held when the request was sent.
    weights: Option<u64>,
    /// Whether its first event arrived.
    started: bool,
}

/// What the owner of the scheduler must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to its place.
    Send(Place),
    /// End the request's run, and go on after its last event at another place.
    Move {
        /// The request as it was placed before.
        request: RequestId,
        /// Its new place, under a new number.
        place: Place,
    },
    /// Tell the caller that the request did not run.
    Reject {
        /// The request.
        request: RequestId,
        /// Why it is refused.
        reason: Reason,
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
}

/// Where a request is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The request.
    pub request: RequestId,
    /// What it asks for; the target is among those tried.
    pub work: Work,
    /// Id of the target.
    pub target: TargetId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Requests that the target was taken to hold, this one not counted.
    pub load: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The caller got the target's answer.
    Answered,
    /// There was no answer to pass on.
    Failed(Failure),
    /// The caller left.
    Abandoned,
}

impl Scheduler {
    /// Returns the scheduler of an entry in `domain`; `seed` sets its random choices.
    pub fn new(domain: &str, versions: Versions, retry_limit: Repeats, seed: u64) -> Self {
        Self {
            domain: domain.into(),
            config: None,
            versions,
            targets: BTreeMap::new(),
            admissions: AdmissionTable::default(),
            paths: NetworkPaths::default(),
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

    /// Sets the number of entries, among which repeats and the places of targets are shared.
    pub fn set_entries(&mut self, entries: usize) {
        let entries = entries.max(1);
        if self.entries.replace(entries) != Some(entries) {
            for budget in self.retry_budgets.values_mut() {
                budget.share(entries);
            }
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// Takes a configuration.
    pub fn set_config(&mut self, config: Rc<Config>) {
        self.config = Some(config);
    }

    /// Takes `version` of `model` as named, and returns whether it is news.
    pub fn name_version(&mut self, now: Instant, model: &str, version: u64) -> bool {
        self.versions.name(now, model, version)
    }

    /// Takes `version` of `model`, which was named before this process started, and returns whether it is news.
    pub fn find_version(&mut self, model: &str, version: u64) -> bool {
        self.versions.find(model, version)
    }

    /// Takes what another process saw: that `version` of `model` was named `age` before `now`; returns whether it is news.
    pub fn version_aged(&mut self, now: Instant, model: &str, version: u64, age: Duration) -> bool {
        self.versions.aged(now, model, version, age)
    }

    /// Returns the versions that operators named.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// Adds a target or takes its newer registration.
    pub fn put_target(&mut self, target: Target) {
        match self.targets.get_mut(&target.id) {
            Some(state) => state.update(target),
            None => {
                self.targets
                    .insert(target.id.clone(), TargetState::new(target));
            }
        }
    }

    /// Forgets a target; its requests end as they would have.
    pub fn remove_target(&mut self, id: &str) {
        self.targets.remove(id);
    }

    /// Returns the targets by id.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|state| &state.target)
    }

    /// Returns the target called `id`.
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.targets.get(id).map(|state| &state.target)
    }

    /// Notes that target `id` said that it leaves, and returns whether that is news; this start of it gets no more
    /// requests.
    pub fn target_leaves(&mut self, now: Instant, id: &str) -> bool {
        self.expire_admissions(now);
        let state = self.targets.get(id);
        state.is_some_and(|state| self.admissions.set_leaving(now, &state.target))
    }

    /// Notes that target `id` wants no requests for `pause`, and returns whether that is news.
    pub fn target_pauses(&mut self, now: Instant, id: &str, pause: Duration) -> bool {
        self.expire_admissions(now);
        let state = self.targets.get(id);
        state.is_some_and(|state| self.admissions.set_pause(now, &state.target, pause))
    }

    fn expire_admissions(&mut self, now: Instant) {
        let targets = &self.targets;
        self.admissions.expire(now, |id| targets.contains_key(id));
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the number of requests at targets.
    pub fn in_progress(&self) -> usize {
        self.placed.len()
    }

    /// Takes the load that the target at `address` told of itself.
    pub fn report(&mut self, now: Instant, address: SocketAddr, load: Load) {
        let state = self
            .targets
            .values_mut()
            .find(|state| state.target.address == address);
        if let Some(state) = state {
            state.record_load(now, load, self.rng.random());
        }
    }

    /// Takes the load that an answer of target `id` carried.
    pub fn answer_load(&mut self, now: Instant, id: &str, load: Load) {
        if let Some(state) = self.targets.get_mut(id) {
            state.record_load(now, load, self.rng.random());
        }
    }

    /// Takes a request; [`Scheduler::poll`] gives out what becomes of it.
    pub fn submit(&mut self, now: Instant, work: Work) -> RequestId {
        self.retry_budget(now, &work.service).request(now);
        self.enqueue(now, work)
    }

    /// Takes a request whose attempt failed once more, or returns `None` when it may not be sent again.
    ///
    /// It may be if it certainly did not run or its kind allows repeats, if an attempt and some time are left, and if
    /// the budget has a repeat; an attempt without a connection costs neither.
    pub fn retry(&mut self, now: Instant, work: Work, failure: Failure) -> Option<RequestId> {
        let allowed = failure.is_not_run() || work.is_repeatable();
        let unsent = failure.is_unsent();
        let left = match unsent {
            true => work.tried.len() < MAX_UNCONNECTED_ATTEMPTS + 1,
            false => work.attempts > 0,
        };
        if !allowed || !left || now + MIN_ATTEMPT_TIME >= work.deadline {
            return None;
        }
        if !unsent && !self.retry_budget(now, &work.service).take(now) {
            return None;
        }
        Some(self.enqueue(now, work))
    }

    /// Returns a second place for `work`, whose attempt goes on, or `None` when no target has room at once.
    ///
    /// As for a retry, its kind must allow repeats, and an attempt, some time and a repeat of the budget must be left.
    pub fn place_beside(&mut self, now: Instant, work: Work) -> Option<Place> {
        if !work.may_repeat() || now + MIN_ATTEMPT_TIME >= work.deadline {
            return None;
        }
        let Choice::Target(target) = self.choose(now, &work, Backlog::None) else {
            return None;
        };
        if !self.retry_budget(now, &work.service).take(now) {
            return None;
        }
        self.last_id += 1;
        self.place(now, self.last_id, work, &target)
    }

    /// Notes that the target of a request is silent for too long while its attempt goes on, and returns whether the
    /// target was ejected for it.
    pub fn late(&mut self, now: Instant, id: RequestId) -> bool {
        let state = self.target_state(id);
        state.is_some_and(|state| state.health.failure(now, Failure::Late))
    }

    /// Forgets a waiting request whose caller left.
    pub fn cancel(&mut self, id: RequestId) {
        for queue in self.queues.values_mut() {
            if queue.cancel(id) {
                return;
            }
        }
    }

    /// Notes that the first event of a request arrived, made from the weights `version` as far as the answer told.
    pub fn started(&mut self, now: Instant, id: RequestId, version: Option<u64>) {
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

    /// Returns the streams that have not begun at targets whose weights must not begin them any more.
    ///
    /// A target keeps a request in its queue, or reads other prompts first, for longer than can be foreseen. Of an answer
    /// that comes whole nothing shows whether it has begun.
    pub fn outdated(&self, now: Instant) -> Vec<RequestId> {
        let outdated = |placed: &PlacedRequest| {
            let model = placed.work.model.as_ref()?;
            let current = match self.targets.get(&placed.target) {
                Some(state) => state.target.weights.get(model).copied(),
                None => placed.weights,
            };
            Some(current? < self.versions.due(model, now + BEGIN_MARGIN))
        };
        let waiting = |placed: &PlacedRequest| {
            !placed.started && matches!(placed.work.kind, Kind::Streaming { .. })
        };
        self.placed
            .iter()
            .filter(|(_, placed)| waiting(placed) && outdated(placed).unwrap_or(false))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Takes the end of an attempt, and returns whether its target was ejected for it.
    pub fn ended(&mut self, now: Instant, id: RequestId, outcome: Outcome) -> bool {
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
                state.health.success(now);
            }
            Outcome::Failed(Failure::Unreachable)
                if self.paths.record_failure(now, domain, &placed.target) =>
            {
                state.health.suspend(now);
            }
            Outcome::Failed(failure) => {
                if failure == Failure::Misdirected {
                    state.record_misdirected(now);
                }
                return state.health.failure(now, failure);
            }
            Outcome::Abandoned => {}
        }
        false
    }

    /// Returns when [`Scheduler::poll`] must be called if no event calls for it before.
    pub fn next_poll(&self) -> Option<Instant> {
        self.queues.values().filter_map(Queue::next_expiry).min()
    }

    /// Returns what to do now.
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

    /// Moves runs away from targets that wait for them before they change their weights.
    ///
    /// While an engine waits for a few long answers, its other slots serve nothing. A run is moved only to a target that
    /// has the same weights and room, so that the caller sees a short pause.
    fn move_streams(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let is_due = |state: &&TargetState| {
            let since = state.closed_since();
            since.is_some_and(|since| now.saturating_duration_since(since) >= MOVE_DELAY)
        };
        let runs: Vec<(RequestId, u64)> = self
            .targets
            .values()
            .filter(is_due)
            .flat_map(|state| state.running_streams())
            .filter_map(|(request, run)| Some((request, run.version?)))
            .collect();
        for (request, version) in runs {
            let Some(placed) = self.placed.get(&request) else {
                continue;
            };
            let mut work = placed.work.clone();
            work.version = Some(version);
            work.output /= 2;
            let Some(place) = self.place_beside(now, work) else {
                continue;
            };
            if let Some(placed) = self.placed.get_mut(&request) {
                placed.work.attempts = 0;
            }
            decisions.push(Decision::Move { request, place });
        }
    }

    fn poll_service(&mut self, now: Instant, service: &str, decisions: &mut Vec<Decision>) {
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let waiting: Vec<_> = queue.iter().map(|(key, _)| key).take(MAX_SCANNED).collect();
        let mut consecutive_busy = 0;
        for key in waiting {
            let Some(work) = self
                .queues
                .get_mut(service)
                .and_then(|queue| queue.remove(key))
            else {
                continue;
            };
            // Its caller has given up meanwhile: this process may have been paused.
            if now + MIN_ATTEMPT_TIME >= work.deadline {
                decisions.push(self.reject(now, key.request, &work, Reason::Expired));
                continue;
            }
            let waited = work.arrived < now;
            let queued = self.queues.get(service).map_or(0, Queue::len);
            let backlog = match queued {
                0 => Backlog::Allowed,
                _ => Backlog::None,
            };
            let choice = match consecutive_busy < MAX_CONSECUTIVE_BUSY {
                true => self.choose(now, &work, backlog),
                false => Choice::Busy,
            };
            // One that may only go to few targets says nothing about the others.
            let restricted = work.version.is_some() || !work.tried.is_empty();
            consecutive_busy = match choice {
                Choice::Busy if restricted => consecutive_busy,
                Choice::Busy => consecutive_busy + 1,
                _ => 0,
            };
            match choice {
                Choice::Target(id) => {
                    if let Some(place) = self.place(now, key.request, work, &id) {
                        decisions.push(Decision::Send(place));
                    }
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.record_placement(now, waited);
                    }
                }
                Choice::Busy if Queue::wait_deadline(&work) > now => {
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.push(key.request, work);
                    }
                }
                Choice::Busy => {
                    decisions.push(self.reject(now, key.request, &work, Reason::Overload))
                }
                Choice::Paused(until) if Queue::wait_deadline(&work) > until => {
                    if let Some(queue) = self.queues.get_mut(service) {
                        queue.push(key.request, work);
                    }
                }
                Choice::Paused(until) => {
                    decisions.push(self.reject_paused(now, key.request, &work, until));
                }
                Choice::NoTarget => {
                    let reason = match work.tried.is_empty() {
                        true => Reason::NoTarget,
                        false => Reason::Refused,
                    };
                    decisions.push(self.reject(now, key.request, &work, reason));
                }
            }
        }
    }

    fn enqueue(&mut self, now: Instant, work: Work) -> RequestId {
        self.last_id += 1;
        let id = self.last_id;
        let queue = self.queues.entry(work.service.clone()).or_default();
        let wait = queue.expected_wait(now, &work);
        if queue.len() > 0 && wait.is_some_and(|wait| now + wait > Queue::wait_deadline(&work)) {
            let rejected = self.reject(now, id, &work, Reason::Overload);
            self.pending_rejections.push(rejected);
        } else {
            queue.push(id, work);
        }
        id
    }

    fn place(
        &mut self,
        now: Instant,
        request: RequestId,
        mut work: Work,
        id: &str,
    ) -> Option<Place> {
        self.use_permit(now, id);
        let state = self.targets.get_mut(id)?;
        let load = state.request_count(now);
        state.record_sent(now, request, work.prompt);
        self.paths.record_sent(now, &state.target.domain);
        work.attempts = work.attempts.saturating_sub(1);
        work.tried.push(id.into());
        let weights = work.model.as_ref();
        let placed = PlacedRequest {
            target: id.into(),
            weights: weights.and_then(|model| state.target.weights.get(model).copied()),
            work: work.clone(),
            started: false,
        };
        self.placed.insert(request, placed);
        Some(Place {
            request,
            target: id.into(),
            address: state.target.address,
            work,
            load,
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
