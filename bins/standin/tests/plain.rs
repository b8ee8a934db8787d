//! Tests of the plain service stand-in, and of shutdown and settings, which all stand-ins share.

mod support;

use std::process::Command;
use std::time::Duration;

use node::http::{Error, Request};
use serde_json::json;
use support::{Process, Response, command, json};

/// Sends a booking with the idempotency key `key`.
async fn book(plain: &Process, key: &str) -> Result<Response, Error> {
    let request = Request::post("/book").header("idempotency-key", key);
    plain.send(request.body("green 4".into()).unwrap()).await
}

// Guards against runs that aren't counted because their response was dropped.
#[test]
fn runs_counted_by_key() {
    let plain = Process::start("plain", json!({}));
    node::run("test", async {
        let (_, _, body) = book(&plain, "a").await.unwrap();
        assert_eq!(json(&body)["echo"], "green 4");
        plain.switch(json!({"cut_answers": 1})).await;
        assert!(matches!(
            book(&plain, "a").await,
            Err(Error::Unknown { .. })
        ));
        plain.switch(json!({"down": true})).await;
        assert_eq!(book(&plain, "b").await.unwrap().0, 503);
        let (_, _, runs) = plain.call("GET /runs", "").await.unwrap();
        assert_eq!(json(&runs), json!({"a": 2}));
        assert_eq!(plain.count("runs").await, 2);
    })
    .unwrap();
}

// Guards against a graceful shutdown that aborts a request in progress, and against a process with more than one
// thread.
#[test]
fn sigterm_finishes_requests() {
    let mut plain = Process::start("plain", json!({"service_ms": 1000}));
    let pid = plain.child.id().to_string();
    node::run("test", async {
        let (result, threads) = futures::join!(book(&plain, "a"), async {
            compio::time::sleep(Duration::from_millis(100)).await;
            let threads = std::fs::read_dir(format!("/proc/{pid}/task"))
                .unwrap()
                .count();
            assert!(
                Command::new("kill")
                    .args(["-TERM", &pid])
                    .status()
                    .unwrap()
                    .success()
            );
            threads
        });
        assert_eq!(result.unwrap().0, 200);
        assert_eq!(threads, 1);
        let late = book(&plain, "b").await;
        assert!(matches!(late, Err(Error::NotWritten { .. })), "{late:?}");
    })
    .unwrap();
    assert!(plain.child.wait().unwrap().success());
}

// Guards against a process that starts with invalid settings, or that reports only the first finding.
#[test]
fn settings_findings_exit_2() {
    let settings = json!({"listen": "nowhere", "slots": 0, "slot": 1});
    let output = command("plain", &settings).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for pointer in ["/listen", "/slots", "/slot:"] {
        assert!(text.contains(pointer), "{text}");
    }
}
