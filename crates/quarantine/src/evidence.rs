//! What one process knows of a part, as it is sent to others.

use serde::{Deserialize, Serialize};

use crate::prompt::PartId;
use crate::record::CrashId;

/// Crashes for which a part is blamed, and whether it was cleared.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Evidence {
    /// The part.
    pub part: PartId,
    /// Crashes for which it is blamed.
    pub crashes: Vec<CrashReport>,
    /// Milliseconds since a target was known to have survived a request with the part, if it was blamed before.
    pub cleared_ms: Option<u32>,
}

/// A crash for which a part is blamed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CrashReport {
    /// Id of the crash.
    pub crash: CrashId,
    /// The part that belongs to the request alone.
    pub own_part: PartId,
    /// Milliseconds since the crash.
    pub age_ms: u32,
}
