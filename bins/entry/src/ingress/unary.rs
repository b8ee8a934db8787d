//! Requests whose responses are buffered and forwarded once they are complete.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use dispatch::Failure;
use node::http::{Body, Response, StatusCode};

use super::buffering;
use super::call::Call;
use super::error::RequestError;
use super::gateway::Gateway;
use super::hedge;
use super::placed::PlacedRequest;

/// Multiple of the route's latency objective after which a target that has not responded is hedged.
const HEDGE_FACTOR: u32 = 2;

/// Serves a request whose response is forwarded once it is complete.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: &Call) -> Response<Body> {
    let mut last_possible_run = None;
    // The last error response of a target.
    let error_response = Cell::new(None);
    let mut next = gateway.submit(call.work()).await;
    loop {
        let placed = match next {
            Ok(placed) => placed,
            Err(error) => return finish(gateway, call, error_response.take(), &error),
        };
        let exchange = async |placed: &PlacedRequest| {
            let response = exchange(gateway, call, placed).await?;
            if is_retryable(response.status()) && placed.place().work.is_repeatable() {
                error_response.set(Some(response));
                return Err(Failure::Error);
            }
            Ok(response)
        };
        let hedge_delay = call.objective * HEDGE_FACTOR;
        let (failure, work) = match hedge::attempt(placed, hedge_delay, exchange).await {
            Ok((placed, response)) => {
                placed.answered();
                gateway.metrics.observe_first_byte(call.arrived.elapsed());
                return response.map(Body::from);
            }
            Err(failed) => failed,
        };
        next = gateway
            .retry_or_fail(call, work, failure, &mut last_possible_run)
            .await;
    }
}

/// Returns the error response of a target if there is one, or that of the entry.
fn finish(
    gateway: &Gateway,
    call: &Call,
    error_response: Option<Response<Bytes>>,
    error: &RequestError,
) -> Response<Body> {
    match error_response {
        Some(response) => {
            gateway.metrics.observe_first_byte(call.arrived.elapsed());
            response.map(Body::from)
        }
        None => gateway.fail_request(call, error),
    }
}

/// Makes one attempt and reads the complete response.
async fn exchange(
    gateway: &Gateway,
    call: &Call,
    placed: &PlacedRequest,
) -> Result<Response<Bytes>, Failure> {
    let deadline = call.deadline;
    let target_response = gateway.attempt(call, placed, deadline, None).await?;
    let body = buffering::collect(gateway, call, placed, target_response.body).await?;
    let mut response = Response::new(body);
    *response.status_mut() = target_response.status;
    *response.headers_mut() = platform::response::forwarded_headers(&target_response.headers);
    Ok(response)
}

/// Returns whether another target may answer the request successfully.
fn is_retryable(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::MISDIRECTED_REQUEST
}
