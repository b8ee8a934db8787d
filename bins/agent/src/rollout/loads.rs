//! Polls the engine's state and sends its load to subscribed entries.

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

use super::evidence::EvidenceRelay;
use super::state::State;
use crate::Notify;

/// Interval at which the list of the failure domain's entries is sent to each of them, before [`ENTRY_LIST_DELAY`] is added.
const ENTRY_LIST_INTERVAL: Duration = Duration::from_millis(1900);
/// Delay of a list after an entry subscribed, so that entries that start together share a list.
const ENTRY_LIST_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of entries in a list, so that it fits into a datagram; more entries are sent as several lists.
const MAX_LISTED_ENTRIES: usize = 100;
/// Maximum number of target limits in a load report; entries learn the others when they request permits.
const MAX_LIMITS: usize = 8;
/// Interval between two polls of the engine.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// State that the agent keeps for entries.
#[derive(Default)]
struct Entries {
    subscribers: RefCell<Subscribers>,
    /// Notified when an entry of the failure domain subscribed for the first time.
    joined: Notify,
    /// Issues permits for targets with a request limit.
    issuer: RefCell<Issuer<SocketAddr>>,
    evidence: EvidenceRelay,
}

impl Entries {
    /// Returns the response to a permit query of `entry`.
    fn grant(&self, now: Instant, entry: SocketAddr, query: PermitQuery) -> Datagram {
        let target = query.target;
        let mut issuer = self.issuer.borrow_mut();
        let grant = issuer.handle_request(now, &target, entry, &query.ask, query.role);
        Datagram::Grant { target, grant }
    }
}

/// Polls the engine and exchanges datagrams with entries; never returns.
pub(super) async fn run(state: Rc<State>, socket: DatagramSocket) {
    let entries = Entries::default();
    futures::join!(
        send_loads(&state, &socket, &entries),
        receive(&state, &socket, &entries),
        send_entry_lists(&socket, &entries),
        entries.evidence.send_changes(&socket),
    );
}

async fn receive(state: &State, socket: &DatagramSocket, entries: &Entries) {
    loop {
        let (entry, datagram) = socket.receive().await;
        let now = Instant::now();
        match datagram {
            Datagram::Subscribe(subscription) => {
                let same_domain = subscription.domain == state.settings.domain;
                let mut subscribers = entries.subscribers.borrow_mut();
                let is_new = subscribers.subscribe(now, entry, same_domain);
                drop(subscribers);
                if is_new && same_domain {
                    entries.joined.notify();
                }
                state.set_relay(now, entry, same_domain && subscription.passes_on);
                if let Some(source) = subscription.source {
                    state.set_source(now, source, subscription.in_touch);
                }
                state.add_named_versions(&subscription.named);
            }
            Datagram::Ask(query) => {
                let grant = entries.grant(now, entry, query);
                socket.send(&grant, &[entry]).await;
            }
            Datagram::Evidence {
                evidence,
                subscribe,
            } => {
                entries.evidence.merge(now, &evidence);
                if subscribe {
                    let summary = entries.evidence.subscribe(now, entry);
                    for datagram in Datagram::evidence(&summary) {
                        socket.send(&datagram, &[entry]).await;
                    }
                }
            }
            Datagram::Discover => send_entry_list(socket, entries, &[entry]).await,
            // The others are only sent to entries.
            Datagram::Load(_)
            | Datagram::Entries(_)
            | Datagram::Grant { .. }
            | Datagram::Reader => {}
        }
    }
}

/// Sends the list of the failure domain's entries to each of them, so that they know of each other.
///
/// One that starts needs the list before it reads the configuration, so a list follows its first subscription.
async fn send_entry_lists(socket: &DatagramSocket, entries: &Entries) {
    let mut seen = entries.joined.count();
    loop {
        let joined = entries.joined.changed(seen);
        let _ = compio::time::timeout(ENTRY_LIST_INTERVAL, joined).await;
        compio::time::sleep(ENTRY_LIST_DELAY).await;
        seen = entries.joined.count();
        let receivers = entries.subscribers.borrow().same_domain();
        send_entry_list(socket, entries, &receivers).await;
    }
}

/// Sends the list of the failure domain's entries to `receivers`.
async fn send_entry_list(socket: &DatagramSocket, entries: &Entries, receivers: &[SocketAddr]) {
    let listed = entries.subscribers.borrow().same_domain();
    for list in listed.chunks(MAX_LISTED_ENTRIES) {
        let list = Datagram::Entries(list.to_vec());
        socket.send(&list, receivers).await;
    }
}

/// Polls the engine and sends subscribed entries its load when it is due.
async fn send_loads(state: &State, socket: &DatagramSocket, entries: &Entries) {
    let subscribers = &entries.subscribers;
    let mut previous: Option<Load> = None;
    loop {
        let closing = state.closing.get();
        match state.engine.report().await {
            Ok(report) => {
                let now = Instant::now();
                state.settling.borrow_mut().report_answered(now);
                record_report(state, report);
            }
            Err(error) => {
                let now = Instant::now();
                if state
                    .report_age(now)
                    .is_some_and(|age| age < POLL_INTERVAL * 2)
                {
                    event!(event::BACKEND_FAILED, reason = error);
                }
            }
        }
        let now = Instant::now();
        subscribers.borrow_mut().expire(now);
        if let Some(load) = current_load(state, now, closing, entries) {
            let change = classify_change(previous.as_ref(), &load);
            let due = subscribers.borrow_mut().due(now, change);
            if !due.is_empty() {
                socket.send(&Datagram::Load(load.clone()), &due).await;
            }
            previous = Some(load);
        }
        wait_for_next_poll(state, closing).await;
    }
}

/// Waits for the next poll, or until `state.closing` changes, so that entries learn at once of a coming order.
async fn wait_for_next_poll(state: &State, closing: bool) {
    let end = Instant::now() + POLL_INTERVAL;
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

/// Stores a report of the engine and passes it to the rollout.
fn record_report(state: &State, report: Report) {
    let version = state
        .model()
        .and_then(|model| report.weights.get(&model).copied());
    let mut rollout = state.rollout.borrow_mut();
    let was_switching = rollout.is_switching();
    rollout.engine_observed(version, report.busy);
    let switching_changed = was_switching != rollout.is_switching();
    drop(rollout);
    let previous = state.report.borrow().as_ref().map(|(_, last)| last.clone());
    if let Some(previous) = &previous
        && !was_switching
    {
        check_orders(state, previous, &report);
    }
    let key = |report: &Report| (report.weights.clone(), report.busy, report.born);
    let engine_changed = previous.as_ref().map(key) != Some(key(&report));
    if engine_changed {
        event!(
            event::ENGINE_STATE,
            weights = format_args!("{:?}", report.weights),
            busy = report.busy,
            running = report.running
        );
    }
    *state.report.borrow_mut() = Some((Instant::now(), report));
    if switching_changed || engine_changed {
        state.changed.notify();
    }
}

/// Logs orders that the engine began while none of this agent was outstanding.
fn check_orders(state: &State, previous: &Report, report: &Report) {
    let same_start = previous.born == report.born;
    if !same_start || report.orders <= previous.orders || state.closing.get() {
        return;
    }
    event!(
        event::UNEXPECTED_ORDER,
        weights = format_args!("{:?}", report.weights),
        known = previous.orders,
        orders = report.orders
    );
    state.metrics.unexpected.inc();
}

/// Returns the load to send; `None` without a recent report of the engine.
fn current_load(state: &State, now: Instant, closing: bool, entries: &Entries) -> Option<Load> {
    if state.report_age(now)? > POLL_INTERVAL * 3 {
        return None;
    }
    let report = state.report.borrow();
    let (_, report) = report.as_ref()?;
    let rollout = state.rollout.borrow();
    let closes_at = rollout.closes_at(now);
    let issuer = entries.issuer.borrow();
    let limits = issuer.advertised_limits().take(MAX_LIMITS);
    let subscriber_count = entries.subscribers.borrow().len();
    Some(Load {
        engine: state.engine.address(),
        running: report.running,
        waiting: report.waiting,
        pace: report.pace as f32,
        accepting: !closing && !report.busy && !rollout.is_switching(),
        closes_ms: closes_at.map(|at| rounded_millis(at.saturating_duration_since(now))),
        weights: report.weights.clone().into_iter().collect(),
        named: named_versions(state, &rollout, now),
        entries: u16::try_from(subscriber_count).unwrap_or(u16::MAX),
        limits: limits
            .map(|(target, statement)| (target.clone(), statement))
            .collect(),
    })
}

/// Returns the required versions that the agent knows, for entries that started after they were named.
fn named_versions(state: &State, rollout: &Rollout, now: Instant) -> Vec<NamedVersion> {
    let Some(model) = state.model() else {
        return Vec::new();
    };
    rollout
        .observed_versions(now)
        .map(|(version, age)| NamedVersion {
            model: model.clone(),
            version,
            age_ms: Some(rounded_millis(age)),
        })
        .collect()
}

/// Classifies the change from `previous` to `load`; the required versions and the number of entries don't count.
fn classify_change(previous: Option<&Load>, load: &Load) -> LoadChange {
    let Some(previous) = previous else {
        return LoadChange::State;
    };
    let state = |load: &Load| (load.accepting, load.weights.clone(), load.limits.clone());
    let figures = |load: &Load| (load.running, load.waiting, load.pace, load.closes_ms);
    match load {
        _ if state(previous) != state(load) => LoadChange::State,
        _ if figures(previous) != figures(load) => LoadChange::Load,
        _ => LoadChange::None,
    }
}

/// Rounds down to a multiple of 100 ms, so that a time that comes nearer doesn't count as a change at every poll.
fn rounded_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis() / 100 * 100).unwrap_or(u32::MAX)
}
