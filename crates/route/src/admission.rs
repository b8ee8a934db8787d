//! The catalogue as routing sees it, and the record of a request's admission.

use std::collections::HashMap;
use std::time::Duration;

use catalog::{Class, Entry, Limits, Name, Revision, Service, Workspace};
use weights::Pin;

use crate::outcome::{Reason, Refusal};

/// Time after which a request may be sent again when a part of the catalogue is missing.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the catalogue says about a request at its admission.
///
/// The request is evaluated against this record alone, whatever the catalogue becomes while it waits.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Highest revision that the entry held.
    pub revision: Revision,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Service that is called.
    pub service: Name,
    /// The less urgent of the workspace's and the service's class.
    pub class: Name,
    /// Rank of the class; 0 is the most urgent.
    pub rank: u8,
    /// Share of dispatches among classes of equal rank.
    pub weight: u32,
    /// Whether the call may be sent again after it may have run.
    pub repeatable: bool,
    /// Deadline of the request when the caller names none.
    pub deadline: Duration,
    /// Time within which an answer must start to count as in time.
    pub within: Duration,
    /// Weights that the request may be answered from, the catalogue's first; empty for plain services.
    pub pins: Vec<Pin>,
    /// Limits of the workspace.
    pub workspace_limits: Limits,
    /// Limits of the class.
    pub class_limits: Limits,
    /// Limits of the service.
    pub service_limits: Limits,
}

/// Catalogue entries by name, each at its highest revision so far.
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

    /// Returns the highest revision seen.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the service called `name`, retired or not.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|(_, service)| service)
    }

    /// Stores `entry` if its revision is higher than that of the version held, and returns whether it was.
    pub fn apply(&mut self, entry: Entry, revision: Revision) -> bool {
        let stored = match entry {
            Entry::Class(class) => replace(&mut self.classes, class.name.clone(), class, revision),
            Entry::Service(mut service) => {
                let name = service.name.clone();
                // Entries written by a tool without replaced pins lack those that were held here before.
                let held: Vec<Pin> = self
                    .service(&name)
                    .into_iter()
                    .flat_map(Service::pins)
                    .collect();
                if let Some(model) = &mut service.model {
                    let listed = std::mem::take(&mut model.replaced);
                    model.set_replaced(listed.into_iter().chain(held));
                }
                replace(&mut self.services, name, service, revision)
            }
            Entry::Workspace(workspace) => replace(
                &mut self.workspaces,
                workspace.name.clone(),
                workspace,
                revision,
            ),
        };
        self.revision = self.revision.max(revision);
        stored
    }

    /// Returns the admission record of a request of `workspace` to `service`.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the workspace or the service is absent or retired, when the workspace may not call the
    /// service, when the catalogue lacks the class of either, or when it is still empty.
    pub fn admit(&self, workspace: &str, service: &str) -> Result<Admission, Refusal> {
        if self.revision == 0 {
            return Err(Refusal::retry(Reason::Catalogue, RETRY_AFTER));
        }
        let caller = live(&self.workspaces, workspace, |entry| entry.retired)
            .ok_or(Refusal::permanent(Reason::Workspace))?;
        let called = live(&self.services, service, |entry| entry.retired)
            .ok_or(Refusal::permanent(Reason::Service))?;
        if !caller.services.iter().any(|name| name == service) {
            return Err(Refusal::permanent(Reason::Workspace));
        }
        let class = self.class(&caller.class, &called.class)?;
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

    /// Returns the less urgent of two classes, so that neither the workspace nor the service can raise the other.
    ///
    /// A class that the catalogue lacks gives a refusal that may be repeated: the class may still be on its way here.
    fn class(&self, one: &str, other: &str) -> Result<&Class, Refusal> {
        let find = |name: &str| {
            self.classes
                .get(name)
                .map(|(_, class)| class)
                .ok_or(Refusal::retry(Reason::Catalogue, RETRY_AFTER))
        };
        let (one, other) = (find(one)?, find(other)?);
        Ok(if other.rank > one.rank { other } else { one })
    }
}

fn replace<T>(
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

fn live<'a, T>(
    map: &'a HashMap<Name, (Revision, T)>,
    name: &str,
    retired: impl Fn(&T) -> bool,
) -> Option<&'a T> {
    map.get(name)
        .map(|(_, value)| value)
        .filter(|value| !retired(value))
}
