//! The operator port.

use std::rc::Rc;

use compio::net::TcpListener;
use gossip::{Key, Version};
use node::operator::{Operator, serve};
use prometheus_client::registry::Registry;
use serde_json::{Value, json};

use crate::Shared;

/// Serves the operator port until `shutdown` resolves.
pub async fn run(shared: Rc<Shared>, listener: TcpListener, shutdown: impl Future<Output = ()>) {
    let mut registry = Registry::default();
    shared.metrics.register(&mut registry);
    let operator = Operator {
        registry,
        status: || status(&shared),
        healthy: || shared.gate() == wire::Gate::Open,
    };
    serve(listener, operator, shutdown).await;
}

/// Returns the body of `/status`.
fn status(shared: &Shared) -> Value {
    let settings = &shared.settings;
    let pin_text = |pin: Option<weights::Pin>| pin.map(|pin| pin.to_string());
    json!({
        "name": settings.name,
        "domain": settings.domain,
        "region": settings.region,
        "service": settings.service,
        "fencing_number": shared.fencing_number.get(),
        "incarnation": shared.incarnation(),
        "gate": format!("{:?}", shared.gate()).to_lowercase(),
        "pin": pin_text(shared.pin()),
        "wanted": pin_text(shared.wanted()),
        "engine_weights": shared.active(),
        "leaving": shared.is_leaving(),
        "in_progress": shared.in_progress(),
        "running": shared.counters.running.get(),
        "waiting": shared.counters.waiting.get(),
        "chunks": shared.counters.chunks.get(),
        "slots": shared.counters.slots.get(),
        "catalogue": catalogue_revisions(shared),
        "records": shared.view.borrow().len(),
    })
}

/// Returns the revisions of the catalogue entries in the agent's view, by kind and name.
fn catalogue_revisions(shared: &Shared) -> Value {
    let view = shared.view.borrow();
    let revision = |(key, version, _): (&Key, Version, _)| match key {
        Key::Catalog(name) => Some((name.clone(), Value::from(version.major))),
        _ => None,
    };
    view.iter().filter_map(revision).collect()
}
