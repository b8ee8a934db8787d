//! Catalogue revisions that entries and agents hold, over time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::{JoinHandle, spawn};
use node::http::Client;
use serde_json::Value;

use crate::deployment::Member;
use crate::replicas::status;

const POLL: Duration = Duration::from_millis(20);

/// Revisions by node, and by kind and name of the catalogue entry.
type Held = BTreeMap<String, BTreeMap<String, u64>>;

/// Samples the revisions that nodes hold and records each one that decreases.
pub struct Revisions {
    held: Rc<RefCell<Held>>,
    reverted: Rc<RefCell<Vec<String>>>,
    _samplers: Vec<JoinHandle<()>>,
}

impl Revisions {
    /// Starts to sample `members`, which are entries and agents.
    pub fn watch<'a>(members: impl IntoIterator<Item = &'a Member>) -> Self {
        let held = Rc::<RefCell<Held>>::default();
        let reverted = Rc::<RefCell<Vec<String>>>::default();
        let client = Client::new();
        let samplers = members
            .into_iter()
            .map(|member| {
                let name = member.process.name().to_owned();
                let (operator, client) = (member.operator, client.clone());
                let (held, reverted) = (Rc::clone(&held), Rc::clone(&reverted));
                spawn(async move {
                    loop {
                        if let Some(status) = status(&client, operator).await {
                            let found = sample(&held, &name, &status["catalogue"]);
                            reverted.borrow_mut().extend(found);
                        }
                        compio::time::sleep(POLL).await;
                    }
                })
            })
            .collect();
        Self {
            held,
            reverted,
            _samplers: samplers,
        }
    }

    /// Returns the revision of the catalogue entry `key` that `member` held last; 0 when it held none.
    pub fn of(&self, member: &str, key: &str) -> u64 {
        let held = self.held.borrow();
        let revision = held.get(member).and_then(|held| held.get(key));
        revision.copied().unwrap_or(0)
    }

    /// Returns each decrease seen, as text.
    pub fn reverted(&self) -> Vec<String> {
        self.reverted.borrow().clone()
    }
}

/// Takes the revisions of one answer and returns those below the ones seen before.
///
/// A key that is missing is not a decrease: a process that was restarted knows nothing at first.
fn sample(held: &RefCell<Held>, member: &str, catalogue: &Value) -> Vec<String> {
    let mut held = held.borrow_mut();
    let known = held.entry(member.into()).or_default();
    let mut reverted = Vec::new();
    for (key, revision) in catalogue.as_object().into_iter().flatten() {
        let revision = revision.as_u64().unwrap_or(0);
        let before = known.insert(key.clone(), revision).unwrap_or(0);
        if revision < before {
            reverted.push(format!("{member}: {key} from {before} to {revision}"));
        }
    }
    reverted
}
