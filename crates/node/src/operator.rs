//! HTTP server of the operator port: `/metrics`, `/healthz` and `/status`.

use std::net::SocketAddr;

use bytes::Bytes;
use compio::net::TcpListener;
use hyper::{Method, Request, Response, StatusCode, header};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use serde_json::Value;

use crate::http::{self, Body, Limits, Metrics, json, response};

const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Data served on the operator port.
pub struct Operator<S, H> {
    /// Metrics served at `/metrics`.
    pub registry: Registry,
    /// Returns the JSON object served at `/status`.
    pub status: S,
    /// Returns whether the process accepts new requests; `/healthz` responds with 200 or 503 accordingly.
    pub healthy: H,
}

/// Serves the operator port on `listener` until `shutdown` resolves.
pub async fn serve<S, H>(
    listener: TcpListener,
    operator: Operator<S, H>,
    shutdown: impl Future<Output = ()>,
) where
    S: Fn() -> Value,
    H: Fn() -> bool,
{
    let operator = &operator;
    let handler =
        |_: SocketAddr, request: Request<Bytes>| async move { operator.respond(&request) };
    let limits = Limits::internal("operators", &Metrics::default());
    http::serve(listener, limits, handler, shutdown).await;
}

impl<S: Fn() -> Value, H: Fn() -> bool> Operator<S, H> {
    fn respond(&self, request: &Request<Bytes>) -> Response<Body> {
        if request.method() != Method::GET {
            return response(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
        }
        match request.uri().path() {
            "/metrics" => self.metrics(),
            "/healthz" if (self.healthy)() => response(StatusCode::OK, "ok\n"),
            "/healthz" => response(StatusCode::SERVICE_UNAVAILABLE, "takes no new work\n"),
            "/status" => json(StatusCode::OK, &(self.status)()),
            _ => response(
                StatusCode::NOT_FOUND,
                "the paths are /metrics, /healthz and /status\n",
            ),
        }
    }

    fn metrics(&self) -> Response<Body> {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            return response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "metrics can't be written\n",
            );
        }
        let mut metrics = response(StatusCode::OK, text);
        metrics.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static(METRICS_CONTENT_TYPE),
        );
        metrics
    }
}
