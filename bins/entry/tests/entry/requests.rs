//! Requests, their outcomes and their responses.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use node::http::{Body, Request};
use yare::parameterized;

use crate::common::{Step, complete, foreign, gate_closed, summary, with_entry};

const HEAD: &str = "HTTP/1.1 200 OK\r\ncarobport-request: ID\r\ncarobport-outcome: answered\r\n";
const KEY: &str = "01920000-0000-7000-8000-000000000001";

fn slot_bit() -> u16 {
    1 << claim::slot("clerks", KEY.parse().unwrap())
}

/// Guards against a response that is buffered until its end, and against internal headers that leak to callers.
#[test]
fn answer_streams_pieces() {
    with_entry(|fixture| async move {
        let go = Rc::new(Cell::new(false));
        let wait = Rc::clone(&go);
        let received = fixture.agent("t0", "desk", 0, move |_| {
            vec![
                Step::Send(HEAD.into()),
                Step::Send("x-kept: yes\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n".into()),
                Step::Wait(Rc::clone(&wait)),
                Step::Send("3\r\ntwo\r\n0\r\n\r\n".into()),
            ]
        });
        let response = fixture
            .call("/v1/desk/a/b?c=d", &[("carobport-rank", "9")])
            .await;
        assert_eq!(
            summary(&response),
            (200, "answered".into(), String::new(), false)
        );
        assert_eq!(response.headers()["x-kept"], "yes");
        assert!(!response.headers().contains_key("carobport-request"));
        let mut body = response.into_body();
        assert_eq!(body.next().await.unwrap().unwrap(), "one");
        go.set(true);
        assert_eq!(body.next().await.unwrap().unwrap(), "two");
        assert_eq!(body.next().await.unwrap(), None);
        let head = &received.borrow()[0].1;
        assert!(
            head.starts_with("POST /call/desk/a/b?c=d HTTP/1.1\r\n"),
            "{head}"
        );
        assert!(head.contains("carobport-rank: 0\r\n"), "{head}");
    });
}

/// Guards against a truncated or stalled response that looks complete to the caller.
#[parameterized(
    closed = { Step::Close },
    stalled = { Step::Sleep(2000) },
)]
fn answer_cut_ends_connection(end: Step) {
    with_entry(|fixture| async move {
        fixture.agent("t0", "desk", 0, move |_| {
            vec![
                Step::Send(HEAD.into()),
                Step::Send("transfer-encoding: chunked\r\n\r\n3\r\none\r\n".into()),
                end.clone(),
            ]
        });
        let mut body = fixture.call("/v1/desk/x", &[]).await.into_body();
        assert_eq!(body.next().await.unwrap().unwrap(), "one");
        assert!(body.next().await.is_err());
        let (_, metrics) = fixture.operator("/metrics").await;
        assert!(
            metrics.contains(r#"workspace="clerks",outcome="cut"} 1"#),
            "{metrics}"
        );
    });
}

/// Guards against relaying the response to another request, and against reusing the connection that it arrived on.
#[test]
fn answer_crossed_is_discarded() {
    with_entry(|fixture| async move {
        let received = fixture.agent("t0", "bookings", slot_bit(), |index| {
            vec![if index < 2 { foreign() } else { complete() }]
        });
        let response = fixture
            .call("/v1/bookings/x", &[("idempotency-key", KEY)])
            .await;
        assert_eq!(
            summary(&response),
            (502, "unknown".into(), "lost".into(), false)
        );
        let response = fixture
            .call("/v1/bookings/x", &[("idempotency-key", KEY)])
            .await;
        assert_eq!(response.into_body().collect(10).await.unwrap(), "whole");
        let connections: Vec<usize> = received
            .borrow()
            .iter()
            .map(|(connection, _)| *connection)
            .collect();
        assert_eq!(connections, [0, 1, 2]);
    });
}

/// Guards against a late response that is taken for that of the next request: after a timeout the connection must be
/// closed.
#[test]
fn answer_late_is_never_delivered() {
    with_entry(|fixture| async move {
        let received = fixture.agent("t0", "desk", 0, |index| match index {
            0 => vec![Step::Sleep(300), complete()],
            _ => vec![complete()],
        });
        let started = Instant::now();
        let response = fixture
            .call("/v1/desk/x", &[("carobport-deadline-ms", "100")])
            .await;
        assert_eq!(
            summary(&response),
            (504, "unknown".into(), "timed-out".into(), false)
        );
        assert!(started.elapsed() < Duration::from_millis(250));
        let response = fixture.call("/v1/desk/y", &[]).await;
        assert_eq!(response.into_body().collect(10).await.unwrap(), "whole");
        let connections: Vec<usize> = received
            .borrow()
            .iter()
            .map(|(connection, _)| *connection)
            .collect();
        assert_eq!(connections, [0, 1]);
    });
}

/// Guards against relaying a failed attempt to the caller although another target could answer.
#[parameterized(
    refused = { gate_closed() },
    lost = { Step::Close },
)]
fn repeatable_is_tried_elsewhere(first: Step) {
    with_entry(|fixture| async move {
        let failed = Rc::new(Cell::new(false));
        for name in ["t0", "t1"] {
            let (failed, first) = (Rc::clone(&failed), first.clone());
            fixture.agent(name, "desk", 0, move |_| {
                vec![if failed.replace(true) {
                    complete()
                } else {
                    first.clone()
                }]
            });
        }
        let response = fixture.call("/v1/desk/x", &[]).await;
        assert_eq!(summary(&response).1, "answered");
    });
}

/// Guards against a second execution of a call with an idempotency key: after a lost connection only the same owner may
/// be asked again, with the key.
#[test]
fn keyed_lost_asks_owner_again() {
    with_entry(|fixture| async move {
        let other = fixture.agent("other", "bookings", 0, |_| vec![complete()]);
        let owner = fixture.agent("owner", "bookings", slot_bit(), |index| {
            vec![if index == 0 { Step::Close } else { complete() }]
        });
        let response = fixture
            .call("/v1/bookings/x", &[("idempotency-key", KEY)])
            .await;
        assert_eq!(summary(&response).1, "answered");
        assert_eq!(owner.borrow().len(), 2);
        assert!(owner.borrow().iter().all(|(_, head)| head.contains(KEY)));
        assert!(other.borrow().is_empty());
    });
}

/// Guards against a call with an idempotency key that fails because the entry has no report of the owner's claim slots
/// yet: the entry must follow the owner that the refusal names.
#[test]
fn keyed_follows_owner() {
    with_entry(|fixture| async move {
        const OWNER: &str = "HTTP/1.1 503 Service Unavailable\r\ncarobport-request: ID\r\n\
            carobport-outcome: not-run\r\ncarobport-owner: owner\r\ncontent-length: 0\r\n\r\n";
        fixture.agent("other", "bookings", slot_bit(), |_| {
            vec![Step::Send(OWNER.into())]
        });
        fixture.agent("owner", "bookings", 0, |_| vec![complete()]);
        let response = fixture
            .call("/v1/bookings/x", &[("idempotency-key", KEY)])
            .await;
        assert_eq!(summary(&response).1, "answered");
    });
}

/// Guards against refused requests that reach a target, and against refusals without an outcome.
#[parameterized(
    no_key = { "/v1/bookings/x", &[], 400, "malformed", false },
    key_not_v7 = { "/v1/bookings/x", &[("idempotency-key", "7f5c1c3e-8f0a-4a57-9f0e-0d7f3f1b2c3d")], 400, "malformed", false },
    no_service = { "/v1/other/x", &[], 404, "service", false },
    no_path = { "/v2/desk", &[], 400, "malformed", false },
    bad_deadline = { "/v1/desk/x", &[("carobport-deadline-ms", "soon")], 400, "malformed", false },
    no_workspace = { "/v1/desk/x", &[("carobport-workspace", "strangers")], 403, "workspace", false },
    not_allowed = { "/v1/bookings/x", &[("carobport-workspace", "limited")], 403, "workspace", false },
    no_target = { "/v1/desk/x", &[], 503, "target", true },
)]
fn request_refused(path: &str, headers: &[(&str, &str)], status: u16, reason: &str, retry: bool) {
    with_entry(|fixture| async move {
        let received = fixture.agent("t0", "bookings", 0xffff, |_| vec![complete()]);
        let response = fixture.call(path, headers).await;
        assert_eq!(
            summary(&response),
            (status, "not-run".into(), reason.into(), retry)
        );
        assert!(received.borrow().is_empty());
    });
}

/// Guards against a head with too many bytes or headers that the HTTP server refuses without the outcome `not-run`.
#[parameterized(large = { 1, 16 << 10 }, many = { 90, 1 })]
fn request_head_names_outcome(count: usize, size: usize) {
    with_entry(|fixture| async move {
        let received = fixture.agent("t0", "desk", 0, |_| vec![complete()]);
        let value = "x".repeat(size);
        let names: Vec<String> = (0..count).map(|index| format!("x-{index}")).collect();
        let headers: Vec<(&str, &str)> = names.iter().map(|name| (&**name, &*value)).collect();
        let response = fixture.call("/v1/desk/x", &headers).await;
        let expected = (431, "not-run".into(), "head".into(), false);
        assert_eq!(summary(&response), expected);
        assert!(received.borrow().is_empty());
    });
}

/// Guards against a request that is within the head limit of the caller port but, with the headers that the entry adds,
/// exceeds that of the agent.
#[test]
fn request_head_too_large() {
    with_entry(|fixture| async move {
        let received = fixture.agent("t0", "desk", 0, |_| vec![complete()]);
        let large = "x".repeat(15 << 10);
        assert_eq!(
            fixture
                .call("/v1/desk/x", &[("x-large", &large)])
                .await
                .status(),
            431
        );
        let fitting = &large[..14 << 10];
        assert_eq!(
            fixture
                .call("/v1/desk/x", &[("x-large", fitting)])
                .await
                .status(),
            200
        );
        assert!(
            received
                .borrow()
                .iter()
                .all(|(_, head)| head.len() < 16 << 10)
        );
    });
}

/// Guards against metrics without the reason of a refusal, which tells a caller's own limit from overload, and without
/// the start time, which reveals restarts.
#[test]
fn refusal_reason_is_counted() {
    with_entry(|fixture| async move {
        fixture.call("/v1/desk/x", &[]).await;
        let (_, metrics) = fixture.operator("/metrics").await;
        let line = r#"{service="desk",class="urgent",reason="target",workspace="clerks",outcome="not-run"} 1"#;
        assert!(metrics.contains(line), "{metrics}");
        assert!(
            metrics.contains("\ncarobport_start_time_seconds "),
            "{metrics}"
        );
    });
}

/// Guards against an oversized body that the HTTP server refuses without the outcome `not-run`.
#[test]
fn request_body_too_large() {
    with_entry(|fixture| async move {
        let request = Request::post("/v1/desk/x")
            .body(Body::from(vec![0; (4 << 20) + 1]))
            .unwrap();
        let deadline = Instant::now() + Duration::from_secs(4);
        let response = fixture
            .client
            .send(fixture.callers, request, deadline)
            .await
            .unwrap();
        assert_eq!(
            summary(&response),
            (413, "not-run".into(), "body".into(), false)
        );
    });
}

/// Guards against a concurrency slot that isn't released when the caller closes its connection.
#[test]
fn caller_gone_releases_slots() {
    with_entry(|fixture| async move {
        fixture.agent("t0", "desk", 0, |index| match index {
            0 => vec![Step::Sleep(900), complete()],
            _ => vec![complete()],
        });
        let limited = [("carobport-workspace", "limited")];
        let gone = compio::time::timeout(
            Duration::from_millis(100),
            fixture.call("/v1/desk/x", &limited),
        );
        assert!(gone.await.is_err());
        compio::time::sleep(Duration::from_millis(50)).await;
        let response = fixture.call("/v1/desk/x", &limited).await;
        assert_eq!(summary(&response).1, "answered");
        let (_, metrics) = fixture.operator("/metrics").await;
        assert!(
            metrics.contains(r#"workspace="limited",outcome="gone"} 1"#),
            "{metrics}"
        );
        assert!(
            metrics.contains(r#"carobport_first_byte_seconds_count{class="urgent"} 1"#),
            "{metrics}"
        );
    });
}

/// Guards against a place in the queue and a permit of the workspace that aren't released when the caller closes its
/// connection.
#[test]
fn caller_gone_leaves_queue() {
    with_entry(|fixture| async move {
        let service = r#"{"kind":"service","name":"desk","owner":"o","class":"urgent","backend":"plain",
            "repeatable":true,"deadline_ms":1000,"limits":{"per_target":1}}"#;
        fixture
            .shared
            .put_catalog(99, serde_json::from_str(service).unwrap());
        fixture.agent("t0", "desk", 0, |_| vec![Step::Sleep(400), complete()]);
        let limited = [("carobport-workspace", "limited")];
        let first = Rc::clone(&fixture);
        let first =
            compio::runtime::spawn(async move { summary(&first.call("/v1/desk/x", &[]).await).1 });
        compio::time::sleep(Duration::from_millis(50)).await;
        let soon = Duration::from_millis(100);
        assert!(
            compio::time::timeout(soon, fixture.call("/v1/desk/x", &limited))
                .await
                .is_err()
        );
        compio::time::sleep(Duration::from_millis(50)).await;
        assert!(
            fixture
                .operator("/status")
                .await
                .1
                .contains(r#""waiting":{"urgent":0}"#)
        );
        assert_eq!(
            summary(&fixture.call("/v1/desk/x", &limited).await).1,
            "answered"
        );
        assert_eq!(first.await.unwrap(), "answered");
    });
}

/// Guards against relaying a response from other weights than the request was pinned to; a client error names no
/// weights.
#[parameterized(
    right = { "200 OK", "wanted", 200, "answered" },
    other = { "200 OK", "other", 502, "unknown" },
    none = { "200 OK", "", 502, "unknown" },
    request_error = { "400 Bad Request", "", 400, "answered" },
)]
fn answer_weights_checked(line: &'static str, weights: &str, status: u16, outcome: &str) {
    let named = match weights {
        "" => String::new(),
        text => format!(
            "carobport-weights: {}\r\n",
            weights::Digest::of(text.as_bytes())
        ),
    };
    let response = format!(
        "HTTP/1.1 {line}\r\ncarobport-request: ID\r\ncarobport-outcome: answered\r\n{named}content-length: 0\r\n\r\n"
    );
    with_entry(|fixture| async move {
        let digest = weights::Digest::of(b"wanted");
        fixture.put_model(&format!(
            r#"{{"name":"m","version":"v1","digest":"{digest}","plan":"direct"}}"#
        ));
        let received = fixture.agent("t0", "desk", 0, move |_| vec![Step::Send(response.clone())]);
        fixture.report_weights("t0", 0, Some(digest.prefix()));
        let response = fixture.call("/v1/desk/x", &[]).await;
        assert_eq!(
            (response.status().as_u16(), &*summary(&response).1),
            (status, outcome)
        );
        assert!(
            received.borrow()[0]
                .1
                .contains(&format!("carobport-pin: m@v1#{digest}\r\n"))
        );
    });
}

/// Guards against a request that fails because a target that reports to other entries still serves a replaced pin: the
/// entry must retry with the pin that the refusal names.
#[test]
fn refusal_names_served_pin() {
    with_entry(|fixture| async move {
        let [old, new] = [b"old", b"new"].map(|name| weights::Digest::of(name));
        fixture.put_model(&format!(
            r#"{{"name":"m","version":"v2","digest":"{new}","plan":"direct",
            "replaced":[{{"model":"m","version":"v1","digest":"{old}"}}]}}"#
        ));
        let version = format!(
            "HTTP/1.1 503 Service Unavailable\r\ncarobport-request: ID\r\ncarobport-outcome: not-run\r\n\
             carobport-reason: version\r\ncarobport-pin: m@v1#{old}\r\ncontent-length: 0\r\n\r\n"
        );
        let complete = format!("{HEAD}carobport-weights: {old}\r\ncontent-length: 0\r\n\r\n");
        let received = fixture.agent("t0", "desk", 0, move |index| {
            let response = if index == 0 { &version } else { &complete };
            vec![Step::Send(response.clone())]
        });
        let member = fixture.shared.target("t0").unwrap().member.unwrap();
        fixture.shared.remove_target("t0");
        fixture.shared.put_target("t0", member);
        for _ in 0..2 {
            let response = fixture.call("/v1/desk/x", &[]).await;
            assert_eq!(&*summary(&response).1, "answered");
        }
        let received = received.borrow();
        let pins = received
            .iter()
            .map(|(_, head)| head.contains(&format!("#{old}\r\n")));
        assert_eq!(pins.collect::<Vec<_>>(), [false, true, true]);
    });
}

/// Guards against a status that doesn't show which weights a target serves, and against one that shows an outdated
/// report of a target that has switched to other entries.
#[test]
fn status_shows_weights() {
    with_entry(|fixture| async move {
        let digest = weights::Digest::of(b"wanted");
        fixture.put_model(&format!(
            r#"{{"name":"m","version":"v1","digest":"{digest}","plan":"direct"}}"#
        ));
        fixture.agent("t0", "desk", 0, |_| Vec::new());
        fixture.agent("t1", "desk", 0, |_| Vec::new());
        fixture.report_weights("t0", 0, Some(digest.prefix()));
        fixture.report_weights("t1", 0, Some(0xabc));
        compio::time::sleep(Duration::from_millis(50)).await;
        let status = async || -> serde_json::Value {
            serde_json::from_str(&fixture.operator("/status").await.1).unwrap()
        };
        let desk = status().await["services"]["desk"].clone();
        let pin = format!("m@v1#{digest}");
        assert_eq!(desk["wanted"], pin);
        let target = &desk["targets"]["t0"];
        assert_eq!(target["weights"], pin);
        assert_eq!(
            (&target["state"], &target["domain"]),
            (&"open".into(), &"levis".into())
        );
        assert_eq!(desk["targets"]["t1"]["weights"], "#0000000000000abc");
        compio::time::sleep(Duration::from_millis(8100)).await;
        let target = status().await["services"]["desk"]["targets"]["t0"].clone();
        assert_eq!(target["state"], "unreported");
        assert!(target.get("weights").is_none() && target.get("reported_ms_ago").is_none());
    });
}
