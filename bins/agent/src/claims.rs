//! Keeps the claims of keyed calls in step with the platform.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use claim::{Table, Write};
use gossip::Phase;
use node::event;
use platform::{Client, Condition, Error, Put};

use crate::Shared;

/// Kind of the objects that hold claim tables.
const KIND: &str = "claims";

/// Shortest time between two looks at the table, so that many changes of members don't multiply the platform's reads.
const PAUSE: Duration = Duration::from_millis(300);

/// Time after a stop was asked for in which the slots must be released; the claims end by themselves 10 s later.
const RELEASE_TIME: Duration = Duration::from_secs(3);

/// Reads, plans and writes the claim table of a service with calls that run at most once; never returns.
pub async fn run(shared: Rc<Shared>, platform: Client) {
    let mut stopping_since = None;
    loop {
        if shared.is_leaving() {
            stopping_since.get_or_insert_with(Instant::now);
            shared.claims.borrow_mut().stop();
        }
        let keyed = shared.service().is_some_and(|service| !service.repeatable);
        if keyed && let Err(error) = step(&shared, &platform).await {
            node::event!(event::CLAIMS_FAILED, error = error);
        }
        let slots = shared.claims.borrow().slots();
        if shared.counters.slots.replace(slots) != slots {
            shared.report.notify();
        }
        let late = stopping_since.is_some_and(|since| since.elapsed() >= RELEASE_TIME);
        let released = !keyed || late || shared.claims.borrow().is_released();
        if stopping_since.is_some() && released {
            shared.released.set(true);
            shared.changed.notify();
        }
        wait(&shared, keyed).await;
    }
}

/// Waits until the table is due, or a change of members or of the service asks for a look at it.
async fn wait(shared: &Shared, keyed: bool) {
    let seen = shared.changed.count();
    let due = shared.claims.borrow().due(now()).saturating_sub(now());
    let due = if keyed { due } else { Duration::from_secs(1) };
    compio::time::sleep(PAUSE).await;
    let _ = compio::time::timeout(due, shared.changed.changed(seen)).await;
}

/// Reads the table once and writes what follows; a refused write or a lost answer needs only another reading.
async fn step(shared: &Shared, platform: &Client) -> Result<(), Error> {
    let service = &shared.settings.service;
    let object = platform.get(KIND, service).await?;
    let (revision, table) = match object {
        Some(object) => (object.revision, parse(object.value.get(), service)?),
        None => (0, Table::default()),
    };
    let (live, gone) = agents(shared);
    let write = {
        let mut claims = shared.claims.borrow_mut();
        claims.observe(revision, &table);
        claims.plan(now(), &live, &gone)
    };
    let Some(Write { base, table }) = write else {
        return Ok(());
    };
    let condition = match base {
        0 => Condition::Absent,
        revision => Condition::Revision(revision),
    };
    if let Put::Accepted(revision) = platform.put(KIND, service, &table, condition).await? {
        shared.claims.borrow_mut().observe(revision, &table);
    }
    Ok(())
}

fn parse(text: &str, service: &str) -> Result<Table, Error> {
    serde_json::from_str(text).map_err(|error| Error::Refused {
        call: format!("GET {KIND}/{service}"),
        reason: format!("the claim table is malformed: {error}"),
    })
}

/// Returns the names of the service's agents that take work, and of those that are down.
fn agents(shared: &Shared) -> (Vec<String>, Vec<String>) {
    let view = shared.view.borrow();
    let of_phase = |phase: Phase| {
        view.targets()
            .filter(|(_, target)| target.service == shared.settings.service)
            .filter(|(_, target)| target.phase == phase)
            .map(|(name, _)| name.to_owned())
            .collect::<Vec<_>>()
    };
    (of_phase(Phase::Live), of_phase(Phase::Down))
}

/// Returns the time since 1970.
fn now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
