//! Actions that a downloader requests and the answers that it receives.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use weights::{Chunk, ChunkIndex, Digest};

use crate::StripeIndex;

/// Identifies a request for a chunk, unique within a transfer.
pub type RequestId = u64;

/// Source of a chunk.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Source {
    /// The chunk port of another agent.
    Peer(SocketAddr),
    /// The origin's weight store. A draw that was interrupted must resume after the bytes received so far.
    Origin,
}

/// An action that the caller of a downloader must perform.
#[derive(Debug)]
pub enum Action {
    /// Request a chunk and report the [`Answer`].
    Fetch {
        /// Identifies the request in answers and cancellations.
        request: RequestId,
        /// Index of the chunk.
        chunk: ChunkIndex,
        /// Source to request it from.
        from: Source,
    },
    /// Cancel a request; its answer is ignored.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// Request a permit and report the [`Grant`](crate::Grant).
    RequestPermit {
        /// Stripe to draw from the origin.
        stripe: StripeIndex,
        /// Holder to list in the permit object.
        holder: String,
        /// Whether to read the object before writing it, because an earlier answer was lost.
        read_first: bool,
    },
    /// Pass a verified chunk to the engine and store it.
    Stage {
        /// Index of the chunk.
        chunk: ChunkIndex,
        /// Content of the chunk.
        content: Chunk,
        /// Whether this agent must retain the chunk for other agents.
        keep: bool,
    },
    /// Every chunk is verified.
    Complete(Complete),
}

/// Answer to a request for a chunk.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The bytes, not yet verified.
    Bytes(Bytes),
    /// Addresses of agents that have received the chunk.
    Holders(Vec<SocketAddr>),
    /// The agent doesn't hold the chunk yet; retry after this delay.
    NotYet(Duration),
    /// The agent doesn't hold the chunk yet, but an agent is drawing it from the origin.
    Drawing {
        /// Delay before the retry.
        wait: Duration,
        /// Time since an agent was last known to draw it.
        age: Duration,
    },
    /// The agent doesn't transfer this version, or hasn't started to; retry after this delay.
    Unknown(Duration),
    /// The request failed or the connection closed early.
    Failed,
}

/// Proof that every chunk of a version was verified; only a downloader can create it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Complete {
    digest: Digest,
}

impl Complete {
    pub(crate) fn new(digest: Digest) -> Self {
        Self { digest }
    }

    /// Returns the manifest digest of the completed version.
    pub fn digest(&self) -> Digest {
        self.digest
    }
}
