//! Asks the engine for its state and tells entries.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ::rollout::{LoadChange, Rollout, Subscribers};
use futures::FutureExt;
use futures::future::{Either, select};
use node::event;
use platform::engine::Report;
use quota::Issuer;
use wire::{Datagram, DatagramSocket, Load, NamedVersion, PermitQuery};

use super::state::State;

/// Time between two lists of the entries of the domain, which those entries are sent.
const INTRODUCTION: Duration = Duration::from_secs(2);
/// Most entries in a list; more of them don't fit into a datagram.
const MOST_INTRODUCED: usize = 100;
/// Most limits of targets in a load; entries learn of further ones when they ask for permits.
const MOST_LIMITS: usize = 8;
/// Time between two questions to the engine.
const INTERVAL: Duration = Duration::from_millis(100);

/// What the agent knows of entries.
#[derive(Default)]
struct Entries {
    audience: RefCell<Subscribers>,
    /// Permits for targets that take a limited number of requests.
    issuer: RefCell<Issuer<SocketAddr>>,
}

impl Entries {
    /// Answers the question of `entry` for permits.
    fn grant(&self, now: Instant, entry: SocketAddr, question: PermitQuery) -> Datagram {
        let target = question.target;
        let mut issuer = self.issuer.borrow_mut();
        let grant = issuer.handle_request(now, &target, entry, &question.ask, question.role);
        Datagram::Grant { target, grant }
    }
}

/// Asks and tells; never returns.
pub(super) async fn run(state: Rc<State>, port: DatagramSocket) {
    let entries = Entries::default();
    let tell = tell(&state, &port, &entries);
    let receive = receive(&state, &port, &entries);
    let introduce = introduce(&port, &entries.audience);
    futures::join!(tell, receive, introduce);
}

async fn receive(state: &State, port: &DatagramSocket, entries: &Entries) {
    loop {
        let (entry, datagram) = port.receive().await;
        let now = Instant::now();
        match datagram {
            Datagram::Subscribe(subscription) => {
                let near = subscription.domain == state.settings.domain;
                entries.audience.borrow_mut().subscribe(now, entry, near);
                state.set_relay(now, entry, near && subscription.passes_on);
                if let Some(source) = subscription.source {
                    state.set_source(now, source, subscription.in_touch);
                }
                state.take_named(&subscription.named);
            }
            Datagram::Ask(question) => {
                let grant = entries.grant(now, entry, question);
                port.send(&grant, &[entry]).await;
            }
            // Only entries are told loads, lists of entries and grants.
            Datagram::Load(_) | Datagram::Entries(_) | Datagram::Grant { .. } => {}
        }
    }
}

/// Tells the entries of the domain which others there are.
async fn introduce(port: &DatagramSocket, audience: &RefCell<Subscribers>) {
    loop {
        compio::time::sleep(INTRODUCTION).await;
        let entries = audience.borrow().same_domain();
        for list in entries.chunks(MOST_INTRODUCED) {
            port.send(&Datagram::Entries(list.to_vec()), &entries).await;
        }
    }
}

async fn tell(state: &State, port: &DatagramSocket, entries: &Entries) {
    let audience = &entries.audience;
    let mut before: Option<Load> = None;
    loop {
        let closing = state.closing.get();
        match state.engine.report().await {
            Ok(report) => take(state, report),
            Err(error) => {
                let now = Instant::now();
                if state.report_age(now).is_some_and(|age| age < INTERVAL * 2) {
                    event!(event::BACKEND_FAILED, reason = error);
                }
            }
        }
        let now = Instant::now();
        audience.borrow_mut().expire(now);
        if let Some(load) = load(state, now, closing, entries) {
            let due = audience.borrow_mut().due(now, news(before.as_ref(), &load));
            if !due.is_empty() {
                port.send(&Datagram::Load(load.clone()), &due).await;
            }
            before = Some(load);
        }
        wait(state, closing).await;
    }
}

/// Waits for the next question; an order that is about to be given is told at once.
async fn wait(state: &State, closing: bool) {
    let end = Instant::now() + INTERVAL;
    loop {
        let seen = state.changed.count();
        if state.closing.get() != closing {
            return;
        }
        let changed = state.changed.changed(seen).boxed_local();
        let slept = compio::time::sleep_until(end).boxed_local();
        if let Either::Right(_) = select(changed, slept).await {
            return;
        }
    }
}

/// Takes the engine's state into the rollout.
fn take(state: &State, report: Report) {
    let held = state
        .model()
        .and_then(|model| report.weights.get(&model).copied());
    let mut rollout = state.rollout.borrow_mut();
    let before = rollout.is_switching();
    rollout.engine_observed(held, report.busy);
    let changed = before != rollout.is_switching();
    drop(rollout);
    let known = state
        .report
        .borrow()
        .as_ref()
        .map(|(_, known)| (known.weights.clone(), known.busy, known.born));
    let news = known != Some((report.weights.clone(), report.busy, report.born));
    if news {
        event!(
            event::ENGINE_STATE,
            weights = format_args!("{:?}", report.weights),
            busy = report.busy,
            running = report.running
        );
    }
    *state.report.borrow_mut() = Some((Instant::now(), report));
    if changed || news {
        state.changed.notify();
    }
}

/// Returns the load to tell; none without a fresh state of the engine.
fn load(state: &State, now: Instant, closing: bool, entries: &Entries) -> Option<Load> {
    if state.report_age(now)? > INTERVAL * 3 {
        return None;
    }
    let report = state.report.borrow();
    let (_, report) = report.as_ref()?;
    let rollout = state.rollout.borrow();
    let closes = rollout.closes_at(now);
    let issuer = entries.issuer.borrow();
    let limits = issuer.advertised_limits().take(MOST_LIMITS);
    let entries = entries.audience.borrow().len();
    Some(Load {
        engine: state.engine.address(),
        running: report.running,
        waiting: report.waiting,
        pace: report.pace as f32,
        accepting: !closing && !report.busy && !rollout.is_switching(),
        closes_ms: closes.map(|at| millis(at.saturating_duration_since(now))),
        weights: report.weights.clone().into_iter().collect(),
        named: named(state, &rollout, now),
        entries: u16::try_from(entries).unwrap_or(u16::MAX),
        limits: limits
            .map(|(target, statement)| (target.clone(), statement))
            .collect(),
    })
}

/// Returns the versions that the agent saw named, for entries that started later.
fn named(state: &State, rollout: &Rollout, now: Instant) -> Vec<NamedVersion> {
    let Some(model) = state.model() else {
        return Vec::new();
    };
    rollout
        .observed_versions(now)
        .map(|(version, age)| NamedVersion {
            model: model.clone(),
            version,
            age_ms: Some(millis(age)),
        })
        .collect()
}

/// Returns what `load` tells that `before` did not, but for the versions that were named and the number of entries.
fn news(before: Option<&Load>, load: &Load) -> LoadChange {
    let Some(before) = before else {
        return LoadChange::State;
    };
    let state = |load: &Load| (load.accepting, load.weights.clone(), load.limits.clone());
    let figures = |load: &Load| (load.running, load.waiting, load.pace, load.closes_ms);
    match load {
        _ if state(before) != state(load) => LoadChange::State,
        _ if figures(before) != figures(load) => LoadChange::Load,
        _ => LoadChange::None,
    }
}

/// Returns whole tenths of a second in milliseconds, so that a time that comes nearer isn't news each time.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis() / 100 * 100).unwrap_or(u32::MAX)
}
