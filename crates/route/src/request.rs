//! The life cycle of one request as a typestate.
//!
//! ```text
//! Queued ──► Sent<Queued> ──► Answering ──► Done
//!   ▲             │ │
//!   └── not run ──┘ └── may have run ──► Requeued ──► Sent<Requeued> ──► …
//! ```
//!
//! [`Queued`] means that nothing was written to a backend. [`Requeued`] means that an earlier attempt may have run: the
//! outcome of a request in this state, or sent from it, can be unknown but never "not run".

use std::rc::Rc;
use std::time::Instant;

use weights::Pin;

use crate::admission::Admission;
use crate::limit::Permit;
use crate::outcome::{NotRun, Outcome, Refusal, Unknown};

/// Identifier of a request, unique within one router.
pub type RequestId = u64;

/// A request in the state `S`.
#[derive(Debug)]
pub struct Request<S> {
    pub(crate) context: RequestContext,
    state: S,
}

/// State: waiting for a target; nothing was written to a backend.
#[derive(Clone, Copy, Debug)]
pub struct Queued(());

/// State: waiting for a target after an attempt that may have run.
#[derive(Clone, Copy, Debug)]
pub struct Requeued(Unknown);

/// State: sent to a target from the waiting state `Q`.
#[derive(Debug)]
pub struct Sent<Q> {
    wait_state: Q,
    attempt: Attempt,
}

/// State: the head of the response has arrived, and its body is being forwarded.
#[derive(Debug)]
pub struct Answering {
    attempt: Attempt,
}

/// State: ended; the permits of the request are released.
#[derive(Debug)]
pub struct Done {
    outcome: Outcome,
}

/// A state in which a request waits for a target: [`Queued`] or [`Requeued`].
pub trait WaitState: Copy + sealed::Sealed {
    /// Returns the outcome of a request that is refused in this state.
    fn refused_outcome(self, refusal: Refusal) -> Outcome;

    /// Wraps `request` in the variant of [`Waiting`] for this state.
    fn into_waiting(request: Request<Self>) -> Waiting;
}

/// A request in either waiting state.
#[derive(Debug)]
pub enum Waiting {
    /// Nothing was written to a backend.
    Queued(Request<Queued>),
    /// An earlier attempt may have run.
    Requeued(Request<Requeued>),
}

/// A request that was sent from either waiting state.
#[derive(Debug)]
pub enum InFlight {
    /// Only this attempt may have run.
    FromQueued(Request<Sent<Queued>>),
    /// An earlier attempt may have run as well.
    FromRequeued(Request<Sent<Requeued>>),
}

/// The state-independent data of a request, and the results of its attempts.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub id: RequestId,
    pub admission: Rc<Admission>,
    pub submitted_at: Instant,
    pub deadline: Instant,
    pub prefix_hash: Option<u64>,
    pub claim_slot: Option<u8>,
    pub attempts: u32,
    /// Number of attempts that reached no agent.
    pub unreached_attempts: u32,
    pub tried: Vec<String>,
    pub required_target: Option<String>,
    pub redirected: bool,
    pub weights_corrected: bool,
    pub retried_at_owner: bool,
    pub permits: Vec<Permit>,
}

/// One attempt: its target and the concurrency permits that it holds.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub target: String,
    pub pin: Option<Pin>,
    pub sent_at: Instant,
    pub _permits: [Permit; 2],
}

mod sealed {
    pub trait Sealed {}
    impl Sealed for super::Queued {}
    impl Sealed for super::Requeued {}
}

impl Request<Queued> {
    pub(crate) fn new(context: RequestContext) -> Self {
        Self {
            context,
            state: Queued(()),
        }
    }
}

impl<S> Request<S> {
    /// Returns the identifier of the request.
    pub fn id(&self) -> RequestId {
        self.context.id
    }

    /// Returns the settings that the request was admitted with.
    pub fn admission(&self) -> &Admission {
        &self.context.admission
    }

    /// Returns the time at which the request's deadline passes.
    pub fn deadline(&self) -> Instant {
        self.context.deadline
    }

    /// Returns the time at which the request was submitted.
    pub fn submitted_at(&self) -> Instant {
        self.context.submitted_at
    }

    /// Ends the request and releases its permits.
    fn end(self, outcome: Outcome) -> Request<Done> {
        let mut context = self.context;
        context.permits.clear();
        Request {
            context,
            state: Done { outcome },
        }
    }
}

impl RequestContext {
    /// Records a failed attempt. Only a request with an idempotency key stays bound to a target after it.
    fn record_attempt(&mut self, target: String) {
        self.tried.push(target);
        if self.claim_slot.is_none() {
            self.required_target = None;
        }
    }
}

impl<Q: WaitState> Request<Q> {
    /// Sends the request to a target.
    pub(crate) fn send(mut self, attempt: Attempt) -> Request<Sent<Q>> {
        self.context.attempts += 1;
        Request {
            context: self.context,
            state: Sent {
                wait_state: self.state,
                attempt,
            },
        }
    }

    /// Ends the request without a response: as not run if nothing was ever written to a backend, otherwise as unknown.
    pub fn refuse(self, refusal: Refusal) -> Request<Done> {
        let outcome = self.state.refused_outcome(refusal);
        self.end(outcome)
    }
}

impl<Q: WaitState> Request<Sent<Q>> {
    /// Returns the name of the target.
    pub fn target(&self) -> &str {
        &self.state.attempt.target
    }

    /// Returns the weights that must serve the request; `None` for plain services.
    pub fn pin(&self) -> Option<&Pin> {
        self.state.attempt.pin.as_ref()
    }

    /// Returns the time at which the request was sent.
    pub fn sent_at(&self) -> Instant {
        self.state.attempt.sent_at
    }

    /// Returns the request to the state it was sent from, after the agent reported or the failed connection implies
    /// that nothing was written to the backend.
    pub(crate) fn not_run(mut self) -> Request<Q> {
        self.context.record_attempt(self.state.attempt.target);
        Request {
            context: self.context,
            state: self.state.wait_state,
        }
    }

    /// Returns the request to the state [`Requeued`], because this attempt may have run.
    pub(crate) fn may_have_run(mut self, why: Unknown) -> Request<Requeued> {
        self.context.record_attempt(self.state.attempt.target);
        Request {
            context: self.context,
            state: Requeued(why),
        }
    }

    /// Moves to the state [`Answering`] when the head of the response arrives.
    pub(crate) fn answering(self) -> Request<Answering> {
        Request {
            context: self.context,
            state: Answering {
                attempt: self.state.attempt,
            },
        }
    }
}

impl Request<Answering> {
    /// Returns the name of the target.
    pub fn target(&self) -> &str {
        &self.state.attempt.target
    }

    /// Returns the time at which the request was sent.
    pub fn sent_at(&self) -> Instant {
        self.state.attempt.sent_at
    }

    /// Ends the request. The outcome of a truncated response is unknown.
    pub(crate) fn finish(self, whole: bool) -> Request<Done> {
        let outcome = if whole {
            Outcome::Answered
        } else {
            Outcome::Unknown(Unknown::Cut)
        };
        self.end(outcome)
    }
}

impl Request<Done> {
    /// Returns the outcome of the request.
    pub fn outcome(&self) -> &Outcome {
        &self.state.outcome
    }
}

impl WaitState for Queued {
    fn refused_outcome(self, refusal: Refusal) -> Outcome {
        Outcome::NotRun(NotRun::new(refusal))
    }

    fn into_waiting(request: Request<Self>) -> Waiting {
        Waiting::Queued(request)
    }
}

impl WaitState for Requeued {
    fn refused_outcome(self, _: Refusal) -> Outcome {
        Outcome::Unknown(self.0)
    }

    fn into_waiting(request: Request<Self>) -> Waiting {
        Waiting::Requeued(request)
    }
}

impl Waiting {
    pub(crate) fn context(&self) -> &RequestContext {
        match self {
            Self::Queued(request) => &request.context,
            Self::Requeued(request) => &request.context,
        }
    }

    pub(crate) fn context_mut(&mut self) -> &mut RequestContext {
        match self {
            Self::Queued(request) => &mut request.context,
            Self::Requeued(request) => &mut request.context,
        }
    }

    pub(crate) fn send(self, attempt: Attempt) -> InFlight {
        match self {
            Self::Queued(request) => InFlight::FromQueued(request.send(attempt)),
            Self::Requeued(request) => InFlight::FromRequeued(request.send(attempt)),
        }
    }

    /// Ends the request without a response; see [`Request::refuse`].
    pub fn refuse(self, refusal: Refusal) -> Request<Done> {
        match self {
            Self::Queued(request) => request.refuse(refusal),
            Self::Requeued(request) => request.refuse(refusal),
        }
    }
}

impl InFlight {
    /// Returns the identifier of the request.
    pub fn id(&self) -> RequestId {
        self.context().id
    }

    /// Returns the settings that the request was admitted with.
    pub fn admission(&self) -> &Admission {
        &self.context().admission
    }

    /// Returns the time at which the request's deadline passes.
    pub fn deadline(&self) -> Instant {
        self.context().deadline
    }

    /// Returns the name of the target.
    pub fn target(&self) -> &str {
        &self.attempt().target
    }

    /// Returns the weights that must serve the request; `None` for plain services.
    pub fn pin(&self) -> Option<&Pin> {
        self.attempt().pin.as_ref()
    }

    /// Returns the time at which the request was sent.
    pub fn sent_at(&self) -> Instant {
        self.attempt().sent_at
    }

    /// Returns the number of attempts so far, this one included.
    pub fn attempts(&self) -> u32 {
        self.context().attempts
    }

    pub(crate) fn answering(self) -> Request<Answering> {
        match self {
            Self::FromQueued(request) => request.answering(),
            Self::FromRequeued(request) => request.answering(),
        }
    }

    pub(crate) fn not_run(self) -> Waiting {
        match self {
            Self::FromQueued(request) => Queued::into_waiting(request.not_run()),
            Self::FromRequeued(request) => Requeued::into_waiting(request.not_run()),
        }
    }

    pub(crate) fn may_have_run(self, why: Unknown) -> Request<Requeued> {
        match self {
            Self::FromQueued(request) => request.may_have_run(why),
            Self::FromRequeued(request) => request.may_have_run(why),
        }
    }

    pub(crate) fn context(&self) -> &RequestContext {
        match self {
            Self::FromQueued(request) => &request.context,
            Self::FromRequeued(request) => &request.context,
        }
    }

    fn attempt(&self) -> &Attempt {
        match self {
            Self::FromQueued(request) => &request.state.attempt,
            Self::FromRequeued(request) => &request.state.attempt,
        }
    }
}
