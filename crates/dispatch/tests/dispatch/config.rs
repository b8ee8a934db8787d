//! Tests of the lookup of routes and tenants.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dispatch::{Config, Limits, RequestKind, Route, Tenant};
use yare::parameterized;

fn route(name: &str, prefix: &str, backends: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_event_gap: None,
        priority: 1,
        backends: backends
            .iter()
            .map(|(service, weight)| ((*service).to_owned(), *weight))
            .collect(),
        max_attempts: 1,
        anonymous: false,
        allowed_regions: None,
    }
}

fn config() -> Config {
    let routes = [
        ("Desk.example", route("short", "/a/", &[("x", 1)])),
        ("desk.example", route("long", "/a/b/", &[("y", 1)])),
        (
            "other.example",
            route("other", "/a/", &[("x", 9), ("y", 1)]),
        ),
    ];
    let tenant = Tenant {
        name: "club".into(),
        priority: Some(0),
        allowed_regions: None,
    };
    Config::new(
        3,
        BTreeMap::new(),
        Limits::default(),
        routes.map(|(host, route)| (host.to_owned(), route)),
        Some([("key".to_owned(), tenant)].into()),
    )
}

// Guards against requests that are routed by a shorter prefix or another host, or although no route matches.
#[parameterized(
    longest = { "desk.example", "/a/b/c", Some("long") },
    shorter = { "desk.example", "/a/bc", Some("short") },
    port = { "desk.example:80", "/a/", Some("short") },
    upper_case = { "DESK.example", "/a/x", Some("short") },
    no_slash = { "desk.example", "/a", None },
    path = { "desk.example", "/b/", None },
    host = { "desk", "/a/", None },
)]
fn route_choice(host: &str, path: &str, expected: Option<&str>) {
    let config = config();
    let route = config.route(host, path);
    assert_eq!(route.map(|route| route.name.as_str()), expected);
}

// Guards against a traffic split that ignores a service or its weight.
#[parameterized(
    first = { 0.0, Some("x") },
    last_of_first = { 0.89, Some("x") },
    second = { 0.91, Some("y") },
    end = { 1.0, Some("y") },
)]
fn backend_by_weight(draw: f64, expected: Option<&str>) {
    let config = config();
    let route = config.route("other.example", "/a/").unwrap();
    assert_eq!(route.pick_backend(draw), expected);
}

// Guards against accepting an API key that belongs to no tenant.
#[test]
fn tenant_by_key() {
    let config = config();
    assert_eq!(config.tenant("key").unwrap().name, "club");
    assert!(config.tenant("other").is_none());
    assert!(config.has_tenants());
}

// Guards against a configuration whose last API key was revoked and that then requires no key.
#[parameterized(
    no_keys = { Some([].into()), Some(0) },
    no_tenants = { None, None },
)]
fn tenants_without_keys(tenants: Option<HashMap<String, Tenant>>, keys: Option<usize>) {
    let config = Config::new(1, BTreeMap::new(), Limits::default(), [], tenants);
    assert_eq!(config.has_tenants(), keys.is_some());
    assert_eq!(config.key_count(), keys);
    assert!(config.tenant("key").is_none());
}
