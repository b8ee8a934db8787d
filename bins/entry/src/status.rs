//! The JSON object that `/status` returns.

use std::time::Instant;

use route::{Router, State};
use serde_json::{Value, json};
use weights::Pin;

use crate::gateway::Gateway;
use crate::shared::Target;

/// Returns the state of the entry: catalogue revisions, services and their targets.
pub(crate) fn status_object(gateway: &Gateway, router: &Router) -> Value {
    let services: serde_json::Map<String, Value> = router
        .services()
        .map(|name| (name.clone(), service_status(gateway, router, name)))
        .collect();
    json!({
        "name": gateway.settings.name,
        "domain": gateway.settings.domain,
        "draining": gateway.is_draining(),
        "in_progress": gateway.in_progress(),
        "catalogue": catalogue_revisions(gateway),
        "catalogue_revision": router.catalogue().revision(),
        "live_entries": gateway.shared.live_entries(),
        "services": services,
    })
}

/// Returns the catalogue revisions in force, keyed by `kind/name`; `carobport-catalog` polls them.
fn catalogue_revisions(gateway: &Gateway) -> Value {
    let catalogue = gateway.shared.catalogue();
    catalogue
        .into_iter()
        .map(|(key, (revision, _))| (key, Value::from(revision)))
        .collect()
}

fn service_status(gateway: &Gateway, router: &Router, name: &str) -> Value {
    let now = Instant::now();
    let pins = service_pins(gateway, name);
    let known_targets = gateway.shared.targets();
    let targets: serde_json::Map<String, Value> = router
        .pool(name)
        .into_iter()
        .flat_map(|pool| pool.iter())
        .map(|(name, target)| {
            let mut object = json!({
                "state": format!("{:?}", target.state(now)).to_lowercase(),
                "requests": target.request_count(now),
            });
            let reports_here = target.state(now) != State::Unreported;
            if let Some(known) = known_targets.get(name) {
                add_details(&mut object, known, &pins, now, reports_here);
            }
            (name.clone(), object)
        })
        .collect();
    json!({
        "in_progress": router.in_progress(name),
        "waiting": router.waiting(name),
        "wanted": pins.first().map(ToString::to_string),
        "targets": targets,
    })
}

/// Returns the pins of a service, starting with the one that the catalogue currently requests.
fn service_pins(gateway: &Gateway, service: &str) -> Vec<Pin> {
    let catalogue = gateway.shared.catalogue();
    let entry = catalogue.get(&format!("service/{service}"));
    entry
        .map(|(_, entry)| entry.pins().collect())
        .unwrap_or_default()
}

/// Adds the target's failure domain and address, and its last report to this entry.
///
/// The report is omitted if the target has since switched to other entries, because it is out of date then.
fn add_details(
    object: &mut Value,
    target: &Target,
    pins: &[Pin],
    now: Instant,
    reports_here: bool,
) {
    if let Some(member) = &target.member {
        object["domain"] = json!(member.domain);
        object["call"] = json!(member.call);
    }
    if let Some((received_at, report)) = target.report.as_ref().filter(|_| reports_here) {
        let age = now.saturating_duration_since(*received_at).as_millis();
        object["reported_ms_ago"] = json!(u64::try_from(age).unwrap_or(u64::MAX));
        object["weights"] = json!(report.weights.map(|prefix| weights_version(prefix, pins)));
        object["chunks"] = json!(report.chunks);
    }
}

/// Returns the pin whose digest starts with `prefix`, or `prefix` in hexadecimal if the catalogue lists no such pin.
fn weights_version(prefix: u64, pins: &[Pin]) -> String {
    let pin = pins.iter().find(|pin| pin.digest.prefix() == prefix);
    pin.map_or_else(|| format!("#{prefix:016x}"), ToString::to_string)
}
