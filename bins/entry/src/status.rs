//! The object that `/status` shows.

use std::time::Instant;

use route::Router;
use serde_json::{Value, json};

use crate::gateway::Gateway;

/// Returns the state of the entry: catalogue revision, services and their targets.
pub(crate) fn object(gateway: &Gateway, router: &Router) -> Value {
    let services: serde_json::Map<String, Value> = router
        .services()
        .map(|name| (name.clone(), service(router, name)))
        .collect();
    json!({
        "name": gateway.settings.name,
        "domain": gateway.settings.domain,
        "draining": gateway.is_draining(),
        "in_progress": gateway.in_progress(),
        "catalogue": revisions(gateway),
        "catalogue_revision": router.catalogue().revision(),
        "live_entries": gateway.shared.live_entries(),
        "services": services,
    })
}

/// Returns the revisions in force, by kind and name; `carobport-catalog` waits for them.
fn revisions(gateway: &Gateway) -> Value {
    let catalogue = gateway.shared.catalogue();
    catalogue
        .into_iter()
        .map(|(key, (revision, _))| (key, Value::from(revision)))
        .collect()
}

fn service(router: &Router, name: &str) -> Value {
    let now = Instant::now();
    let targets: serde_json::Map<String, Value> = router
        .pool(name)
        .into_iter()
        .flat_map(|pool| pool.iter())
        .map(|(name, target)| {
            let state = format!("{:?}", target.state(now)).to_lowercase();
            (
                name.clone(),
                json!({"state": state, "requests": target.requests()}),
            )
        })
        .collect();
    json!({
        "in_progress": router.in_progress(name),
        "waiting": router.waiting(name),
        "targets": targets,
    })
}
