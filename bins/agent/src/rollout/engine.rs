//! HTTP client of the engine on the agent's VM.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use node::http::{self, Body, Client, Request, StatusCode};
use platform::engine::{self, Order, OrderResult, Report};
use weights::ChunkIndex;

/// Timeout of a report; the engine is on the same VM.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response that holds no chunk, in bytes; the largest is the list of staged chunks.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Client of the engine on this VM.
pub(super) struct Engine {
    address: SocketAddr,
    /// Connections for reports.
    reports: Client,
}

/// A connection to the engine that sends one request after another.
///
/// Responses of the engine don't name their request: nothing else may use the connection, and it must be dropped after
/// an unexpected response.
pub(super) struct Connection {
    address: SocketAddr,
    http: Client,
    /// Timeout of each request.
    timeout: Duration,
}

/// A failed request to the engine.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    #[error(transparent)]
    Http(#[from] http::Error),
    #[error("engine responded with status {0}")]
    Status(StatusCode),
    #[error("malformed response from the engine: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl Error {
    /// Returns whether the request may have taken effect, or may yet.
    pub(super) fn is_unknown(&self) -> bool {
        matches!(self, Self::Http(http::Error::Unknown { .. }))
    }
}

impl Engine {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            reports: Client::new(),
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a connection that nothing else uses; it is opened with its first request.
    pub(super) fn connect(&self, timeout: Duration) -> Connection {
        Connection {
            address: self.address,
            http: Client::new(),
            timeout,
        }
    }

    /// Returns the engine's state.
    pub(super) async fn report(&self) -> Result<Report, Error> {
        let (status, body) = send(
            &self.reports,
            self.address,
            engine::report(),
            REPORT_TIMEOUT,
            MAX_RESPONSE_BYTES,
        )
        .await?;
        Ok(engine::decode_report(&require_ok(status, body)?)?)
    }
}

impl Connection {
    /// Returns the engine's state.
    pub(super) async fn report(&self) -> Result<Report, Error> {
        let (status, body) = self.send(engine::report()).await?;
        Ok(engine::decode_report(&require_ok(status, body)?)?)
    }

    /// Returns the indices of the staged chunks of `model`.
    pub(super) async fn staged_chunks(&self, model: &str) -> Result<Vec<ChunkIndex>, Error> {
        let (status, body) = self.send(engine::staged_list(model)).await?;
        Ok(engine::decode_staged(&require_ok(status, body)?)?)
    }

    /// Returns the current content of a staged chunk of `length` bytes, which may be corrupt.
    pub(super) async fn read_staged(
        &self,
        model: &str,
        index: ChunkIndex,
        length: u32,
    ) -> Result<Bytes, Error> {
        // An error response may be longer than a short chunk.
        let limit = MAX_RESPONSE_BYTES.max(length as usize);
        let request = engine::staged(model, index);
        let (status, body) = send(&self.http, self.address, request, self.timeout, limit).await?;
        require_ok(status, body)
    }

    /// Stages a chunk.
    pub(super) async fn stage(
        &self,
        model: &str,
        index: ChunkIndex,
        bytes: Bytes,
    ) -> Result<(), Error> {
        let (status, _) = self.send(engine::stage(model, index, bytes)).await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(Error::Status(status)),
        }
    }

    /// Orders the engine to load the staged chunks.
    pub(super) async fn start(&self, order: &Order<'_>) -> Result<OrderResult, Error> {
        let (status, _) = self.send(engine::start(order)).await?;
        Ok(engine::order_result(status))
    }

    async fn send(&self, request: Request<Body>) -> Result<(StatusCode, Bytes), Error> {
        send(
            &self.http,
            self.address,
            request,
            self.timeout,
            MAX_RESPONSE_BYTES,
        )
        .await
    }
}

async fn send(
    http: &Client,
    address: SocketAddr,
    request: Request<Body>,
    timeout: Duration,
    max_bytes: usize,
) -> Result<(StatusCode, Bytes), Error> {
    let response = http
        .send(address, request, Instant::now() + timeout)
        .await?;
    let status = response.status();
    let body = response.into_body().collect(max_bytes).await?;
    Ok((status, body))
}

/// Returns the body of a response with status 200.
fn require_ok(status: StatusCode, body: Bytes) -> Result<Bytes, Error> {
    match status {
        StatusCode::OK => Ok(body),
        status => Err(Error::Status(status)),
    }
}
