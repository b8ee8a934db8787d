//! Names of the HTTP headers that callers, entries, agents and engines exchange.

/// Workspace of the caller.
pub const WORKSPACE: &str = "carobport-workspace";
/// Time until the caller's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "carobport-deadline-ms";
/// Idempotency key of a request that must run at most once; a UUIDv7.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Outcome of a request: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "carobport-outcome";
/// Reason why a request was not answered.
pub const REASON: &str = "carobport-reason";
/// Digest of the weights that produced a response.
pub const WEIGHTS: &str = "carobport-weights";
/// Identifier of a request between entry and agent; the response repeats it.
pub const REQUEST: &str = "carobport-request";
/// Weights that must serve a request, as `model@version#digest`. In a refusal with the reason `version`, the weights
/// that the target serves.
pub const PIN: &str = "carobport-pin";
/// Rank of the request's class; 0 is the highest priority.
pub const RANK: &str = "carobport-rank";
/// Agent that owns the slot of an idempotency key, if the request reached another agent.
pub const OWNER: &str = "carobport-owner";
/// Addresses of the agents that hold a chunk, separated by commas.
pub const HOLDERS: &str = "carobport-holders";
/// Failure domain of the agent that requests a chunk.
pub const DOMAIN: &str = "carobport-domain";
/// Chunk address of the agent that requests a chunk, on which it will serve the chunk itself.
pub const CHUNK_ADDRESS: &str = "carobport-chunk-address";
/// Marks a request that only asks whether the receiver holds a chunk; the response has no content.
pub const ANNOUNCE: &str = "carobport-announce";
/// Marks a request for a chunk that must be answered at once if the receiver doesn't hold the chunk.
pub const NO_WAIT: &str = "carobport-no-wait";
/// Time since an agent was last known to download a chunk from the origin, in milliseconds; sent with
/// [`RETRY_AFTER_MS`].
pub const DRAWN_AGE_MS: &str = "carobport-drawn-age-ms";
/// Time to wait before requesting a chunk again, in milliseconds.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";
/// Fencing number of an order to an engine.
pub const FENCING_NUMBER: &str = "fencing-number";
/// Digest of the weights that an engine used for its response.
pub const ENGINE_WEIGHTS: &str = "engine-weights";
