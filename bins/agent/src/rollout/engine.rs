//! Calls of the engine beside the agent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use node::http::{self, Body, Client, Request, StatusCode};
use platform::engine::{self, OrderResult, Report};
use weights::ChunkIndex;

/// Time allowed for a call; the engine is on the same VM.
const CALL: Duration = Duration::from_millis(500);
/// Largest answer that is read, in bytes: a part of weights.
const MAX_ANSWER: usize = 32 << 20;

/// The engine on this VM; clones share connections.
#[derive(Clone)]
pub(super) struct Engine {
    address: SocketAddr,
    http: Client,
}

/// A call without a result.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    #[error(transparent)]
    Http(#[from] http::Error),
    #[error("the engine's answer has the status {0}")]
    Status(StatusCode),
    #[error("the engine's answer is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
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
        let text = self.ok(engine::report()).await?;
        Ok(engine::decode_report(&text)?)
    }

    /// Returns the indices of the staged parts of `model`.
    pub(super) async fn staged(&self, model: &str) -> Result<Vec<ChunkIndex>, Error> {
        let text = self.ok(engine::staged_list(model)).await?;
        Ok(engine::decode_staged(&text)?)
    }

    /// Returns a staged part, as it is now.
    pub(super) async fn read(&self, model: &str, index: ChunkIndex) -> Result<Bytes, Error> {
        self.ok(engine::staged(model, index)).await
    }

    /// Stages a part.
    pub(super) async fn stage(
        &self,
        model: &str,
        index: ChunkIndex,
        bytes: Bytes,
    ) -> Result<(), Error> {
        let (status, _) = self.call(engine::stage(model, index, bytes)).await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(Error::Status(status)),
        }
    }

    /// Orders the engine to load what is staged.
    pub(super) async fn start(&self, model: &str, version: u64) -> Result<OrderResult, Error> {
        let (status, _) = self.call(engine::start(model, version)).await?;
        Ok(engine::order_result(status))
    }

    async fn ok(&self, request: Request<Body>) -> Result<Bytes, Error> {
        let (status, body) = self.call(request).await?;
        match status {
            StatusCode::OK => Ok(body),
            status => Err(Error::Status(status)),
        }
    }

    async fn call(&self, request: Request<Body>) -> Result<(StatusCode, Bytes), Error> {
        let answer = self
            .http
            .send(self.address, request, Instant::now() + CALL)
            .await?;
        let status = answer.status();
        Ok((status, answer.into_body().collect(MAX_ANSWER).await?))
    }
}
