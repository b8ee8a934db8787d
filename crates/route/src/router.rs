//! All decisions of one entry.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use catalog::{Entry, Name, Revision};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::Catalogue;
use crate::lane::{Lane, RETRY_AFTER};
use crate::limit::Limiter;
use crate::outcome::{Reason, Refusal, Unknown};
use crate::pool::Pool;
use crate::request::{Answering, Core, Done, InFlight, Request, RequestId, Waiting};
use crate::target::State;

/// Admits, queues and places requests.
#[derive(Debug)]
pub struct Router {
    domain: String,
    entries: u32,
    catalogue: Catalogue,
    limiter: Limiter,
    lanes: BTreeMap<Name, Lane>,
    homes: HashMap<String, Name>,
    reporters: Option<BTreeSet<String>>,
    next_id: RequestId,
    finished: Vec<Action>,
    random: SmallRng,
}

/// What the owner of the router must do.
#[derive(Debug)]
pub enum Action {
    /// Send the request to its target.
    Send(InFlight),
    /// Tell the caller the final outcome.
    Finish(Request<Done>),
}

/// A request as the caller sent it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Submission<'a> {
    /// Workspace of the caller.
    pub workspace: &'a str,
    /// Service that is called.
    pub service: &'a str,
    /// Time until the caller's deadline; `None` uses the service's, which is also the longest allowed.
    pub deadline: Option<Duration>,
    /// Hash of the prompt's prefix.
    pub affinity: Option<u64>,
    /// Claim slot of the key; required by services that are not repeatable.
    pub slot: Option<u8>,
}

/// Why an attempt gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The agent said that the request won't run as it is.
    Rejected,
    /// The agent said not run: its backend has no place.
    Overloaded,
    /// The agent said not run: its gate is closed or its weights differ.
    Closed,
    /// The agent said not run: it serves other weights, whose digest has this short form.
    Version(u64),
    /// The agent said not run for another reason that may pass.
    Refused,
    /// The agent said not run: another agent owns the slot of the key.
    Elsewhere(String),
    /// No connection to the agent came about.
    NotConnected,
    /// The connection broke after the request was written.
    Lost,
    /// The deadline passed after the request was written.
    TimedOut,
    /// The agent said that the request may have run.
    Reported,
}

impl Router {
    /// Returns a router of an entry in `domain`; `seed` sets its random choices.
    pub fn new(domain: &str, seed: u64) -> Self {
        Self {
            domain: domain.into(),
            entries: 1,
            catalogue: Catalogue::new(),
            limiter: Limiter::default(),
            lanes: BTreeMap::new(),
            homes: HashMap::new(),
            reporters: None,
            next_id: 0,
            finished: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the catalogue that requests are admitted against.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the targets of a service.
    pub fn pool(&self, service: &str) -> Option<&Pool> {
        self.lanes.get(service).map(|lane| &lane.pool)
    }

    /// Returns the number of a service's requests that are waiting, by class.
    pub fn waiting(&self, service: &str) -> BTreeMap<Name, usize> {
        self.lanes
            .get(service)
            .map(Lane::waiting)
            .unwrap_or_default()
    }

    /// Returns the number of a service's requests that are at targets.
    pub fn in_progress(&self, service: &str) -> u32 {
        self.lanes.get(service).map_or(0, Lane::in_progress)
    }

    /// Returns the names of the services.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.lanes.keys()
    }

    /// Tells whether each service with replaced weights has an open target that reported which of them it serves.
    ///
    /// Requests to a target without a report carry the catalogue's pin, which the target refuses until it has switched.
    pub fn knows_weights(&self, now: Instant) -> bool {
        self.lanes.iter().all(|(name, lane)| {
            let service = self
                .catalogue
                .service(name)
                .filter(|service| !service.retired);
            let replaced = service.is_some_and(|service| service.pins().nth(1).is_some());
            let mut targets = lane.pool.iter();
            !replaced || targets.any(|(_, target)| target.state(now) == State::Open)
        })
    }

    /// Returns the time at which [`Router::poll`] must be called if no event calls for it before.
    pub fn next_poll(&self) -> Option<Instant> {
        self.lanes.values().filter_map(Lane::next_expiry).min()
    }

    /// Sets the number of live entries, among which limits are shared.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
        for lane in self.lanes.values_mut() {
            lane.pool.set_entries(self.entries);
        }
    }

    /// Takes a new version of a catalogue entry, and returns whether it was newer than the one held.
    pub fn apply(&mut self, entry: Entry, revision: Revision) -> bool {
        let service = match &entry {
            Entry::Service(service) => Some((service.name.clone(), service.limits)),
            Entry::Class(_) | Entry::Workspace(_) => None,
        };
        let newer = self.catalogue.apply(entry, revision);
        if newer && let Some((name, limits)) = service {
            let (domain, entries) = (&self.domain, self.entries);
            let lane = self
                .lanes
                .entry(name)
                .or_insert_with(|| Lane::new(domain, entries, limits));
            lane.set_limits(limits);
        }
        newer
    }

    /// Takes the member record of a target.
    pub fn put_target(&mut self, name: &str, member: &gossip::Target) {
        let home = self.homes.insert(name.into(), member.service.clone());
        if let Some(home) = home.filter(|home| *home != member.service)
            && let Some(lane) = self.lanes.get_mut(&home)
        {
            lane.pool.remove(name);
        }
        let (domain, entries) = (&self.domain, self.entries);
        let lane = self
            .lanes
            .entry(member.service.clone())
            .or_insert_with(|| Lane::new(domain, entries, catalog::Limits::default()));
        let per_target = lane.limits().per_target;
        lane.pool.put(name, member, per_target);
        if let Some(reporters) = &self.reporters {
            lane.pool.set_due(name, reporters.contains(name));
        }
    }

    /// Sets the names of the targets that have to report to this entry.
    ///
    /// The silence of the others means nothing. Until the first call all have to report.
    pub fn set_reporters(&mut self, names: BTreeSet<String>) {
        for (target, home) in &self.homes {
            if let Some(lane) = self.lanes.get_mut(home) {
                lane.pool.set_due(target, names.contains(target));
            }
        }
        self.reporters = Some(names);
    }

    /// Forgets a target; its requests in progress end as they would have.
    pub fn remove_target(&mut self, name: &str) {
        let home = self.homes.remove(name);
        if let Some(lane) = home.and_then(|home| self.lanes.get_mut(&home)) {
            lane.pool.remove(name);
        }
    }

    /// Takes a target's report; a report of a target without a member record is ignored.
    pub fn report(&mut self, now: Instant, report: &wire::Report) {
        let lane = self
            .homes
            .get(&report.target)
            .and_then(|home| self.lanes.get_mut(home));
        if let Some(target) = lane.and_then(|lane| lane.pool.get_mut(&report.target)) {
            target.update(now, report);
        }
    }

    /// Admits a request to the queue of its service; [`Router::poll`] gives out what follows.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused. It did not run.
    pub fn submit(
        &mut self,
        now: Instant,
        submission: &Submission<'_>,
    ) -> Result<RequestId, Refusal> {
        let admission = self
            .catalogue
            .admit(submission.workspace, submission.service)?;
        if !admission.repeatable && submission.slot.is_none() {
            return Err(Refusal::permanent(Reason::Malformed));
        }
        let scopes = [
            (
                format!("workspace/{}", admission.workspace),
                admission.workspace_limits,
            ),
            (format!("class/{}", admission.class), admission.class_limits),
            (
                format!("service/{}", admission.service),
                admission.service_limits,
            ),
        ];
        let permits = self.limiter.admit(now, self.entries, &scopes)?;
        let lane = self
            .lanes
            .get_mut(submission.service)
            .ok_or(Refusal::permanent(Reason::Service))?;
        let deadline = submission
            .deadline
            .map_or(admission.deadline, |asked| asked.min(admission.deadline));
        self.next_id += 1;
        let core = Core {
            id: self.next_id,
            submitted: now,
            deadline: now + deadline,
            affinity: submission.affinity,
            slot: submission.slot.filter(|_| !admission.repeatable),
            admission: Rc::new(admission),
            attempts: 0,
            unreached: 0,
            tried: Vec::new(),
            only: None,
            redirected: false,
            corrected: false,
            asked_again: false,
            permits,
        };
        lane.submit(now, core, &mut self.finished)?;
        Ok(self.next_id)
    }

    /// Forgets a waiting request whose caller is gone, and returns whether it was waiting.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        self.lanes
            .values_mut()
            .any(|lane| lane.remove(id).is_some())
    }

    /// Returns what to do now: requests to send and final outcomes.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.finished);
        for lane in self.lanes.values_mut() {
            lane.poll(now, self.entries, &mut self.random, &mut actions);
        }
        actions
    }

    /// Takes the start of an answer.
    pub fn answering(&mut self, now: Instant, request: InFlight) -> Request<Answering> {
        let time = now.saturating_duration_since(request.sent_at());
        if let Some(lane) = self.lanes.get_mut(&request.admission().service) {
            lane.drain.answered(now, time);
            if let Some(target) = lane.pool.get_mut(request.target()) {
                if let Some(pin) = request.pin() {
                    target.learn(now, pin.digest.short());
                }
                if time <= request.admission().within {
                    target.concurrency.in_time();
                }
            }
        }
        request.answering()
    }

    /// Takes the end of an answer; `whole` tells that the caller got all of it.
    pub fn finished(
        &mut self,
        now: Instant,
        request: Request<Answering>,
        whole: bool,
    ) -> Request<Done> {
        if let Some(lane) = self.lanes.get_mut(&request.admission().service)
            && whole
        {
            lane.drain
                .held(now.saturating_duration_since(request.sent_at()));
            lane.budget(now, &request.admission().workspace).success();
        }
        request.finish(whole)
    }

    /// Takes an attempt that gave no answer: the request is queued again, or [`Router::poll`] gives out its outcome.
    pub fn failed(&mut self, now: Instant, request: InFlight, failure: Failure) {
        let Some(lane) = self.lanes.get_mut(&request.admission().service) else {
            return;
        };
        // A deadline shorter than the class promises says nothing about the target: a caller could cut its limit for
        // all others.
        let time = now.saturating_duration_since(request.sent_at());
        let late = failure == Failure::TimedOut && time >= request.admission().within;
        if let Some(target) = lane.pool.get_mut(request.target()) {
            match failure {
                Failure::TimedOut if !late => {}
                Failure::Overloaded | Failure::TimedOut => {
                    target.concurrency.overloaded(now, request.sent_at());
                }
                Failure::Closed | Failure::NotConnected => target.close(now),
                Failure::Rejected
                | Failure::Refused
                | Failure::Elsewhere(_)
                | Failure::Version(_)
                | Failure::Lost
                | Failure::Reported => {}
            }
        }
        if late {
            lane.drain.held(time);
        }
        let next = match failure {
            Failure::Rejected => give_up(request.not_run(), Refusal::permanent(Reason::Rejected)),
            Failure::Overloaded | Failure::Closed | Failure::Refused => {
                refused(lane, now, request.not_run())
            }
            Failure::Version(served) => other_weights(lane, now, request, served),
            Failure::NotConnected => {
                let mut waiting = request.not_run();
                waiting.core_mut().unreached += 1;
                lane.retry(now, waiting, true)
            }
            Failure::Elsewhere(owner) => redirect(lane, now, request.not_run(), owner),
            Failure::Lost => lost(lane, now, request),
            Failure::TimedOut => may_have_run(request, Unknown::TimedOut),
            Failure::Reported if request.admission().repeatable => lane.retry(
                now,
                Waiting::Again(request.may_have_run(Unknown::Reported)),
                true,
            ),
            Failure::Reported => may_have_run(request, Unknown::Reported),
        };
        self.finished.extend(next);
    }
}

/// Tries another target, except for a keyed request: no other agent may run it.
fn refused(lane: &mut Lane, now: Instant, waiting: Waiting) -> Option<Action> {
    if waiting.core().slot.is_some() {
        return give_up(waiting, Refusal::retry(Reason::Refused, RETRY_AFTER));
    }
    lane.retry(now, waiting, true)
}

/// Sends a request again to a target that doesn't report here, once, under the weights that its refusal names.
///
/// This costs no token of the retry budget: the refusal was due to a wrong guess of the entry. Other targets are tried
/// when the request doesn't accept these weights.
fn other_weights(lane: &mut Lane, now: Instant, request: InFlight, served: u64) -> Option<Action> {
    let name = request.target().to_owned();
    let mut waiting = request.not_run();
    let accepted = lane.pool.accepted(now, &waiting.core().admission.pins);
    let accepts = accepted.iter().any(|pin| pin.digest.short() == served);
    let Some(target) = lane.pool.get_mut(&name) else {
        return refused(lane, now, waiting);
    };
    if !target.learn(now, served) || !accepts {
        // A target that reports here is closed until its next report, the others for a while.
        target.close(now);
    }
    let guessed = target.state(now) == State::Unreported;
    let core = waiting.core_mut();
    if !guessed || core.corrected {
        return refused(lane, now, waiting);
    }
    core.corrected = true;
    core.only = Some(name);
    lane.retry(now, waiting, false)
}

/// Sends a keyed request to the owner of its slot, once; the agent that named the owner was no failure, so this costs
/// no token of the retry budget.
fn redirect(lane: &mut Lane, now: Instant, mut waiting: Waiting, owner: String) -> Option<Action> {
    let core = waiting.core_mut();
    let first = !std::mem::replace(&mut core.redirected, true);
    if !first || core.slot.is_none() {
        return lane.retry(now, waiting, true);
    }
    core.only = Some(owner);
    lane.retry(now, waiting, false)
}

/// Tries a repeatable request elsewhere, and asks the same owner once for the outcome of a keyed one.
fn lost(lane: &mut Lane, now: Instant, request: InFlight) -> Option<Action> {
    let target = request.target().to_owned();
    let mut request = request.may_have_run(Unknown::Lost);
    let core = &mut request.core;
    if core.admission.repeatable {
        return lane.retry(now, Waiting::Again(request), true);
    }
    if core.asked_again {
        let refusal = Refusal::permanent(Reason::Refused);
        return give_up(Waiting::Again(request), refusal);
    }
    core.asked_again = true;
    core.only = Some(target);
    lane.retry(now, Waiting::Again(request), false)
}

fn may_have_run(request: InFlight, why: Unknown) -> Option<Action> {
    let request = request.may_have_run(why);
    give_up(Waiting::Again(request), Refusal::permanent(Reason::Refused))
}

fn give_up(waiting: Waiting, refusal: Refusal) -> Option<Action> {
    Some(Action::Finish(waiting.refuse(refusal)))
}
