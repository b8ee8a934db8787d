//! Claims of the slots of a service whose calls must not be repeated.
//!
//! The decisions are those of [`claim::Owner`]; this module reads and writes the claim table for it.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use claim::{Table, Write};
use gossip::{Phase, Store};
use node::event;
use platform::{Client, Condition, Put};

use crate::Shared;
use crate::shared::random;

/// Kind of the platform's objects that hold claim tables.
const KIND: &str = "claims";

/// Longest wait between two looks at whether the agent is to stop or the service changed.
const LOOK: Duration = Duration::from_millis(100);

/// Shortest wait between two steps.
const STEP: Duration = Duration::from_millis(20);

/// Wait after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// Shortest wait after a refused write.
///
/// The wait is random, up to [`RETRY_SPREAD`] longer: up to 16 owners of a service that write at the same moment must
/// all get through in the 7 s between the time for a renewal and the end of the interval.
const RETRY: Duration = Duration::from_millis(50);

/// Range of the random part of the wait after a refused write.
const RETRY_SPREAD: Duration = Duration::from_millis(200);

/// Longest time that a stopping agent tries to give up its slots; after it, others wait for the interval to lapse.
const RELEASE: Duration = Duration::from_secs(3);

/// How a step ended.
enum Step {
    /// Nothing was to be written, or the write was accepted.
    Done,
    /// Another agent wrote first.
    Refused,
    /// The platform gave no usable answer.
    Failed,
}

/// What a step started from; a change of it makes the next step due.
struct Seen {
    changes: u64,
    agents: (Vec<String>, Vec<String>),
}

/// Takes, renews and releases claims while the service has calls that must not be repeated; never returns.
pub async fn run(shared: Rc<Shared>, platform: Client) {
    loop {
        if is_needed(&shared) {
            let seen = Seen::new(&shared);
            let step = step(&shared, &platform).await;
            publish(&shared);
            wait_until_due(&shared, step.pause(), seen).await;
        } else {
            compio::time::sleep(LOOK).await;
        }
    }
}

/// Waits for `pause`, or without one until the next step is due; a stop or a change among the service's agents since
/// `seen` ends the wait.
///
/// Meanwhile the owner is told whether the gate is open.
async fn wait_until_due(shared: &Shared, pause: Option<Duration>, mut seen: Seen) {
    let started = now();
    compio::time::sleep(STEP).await;
    while shared.is_leaving() == shared.claims.borrow().is_stopping() {
        let now = now();
        let due = {
            let mut claims = shared.claims.borrow_mut();
            claims.set_backend_open(shared.gate() == wire::Gate::Open, now);
            match pause {
                None => claims.next_plan(now),
                // A clock that was set back must not prolong the wait.
                Some(pause) => (started + pause).min(now + pause),
            }
        };
        let left = due.saturating_sub(now);
        if left.is_zero() {
            return;
        }
        compio::time::sleep(left.min(LOOK)).await;
        if seen.changes != shared.changed.count() {
            seen.changes = shared.changed.count();
            if members(&shared.view.borrow(), &shared.settings.service) != seen.agents {
                return;
            }
        }
    }
}

/// Waits until a stopping agent has given up its slots, or 3 s.
pub async fn released(shared: &Shared) {
    let released = async {
        while shared.claims.borrow().owned_slots() != 0 {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let _ = compio::time::timeout(RELEASE, released).await;
}

/// Tells whether there are claims to keep: of a service with such calls, or still held from when it had them.
fn is_needed(shared: &Shared) -> bool {
    let held = shared.claims.borrow().owned_slots() != 0;
    let keyed = shared
        .service()
        .is_some_and(|service| !service.repeatable && !service.retired);
    held || (keyed && !shared.is_leaving())
}

/// Reads the table and writes what the owner plans.
async fn step(shared: &Shared, platform: &Client) -> Step {
    let service = &shared.settings.service;
    if shared.is_leaving() {
        shared.claims.borrow_mut().stop();
    }
    let table = match platform.get(KIND, service).await {
        Ok(Some(object)) => match serde_json::from_str::<Table>(object.value.get()) {
            Ok(table) => (object.revision, table),
            Err(error) => {
                node::event!(
                    event::CLAIMS_MALFORMED,
                    revision = object.revision,
                    error = error
                );
                return Step::Failed;
            }
        },
        Ok(None) => (0, Table::default()),
        Err(error) => return failed(&error),
    };
    let (live, down) = members(&shared.view.borrow(), service);
    let write = {
        let mut claims = shared.claims.borrow_mut();
        claims.set_backend_open(shared.gate() == wire::Gate::Open, now());
        claims.observe(table.0, &table.1);
        claims.plan(now(), &live, &down)
    };
    match write {
        Some(write) => store(shared, platform, &write).await,
        None => Step::Done,
    }
}

async fn store(shared: &Shared, platform: &Client, write: &Write) -> Step {
    let condition = match write.base {
        0 => Condition::Absent,
        revision => Condition::Revision(revision),
    };
    let name = &shared.settings.service;
    match platform.put(KIND, name, &write.table, condition).await {
        Ok(Put::Accepted(revision)) => {
            shared.claims.borrow_mut().observe(revision, &write.table);
            Step::Done
        }
        // The next reading shows what the other agent wrote.
        Ok(Put::Conflict(_)) => Step::Refused,
        // The next reading shows whether the write took effect.
        Err(error) => failed(&error),
    }
}

impl Step {
    /// Returns the wait before the next step, or none if the owner knows when it is due.
    fn pause(&self) -> Option<Duration> {
        let spread = u64::try_from(RETRY_SPREAD.as_millis()).unwrap_or(u64::MAX);
        match self {
            Self::Done => None,
            Self::Refused => Some(RETRY + Duration::from_millis(random() % spread)),
            Self::Failed => Some(PAUSE),
        }
    }
}

impl Seen {
    fn new(shared: &Shared) -> Self {
        Self {
            changes: shared.changed.count(),
            agents: members(&shared.view.borrow(), &shared.settings.service),
        }
    }
}

/// Returns the service's agents that take work and those that are down.
fn members(view: &Store, service: &str) -> (Vec<String>, Vec<String>) {
    let of_phase = |phase: Phase| -> Vec<String> {
        let targets = view.targets();
        let found =
            targets.filter(|(_, target)| target.service == service && target.phase == phase);
        found.map(|(name, _)| name.to_owned()).collect()
    };
    (of_phase(Phase::Live), of_phase(Phase::Down))
}

/// Puts the slots into the next report, at once if they changed.
fn publish(shared: &Shared) {
    let slots = shared.claims.borrow().owned_slots();
    if shared.counters.slots.replace(slots) != slots {
        node::event!(event::CLAIMS_CHANGED, slots = format_args!("{slots:04x}"));
        shared.report.notify();
    }
}

fn failed(error: &platform::Error) -> Step {
    node::event!(event::CLAIMS_FAILED, error = error);
    Step::Failed
}

/// Returns the time since 1970.
fn now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
