//! Admission, queueing, load balancing and retries of requests.
//!
//! A [`Router`] is a state machine without I/O: it takes events and the current time and returns [`Action`]s. A request
//! enters with [`Router::submit`], which checks it against the [`Catalogue`] and the limits and puts it into the queue
//! of its service. [`Router::poll`] dequeues requests in the order of their classes and assigns each to a target. The
//! owner of the router reports the results of attempts with [`Router::answer_started`], [`Router::answer_finished`] and
//! [`Router::attempt_failed`].
//!
//! The life cycle of a [`Request`] is a typestate: only a request of which nothing was ever written to a backend can
//! end as [`Outcome::NotRun`].

mod admission;
mod budget;
mod concurrency;
mod limit;
mod outcome;
mod pool;
mod queue;
mod request;
mod router;
mod service_router;
mod target;
mod wait_estimate;

pub use admission::{Admission, Catalogue};
pub use budget::Budget;
pub use concurrency::Concurrency;
pub use limit::{Permit, TokenBucket, share_per_entry};
pub use outcome::{NotRun, Outcome, Reason, Refusal, Unknown};
pub use pool::{Pool, Query};
pub use request::{
    Answering, Done, InFlight, Queued, Request, RequestId, Requeued, Sent, WaitState, Waiting,
};
pub use router::{Action, Failure, Router, Submission};
pub use target::{State, Target};
