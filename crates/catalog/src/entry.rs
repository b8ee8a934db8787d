//! The kinds of entries and their fields.

use serde::{Deserialize, Serialize};
use weights::{Digest, Pin};

use crate::Name;

/// Most replaced pins that an entry lists: targets may lag several quick changes behind.
const MOST_REPLACED: usize = 3;

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
    /// A level of urgency.
    Class(Class),
    /// A service that requests are routed to.
    Service(Service),
    /// A group of callers and the services it may call.
    Workspace(Workspace),
}

/// A level of urgency and its service-level objective.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: Name,
    /// Who answers for the entry.
    pub owner: String,
    /// The class itself: equal to `name`.
    pub class: Name,
    /// Limits of all requests of the class together.
    #[serde(default)]
    pub limits: Limits,
    /// Order of urgency; 0 is served first.
    pub rank: u8,
    /// Share of dispatches among classes of equal rank.
    #[serde(default = "one")]
    pub weight: u32,
    /// What the class promises.
    pub objective: Objective,
    /// True once the entry is withdrawn.
    #[serde(default, skip_serializing_if = "is_false")]
    pub retired: bool,
}

/// A service-level objective.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Share of requests that must be answered, 0 to 1.
    pub answered: f64,
    /// Time within which the share `within` of answers must start, in milliseconds.
    pub within_ms: u64,
    /// Share of answers that must start within `within_ms`, 0 to 1.
    pub within: f64,
}

/// A service and what runs it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, as callers use it in the path.
    pub name: Name,
    /// Who answers for the entry.
    pub owner: String,
    /// Most urgent class that a request to this service can have.
    pub class: Name,
    /// Limits of the service.
    #[serde(default)]
    pub limits: Limits,
    /// Kind of the targets.
    pub backend: Backend,
    /// Whether a call may be sent again after it may have run.
    pub repeatable: bool,
    /// Deadline of requests that name none, in milliseconds.
    pub deadline_ms: u64,
    /// Weights to serve; only for [`Backend::Model`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Model>,
    /// True once the entry is withdrawn.
    #[serde(default, skip_serializing_if = "is_false")]
    pub retired: bool,
}

/// Kind of a service's targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Backend {
    /// Model engines that serve the weights of the entry.
    Model,
    /// Services without weights.
    Plain,
}

/// The weights that a service must serve, and how they spread.
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
    /// What a transfer saves first.
    pub plan: Plan,
    /// Pins that this one replaced, newest first: targets that still serve one of them take requests during a switch.
    ///
    /// Operators don't write the field: a put fills it from the version that it replaces.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replaced: Vec<Pin>,
}

/// What a transfer of weights saves first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Plan {
    /// Fewest bytes drawn from the origin.
    OriginBytes,
    /// Shortest time until all replicas hold the weights.
    TimeToReplicas,
    /// Every agent draws from the origin; the baseline of measurements.
    Direct,
}

/// A group of callers and the services it may call.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace, as callers send it.
    pub name: Name,
    /// Who answers for the entry.
    pub owner: String,
    /// Most urgent class that a request of this workspace can have.
    pub class: Name,
    /// Limits of the workspace.
    #[serde(default)]
    pub limits: Limits,
    /// Services that the workspace may call.
    pub services: Vec<Name>,
    /// True once the entry is withdrawn.
    #[serde(default, skip_serializing_if = "is_false")]
    pub retired: bool,
}

/// Limits of an entry; an absent limit doesn't bind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Most requests in progress in the whole system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
    /// Most requests in progress on one target; only for services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub per_target: Option<u32>,
    /// Most requests waiting at one entry VM; only for services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
    /// Most requests admitted a second in the whole system.
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

    /// Returns who answers for the entry.
    pub fn owner(&self) -> &str {
        match self {
            Self::Class(class) => &class.owner,
            Self::Service(service) => &service.owner,
            Self::Workspace(workspace) => &workspace.owner,
        }
    }

    /// Returns the entry as an operator writes it, without what a put fills in.
    #[must_use]
    pub fn as_written(&self) -> Self {
        let mut entry = self.clone();
        if let Some(model) = entry.model_mut() {
            model.replaced.clear();
        }
        entry
    }

    /// Returns the pins that the entry named, the current one first; none unless it is a model's service.
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

    /// Tells whether the entry is withdrawn.
    pub fn is_retired(&self) -> bool {
        match self {
            Self::Class(class) => class.retired,
            Self::Service(service) => service.retired,
            Self::Workspace(workspace) => workspace.retired,
        }
    }
}

impl Service {
    /// Returns the pins that the service named, the current one first.
    pub fn pins(&self) -> impl Iterator<Item = Pin> {
        self.model.iter().flat_map(Model::pins)
    }
}

impl Model {
    /// Returns the pin of requests to this model.
    pub fn pin(&self) -> Pin {
        Pin::new(&self.name, &self.version, self.digest)
    }

    /// Returns the current pin and those that it replaced, newest first.
    pub fn pins(&self) -> impl Iterator<Item = Pin> {
        std::iter::once(self.pin()).chain(self.replaced.iter().cloned())
    }

    /// Sets the replaced pins to the newest of `pins`, without the current pin and without duplicates.
    ///
    /// ```
    /// use weights::{Digest, Pin};
    ///
    /// let text = r#"{"name":"fixtures-lm","version":"v7","plan":"origin_bytes",
    ///     "digest":"abababababababababababababababababababababababababababababababab"}"#;
    /// let mut model: catalog::Model = serde_json::from_str(text).unwrap();
    /// let older = Pin::new("fixtures-lm", "v6", Digest::of(b"v6"));
    /// model.replace([older.clone(), model.pin(), older.clone()]);
    /// assert_eq!(model.replaced, [older]);
    /// ```
    pub fn replace(&mut self, pins: impl IntoIterator<Item = Pin>) {
        let current = self.pin();
        self.replaced.clear();
        for pin in pins {
            if self.replaced.len() == MOST_REPLACED {
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
