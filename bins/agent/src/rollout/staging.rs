//! A session that stages a version in the engine, verifies it, and orders the engine to load it.
//!
//! The engine loads what is staged at the moment it accepts the order, and checks nothing. A session is [`Opened`],
//! then [`Uploaded`], then [`Verified`], and only a verified session can order. All its requests go over one
//! connection: the reads prove that the engine has handled the uploads before them, and show a response that belongs to
//! an earlier request.

use std::time::Duration;

use burst::Version;
use bytes::Bytes;
use node::event;
use node::http::StatusCode;
use node::time::Uptime;
use platform::engine::{Order, OrderResult, Report};
use weights::ChunkIndex;

use super::engine::{self, Connection};
use super::state::State;
use crate::metrics::Change;

/// Time from the beginning of a verification to the last moment at which the order may be sent. It leaves as much again
/// for the order's way until chunks may have been corrupt for longer than the users tolerate.
const MAX_VERIFICATION_AGE: Duration = Duration::from_millis(1500);

/// Timeout of a request. The outcome of one that is given up is unknown, which costs more than to wait for it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A version and its chunks.
pub(super) struct Content {
    pub(super) model: String,
    /// Number by which operators name the version.
    pub(super) number: u64,
    pub(super) version: Version,
    /// All chunks of the version.
    pub(super) chunks: Vec<Bytes>,
}

/// Staging of a version; `S` is what is known of the engine.
pub(super) struct Session<'a, S> {
    state: &'a State,
    content: &'a Content,
    connection: Connection,
    /// The engine's state before anything was uploaded.
    report: Report,
    stage: S,
}

/// Nothing was uploaded.
pub(super) struct Opened;

/// All chunks were uploaded, but the engine may hold others.
pub(super) struct Uploaded;

/// All staged chunks were read back and have the digests of the version.
pub(super) struct Verified {
    /// Time before the first chunk was read.
    since: Uptime,
}

/// Outcome of a verification.
pub(super) enum Verification<'a> {
    /// All staged chunks have the digests of the version.
    Verified(Session<'a, Verified>),
    /// The verification took too long for an order.
    Expired(Session<'a, Uploaded>),
}

/// Outcome of an order.
pub(super) enum Outcome<'a> {
    /// The engine responded.
    Answered(OrderResult),
    /// The verification is too old; nothing was sent.
    Expired(Session<'a, Uploaded>),
}

/// Why a session ended. Its connection must not be used again.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    #[error("failed to stage: {0}")]
    Stage(#[from] engine::Error),
    #[error("chunk {0} differs after it was uploaded again")]
    Differs(ChunkIndex),
    #[error("chunk {0} isn't listed as staged")]
    Unlisted(ChunkIndex),
    #[error("failed to order: {0}")]
    Order(engine::Error),
    #[error("the verification expired {0} times")]
    Expired(u32),
}

impl Content {
    /// Returns the model and the version's number, as in a pin.
    pub(super) fn pin(&self) -> String {
        format!("{}@{}", self.model, self.number)
    }
}

impl<'a> Session<'a, Opened> {
    /// Opens a connection and reads the engine's state, from which the order must start.
    pub(super) async fn open(state: &'a State, content: &'a Content) -> Result<Self, Error> {
        let connection = state.engine.connect(REQUEST_TIMEOUT);
        let report = connection.report().await?;
        Ok(Self {
            state,
            content,
            connection,
            report,
            stage: Opened,
        })
    }

    /// Uploads all chunks.
    pub(super) async fn upload(self) -> Result<Session<'a, Uploaded>, Error> {
        for (index, bytes) in (0..).zip(&self.content.chunks) {
            self.upload_chunk(index, bytes.clone()).await?;
        }
        Ok(self.with_stage(Uploaded))
    }
}

impl<'a> Session<'a, Uploaded> {
    /// Reads all staged chunks and uploads those that differ once more, until no order could follow in time.
    ///
    /// `clock` returns the present time.
    pub(super) async fn verify(self, clock: fn() -> Uptime) -> Result<Verification<'a>, Error> {
        let since = clock();
        for (index, bytes) in (0..).zip(&self.content.chunks) {
            if !is_current(since, clock()) {
                return Ok(Verification::Expired(self));
            }
            let Some(found) = self.difference(index).await? else {
                continue;
            };
            event!(
                event::STAGED_DIFFERS,
                pin = self.content.pin(),
                chunk = index,
                found = found
            );
            self.state.metrics.differing.inc();
            self.upload_chunk(index, bytes.clone()).await?;
            if self.difference(index).await?.is_some() {
                return Err(Error::Differs(index));
            }
        }
        self.check_list().await?;
        Ok(Verification::Verified(self.with_stage(Verified { since })))
    }

    /// Returns what is staged in place of a chunk of the version, or `None` if it is staged.
    async fn difference(&self, index: ChunkIndex) -> Result<Option<&'static str>, Error> {
        let content = self.content;
        let length = content.version.manifest().chunk_len(index).unwrap_or(0);
        let read = self.connection.read_staged(&content.model, index, length);
        match read.await {
            Ok(bytes) => {
                let verified = content.version.verify_chunk(index, bytes);
                Ok(verified.is_err().then_some("other"))
            }
            Err(engine::Error::Status(StatusCode::NOT_FOUND)) => Ok(Some("missing")),
            Err(error) => Err(error.into()),
        }
    }

    /// Checks that the next response is a list of the staged chunks.
    ///
    /// If the engine wrote one response twice, this response is that of the read before, and so the last read was
    /// compared with an earlier chunk.
    async fn check_list(&self) -> Result<(), Error> {
        let listed = self.connection.staged_chunks(&self.content.model).await?;
        let mut needed = 0..self.content.version.chunk_count();
        match needed.find(|index| !listed.contains(index)) {
            Some(index) => Err(Error::Unlisted(index)),
            None => Ok(()),
        }
    }
}

impl<'a> Session<'a, Verified> {
    /// Orders the engine to load the staged chunks, unless their verification has expired at `now`.
    pub(super) async fn order(self, now: Uptime) -> Result<Outcome<'a>, Error> {
        if !is_current(self.stage.since, now) {
            return Ok(Outcome::Expired(self.with_stage(Uploaded)));
        }
        let order = Order {
            model: &self.content.model,
            version: self.content.number,
            expected: self.report.orders,
            fencing_token: self.state.fencing_token,
        };
        match self.connection.start(&order).await {
            Ok(result) => Ok(Outcome::Answered(result)),
            Err(error) => {
                self.log_unknown(Change::Order, &error);
                Err(Error::Order(error))
            }
        }
    }

    /// Returns the time before the first chunk was verified.
    pub(super) fn verified_since(&self) -> Uptime {
        self.stage.since
    }

    /// Returns the engine's state before anything was uploaded.
    pub(super) fn report(&self) -> &Report {
        &self.report
    }
}

impl<'a, S> Session<'a, S> {
    fn with_stage<T>(self, stage: T) -> Session<'a, T> {
        Session {
            state: self.state,
            content: self.content,
            connection: self.connection,
            report: self.report,
            stage,
        }
    }

    async fn upload_chunk(&self, index: ChunkIndex, bytes: Bytes) -> Result<(), Error> {
        let uploaded = self
            .connection
            .stage(&self.content.model, index, bytes)
            .await;
        if let Err(error) = &uploaded {
            self.log_unknown(Change::Upload, error);
        }
        Ok(uploaded?)
    }

    /// Logs a failed request if it may have taken effect.
    fn log_unknown(&self, change: Change, error: &engine::Error) {
        if !error.is_unknown() {
            return;
        }
        event!(
            event::OUTCOME_UNKNOWN,
            pin = self.content.pin(),
            request = change.label(),
            error = error
        );
        self.state.metrics.record_unknown(change);
    }
}

/// Returns whether chunks verified since `since` may be ordered at `now`.
fn is_current(since: Uptime, now: Uptime) -> bool {
    now.saturating_sub(since) < MAX_VERIFICATION_AGE
}
