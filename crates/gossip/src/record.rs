//! Records with their keys, versions and values.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identifies what a record describes.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum Key {
    /// A catalogue entry, by `kind/name`.
    Catalog(String),
    /// An entry VM, by name.
    Entry(String),
    /// A target VM, by name.
    Target(String),
}

/// Version that orders the records of one key.
///
/// For catalogue entries `major` is the platform's revision. For members `major` is the incarnation and `minor` counts
/// the member's own changes. An observer that declares a member down sets `down` on the version it saw; any later
/// change by the member itself is higher.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Version {
    /// Platform revision or incarnation.
    pub major: u64,
    /// Number of changes within an incarnation.
    pub minor: u64,
    /// Set by an observer that declares the member down or leaving.
    pub down: bool,
}

/// A key with a versioned value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// What the record describes.
    pub key: Key,
    /// Version among records of the same key.
    pub version: Version,
    /// The value.
    pub value: Value,
}

/// Value of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Value {
    /// JSON text of a catalogue entry.
    Catalog(String),
    /// An entry VM.
    Entry(Node),
    /// A target VM.
    Target(Target),
}

/// An entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Node {
    /// Failure domain.
    pub domain: String,
    /// Region of the failure domain.
    pub region: String,
    /// Address of the peer port.
    pub peer: SocketAddr,
    /// Whether the VM takes work.
    pub phase: Phase,
}

/// A target VM.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Target {
    /// Failure domain.
    pub domain: String,
    /// Region of the failure domain.
    pub region: String,
    /// Service that the target serves.
    pub service: String,
    /// Address for calls.
    pub call: SocketAddr,
    /// Address for chunks of weights.
    pub chunk: SocketAddr,
    /// Whether the target takes work.
    pub phase: Phase,
}

/// Life-cycle phase of a member as other members see it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Phase {
    /// Accepts work, or will once its weights are complete.
    Live,
    /// Finishes the work in progress and accepts no new work.
    Leaving,
    /// Declared down after it stopped responding.
    Down,
}

impl Value {
    /// Returns the phase of a member; `None` for a catalogue entry.
    pub fn phase(&self) -> Option<Phase> {
        match self {
            Self::Catalog(_) => None,
            Self::Entry(node) => Some(node.phase),
            Self::Target(target) => Some(target.phase),
        }
    }

    /// Returns whether this is a member that is down.
    pub fn is_down(&self) -> bool {
        self.phase() == Some(Phase::Down)
    }
}
