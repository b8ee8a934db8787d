//! HTTP/1.1 over the event loop: a server, a client and their body type.

mod body;
mod client;
mod interim;
mod pool;
mod server;
mod stream;

pub use body::{Body, Sender};
pub use client::{Answer, Client, Error};
pub use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
pub use server::{Headers, Limits, serve, serve_with};

/// Returns a response with `status` and `body`.
pub fn response(status: StatusCode, body: impl Into<Body>) -> Response<Body> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
}

/// Returns a response that makes the server end the connection without sending an answer.
pub fn cut() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(server::Cut);
    response
}

/// Returns a response with `status` and `value` as JSON.
///
/// # Panics
///
/// Panics when `value` can't be written as JSON, for example a map whose keys aren't texts.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("the value has a JSON form");
    let mut response = response(status, text);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}
