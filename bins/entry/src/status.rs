//! The object that `/status` shows.

use std::time::Instant;

use route::{Router, State};
use serde_json::{Value, json};
use weights::Pin;

use crate::gateway::Gateway;
use crate::shared::Target;

/// Returns the state of the entry: catalogue revision, services and their targets.
pub(crate) fn object(gateway: &Gateway, router: &Router) -> Value {
    let services: serde_json::Map<String, Value> = router
        .services()
        .map(|name| (name.clone(), service(gateway, router, name)))
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

fn service(gateway: &Gateway, router: &Router, name: &str) -> Value {
    let now = Instant::now();
    let pins = pins(gateway, name);
    let known = gateway.shared.targets();
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
            if let Some(known) = known.get(name) {
                describe(&mut object, known, &pins, now, reports_here);
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

/// Returns the pins of a service, the catalogue's current one first.
fn pins(gateway: &Gateway, service: &str) -> Vec<Pin> {
    let catalogue = gateway.shared.catalogue();
    let entry = catalogue.get(&format!("service/{service}"));
    entry
        .map(|(_, entry)| entry.pins().collect())
        .unwrap_or_default()
}

/// Adds the target's place, and what it last reported here.
///
/// A report from before the target turned to other entries says nothing about it any more and is left out.
fn describe(object: &mut Value, target: &Target, pins: &[Pin], now: Instant, reports_here: bool) {
    if let Some(member) = &target.member {
        object["domain"] = json!(member.domain);
        object["call"] = json!(member.call);
    }
    if let Some((at, report)) = target.report.as_ref().filter(|_| reports_here) {
        let age = now.saturating_duration_since(*at).as_millis();
        object["reported_ms_ago"] = json!(u64::try_from(age).unwrap_or(u64::MAX));
        object["weights"] = json!(report.weights.map(|weights| version(weights, pins)));
        object["chunks"] = json!(report.chunks);
    }
}

/// Returns the pin whose digest begins with `weights`, or these first bytes when the catalogue entry lists no such pin.
fn version(weights: u64, pins: &[Pin]) -> String {
    let pin = pins.iter().find(|pin| pin.digest.prefix() == weights);
    pin.map_or_else(|| format!("#{weights:016x}"), ToString::to_string)
}
