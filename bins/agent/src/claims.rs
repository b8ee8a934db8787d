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

/// Kind of the platform's objects that hold claim tables.
const KIND: &str = "claims";

/// Longest wait between two looks at whether the agent is to stop or the service changed.
const LOOK: Duration = Duration::from_millis(100);

/// Shortest wait between two steps.
const STEP: Duration = Duration::from_millis(20);

/// Wait after a failed call or a refused write.
const PAUSE: Duration = Duration::from_millis(500);

/// Longest time that a stopping agent tries to give up its slots; after it, others wait for the interval to lapse.
const RELEASE: Duration = Duration::from_secs(3);

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
            let stepped = step(&shared, &platform).await;
            publish(&shared);
            wait_until_due(&shared, stepped, seen).await;
        } else {
            compio::time::sleep(LOOK).await;
        }
    }
}

/// Waits until the next step is due; a stop or a change among the service's agents since `seen` ends the wait.
///
/// Meanwhile the owner is told whether the gate is open.
async fn wait_until_due(shared: &Shared, stepped: bool, mut seen: Seen) {
    let paused = now() + PAUSE;
    compio::time::sleep(STEP).await;
    while shared.is_leaving() == shared.claims.borrow().is_stopping() {
        let now = now();
        let due = {
            let mut claims = shared.claims.borrow_mut();
            claims.set_open(shared.gate() == wire::Gate::Open, now);
            match stepped {
                true => claims.due(now),
                // A clock that was set back must not prolong the wait.
                false => paused.min(now + PAUSE),
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
        while shared.claims.borrow().slots() != 0 {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let _ = compio::time::timeout(RELEASE, released).await;
}

/// Tells whether there are claims to keep: of a service with such calls, or still held from when it had them.
fn is_needed(shared: &Shared) -> bool {
    let held = shared.claims.borrow().slots() != 0;
    let keyed = shared
        .service()
        .is_some_and(|service| !service.repeatable && !service.retired);
    held || (keyed && !shared.is_leaving())
}

/// Reads the table and writes what the owner plans; returns false after a failure.
async fn step(shared: &Shared, platform: &Client) -> bool {
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
                return false;
            }
        },
        Ok(None) => (0, Table::default()),
        Err(error) => return failed(&error),
    };
    let (live, down) = members(&shared.view.borrow(), service);
    let write = {
        let mut claims = shared.claims.borrow_mut();
        claims.set_open(shared.gate() == wire::Gate::Open, now());
        claims.observe(table.0, &table.1);
        claims.plan(now(), &live, &down)
    };
    match write {
        Some(write) => store(shared, platform, &write).await,
        None => true,
    }
}

async fn store(shared: &Shared, platform: &Client, write: &Write) -> bool {
    let condition = match write.base {
        0 => Condition::Absent,
        revision => Condition::Revision(revision),
    };
    let name = &shared.settings.service;
    match platform.put(KIND, name, &write.table, condition).await {
        Ok(Put::Accepted(revision)) => {
            shared.claims.borrow_mut().observe(revision, &write.table);
            true
        }
        // Another agent wrote first; the next reading shows what.
        Ok(Put::Conflict(_)) => false,
        // The next reading shows whether the write took effect.
        Err(error) => failed(&error),
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
    let slots = shared.claims.borrow().slots();
    if shared.counters.slots.replace(slots) != slots {
        node::event!(event::CLAIMS_CHANGED, slots = format_args!("{slots:04x}"));
        shared.report.notify();
    }
}

fn failed(error: &platform::Error) -> bool {
    node::event!(event::CLAIMS_FAILED, error = error);
    false
}

/// Returns the time since 1970.
fn now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
