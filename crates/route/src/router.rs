//! The router of one entry: its state, the events that it takes and the actions that follow.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use catalog::{Entry, Name, Revision};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::Catalogue;
use crate::limit::Limiter;
use crate::outcome::{Reason, Refusal, Unknown};
use crate::pool::Pool;
use crate::request::{Answering, Done, InFlight, Request, RequestContext, RequestId, Waiting};
use crate::service_router::{RETRY_AFTER, ServiceRouter};
use crate::target::State;

/// Admits and queues requests, and assigns them to targets.
#[derive(Debug)]
pub struct Router {
    domain: String,
    entries: u32,
    catalogue: Catalogue,
    limiter: Limiter,
    service_routers: BTreeMap<Name, ServiceRouter>,
    target_services: HashMap<String, Name>,
    expected_reporters: Option<BTreeSet<String>>,
    next_id: RequestId,
    pending_actions: Vec<Action>,
    random: SmallRng,
}

/// An action that the owner of the router must perform.
#[derive(Debug)]
pub enum Action {
    /// Send the request to its target.
    Send(InFlight),
    /// Report the final outcome to the caller.
    Finish(Request<Done>),
}

/// The parameters of a caller's request that routing uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Submission<'a> {
    /// Workspace of the caller.
    pub workspace: &'a str,
    /// Called service.
    pub service: &'a str,
    /// Time until the caller's deadline; `None` uses the time limit of the service, which is also the maximum.
    pub deadline: Option<Duration>,
    /// Hash of the prompt's prefix, for affinity.
    pub prefix_hash: Option<u64>,
    /// Claim slot of the idempotency key; required by services that are not repeatable.
    pub claim_slot: Option<u8>,
}

/// Why an attempt got no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The agent rejected the request as one that can't succeed unchanged.
    Rejected,
    /// The agent reported the request as not run, because its backend has no free capacity.
    Overloaded,
    /// The agent reported the request as not run, because its gate is closed or its weights differ.
    Closed,
    /// The agent reported the request as not run, because it serves other weights, whose digest has this short form.
    WeightsMismatch(u64),
    /// The agent reported the request as not run for another temporary reason.
    Refused,
    /// The agent reported the request as not run, because the named agent owns the claim slot of the key.
    OwnedElsewhere(String),
    /// No connection to the agent could be established.
    NotConnected,
    /// The connection broke after the request was written.
    ConnectionLost,
    /// The deadline passed after the request was written.
    TimedOut,
    /// The agent reported that the request may have run.
    OutcomeUnknown,
}

impl Router {
    /// Returns a router for an entry in the failure domain `domain`; `seed` initializes its random number generator.
    pub fn new(domain: &str, seed: u64) -> Self {
        Self {
            domain: domain.into(),
            entries: 1,
            catalogue: Catalogue::new(),
            limiter: Limiter::default(),
            service_routers: BTreeMap::new(),
            target_services: HashMap::new(),
            expected_reporters: None,
            next_id: 0,
            pending_actions: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the catalogue that requests are admitted against.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the targets of a service, if it has any or is in the catalogue.
    pub fn pool(&self, service: &str) -> Option<&Pool> {
        self.service_routers
            .get(service)
            .map(|service_router| &service_router.pool)
    }

    /// Returns the number of a service's queued requests, by class.
    pub fn waiting(&self, service: &str) -> BTreeMap<Name, usize> {
        self.service_routers
            .get(service)
            .map(ServiceRouter::waiting)
            .unwrap_or_default()
    }

    /// Returns the number of a service's requests that are at targets.
    pub fn in_progress(&self, service: &str) -> u32 {
        self.service_routers
            .get(service)
            .map_or(0, ServiceRouter::in_progress)
    }

    /// Returns the names of the services.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.service_routers.keys()
    }

    /// Returns whether each service with replaced weights has an open target that reported which of them it serves.
    ///
    /// Requests to a target without a report carry the current pin of the catalogue, which the target refuses until it
    /// has switched.
    pub fn has_weight_reports(&self, now: Instant) -> bool {
        self.service_routers.iter().all(|(name, service_router)| {
            let service = self
                .catalogue
                .service(name)
                .filter(|service| !service.retired);
            let replaced = service.is_some_and(|service| service.pins().nth(1).is_some());
            let mut targets = service_router.pool.iter();
            !replaced || targets.any(|(_, target)| target.state(now) == State::Open)
        })
    }

    /// Returns the time at which [`Router::poll`] must be called next if no event occurs before.
    pub fn next_poll(&self) -> Option<Instant> {
        self.service_routers
            .values()
            .filter_map(ServiceRouter::next_expiry)
            .min()
    }

    /// Sets the number of live entries, which share the limits.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
        for service_router in self.service_routers.values_mut() {
            service_router.pool.set_entries(self.entries);
        }
    }

    /// Stores a catalogue entry if it is newer than the stored version, and returns whether it was.
    pub fn apply(&mut self, entry: Entry, revision: Revision) -> bool {
        let service = match &entry {
            Entry::Service(service) => Some((service.name.clone(), service.limits)),
            Entry::Class(_) | Entry::Workspace(_) => None,
        };
        let newer = self.catalogue.apply(entry, revision);
        if newer && let Some((name, limits)) = service {
            let (domain, entries) = (&self.domain, self.entries);
            let service_router = self
                .service_routers
                .entry(name)
                .or_insert_with(|| ServiceRouter::new(domain, entries, limits));
            service_router.set_limits(limits);
        }
        newer
    }

    /// Adds a target, or replaces its member record. A target whose service changed moves to the pool of the new one.
    pub fn upsert_target(&mut self, name: &str, member: &gossip::Target) {
        let service_name = self
            .target_services
            .insert(name.into(), member.service.clone());
        if let Some(service_name) =
            service_name.filter(|service_name| *service_name != member.service)
            && let Some(service_router) = self.service_routers.get_mut(&service_name)
        {
            service_router.pool.remove(name);
        }
        let (domain, entries) = (&self.domain, self.entries);
        let service_router = self
            .service_routers
            .entry(member.service.clone())
            .or_insert_with(|| ServiceRouter::new(domain, entries, catalog::Limits::default()));
        let per_target = service_router.limits().per_target;
        service_router.pool.upsert(name, member, per_target);
        if let Some(expected_reporters) = &self.expected_reporters {
            service_router
                .pool
                .set_expected_here(name, expected_reporters.contains(name));
        }
    }

    /// Sets the names of the targets that are expected to report to this entry.
    ///
    /// The absence of reports from other targets doesn't make them suspect. Until the first call all are expected to
    /// report.
    pub fn set_expected_reporters(&mut self, names: BTreeSet<String>) {
        for (target, service_name) in &self.target_services {
            if let Some(service_router) = self.service_routers.get_mut(service_name) {
                service_router
                    .pool
                    .set_expected_here(target, names.contains(target));
            }
        }
        self.expected_reporters = Some(names);
    }

    /// Removes a target. Its requests in progress are not affected.
    pub fn remove_target(&mut self, name: &str) {
        let service_name = self.target_services.remove(name);
        if let Some(service_router) =
            service_name.and_then(|service_name| self.service_routers.get_mut(&service_name))
        {
            service_router.pool.remove(name);
        }
    }

    /// Applies a target's report; a report of a target without a member record is ignored.
    pub fn apply_report(&mut self, now: Instant, report: &wire::Report) {
        let service_router = self
            .target_services
            .get(&report.target)
            .and_then(|service_name| self.service_routers.get_mut(service_name));
        if let Some(target) =
            service_router.and_then(|service_router| service_router.pool.get_mut(&report.target))
        {
            target.apply_report(now, report);
        }
    }

    /// Admits a request to the queue of its service. [`Router::poll`] returns the actions that follow.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request isn't admitted; it has not run.
    pub fn submit(
        &mut self,
        now: Instant,
        submission: &Submission<'_>,
    ) -> Result<RequestId, Refusal> {
        let admission = self
            .catalogue
            .admit(submission.workspace, submission.service)?;
        if !admission.repeatable && submission.claim_slot.is_none() {
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
        let service_router = self
            .service_routers
            .get_mut(submission.service)
            .ok_or(Refusal::permanent(Reason::Service))?;
        let deadline = submission
            .deadline
            .map_or(admission.deadline, |asked| asked.min(admission.deadline));
        self.next_id += 1;
        let context = RequestContext {
            id: self.next_id,
            submitted_at: now,
            deadline: now + deadline,
            prefix_hash: submission.prefix_hash,
            claim_slot: submission.claim_slot.filter(|_| !admission.repeatable),
            admission: Rc::new(admission),
            attempts: 0,
            unreached_attempts: 0,
            tried: Vec::new(),
            required_target: None,
            redirected: false,
            weights_corrected: false,
            retried_at_owner: false,
            permits,
        };
        service_router.submit(now, context, &mut self.pending_actions)?;
        Ok(self.next_id)
    }

    /// Removes a queued request whose caller has disconnected, and returns whether it was queued.
    pub fn cancel(&mut self, id: RequestId) -> bool {
        self.service_routers
            .values_mut()
            .any(|service_router| service_router.remove(id).is_some())
    }

    /// Returns the actions that are due: requests to send and final outcomes.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending_actions);
        for service_router in self.service_routers.values_mut() {
            service_router.poll(now, self.entries, &mut self.random, &mut actions);
        }
        actions
    }

    /// Records that the response to a request has started.
    pub fn answer_started(&mut self, now: Instant, request: InFlight) -> Request<Answering> {
        let time = now.saturating_duration_since(request.sent_at());
        if let Some(service_router) = self.service_routers.get_mut(&request.admission().service) {
            service_router.wait_estimator.record_latency(now, time);
            if let Some(target) = service_router.pool.get_mut(request.target()) {
                if let Some(pin) = request.pin() {
                    target.learn_weights(now, pin.digest.prefix());
                }
                if time <= request.admission().within {
                    target.concurrency.record_in_time();
                }
            }
        }
        request.answering()
    }

    /// Records that the response to a request has ended; `whole` tells whether the caller received all of it.
    pub fn answer_finished(
        &mut self,
        now: Instant,
        request: Request<Answering>,
        whole: bool,
    ) -> Request<Done> {
        if let Some(service_router) = self.service_routers.get_mut(&request.admission().service)
            && whole
        {
            service_router
                .wait_estimator
                .record_occupancy(now.saturating_duration_since(request.sent_at()));
            service_router
                .budget(now, &request.admission().workspace)
                .record_success();
        }
        request.finish(whole)
    }

    /// Records an attempt that got no response. The request is queued again, or [`Router::poll`] returns its outcome.
    pub fn attempt_failed(&mut self, now: Instant, request: InFlight, failure: Failure) {
        let Some(service_router) = self.service_routers.get_mut(&request.admission().service)
        else {
            return;
        };
        // A timeout before the response time of the class's objective is no sign of an overloaded target. Otherwise a
        // caller with short deadlines could lower the target's limit for all others.
        let time = now.saturating_duration_since(request.sent_at());
        let late = failure == Failure::TimedOut && time >= request.admission().within;
        if let Some(target) = service_router.pool.get_mut(request.target()) {
            match failure {
                Failure::TimedOut if !late => {}
                Failure::Overloaded | Failure::TimedOut => {
                    target.concurrency.record_overload(now, request.sent_at());
                }
                Failure::Closed | Failure::NotConnected => target.mark_closed(now),
                Failure::Rejected
                | Failure::Refused
                | Failure::OwnedElsewhere(_)
                | Failure::WeightsMismatch(_)
                | Failure::ConnectionLost
                | Failure::OutcomeUnknown => {}
            }
        }
        if late {
            service_router.wait_estimator.record_occupancy(time);
        }
        let next = match failure {
            Failure::Rejected => {
                finish_refused(request.not_run(), Refusal::permanent(Reason::Rejected))
            }
            Failure::Overloaded | Failure::Closed | Failure::Refused => {
                retry_elsewhere(service_router, now, request.not_run())
            }
            Failure::WeightsMismatch(served_weights) => {
                retry_with_served_weights(service_router, now, request, served_weights)
            }
            Failure::NotConnected => {
                let mut waiting = request.not_run();
                waiting.context_mut().unreached_attempts += 1;
                service_router.retry(now, waiting, true)
            }
            Failure::OwnedElsewhere(owner) => {
                redirect_to_owner(service_router, now, request.not_run(), owner)
            }
            Failure::ConnectionLost => retry_after_loss(service_router, now, request),
            Failure::TimedOut => finish_unknown(request, Unknown::TimedOut),
            Failure::OutcomeUnknown if request.admission().repeatable => service_router.retry(
                now,
                Waiting::Requeued(request.may_have_run(Unknown::Reported)),
                true,
            ),
            Failure::OutcomeUnknown => finish_unknown(request, Unknown::Reported),
        };
        self.pending_actions.extend(next);
    }
}

/// Retries on another target. A request with an idempotency key is refused instead, because no other agent may run it.
fn retry_elsewhere(
    service_router: &mut ServiceRouter,
    now: Instant,
    waiting: Waiting,
) -> Option<Action> {
    if waiting.context().claim_slot.is_some() {
        return finish_refused(waiting, Refusal::retry(Reason::Refused, RETRY_AFTER));
    }
    service_router.retry(now, waiting, true)
}

/// Retries a request once on a target that doesn't report here, with the weights that its refusal names.
///
/// This costs no token of the retry budget, because the refusal was due to a wrong guess of the entry. If the request
/// doesn't accept these weights, other targets are tried.
fn retry_with_served_weights(
    service_router: &mut ServiceRouter,
    now: Instant,
    request: InFlight,
    served_weights: u64,
) -> Option<Action> {
    let name = request.target().to_owned();
    let mut waiting = request.not_run();
    let accepted = service_router
        .pool
        .accepted_pins(now, &waiting.context().admission.pins);
    let accepts = accepted
        .iter()
        .any(|pin| pin.digest.prefix() == served_weights);
    let Some(target) = service_router.pool.get_mut(&name) else {
        return retry_elsewhere(service_router, now, waiting);
    };
    if !target.learn_weights(now, served_weights) || !accepts {
        // A target that reports here is closed until its next report, any other for a fixed time.
        target.mark_closed(now);
    }
    let guessed = target.state(now) == State::Unreported;
    let context = waiting.context_mut();
    if !guessed || context.weights_corrected {
        return retry_elsewhere(service_router, now, waiting);
    }
    context.weights_corrected = true;
    context.required_target = Some(name);
    service_router.retry(now, waiting, false)
}

/// Redirects a request with an idempotency key to the owner of its claim slot, once.
///
/// This costs no token of the retry budget, because a redirect is no failure of the agent that named the owner.
fn redirect_to_owner(
    service_router: &mut ServiceRouter,
    now: Instant,
    mut waiting: Waiting,
    owner: String,
) -> Option<Action> {
    let context = waiting.context_mut();
    let first = !std::mem::replace(&mut context.redirected, true);
    if !first || context.claim_slot.is_none() {
        return service_router.retry(now, waiting, true);
    }
    context.required_target = Some(owner);
    service_router.retry(now, waiting, false)
}

/// Retries after a broken connection: a repeatable request on another target, and one with an idempotency key once on
/// the same owner, to learn its outcome.
fn retry_after_loss(
    service_router: &mut ServiceRouter,
    now: Instant,
    request: InFlight,
) -> Option<Action> {
    let target = request.target().to_owned();
    let mut request = request.may_have_run(Unknown::Lost);
    let context = &mut request.context;
    if context.admission.repeatable {
        return service_router.retry(now, Waiting::Requeued(request), true);
    }
    if context.retried_at_owner {
        let refusal = Refusal::permanent(Reason::Refused);
        return finish_refused(Waiting::Requeued(request), refusal);
    }
    context.retried_at_owner = true;
    context.required_target = Some(target);
    service_router.retry(now, Waiting::Requeued(request), false)
}

/// Ends a request whose attempt may have run, with an unknown outcome.
fn finish_unknown(request: InFlight, why: Unknown) -> Option<Action> {
    let request = request.may_have_run(why);
    finish_refused(
        Waiting::Requeued(request),
        Refusal::permanent(Reason::Refused),
    )
}

/// Ends a waiting request with a refusal.
fn finish_refused(waiting: Waiting, refusal: Refusal) -> Option<Action> {
    Some(Action::Finish(waiting.refuse(refusal)))
}
