//! The queue, the targets and the wait estimates of one service.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use catalog::{Limits, Name};
use rand::Rng;

use crate::budget::Budget;
use crate::limit::{Permit, share_per_entry};
use crate::outcome::{Reason, Refusal};
use crate::pool::{Pool, Query};
use crate::queue::Queue;
use crate::request::{Attempt, InFlight, Request, RequestContext, RequestId, Waiting};
use crate::router::Action;
use crate::wait_estimate::WaitEstimator;

/// Maximum number of attempts of one request that reach an agent.
///
/// Attempts that fail to connect don't count: they cost little, and each closes its target. After the loss of a rack
/// with a third of a failure domain's targets, 3 in 100 requests choose unreachable targets three times in a row until
/// these are closed.
const MAX_ATTEMPTS: u32 = 3;
/// Interval between scans for queued requests that no target is open for.
const UNROUTABLE_SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Retry delay given to the caller when no target was open for the request or the agent refused it.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Routing state of one service.
#[derive(Debug)]
pub(crate) struct ServiceRouter {
    pub pool: Pool,
    pub wait_estimator: WaitEstimator,
    limits: Limits,
    queue: Queue,
    in_progress: Rc<Cell<u32>>,
    budgets: HashMap<Name, Budget>,
    last_scan: Option<Instant>,
}

impl ServiceRouter {
    pub(crate) fn new(domain: &str, entries: u32, limits: Limits) -> Self {
        let mut pool = Pool::new(domain);
        pool.set_entries(entries);
        Self {
            pool,
            wait_estimator: WaitEstimator::default(),
            limits,
            queue: Queue::default(),
            in_progress: Rc::default(),
            budgets: HashMap::new(),
            last_scan: None,
        }
    }

    pub(crate) fn limits(&self) -> Limits {
        self.limits
    }

    pub(crate) fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.pool.set_ceiling(limits.per_target);
    }

    pub(crate) fn in_progress(&self) -> u32 {
        self.in_progress.get()
    }

    pub(crate) fn waiting(&self) -> BTreeMap<Name, usize> {
        self.queue.waiting()
    }

    /// Returns the time at which the next queued request can no longer meet its deadline.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        let deadline = self.queue.earliest_deadline()?;
        Some(
            deadline
                .checked_sub(self.wait_estimator.min_latency())
                .unwrap_or(deadline),
        )
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        self.queue.remove(id)
    }

    /// Queues a new request or refuses it. A request that is evicted to make room for it is finished through `actions`.
    pub(crate) fn submit(
        &mut self,
        now: Instant,
        context: RequestContext,
        actions: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        let admission = Rc::clone(&context.admission);
        self.wait_estimator.record_arrival(now, admission.rank);
        if !self.pool.has_open_target(now, &target_query(&context)) {
            return Err(Refusal::retry(Reason::Target, RETRY_AFTER));
        }
        let (rank, class, workspace) = (admission.rank, &*admission.class, &*admission.workspace);
        let wait = self.expected_wait(now, rank, class, workspace);
        let needed = wait.saturating_add(self.wait_estimator.min_latency());
        let left = context.deadline.saturating_duration_since(now);
        if needed > left {
            return Err(Refusal::retry(Reason::Wait, needed - left));
        }
        let max_queue_len = admission
            .service_limits
            .queue
            .map_or(usize::MAX, |limit| limit as usize);
        let can_send_now = self.queue.len() == 0 && self.has_capacity(now);
        if self.queue.is_full(rank, max_queue_len) && !can_send_now {
            let Some(evicted) = self.queue.evict(rank, class, workspace, max_queue_len) else {
                return Err(Refusal::retry(Reason::Queue, wait));
            };
            let evicted_admission = evicted.context().admission.clone();
            let wait = self.expected_wait(
                now,
                evicted_admission.rank,
                &evicted_admission.class,
                &evicted_admission.workspace,
            );
            actions.push(Action::Finish(
                evicted.refuse(Refusal::retry(Reason::Queue, wait)),
            ));
        }
        self.queue.push(Waiting::Queued(Request::new(context)));
        Ok(())
    }

    /// Requeues a request if it has an attempt, time and a target left; otherwise refuses it at once.
    ///
    /// With `charge_budget` the attempt costs a token of the retry budget.
    pub(crate) fn retry(
        &mut self,
        now: Instant,
        waiting: Waiting,
        charge_budget: bool,
    ) -> Option<Action> {
        let context = waiting.context();
        let allowed = context.attempts - context.unreached_attempts < MAX_ATTEMPTS
            && context.deadline > now + self.wait_estimator.min_latency()
            && self.pool.has_open_target(now, &target_query(context))
            && (!charge_budget || self.budget(now, &context.admission.workspace).try_take(now));
        if allowed {
            self.queue.push(waiting);
            return None;
        }
        Some(Action::Finish(
            waiting.refuse(Refusal::retry(Reason::Refused, RETRY_AFTER)),
        ))
    }

    pub(crate) fn budget(&mut self, now: Instant, workspace: &str) -> &mut Budget {
        self.budgets
            .entry(workspace.into())
            .or_insert_with(|| Budget::new(now))
    }

    /// Refuses queued requests that can't be served any more, and sends others while limits and targets allow it.
    pub(crate) fn poll(
        &mut self,
        now: Instant,
        entries: u32,
        random: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        self.refuse_unservable(now, actions);
        let max_in_progress = self
            .limits
            .concurrent
            .map_or(u32::MAX, |limit| share_per_entry(limit, entries));
        while self.queue.len() > 0
            && self.in_progress.get() < max_in_progress
            && self.pool.has_capacity(now)
        {
            let pool = &self.pool;
            let mut find_target = |waiting: &Waiting| {
                pool.choose(now, &target_query(waiting.context()), random)
                    .map(str::to_owned)
            };
            let Some((waiting, target)) = self.queue.pop(&mut find_target) else {
                break;
            };
            actions.push(Action::Send(self.send(now, waiting, target)));
        }
    }

    fn send(&mut self, now: Instant, waiting: Waiting, name: String) -> InFlight {
        let target = self.pool.get(&name).expect("the pool chose the target");
        let pins = self
            .pool
            .accepted_pins(now, &waiting.context().admission.pins);
        let attempt = Attempt {
            pin: target.served_pin(now, pins).cloned(),
            sent_at: now,
            _permits: [
                Permit::new(&target.own_requests),
                Permit::new(&self.in_progress),
            ],
            target: name,
        };
        waiting.send(attempt)
    }

    /// Refuses queued requests that can't meet their deadline or that no target is open for.
    fn refuse_unservable(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for waiting in self.queue.expire(now, self.wait_estimator.min_latency()) {
            let refusal = Refusal::retry(Reason::Deadline, RETRY_AFTER);
            actions.push(Action::Finish(waiting.refuse(refusal)));
        }
        let scan_due = self
            .last_scan
            .is_none_or(|time| now.saturating_duration_since(time) >= UNROUTABLE_SCAN_INTERVAL);
        if scan_due && self.queue.len() > 0 {
            self.last_scan = Some(now);
            let pool = &self.pool;
            for waiting in self.queue.remove_matching(|waiting| {
                !pool.has_open_target(now, &target_query(waiting.context()))
            }) {
                let refusal = Refusal::retry(Reason::Target, RETRY_AFTER);
                actions.push(Action::Finish(waiting.refuse(refusal)));
            }
        }
    }

    fn has_capacity(&self, now: Instant) -> bool {
        self.pool.has_capacity(now)
    }

    /// Returns the expected wait of a new request, zero when it can be sent at once.
    fn expected_wait(&self, now: Instant, rank: u8, class: &str, workspace: &str) -> Duration {
        if self.queue.len() == 0 && self.has_capacity(now) {
            return Duration::ZERO;
        }
        let ahead = self.queue.count_ahead(rank, class, workspace);
        self.wait_estimator
            .expected_wait(now, rank, ahead, self.in_progress.get())
    }
}

fn target_query(context: &RequestContext) -> Query<'_> {
    Query {
        pins: &context.admission.pins,
        prefix_hash: context.prefix_hash,
        claim_slot: context.claim_slot,
        tried: &context.tried,
        required_target: context.required_target.as_deref(),
    }
}
