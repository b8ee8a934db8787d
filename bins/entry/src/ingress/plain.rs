//! Requests whose answers are passed on whole.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use dispatch::{Failure, Outcome};
use node::http::{Body, Response, StatusCode};

use super::call::Call;
use super::end::End;
use super::gateway::{Gateway, Placed};

/// Multiple of the objective after which another target is tried while one is left.
const PATIENCE: u32 = 2;
/// Largest answer, in bytes; it is held in memory until it is whole.
const MAX_ANSWER: usize = 8 << 20;

/// A target's whole answer.
struct Whole {
    response: Response<Bytes>,
    failed: bool,
}

/// Serves a request whose answer is passed on once it is whole.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: &Call) -> Response<Body> {
    let mut ran = None;
    let mut kept = None;
    let mut next = gateway.submit(call.work()).await;
    loop {
        let placed = match next {
            Ok(placed) => placed,
            Err(end) => return finish(gateway, call, kept, end),
        };
        let failure = match exchange(gateway, call, &placed).await {
            Ok(whole) if !whole.failed || !placed.place().work.is_repeatable() => {
                placed.end(Outcome::Answered);
                gateway.metrics.answered(call.arrived.elapsed());
                return whole.response.map(Body::from);
            }
            Ok(whole) => {
                kept = Some(whole.response);
                Failure::Error
            }
            Err(failure) => failure,
        };
        let work = placed.end(Outcome::Failed(failure));
        next = gateway.submit_again(call, work, failure, &mut ran).await;
    }
}

/// Returns the failure that a target answered with, if one did, else the entry's own.
fn finish(
    gateway: &Gateway,
    call: &Call,
    kept: Option<Response<Bytes>>,
    end: End,
) -> Response<Body> {
    match kept {
        Some(response) => {
            gateway.metrics.answered(call.arrived.elapsed());
            response.map(Body::from)
        }
        None => gateway.give_up(call, end),
    }
}

/// Makes one attempt and reads the whole answer.
async fn exchange(gateway: &Gateway, call: &Call, placed: &Placed) -> Result<Whole, Failure> {
    let work = &placed.place().work;
    let mut limit = call.deadline;
    if work.is_repeatable() && work.attempts > 0 {
        limit = limit.min(Instant::now() + call.objective * PATIENCE);
    }
    let answered = gateway.attempt(call, placed, limit, None).await?;
    let body =
        answered
            .body
            .bytes(MAX_ANSWER)
            .await
            .map_err(|_| match Instant::now() >= limit {
                true => Failure::Late,
                false => Failure::Broken,
            })?;
    let mut response = Response::new(body);
    *response.status_mut() = answered.status;
    *response.headers_mut() = platform::answer::pass(&answered.headers);
    Ok(Whole {
        failed: is_failure(answered.status),
        response,
    })
}

/// Tells whether another target may do better.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}
