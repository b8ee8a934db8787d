//! What a downloader is told and what it wants done.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use weights::{Chunk, ChunkIndex, Digest};

use crate::StripeIndex;

/// Number of a request for a chunk, unique within a transfer.
pub type RequestId = u64;

/// Where a chunk is requested.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Source {
    /// The chunk port of another agent.
    Peer(SocketAddr),
    /// The weight store. A draw that was interrupted must continue after the bytes received so far.
    Origin,
}

/// What a downloader wants done.
#[derive(Debug)]
pub enum Action {
    /// Request a chunk and pass on the [`Answer`].
    Fetch {
        /// Names the request in answers and cancellations.
        request: RequestId,
        /// The chunk.
        chunk: ChunkIndex,
        /// Where to request it.
        from: Source,
    },
    /// Stop a request; its answer is ignored.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// Ask for a permit and pass on the [`Grant`](crate::Grant).
    RequestPermit {
        /// Stripe to draw.
        stripe: StripeIndex,
        /// Holder to list in the permit object.
        holder: String,
        /// True when an earlier answer was lost: read the object before writing it.
        read_first: bool,
    },
    /// Pass a verified chunk to the engine and store it.
    Stage {
        /// Position of the chunk.
        chunk: ChunkIndex,
        /// Its content.
        content: Chunk,
        /// Whether this agent must keep the chunk for others.
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
    /// Agents that have received the chunk.
    Holders(Vec<SocketAddr>),
    /// Nothing yet; ask again after this time.
    NotYet(Duration),
    /// Nothing yet, but an agent brings it in from the origin.
    Drawing {
        /// Time after which to ask again.
        wait: Duration,
        /// Time since an agent was known to draw it.
        age: Duration,
    },
    /// The agent doesn't transfer the version, or doesn't do so yet; ask again after this time.
    Unknown(Duration),
    /// An error, or a connection that ended early.
    Failed,
}

/// Proof that every chunk of a version was verified; only a downloader makes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Complete {
    digest: Digest,
}

impl Complete {
    pub(crate) fn new(digest: Digest) -> Self {
        Self { digest }
    }

    /// Returns the digest of the complete version's manifest.
    pub fn digest(&self) -> Digest {
        self.digest
    }
}
