//! HTTP/1.1 server and client on the compio event loop, with their body type.

mod admission;
pub mod blocks;
mod body;
mod client;
mod connections;
mod informational;
pub mod intake;
mod metrics;
mod pool;
mod server;
mod stream;

pub use body::{Body, BodySender};
pub use client::{Client, Error, ResponseBody};
pub use connections::{ConnectionId, Connections, Phase};
pub use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
pub use metrics::Metrics;
pub use server::{Limits, StaticHeaders, serve, serve_with_dynamic_limits};

/// Returns a response with `status` and `body`.
pub fn response(status: StatusCode, body: impl Into<Body>) -> Response<Body> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
}

/// Returns a response that makes the server close the connection without sending a response.
pub fn abort() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(server::Abort);
    response
}

/// Returns a response with `status` and `value` as JSON.
///
/// # Panics
///
/// Panics when `value` can't be serialized as JSON, for example a map with keys that aren't strings.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("the value is serializable as JSON");
    let mut response = response(status, text);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}
