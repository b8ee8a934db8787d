//! Queue, targets and estimates of one service.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use catalog::{Limits, Name};
use rand::Rng;

use crate::budget::Budget;
use crate::drain::Drain;
use crate::limit::{Permit, share};
use crate::outcome::{Reason, Refusal};
use crate::pool::{Pool, Query};
use crate::queue::Queue;
use crate::request::{Core, Dispatch, InFlight, Request, RequestId, Waiting};
use crate::router::Action;

/// Most attempts of one request that reach an agent.
///
/// The others cost little and each closes its target. After the loss of a rack with a third of a domain's targets, three
/// attempts in a row meet dead ones in 3 of 100 requests until these are closed.
const MOST_ATTEMPTS: u32 = 3;
/// Time between two searches for waiting requests that no target is open for.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a request may be sent again when no target was open for it or its agent refused.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Everything that routing holds about one service.
#[derive(Debug)]
pub(crate) struct Lane {
    pub pool: Pool,
    pub drain: Drain,
    limits: Limits,
    queue: Queue,
    in_progress: Rc<Cell<u32>>,
    budgets: HashMap<Name, Budget>,
    searched: Option<Instant>,
}

impl Lane {
    pub(crate) fn new(domain: &str, entries: u32, limits: Limits) -> Self {
        let mut pool = Pool::new(domain);
        pool.set_entries(entries);
        Self {
            pool,
            drain: Drain::default(),
            limits,
            queue: Queue::default(),
            in_progress: Rc::default(),
            budgets: HashMap::new(),
            searched: None,
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

    /// Returns the time at which the next waiting request must be given up.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        let deadline = self.queue.earliest_deadline()?;
        Some(
            deadline
                .checked_sub(self.drain.shortest())
                .unwrap_or(deadline),
        )
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        self.queue.remove(id)
    }

    /// Queues a new request or refuses it; a request that it displaced is finished.
    pub(crate) fn submit(
        &mut self,
        now: Instant,
        core: Core,
        finished: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        let admission = Rc::clone(&core.admission);
        self.drain.arrived(now, admission.rank);
        if !self.pool.is_open(now, &query(&core)) {
            return Err(Refusal::retry(Reason::Target, RETRY_AFTER));
        }
        let (rank, class, workspace) = (admission.rank, &*admission.class, &*admission.workspace);
        let wait = self.expected_wait(now, rank, class, workspace);
        let needed = wait.saturating_add(self.drain.shortest());
        let left = core.deadline.saturating_duration_since(now);
        if needed > left {
            return Err(Refusal::retry(Reason::Wait, needed - left));
        }
        let bound = admission
            .service_limits
            .queue
            .map_or(usize::MAX, |most| most as usize);
        let direct = self.queue.len() == 0 && self.is_free(now);
        if self.queue.is_full(rank, bound) && !direct {
            let Some(displaced) = self.queue.displace(rank, class, workspace, bound) else {
                return Err(Refusal::retry(Reason::Queue, wait));
            };
            let core = displaced.core().admission.clone();
            let wait = self.expected_wait(now, core.rank, &core.class, &core.workspace);
            finished.push(Action::Finish(
                displaced.refuse(Refusal::retry(Reason::Queue, wait)),
            ));
        }
        self.queue.push(Waiting::Fresh(Request::new(core)));
        Ok(())
    }

    /// Queues a request again if it has an attempt, time and a target left; otherwise gives it up at once.
    ///
    /// `paid` tells that the attempt costs a token of the retry budget.
    pub(crate) fn retry(&mut self, now: Instant, waiting: Waiting, paid: bool) -> Option<Action> {
        let core = waiting.core();
        let allowed = core.attempts - core.unreached < MOST_ATTEMPTS
            && core.deadline > now + self.drain.shortest()
            && self.pool.is_open(now, &query(core))
            && (!paid || self.budget(now, &core.admission.workspace).take(now));
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

    /// Gives up what can't be answered in time and sends what has a place.
    pub(crate) fn poll(
        &mut self,
        now: Instant,
        entries: u32,
        random: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        self.give_up(now, actions);
        let most = self
            .limits
            .concurrent
            .map_or(u32::MAX, |limit| share(limit, entries));
        while self.queue.len() > 0 && self.in_progress.get() < most && self.pool.has_room(now) {
            let pool = &self.pool;
            let mut place = |waiting: &Waiting| {
                pool.choose(now, &query(waiting.core()), random)
                    .map(str::to_owned)
            };
            let Some((waiting, target)) = self.queue.pop(&mut place) else {
                break;
            };
            actions.push(Action::Send(self.send(now, waiting, target)));
        }
    }

    fn send(&mut self, now: Instant, waiting: Waiting, name: String) -> InFlight {
        let target = self.pool.get(&name).expect("the pool chose the target");
        let pins = self.pool.accepted(now, &waiting.core().admission.pins);
        let dispatch = Dispatch {
            pin: target.pin(now, pins).cloned(),
            at: now,
            _slots: [Permit::new(&target.own), Permit::new(&self.in_progress)],
            target: name,
        };
        waiting.send(dispatch)
    }

    fn give_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for waiting in self.queue.expire(now, self.drain.shortest()) {
            let refusal = Refusal::retry(Reason::Deadline, RETRY_AFTER);
            actions.push(Action::Finish(waiting.refuse(refusal)));
        }
        let due = self
            .searched
            .is_none_or(|time| now.saturating_duration_since(time) >= SEARCH_INTERVAL);
        if due && self.queue.len() > 0 {
            self.searched = Some(now);
            let pool = &self.pool;
            for waiting in self
                .queue
                .drain(|waiting| !pool.is_open(now, &query(waiting.core())))
            {
                let refusal = Refusal::retry(Reason::Target, RETRY_AFTER);
                actions.push(Action::Finish(waiting.refuse(refusal)));
            }
        }
    }

    fn is_free(&self, now: Instant) -> bool {
        self.pool.has_room(now)
    }

    /// Returns the expected wait of a new request, zero when a place is free.
    fn expected_wait(&self, now: Instant, rank: u8, class: &str, workspace: &str) -> Duration {
        if self.queue.len() == 0 && self.is_free(now) {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead(rank, class, workspace);
        self.drain.wait(now, rank, ahead, self.in_progress.get())
    }
}

fn query(core: &Core) -> Query<'_> {
    Query {
        pins: &core.admission.pins,
        affinity: core.affinity,
        slot: core.slot,
        tried: &core.tried,
        only: core.only.as_deref(),
    }
}
