//! The targets that `status` shows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use carobport_catalog::force::{self, Answers, Status};
use carobport_catalog::targets::text;
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

fn answers(statuses: Vec<Status>) -> Answers {
    let ports = 1..;
    let statuses = ports.zip(statuses);
    statuses
        .map(|(port, status)| (SocketAddr::from(([10, 0, 0, 1], port)), Ok(status)))
        .collect()
}

// Guards against a target that is taken for ready while it is closed, serves the old version, leaves or is down, and
// against one that is shown as ready or missing only because it reports to another entry.
#[parameterized(
    ready = { target("open", Some(NEW), Some(100)), "1 of 1 targets open with these weights", "" },
    old = { target("open", Some(OLD), Some(100)), "0 of 1", "v: open, serves lm@v1#fedcba98, holds 3 chunks" },
    closed = { target("closed", None, Some(2345)), "0 of 1", "closed, serves no weights, holds 3 chunks of the wanted version, reported 2.3 s ago" },
    leaving = { target("leaving", Some(NEW), Some(100)), "0 of 1", "v at 10.0.0.9:1: leaving, serves these weights" },
    cut_off = { target("down", None, None), "0 of 1", "v at 10.0.0.9:1: down, reports to none of the entries asked" },
)]
fn text_targets(seen: Value, count: &str, line: &str) {
    let line = line.replace("v: open", "v at 10.0.0.9:1: open");
    let unreported = value!({"v": target("unreported", None, None)});
    let elsewhere = match seen["state"] == "down" {
        true => value!({"v": seen.clone()}),
        false => unreported,
    };
    for reported_first in [true, false] {
        let mut statuses = vec![
            status("e1", 2, NEW, &value!({"v": seen.clone()})),
            status("e2", 1, OLD, &elsewhere),
        ];
        if !reported_first {
            statuses.reverse();
        }
        let text = text(&answers(statuses));
        assert!(
            text.contains(&format!("service models wants {NEW}\n")),
            "{text}"
        );
        assert!(text.contains(count) && text.contains(&line), "{text}");
        assert!(text.contains("sees 2 live entries, draining\n"), "{text}");
    }
}

/// Guards against a status during an outage of the platform that takes an entry with old versions for up to date.
#[test]
fn latest_of_entries() {
    let none = value!({});
    let answers = answers(vec![
        status("e1", 7, NEW, &none),
        status("e2", 5, OLD, &none),
    ]);
    let progress = force::compare(&answers, &force::latest(&answers));
    let missing: Vec<_> = progress.missing.values().collect();
    assert_eq!(missing, ["service/models is at 5, not 7"]);
}

/// Guards against thousands of lines when a whole domain waits.
#[test]
fn text_many_targets() {
    let closed = target("closed", None, Some(0));
    let targets: BTreeMap<String, Value> = (10..40)
        .map(|n| (format!("v{n}"), closed.clone()))
        .collect();
    let text = text(&answers(vec![status("e1", 1, NEW, &value!(targets))]));
    assert!(
        text.contains("v29 at") && !text.contains("v30 at"),
        "{text}"
    );
    assert!(text.ends_with("    and 10 more\n"), "{text}");
}

/// Guards against an answer of something else that is taken for an entry's, or an error that doesn't say what to name.
#[parameterized(
    page = { StatusCode::OK, None, "not an entry's" },
    gateway = { StatusCode::BAD_GATEWAY, None, "GET /status was answered with 502 Bad Gateway" },
    agent = { StatusCode::OK, Some(value!({"name": "vm", "domain": "north", "catalogue": {}})), "missing field" },
)]
fn status_not_an_entry(code: StatusCode, object: Option<Value>, expected: &str) {
    node::run("test", async {
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let answer = move |_, _| {
            std::future::ready(match &object {
                Some(object) => json(code, object),
                None => response(code, "<html>"),
            })
        };
        let server = serve(listener, Limits::default(), answer, std::future::pending());
        compio::runtime::spawn(server).detach();
        let error = force::status(&node::http::Client::new(), address).await;
        let error = error.unwrap_err();
        assert!(
            error.contains(expected) && error.contains("operator_listen"),
            "{error}"
        );
    })
    .unwrap();
}
