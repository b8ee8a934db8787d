//! A request as the scheduler handles it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use quarantine::Prompt;

use crate::config::RequestKind;
use crate::region::AllowedRegions;
use crate::target::TargetId;

/// Number of a request in the scheduler, unique within an entry's process.
pub type RequestId = u64;

/// Requirements of a request and the attempts made for it so far.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestContext {
    /// Id that the caller assigned; used in logs.
    pub id: String,
    /// Service that is requested.
    pub service: String,
    /// Whether the request may be retried after it may have run.
    pub kind: RequestKind,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Workspace that holds the caller's key; `None` if the request needs none.
    pub workspace: Option<Rc<str>>,
    /// Time of arrival at the entry.
    pub arrived: Instant,
    /// Time that the caller had already waited, in earlier attempts.
    pub prior_wait: Duration,
    /// Time from arrival within which the first byte counts as on time.
    pub objective: Duration,
    /// Time at which the caller gives up or the route's timeout ends.
    pub deadline: Instant,
    /// Number of prompt tokens; 0 for services without engines.
    pub prompt_tokens: u32,
    /// Parts of the prompt; empty for services without engines.
    pub prompt: Prompt,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
    /// Model whose weights the target must hold.
    pub model: Option<String>,
    /// Version of the weights that the target must hold, if a stream is to be continued.
    pub weights_version: Option<u64>,
    /// Regions whose targets may serve the request; `None` for all regions.
    pub allowed_regions: Option<Rc<AllowedRegions>>,
    /// Number of targets that the request may still be sent to.
    pub attempts_left: u32,
    /// Number of attempts whose connection broke before the response began.
    pub broken_attempts: u32,
    /// Targets that the request was sent to.
    pub tried_targets: Vec<TargetId>,
}

/// Why a request is rejected without having run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// No target of the service accepts requests.
    NoTarget,
    /// No target of the service is in a region that may serve the request.
    NoAllowedRegion,
    /// The targets that may serve the request are in failure domains that operators evacuate, or accept no requests.
    Evacuated,
    /// All targets are busy and the request would not be served on time.
    Overload,
    /// Every eligible target is paused or has reached its rate limit.
    Paused,
    /// A part of the prompt is quarantined, because engines crash on it.
    Quarantined,
    /// Every eligible target refused the request.
    Refused,
    /// The deadline passed while the request waited.
    Expired,
}

impl Reason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::NoAllowedRegion => "no-allowed-region",
            Self::Evacuated => "evacuated",
            Self::Overload => "overload",
            Self::Paused => "paused",
            Self::Quarantined => "quarantined",
            Self::Refused => "refused",
            Self::Expired => "expired",
        }
    }
}

impl RequestContext {
    /// Returns the time by which the first byte is due.
    pub fn objective_at(&self) -> Instant {
        self.arrived + self.objective
    }

    /// Returns whether the objective had already passed on arrival, because the caller came back after rejections.
    pub fn is_past_objective(&self) -> bool {
        self.prior_wait >= self.objective
    }

    /// Returns whether the request may be sent to another target although it may have run.
    pub fn may_repeat(&self) -> bool {
        self.attempts_left > 0 && self.is_repeatable()
    }

    /// Returns whether the request's kind allows it to run again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming { resumable } => resumable,
        }
    }
}
