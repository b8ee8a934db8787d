//! Requests whose answers are passed on whole.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use dispatch::Failure;
use node::event;
use node::http::{Body, Response, StatusCode};

use super::call::Call;
use super::end::End;
use super::gateway::Gateway;
use super::hedge;
use super::holding::Holding;
use super::placed::Placed;

/// Multiple of the objective after which a second target is tried beside one that has not answered.
const PATIENCE: u32 = 2;

/// Serves a request whose answer is passed on once it is whole.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: &Call) -> Response<Body> {
    let mut ran = None;
    // The last failure that a target answered with.
    let kept = Cell::new(None);
    let mut next = gateway.submit(call.work()).await;
    loop {
        let placed = match next {
            Ok(placed) => placed,
            Err(end) => return finish(gateway, call, kept.take(), end),
        };
        let exchange = async |placed: &Placed| {
            let response = exchange(gateway, call, placed).await?;
            if is_failure(response.status()) && placed.place().work.is_repeatable() {
                kept.set(Some(response));
                return Err(Failure::Error);
            }
            Ok(response)
        };
        let patience = call.objective * PATIENCE;
        let (failure, work) = match hedge::attempt(placed, patience, exchange).await {
            Ok((placed, response)) => {
                placed.answered();
                gateway.metrics.answered(call.arrived.elapsed());
                return response.map(Body::from);
            }
            Err(failed) => failed,
        };
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
async fn exchange(
    gateway: &Gateway,
    call: &Call,
    placed: &Placed,
) -> Result<Response<Bytes>, Failure> {
    let limit = call.deadline;
    let answered = gateway.attempt(call, placed, limit, None).await?;
    let broken = |_| match Instant::now() >= limit {
        true => Failure::Late,
        false => Failure::Broken,
    };
    let mut body = answered.body;
    let mut holding = Holding::new(&gateway.held);
    let mut whole = BytesMut::new();
    while let Some(piece) = body.next().await.map_err(broken)? {
        if !holding.take(piece.len()) {
            event!(
                event::ANSWER_TOO_LARGE,
                target = placed.place().target,
                request = call.caller.id,
                bytes = whole.len()
            );
            return Err(Failure::Broken);
        }
        whole.extend_from_slice(&piece);
    }
    let mut response = Response::new(whole.freeze());
    *response.status_mut() = answered.status;
    *response.headers_mut() = platform::response::forwarded_headers(&answered.headers);
    Ok(response)
}

/// Tells whether another target may do better.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}
