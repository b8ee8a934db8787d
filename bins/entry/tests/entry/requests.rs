//! Requests, their outcomes and their answers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use node::http::{Body, Request};
use yare::parameterized;

use crate::common::{Step, answer, closed, crossed, summary, with_entry};

const HEAD: &str = "HTTP/1.1 200 OK\r\ncarobport-request: ID\r\ncarobport-outcome: answered\r\n";
const KEY: &str = "01920000-0000-7000-8000-000000000001";

fn slot_bit() -> u16 {
    1 << claim::slot("clerks", KEY.parse().unwrap())
}

/// Guards against an answer that is held back until its end, and against internal headers that leak to callers.
#[test]
fn answer_streams_pieces() {
    with_entry(|world| async move {
        let go = Rc::new(Cell::new(false));
        let wait = Rc::clone(&go);
        let seen = world.agent("t0", "desk", 0, move |_| {
            vec![
                Step::Send(HEAD.into()),
                Step::Send("x-kept: yes\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n".into()),
                Step::Wait(Rc::clone(&wait)),
                Step::Send("3\r\ntwo\r\n0\r\n\r\n".into()),
            ]
        });
        let answer = world
            .call("/v1/desk/a/b?c=d", &[("carobport-rank", "9")])
            .await;
        assert_eq!(
            summary(&answer),
            (200, "answered".into(), String::new(), false)
        );
        assert_eq!(answer.headers()["x-kept"], "yes");
        assert!(!answer.headers().contains_key("carobport-request"));
        let mut body = answer.into_body();
        assert_eq!(body.next().await.unwrap().unwrap(), "one");
        go.set(true);
        assert_eq!(body.next().await.unwrap().unwrap(), "two");
        assert_eq!(body.next().await.unwrap(), None);
        let head = &seen.borrow()[0].1;
        assert!(
            head.starts_with("POST /call/desk/a/b?c=d HTTP/1.1\r\n"),
            "{head}"
        );
        assert!(head.contains("carobport-rank: 0\r\n"), "{head}");
    });
}

/// Guards against a cut or stalled answer that the caller takes for a whole one.
#[parameterized(
    closed = { Step::Close },
    stalled = { Step::Sleep(2000) },
)]
fn answer_cut_ends_connection(end: Step) {
    with_entry(|world| async move {
        world.agent("t0", "desk", 0, move |_| {
            vec![
                Step::Send(HEAD.into()),
                Step::Send("transfer-encoding: chunked\r\n\r\n3\r\none\r\n".into()),
                end.clone(),
            ]
        });
        let mut body = world.call("/v1/desk/x", &[]).await.into_body();
        assert_eq!(body.next().await.unwrap().unwrap(), "one");
        assert!(body.next().await.is_err());
        let (_, metrics) = world.operator("/metrics").await;
        assert!(
            metrics.contains(r#"workspace="clerks",outcome="cut"} 1"#),
            "{metrics}"
        );
    });
}

/// Guards against an answer of another request: it must not be passed on, and its connection must not be used again.
#[test]
fn answer_crossed_is_discarded() {
    with_entry(|world| async move {
        let seen = world.agent("t0", "bookings", slot_bit(), |number| {
            vec![if number < 2 { crossed() } else { answer() }]
        });
        let answer = world
            .call("/v1/bookings/x", &[("idempotency-key", KEY)])
            .await;
        assert_eq!(
            summary(&answer),
            (502, "unknown".into(), "lost".into(), false)
        );
        let answer = world
            .call("/v1/bookings/x", &[("idempotency-key", KEY)])
            .await;
        assert_eq!(answer.into_body().collect(10).await.unwrap(), "whole");
        let connections: Vec<usize> = seen.borrow().iter().map(|(number, _)| *number).collect();
        assert_eq!(connections, [0, 1, 2]);
    });
}

/// Guards against a late answer that reaches the next request: a connection that timed out must be closed.
#[test]
fn answer_late_is_never_delivered() {
    with_entry(|world| async move {
        let seen = world.agent("t0", "desk", 0, |number| match number {
            0 => vec![Step::Sleep(300), answer()],
            _ => vec![answer()],
        });
        let started = Instant::now();
        let answer = world
            .call("/v1/desk/x", &[("carobport-deadline-ms", "100")])
            .await;
        assert_eq!(
            summary(&answer),
            (504, "unknown".into(), "timed-out".into(), false)
        );
        assert!(started.elapsed() < Duration::from_millis(250));
        let answer = world.call("/v1/desk/y", &[]).await;
        assert_eq!(answer.into_body().collect(10).await.unwrap(), "whole");
        let connections: Vec<usize> = seen.borrow().iter().map(|(number, _)| *number).collect();
        assert_eq!(connections, [0, 1]);
    });
}

/// Guards against a refusal that reaches the caller although another target would answer.
#[parameterized(
    refused = { closed() },
    lost = { Step::Close },
)]
fn repeatable_is_tried_elsewhere(first: Step) {
    with_entry(|world| async move {
        let failed = Rc::new(Cell::new(false));
        for name in ["t0", "t1"] {
            let (failed, first) = (Rc::clone(&failed), first.clone());
            world.agent(name, "desk", 0, move |_| {
                vec![if failed.replace(true) {
                    answer()
                } else {
                    first.clone()
                }]
            });
        }
        let answer = world.call("/v1/desk/x", &[]).await;
        assert_eq!(summary(&answer).1, "answered");
    });
}

/// Guards against a second run of a keyed call: after a broken connection only the same owner is asked, with the key.
#[test]
fn keyed_lost_asks_owner_again() {
    with_entry(|world| async move {
        let other = world.agent("other", "bookings", 0, |_| vec![answer()]);
        let owner = world.agent("owner", "bookings", slot_bit(), |number| {
            vec![if number == 0 { Step::Close } else { answer() }]
        });
        let answer = world
            .call("/v1/bookings/x", &[("idempotency-key", KEY)])
            .await;
        assert_eq!(summary(&answer).1, "answered");
        assert_eq!(owner.borrow().len(), 2);
        assert!(owner.borrow().iter().all(|(_, head)| head.contains(KEY)));
        assert!(other.borrow().is_empty());
    });
}

/// Guards against a keyed call that fails because the entry has no report of the owner's slots yet.
#[test]
fn keyed_follows_owner() {
    with_entry(|world| async move {
        const OWNER: &str = "HTTP/1.1 503 Service Unavailable\r\ncarobport-request: ID\r\n\
            carobport-outcome: not-run\r\ncarobport-owner: owner\r\ncontent-length: 0\r\n\r\n";
        world.agent("other", "bookings", slot_bit(), |_| {
            vec![Step::Send(OWNER.into())]
        });
        world.agent("owner", "bookings", 0, |_| vec![answer()]);
        let answer = world
            .call("/v1/bookings/x", &[("idempotency-key", KEY)])
            .await;
        assert_eq!(summary(&answer).1, "answered");
    });
}

/// Guards against requests that reach a target although a check refuses them, and against refusals without an outcome.
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
    with_entry(|world| async move {
        let seen = world.agent("t0", "bookings", 0xffff, |_| vec![answer()]);
        let answer = world.call(path, headers).await;
        assert_eq!(
            summary(&answer),
            (status, "not-run".into(), reason.into(), retry)
        );
        assert!(seen.borrow().is_empty());
    });
}

/// Guards against a refusal of the port that doesn't say that the request did not run.
#[parameterized(large = { 1, 16 << 10 }, many = { 90, 1 })]
fn request_head_names_outcome(count: usize, size: usize) {
    with_entry(|world| async move {
        let seen = world.agent("t0", "desk", 0, |_| vec![answer()]);
        let value = "x".repeat(size);
        let names: Vec<String> = (0..count).map(|index| format!("x-{index}")).collect();
        let headers: Vec<(&str, &str)> = names.iter().map(|name| (&**name, &*value)).collect();
        let answer = world.call("/v1/desk/x", &headers).await;
        let expected = (431, "not-run".into(), "head".into(), false);
        assert_eq!(summary(&answer), expected);
        assert!(seen.borrow().is_empty());
    });
}

/// Guards against a request that fits the caller port but, with the entry's headers added, not the agent's.
#[test]
fn request_head_too_large() {
    with_entry(|world| async move {
        let seen = world.agent("t0", "desk", 0, |_| vec![answer()]);
        let large = "x".repeat(15 << 10);
        assert_eq!(
            world
                .call("/v1/desk/x", &[("x-large", &large)])
                .await
                .status(),
            431
        );
        let fitting = &large[..14 << 10];
        assert_eq!(
            world
                .call("/v1/desk/x", &[("x-large", fitting)])
                .await
                .status(),
            200
        );
        assert!(seen.borrow().iter().all(|(_, head)| head.len() < 16 << 10));
    });
}

/// Guards against metrics that don't tell a caller's own limit from overload, and against restarts that can't be seen.
#[test]
fn refusal_reason_is_counted() {
    with_entry(|world| async move {
        world.call("/v1/desk/x", &[]).await;
        let (_, metrics) = world.operator("/metrics").await;
        let line = r#"{service="desk",class="urgent",reason="target",workspace="clerks",outcome="not-run"} 1"#;
        assert!(metrics.contains(line), "{metrics}");
        assert!(
            metrics.contains("\ncarobport_start_time_seconds "),
            "{metrics}"
        );
    });
}

/// Guards against a refusal of the port itself that doesn't tell the caller that nothing ran.
#[test]
fn request_body_too_large() {
    with_entry(|world| async move {
        let request = Request::post("/v1/desk/x")
            .body(Body::from(vec![0; (4 << 20) + 1]))
            .unwrap();
        let deadline = Instant::now() + Duration::from_secs(4);
        let answer = world
            .client
            .send(world.callers, request, deadline)
            .await
            .unwrap();
        assert_eq!(
            summary(&answer),
            (413, "not-run".into(), "body".into(), false)
        );
    });
}

/// Guards against a concurrency slot that a caller keeps after it closed its connection.
#[test]
fn caller_gone_releases_slots() {
    with_entry(|world| async move {
        world.agent("t0", "desk", 0, |number| match number {
            0 => vec![Step::Sleep(900), answer()],
            _ => vec![answer()],
        });
        let limited = [("carobport-workspace", "limited")];
        let gone = compio::time::timeout(
            Duration::from_millis(100),
            world.call("/v1/desk/x", &limited),
        );
        assert!(gone.await.is_err());
        compio::time::sleep(Duration::from_millis(50)).await;
        let answer = world.call("/v1/desk/x", &limited).await;
        assert_eq!(summary(&answer).1, "answered");
        let (_, metrics) = world.operator("/metrics").await;
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

/// Guards against a place in the queue, and the workspace's permit, that a caller keeps after it closed its connection.
#[test]
fn caller_gone_leaves_queue() {
    with_entry(|world| async move {
        let service = r#"{"kind":"service","name":"desk","owner":"o","class":"urgent","backend":"plain",
            "repeatable":true,"deadline_ms":1000,"limits":{"per_target":1}}"#;
        world
            .shared
            .put_catalog(99, serde_json::from_str(service).unwrap());
        world.agent("t0", "desk", 0, |_| vec![Step::Sleep(400), answer()]);
        let limited = [("carobport-workspace", "limited")];
        let first = Rc::clone(&world);
        let first =
            compio::runtime::spawn(async move { summary(&first.call("/v1/desk/x", &[]).await).1 });
        compio::time::sleep(Duration::from_millis(50)).await;
        let soon = Duration::from_millis(100);
        assert!(
            compio::time::timeout(soon, world.call("/v1/desk/x", &limited))
                .await
                .is_err()
        );
        compio::time::sleep(Duration::from_millis(50)).await;
        assert!(
            world
                .operator("/status")
                .await
                .1
                .contains(r#""waiting":{"urgent":0}"#)
        );
        assert_eq!(
            summary(&world.call("/v1/desk/x", &limited).await).1,
            "answered"
        );
        assert_eq!(first.await.unwrap(), "answered");
    });
}

/// Guards against an answer from other weights than the request was pinned to; an error of the request names none.
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
    let answer = format!(
        "HTTP/1.1 {line}\r\ncarobport-request: ID\r\ncarobport-outcome: answered\r\n{named}content-length: 0\r\n\r\n"
    );
    with_entry(|world| async move {
        let digest = weights::Digest::of(b"wanted");
        world.put_model(&format!(
            r#"{{"name":"m","version":"v1","digest":"{digest}","plan":"direct"}}"#
        ));
        let seen = world.agent("t0", "desk", 0, move |_| vec![Step::Send(answer.clone())]);
        world.report_weights("t0", 0, Some(digest.prefix()));
        let answer = world.call("/v1/desk/x", &[]).await;
        assert_eq!(
            (answer.status().as_u16(), &*summary(&answer).1),
            (status, outcome)
        );
        assert!(
            seen.borrow()[0]
                .1
                .contains(&format!("carobport-pin: m@v1#{digest}\r\n"))
        );
    });
}

/// Guards against a request that fails because a target which reports to other entries still serves a replaced pin.
#[test]
fn refusal_names_served_pin() {
    with_entry(|world| async move {
        let [old, new] = [b"old", b"new"].map(|name| weights::Digest::of(name));
        world.put_model(&format!(
            r#"{{"name":"m","version":"v2","digest":"{new}","plan":"direct",
            "replaced":[{{"model":"m","version":"v1","digest":"{old}"}}]}}"#
        ));
        let version = format!(
            "HTTP/1.1 503 Service Unavailable\r\ncarobport-request: ID\r\ncarobport-outcome: not-run\r\n\
             carobport-reason: version\r\ncarobport-pin: m@v1#{old}\r\ncontent-length: 0\r\n\r\n"
        );
        let whole = format!("{HEAD}carobport-weights: {old}\r\ncontent-length: 0\r\n\r\n");
        let seen = world.agent("t0", "desk", 0, move |index| {
            let answer = if index == 0 { &version } else { &whole };
            vec![Step::Send(answer.clone())]
        });
        let member = world.shared.target("t0").unwrap().member.unwrap();
        world.shared.remove_target("t0");
        world.shared.put_target("t0", member);
        for _ in 0..2 {
            let answer = world.call("/v1/desk/x", &[]).await;
            assert_eq!(&*summary(&answer).1, "answered");
        }
        let seen = seen.borrow();
        let pins = seen
            .iter()
            .map(|(_, head)| head.contains(&format!("#{old}\r\n")));
        assert_eq!(pins.collect::<Vec<_>>(), [false, true, true]);
    });
}

/// Guards against an operator who can't see which weights a target serves, and against an old report that is shown for
/// a target that has turned to other entries.
#[test]
fn status_shows_weights() {
    with_entry(|world| async move {
        let digest = weights::Digest::of(b"wanted");
        world.put_model(&format!(
            r#"{{"name":"m","version":"v1","digest":"{digest}","plan":"direct"}}"#
        ));
        world.agent("t0", "desk", 0, |_| Vec::new());
        world.agent("t1", "desk", 0, |_| Vec::new());
        world.report_weights("t0", 0, Some(digest.prefix()));
        world.report_weights("t1", 0, Some(0xabc));
        compio::time::sleep(Duration::from_millis(50)).await;
        let status = async || -> serde_json::Value {
            serde_json::from_str(&world.operator("/status").await.1).unwrap()
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
