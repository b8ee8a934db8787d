//! HTTP client of the engine on the agent's VM.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use node::http::{self, Body, Client, Request, StatusCode};
use platform::engine::{self, OrderResult, Report};
use weights::ChunkIndex;

/// Timeout of a request; the engine is on the same VM.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum response size, in bytes; the largest response is a chunk of weights.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Client of the engine on this VM; clones share connections.
#[derive(Clone)]
pub(super) struct Engine {
    address: SocketAddr,
    http: Client,
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
            http: Client::new(),
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the engine's state.
    pub(super) async fn report(&self) -> Result<Report, Error> {
        let body = self.fetch(engine::report()).await?;
        Ok(engine::decode_report(&body)?)
    }

    /// Returns the indices of the staged chunks of `model`.
    pub(super) async fn staged_chunks(&self, model: &str) -> Result<Vec<ChunkIndex>, Error> {
        let body = self.fetch(engine::staged_list(model)).await?;
        Ok(engine::decode_staged(&body)?)
    }

    /// Returns the current content of a staged chunk, which may be corrupt.
    pub(super) async fn read_staged(&self, model: &str, index: ChunkIndex) -> Result<Bytes, Error> {
        self.fetch(engine::staged(model, index)).await
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

    /// Orders the engine to load the staged chunks as `version`.
    pub(super) async fn start(&self, model: &str, version: u64) -> Result<OrderResult, Error> {
        let (status, _) = self.send(engine::start(model, version)).await?;
        Ok(engine::order_result(status))
    }

    /// Sends a request and returns the body of a response with status 200.
    async fn fetch(&self, request: Request<Body>) -> Result<Bytes, Error> {
        let (status, body) = self.send(request).await?;
        match status {
            StatusCode::OK => Ok(body),
            status => Err(Error::Status(status)),
        }
    }

    async fn send(&self, request: Request<Body>) -> Result<(StatusCode, Bytes), Error> {
        let response = self
            .http
            .send(self.address, request, Instant::now() + TIMEOUT)
            .await?;
        let status = response.status();
        let body = response.into_body().collect(MAX_RESPONSE_BYTES).await?;
        Ok((status, body))
    }
}
