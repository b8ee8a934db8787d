//! The targets that `status` shows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use carobport_catalog::entry_status::{self, Status, Statuses};
use carobport_catalog::targets::render;
use node::http::{Limits, StatusCode, json, response, serve};
use serde_json::{Value, json as value};
use yare::parameterized;

const NEW: &str = "lm@v2#0123456789abcdef";
const OLD: &str = "lm@v1#fedcba9876543210";

fn status(name: &str, revision: u64, wanted: &str, targets: &Value) -> Status {
    serde_json::from_value(value!({
        "name": name, "domain": "north", "draining": name == "e2", "live_entries": 2,
        "catalogue": {"service/models": revision},
        "services": {"models": {"wanted": wanted, "targets": targets}},
    }))
    .unwrap()
}

fn target(state: &str, weights: Option<&str>, age: Option<u64>) -> Value {
    value!({"state": state, "domain": "north", "call": "10.0.0.9:1", "reported_ms_ago": age,
        "weights": weights, "chunks": 3})
}

/// Returns the statuses under different addresses.
fn by_address(statuses: Vec<Status>) -> Statuses {
    let ports = 1..;
    let statuses = ports.zip(statuses);
    statuses
        .map(|(port, status)| (SocketAddr::from(([10, 0, 0, 1], port)), Ok(status)))
        .collect()
}

// Guards against counting a target as ready while it is closed, serves the old version, is leaving or is down, and
// against showing the wrong state for a target that reports only to another entry VM.
#[parameterized(
    ready = { target("open", Some(NEW), Some(100)), "1 of 1 targets open with these weights", "" },
    old = { target("open", Some(OLD), Some(100)), "0 of 1", "v: open, serves lm@v1#fedcba98, holds 3 chunks" },
    closed = { target("closed", None, Some(2345)), "0 of 1", "closed, serves no weights, holds 3 chunks of the wanted version, reported 2.3 s ago" },
    leaving = { target("leaving", Some(NEW), Some(100)), "0 of 1", "v at 10.0.0.9:1: leaving, serves these weights" },
    cut_off = { target("down", None, None), "0 of 1", "v at 10.0.0.9:1: down, reports to none of the entries asked" },
)]
fn render_target_state(target_status: Value, count: &str, line: &str) {
    let line = line.replace("v: open", "v at 10.0.0.9:1: open");
    let unreported = value!({"v": target("unreported", None, None)});
    let without_report = match target_status["state"] == "down" {
        true => value!({"v": target_status.clone()}),
        false => unreported,
    };
    for reported_first in [true, false] {
        let mut statuses = vec![
            status("e1", 2, NEW, &value!({"v": target_status.clone()})),
            status("e2", 1, OLD, &without_report),
        ];
        if !reported_first {
            statuses.reverse();
        }
        let text = render(&by_address(statuses));
        assert!(
            text.contains(&format!("service models wants {NEW}\n")),
            "{text}"
        );
        assert!(text.contains(count) && text.contains(&line), "{text}");
        assert!(text.contains("sees 2 live entries, draining\n"), "{text}");
    }
}

/// Guards against an outage of the platform making `status` report an entry VM with old revisions as up to date.
#[test]
fn compare_with_latest_revisions() {
    let none = value!({});
    let statuses = by_address(vec![
        status("e1", 7, NEW, &none),
        status("e2", 5, OLD, &none),
    ]);
    let progress = entry_status::compare(&statuses, &entry_status::latest_revisions(&statuses));
    let pending: Vec<_> = progress.pending.values().collect();
    assert_eq!(pending, ["service/models is at 5, not 7"]);
}

/// Guards against printing thousands of lines when no target of a failure domain is ready.
#[test]
fn render_many_targets() {
    let closed = target("closed", None, Some(0));
    let targets: BTreeMap<String, Value> = (10..40)
        .map(|n| (format!("v{n}"), closed.clone()))
        .collect();
    let text = render(&by_address(vec![status("e1", 1, NEW, &value!(targets))]));
    assert!(
        text.contains("v29 at") && !text.contains("v30 at"),
        "{text}"
    );
    assert!(text.ends_with("    and 10 more\n"), "{text}");
}

/// Guards against accepting a response of another server as an entry VM's status, and against an error that doesn't say
/// which port to name.
#[parameterized(
    page = { StatusCode::OK, None, "not an entry's" },
    gateway = { StatusCode::BAD_GATEWAY, None, "GET /status was answered with 502 Bad Gateway" },
    agent = { StatusCode::OK, Some(value!({"name": "vm", "domain": "north", "catalogue": {}})), "missing field" },
)]
fn fetch_from_other_server(code: StatusCode, object: Option<Value>, expected: &str) {
    node::run("test", async {
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let respond = move |_, _| {
            std::future::ready(match &object {
                Some(object) => json(code, object),
                None => response(code, "<html>"),
            })
        };
        let server = serve(listener, Limits::default(), respond, std::future::pending());
        compio::runtime::spawn(server).detach();
        let error = entry_status::fetch(&node::http::Client::new(), address).await;
        let error = error.unwrap_err();
        assert!(
            error.contains(expected) && error.contains("operator_listen"),
            "{error}"
        );
    })
    .unwrap();
}
