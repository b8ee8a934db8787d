//! Catalogue entry types.

use serde::{Deserialize, Serialize};
use weights::{Digest, Pin};

use crate::Name;

/// Maximum number of replaced pins in an entry; a target may lag several quick changes behind.
const MAX_REPLACED: usize = 3;

/// An entry of the catalogue.
///
/// ```
/// let text = r#"{"kind":"workspace","name":"captains","owner":"league","class":"standard",
///     "limits":{"concurrent":4},"services":["club-registry"]}"#;
/// let entry: catalog::Entry = serde_json::from_str(text).unwrap();
/// assert_eq!(entry.key(), "workspace/captains");
/// ```
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Entry {
    /// A request class.
    Class(Class),
    /// A service that requests are routed to.
    Service(Service),
    /// A group of callers and the services that they may call.
    Workspace(Workspace),
}

/// A request class: its priority and service-level objective.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: Name,
    /// Person or team responsible for the entry.
    pub owner: String,
    /// The class's own name; equal to `name`.
    pub class: Name,
    /// Limits on the total of all requests of the class.
    #[serde(default)]
    pub limits: Limits,
    /// Priority; 0 is the most urgent and is served first.
    pub rank: u8,
    /// Relative share of dispatches among classes of equal rank.
    #[serde(default = "one")]
    pub weight: u32,
    /// Service-level objective of the class.
    pub objective: Objective,
    /// Whether the entry has been withdrawn.
    #[serde(default, skip_serializing_if = "is_false")]
    pub retired: bool,
}

/// A service-level objective.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Fraction of requests that must be answered, 0 to 1.
    pub answered: f64,
    /// Time within which the fraction `within` of responses must start, in milliseconds.
    pub within_ms: u64,
    /// Fraction of responses that must start within `within_ms`, 0 to 1.
    pub within: f64,
}

/// A service and the kind of backend that runs it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, as it appears in the path of requests.
    pub name: Name,
    /// Person or team responsible for the entry.
    pub owner: String,
    /// Most urgent class allowed for requests to this service.
    pub class: Name,
    /// Limits on requests to the service.
    #[serde(default)]
    pub limits: Limits,
    /// Kind of backend that the targets run.
    pub backend: Backend,
    /// Whether a request may be retried when an earlier attempt may already have run.
    pub repeatable: bool,
    /// Default deadline for requests without one, in milliseconds.
    pub deadline_ms: u64,
    /// Model weights to serve; only for [`Backend::Model`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Model>,
    /// Whether the entry has been withdrawn.
    #[serde(default, skip_serializing_if = "is_false")]
    pub retired: bool,
}

/// Kind of backend that the targets of a service run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Backend {
    /// Model engines that serve the weights named in the entry.
    Model,
    /// Backends without model weights.
    Plain,
}

/// The model weights that a service must serve, and how they are distributed to the targets.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model in the weight store.
    pub name: String,
    /// Version in the weight store.
    pub version: String,
    /// Digest of the version's manifest.
    pub digest: Digest,
    /// What the distribution of the weights optimizes for.
    pub plan: Plan,
    /// Pins that this one replaced, newest first.
    ///
    /// Targets that still serve one of them continue to accept requests during a version switch. Operators don't set
    /// the field: a put fills it from the version that it replaces.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replaced: Vec<Pin>,
}

/// What the distribution of weights optimizes for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Plan {
    /// Minimizes the bytes downloaded from the origin.
    OriginBytes,
    /// Minimizes the time until all replicas hold the weights.
    TimeToReplicas,
    /// Every agent downloads from the origin; the baseline for measurements.
    Direct,
}

/// A group of callers and the services that they may call.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace, as callers send it with a request.
    pub name: Name,
    /// Person or team responsible for the entry.
    pub owner: String,
    /// Most urgent class allowed for requests from this workspace.
    pub class: Name,
    /// Limits on requests from the workspace.
    #[serde(default)]
    pub limits: Limits,
    /// Services that the workspace may call.
    pub services: Vec<Name>,
    /// Whether the entry has been withdrawn.
    #[serde(default, skip_serializing_if = "is_false")]
    pub retired: bool,
}

/// Limits of an entry; an absent limit means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests in progress in the whole system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
    /// Maximum number of requests in progress on one target; only for services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub per_target: Option<u32>,
    /// Maximum number of requests queued on one entry VM; only for services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
    /// Maximum number of requests admitted per second in the whole system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<f64>,
}

impl Entry {
    /// Returns the kind and name as `kind/name`, unique within a catalogue.
    pub fn key(&self) -> String {
        match self {
            Self::Class(class) => format!("class/{}", class.name),
            Self::Service(service) => format!("service/{}", service.name),
            Self::Workspace(workspace) => format!("workspace/{}", workspace.name),
        }
    }

    /// Returns the person or team responsible for the entry.
    pub fn owner(&self) -> &str {
        match self {
            Self::Class(class) => &class.owner,
            Self::Service(service) => &service.owner,
            Self::Workspace(workspace) => &workspace.owner,
        }
    }

    /// Returns the entry as an operator writes it, without the field `replaced`, which a put fills in.
    #[must_use]
    pub fn without_replaced(&self) -> Self {
        let mut entry = self.clone();
        if let Some(model) = entry.model_mut() {
            model.replaced.clear();
        }
        entry
    }

    /// Returns the current pin and the replaced ones, newest first; empty for entries without a model.
    pub fn pins(&self) -> impl Iterator<Item = Pin> {
        let service = match self {
            Self::Service(service) => Some(service),
            Self::Class(_) | Self::Workspace(_) => None,
        };
        service.into_iter().flat_map(Service::pins)
    }

    pub(crate) fn model_mut(&mut self) -> Option<&mut Model> {
        match self {
            Self::Service(service) => service.model.as_mut(),
            Self::Class(_) | Self::Workspace(_) => None,
        }
    }

    /// Returns whether the entry has been withdrawn.
    pub fn is_retired(&self) -> bool {
        match self {
            Self::Class(class) => class.retired,
            Self::Service(service) => service.retired,
            Self::Workspace(workspace) => workspace.retired,
        }
    }
}

impl Service {
    /// Returns the current pin and the replaced ones, newest first; empty for a service without a model.
    pub fn pins(&self) -> impl Iterator<Item = Pin> {
        self.model.iter().flat_map(Model::pins)
    }
}

impl Model {
    /// Returns the pin that requests to this model carry.
    pub fn pin(&self) -> Pin {
        Pin::new(&self.name, &self.version, self.digest)
    }

    /// Returns the current pin and the replaced ones, newest first.
    pub fn pins(&self) -> impl Iterator<Item = Pin> {
        std::iter::once(self.pin()).chain(self.replaced.iter().cloned())
    }

    /// Sets the replaced pins to the first of `pins`, which are ordered newest first, at most 3.
    ///
    /// The current pin and duplicates are skipped.
    ///
    /// ```
    /// use weights::{Digest, Pin};
    ///
    /// let text = r#"{"name":"fixtures-lm","version":"v7","plan":"origin_bytes",
    ///     "digest":"abababababababababababababababababababababababababababababababab"}"#;
    /// let mut model: catalog::Model = serde_json::from_str(text).unwrap();
    /// let older = Pin::new("fixtures-lm", "v6", Digest::of(b"v6"));
    /// model.set_replaced([older.clone(), model.pin(), older.clone()]);
    /// assert_eq!(model.replaced, [older]);
    /// ```
    pub fn set_replaced(&mut self, pins: impl IntoIterator<Item = Pin>) {
        let current = self.pin();
        self.replaced.clear();
        for pin in pins {
            if self.replaced.len() == MAX_REPLACED {
                break;
            }
            if pin != current && !self.replaced.contains(&pin) {
                self.replaced.push(pin);
            }
        }
    }
}

fn one() -> u32 {
    1
}

fn is_false(value: &bool) -> bool {
    !value
}
