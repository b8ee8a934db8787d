//! The router's copy of the catalogue, and the settings that a request is admitted with.

use std::collections::HashMap;
use std::time::Duration;

use catalog::{Class, Entry, Limits, Name, Revision, Service, Workspace};
use weights::Pin;

use crate::outcome::{Reason, Refusal};

/// Retry delay given to the caller when a part of the catalogue is missing.
const CATALOGUE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Snapshot of the catalogue settings that apply to a request, taken when it is admitted.
///
/// The request is evaluated against this snapshot alone; later changes of the catalogue don't affect it.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Highest catalogue revision known to the entry at admission.
    pub revision: Revision,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Called service.
    pub service: Name,
    /// Class of the request: the less urgent of the workspace's and the service's class.
    pub class: Name,
    /// Rank of the class; 0 is the most urgent.
    pub rank: u8,
    /// Weight of the class in scheduling among classes of equal rank.
    pub weight: u32,
    /// Whether the call may be retried after an attempt that may have run.
    pub repeatable: bool,
    /// Time limit of the service: the default for callers that set no deadline, and the maximum for all others.
    pub deadline: Duration,
    /// Time within which a response must start to meet the objective of the class.
    pub within: Duration,
    /// Weights that may serve the request, the current pin of the catalogue first; empty for plain services.
    pub pins: Vec<Pin>,
    /// Limits that the catalogue sets for the workspace.
    pub workspace_limits: Limits,
    /// Limits that the catalogue sets for the class.
    pub class_limits: Limits,
    /// Limits that the catalogue sets for the service.
    pub service_limits: Limits,
}

/// Catalogue entries by name, each at the highest revision received.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    revision: Revision,
    classes: HashMap<Name, (Revision, Class)>,
    services: HashMap<Name, (Revision, Service)>,
    workspaces: HashMap<Name, (Revision, Workspace)>,
}

impl Catalogue {
    /// Returns an empty catalogue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the highest revision received, 0 while the catalogue is empty.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the service `name`, including a retired one.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|(_, service)| service)
    }

    /// Stores `entry` if its revision is higher than that of the stored version, and returns whether it was.
    pub fn apply(&mut self, entry: Entry, revision: Revision) -> bool {
        let stored = match entry {
            Entry::Class(class) => {
                insert_if_newer(&mut self.classes, class.name.clone(), class, revision)
            }
            Entry::Service(mut service) => {
                let name = service.name.clone();
                // A tool that doesn't write replaced pins would otherwise drop the pins of the stored version.
                let held: Vec<Pin> = self
                    .service(&name)
                    .into_iter()
                    .flat_map(Service::pins)
                    .collect();
                if let Some(model) = &mut service.model {
                    let listed = std::mem::take(&mut model.replaced);
                    model.set_replaced(listed.into_iter().chain(held));
                }
                insert_if_newer(&mut self.services, name, service, revision)
            }
            Entry::Workspace(workspace) => insert_if_newer(
                &mut self.workspaces,
                workspace.name.clone(),
                workspace,
                revision,
            ),
        };
        self.revision = self.revision.max(revision);
        stored
    }

    /// Returns the settings that apply to a request of `workspace` to `service`.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the workspace or the service is unknown or retired, when the workspace may not call the
    /// service, when the class of either is unknown, or when the catalogue is still empty.
    pub fn admit(&self, workspace: &str, service: &str) -> Result<Admission, Refusal> {
        if self.revision == 0 {
            return Err(Refusal::retry(Reason::Catalogue, CATALOGUE_RETRY_AFTER));
        }
        let caller = find_active(&self.workspaces, workspace, |entry| entry.retired)
            .ok_or(Refusal::permanent(Reason::Workspace))?;
        let called = find_active(&self.services, service, |entry| entry.retired)
            .ok_or(Refusal::permanent(Reason::Service))?;
        if !caller.services.iter().any(|name| name == service) {
            return Err(Refusal::permanent(Reason::Workspace));
        }
        let class = self.less_urgent_class(&caller.class, &called.class)?;
        Ok(Admission {
            revision: self.revision,
            workspace: caller.name.clone(),
            service: called.name.clone(),
            class: class.name.clone(),
            rank: class.rank,
            weight: class.weight.max(1),
            repeatable: called.repeatable,
            deadline: Duration::from_millis(called.deadline_ms),
            within: Duration::from_millis(class.objective.within_ms),
            pins: called.pins().collect(),
            workspace_limits: caller.limits,
            class_limits: class.limits,
            service_limits: called.limits,
        })
    }

    /// Returns the less urgent of two classes, so that neither the workspace nor the service can raise the priority of
    /// the other.
    ///
    /// The refusal for an unknown class allows a retry, because the class may not have been replicated to this entry
    /// yet.
    fn less_urgent_class(&self, one: &str, other: &str) -> Result<&Class, Refusal> {
        let find = |name: &str| {
            self.classes
                .get(name)
                .map(|(_, class)| class)
                .ok_or(Refusal::retry(Reason::Catalogue, CATALOGUE_RETRY_AFTER))
        };
        let (one, other) = (find(one)?, find(other)?);
        Ok(if other.rank > one.rank { other } else { one })
    }
}

/// Stores `value` unless the stored version has the same or a higher revision, and returns whether it was stored.
fn insert_if_newer<T>(
    map: &mut HashMap<Name, (Revision, T)>,
    name: Name,
    value: T,
    revision: Revision,
) -> bool {
    if map.get(&name).is_some_and(|(held, _)| *held >= revision) {
        return false;
    }
    map.insert(name, (revision, value));
    true
}

/// Returns the value of `name` unless it is retired.
fn find_active<'a, T>(
    map: &'a HashMap<Name, (Revision, T)>,
    name: &str,
    retired: impl Fn(&T) -> bool,
) -> Option<&'a T> {
    map.get(name)
        .map(|(_, value)| value)
        .filter(|value| !retired(value))
}
