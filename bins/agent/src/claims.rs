//! Claims of the slots of a service whose calls must run at most once.
//!
//! [`claim::Owner`] makes the decisions; this module reads and writes the claim table for it.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use claim::{Table, Write};
use gossip::{Phase, Store};
use node::event;
use platform::{Client, Condition, Put, Revision};

use crate::Shared;
use crate::shared::random;

/// Kind of the platform's objects that hold claim tables.
const KIND: &str = "claims";

/// Interval of the checks whether the agent is stopping or the service's agents changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum wait between two steps.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Wait after a failed call to the platform.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

/// Minimum wait after a write conflict.
///
/// The wait is random, up to [`CONFLICT_JITTER`] longer: if up to 16 owners of a service write at the same moment, all
/// their writes must succeed in the 7 s between the time for a renewal and the end of the interval.
const MIN_CONFLICT_DELAY: Duration = Duration::from_millis(50);

/// Range of the random part of the wait after a write conflict.
const CONFLICT_JITTER: Duration = Duration::from_millis(200);

/// Maximum time that a stopping agent tries to release its slots; others then wait until the interval expires.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of a step.
enum StepResult {
    /// There was nothing to write, or the write was accepted.
    Done,
    /// Another agent wrote first.
    Conflict,
    /// The platform gave no usable response.
    Failed,
}

/// State that a step started from; when the agents change, the next step is due.
struct Snapshot {
    change_count: u64,
    agents: (Vec<String>, Vec<String>),
}

/// Acquires, renews and releases claims while the service has calls that must run at most once; never returns.
pub async fn run(shared: Rc<Shared>, platform: Client) {
    loop {
        if is_needed(&shared) {
            let snapshot = Snapshot::new(&shared);
            let result = step(&shared, &platform).await;
            publish_slots(&shared);
            wait_until_due(&shared, result.delay(), snapshot).await;
        } else {
            compio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Waits for `delay`, or until the next step is due if `delay` is `None`.
///
/// A stop or a change of the service's agents since `snapshot` ends the wait early. During the wait, the claim owner is
/// kept informed whether the gate is open.
async fn wait_until_due(shared: &Shared, delay: Option<Duration>, mut snapshot: Snapshot) {
    let started = unix_time();
    compio::time::sleep(MIN_STEP_INTERVAL).await;
    while shared.is_leaving() == shared.claims.borrow().is_stopping() {
        let now = unix_time();
        let due = {
            let mut claims = shared.claims.borrow_mut();
            claims.set_backend_open(shared.gate() == wire::Gate::Open, now);
            match delay {
                None => claims.next_plan(now),
                // A clock that was set back must not extend the wait.
                Some(delay) => (started + delay).min(now + delay),
            }
        };
        let left = due.saturating_sub(now);
        if left.is_zero() {
            return;
        }
        compio::time::sleep(left.min(CHECK_INTERVAL)).await;
        if snapshot.change_count != shared.changed.count() {
            snapshot.change_count = shared.changed.count();
            if members(&shared.view.borrow(), &shared.settings.service) != snapshot.agents {
                return;
            }
        }
    }
}

/// Waits until a stopping agent has released its slots, for at most 3 s.
pub async fn wait_for_release(shared: &Shared) {
    let released = async {
        while shared.claims.borrow().owned_slots() != 0 {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let _ = compio::time::timeout(RELEASE_TIMEOUT, released).await;
}

/// Returns whether there are claims to maintain: the service has calls that must run at most once and the agent isn't
/// stopping, or the agent still owns slots.
fn is_needed(shared: &Shared) -> bool {
    let owns_slots = shared.claims.borrow().owned_slots() != 0;
    let keyed = shared
        .service()
        .is_some_and(|service| !service.repeatable && !service.retired);
    owns_slots || (keyed && !shared.is_leaving())
}

/// Reads the claim table and writes the changes that the claim owner plans.
async fn step(shared: &Shared, platform: &Client) -> StepResult {
    let service = &shared.settings.service;
    if shared.is_leaving() {
        shared.claims.borrow_mut().stop();
    }
    let read = platform.get(KIND, service).await;
    let era = platform.era().unwrap_or(0);
    shared.claims.borrow_mut().set_era(era);
    let (revision, table) = match read {
        Ok(Some(object)) => match serde_json::from_str::<Table>(object.value.get()) {
            Ok(table) => (object.revision.ordinal(), table),
            Err(error) => {
                node::event!(
                    event::CLAIMS_MALFORMED,
                    revision = object.revision.ordinal(),
                    error = error
                );
                return StepResult::Failed;
            }
        },
        Ok(None) => (Revision::new(era, 0).ordinal(), Table::default()),
        Err(error) => return failed(&error),
    };
    let (live, down) = members(&shared.view.borrow(), service);
    let write = {
        let mut claims = shared.claims.borrow_mut();
        claims.set_backend_open(shared.gate() == wire::Gate::Open, unix_time());
        claims.observe(revision, &table);
        claims.plan(unix_time(), &live, &down)
    };
    match write {
        Some(write) => write_table(shared, platform, &write).await,
        None => StepResult::Done,
    }
}

async fn write_table(shared: &Shared, platform: &Client, write: &Write) -> StepResult {
    let condition = match Revision::from_ordinal(write.base) {
        Revision { number: 0, .. } => Condition::Absent,
        revision => Condition::Revision(revision),
    };
    let name = &shared.settings.service;
    match platform.put(KIND, name, &write.table, condition).await {
        Ok(Put::Accepted(revision)) => {
            let mut claims = shared.claims.borrow_mut();
            // If the store came back from an older copy meanwhile, the table is one of an earlier era there.
            claims.set_era(revision.era);
            claims.observe(revision.ordinal(), &write.table);
            StepResult::Done
        }
        // The next read returns what the other agent wrote.
        Ok(Put::Conflict(_)) => StepResult::Conflict,
        // The next read shows whether the write took effect.
        Err(error) => failed(&error),
    }
}

impl StepResult {
    /// Returns the delay before the next step, or `None` if the claim owner determines when it is due.
    fn delay(&self) -> Option<Duration> {
        let jitter_ms = u64::try_from(CONFLICT_JITTER.as_millis()).unwrap_or(u64::MAX);
        match self {
            Self::Done => None,
            Self::Conflict => {
                Some(MIN_CONFLICT_DELAY + Duration::from_millis(random() % jitter_ms))
            }
            Self::Failed => Some(FAILURE_DELAY),
        }
    }
}

impl Snapshot {
    fn new(shared: &Shared) -> Self {
        Self {
            change_count: shared.changed.count(),
            agents: members(&shared.view.borrow(), &shared.settings.service),
        }
    }
}

/// Returns the service's agents that accept calls and those that are down.
fn members(view: &Store, service: &str) -> (Vec<String>, Vec<String>) {
    let in_phase = |phase: Phase| -> Vec<String> {
        let targets = view.targets();
        let found =
            targets.filter(|(_, target)| target.service == service && target.phase == phase);
        found.map(|(name, _)| name.to_owned()).collect()
    };
    (in_phase(Phase::Live), in_phase(Phase::Down))
}

/// Puts the owned slots into the next report, which is sent at once if they changed.
fn publish_slots(shared: &Shared) {
    let slots = shared.claims.borrow().owned_slots();
    if shared.counters.slots.replace(slots) != slots {
        node::event!(event::CLAIMS_CHANGED, slots = format_args!("{slots:04x}"));
        shared.report_requested.notify();
    }
}

fn failed(error: &platform::Error) -> StepResult {
    node::event!(event::CLAIMS_FAILED, error = error);
    StepResult::Failed
}

/// Returns the time since the Unix epoch.
fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
