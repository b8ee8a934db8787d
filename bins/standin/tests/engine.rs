//! Tests of the engine stand-in.

mod support;

use node::http::{Body, Error, Request};
use serde_json::json;
use support::{Process, json};
use weights::Manifest;

const PROMPT: &str = r#"{"messages": [{"content": "hi"}], "max_tokens": 3}"#;
const STREAM: &str = r#"{"messages": [{"content": "hi"}], "max_tokens": 3, "stream": true}"#;
const CHAT: &str = "POST /v1/chat/completions";

fn with_engine<F: Future<Output = ()>>(
    settings: serde_json::Value,
    test: impl FnOnce(Process) -> F,
) {
    let process = Process::start("engine", settings);
    node::run("test", test(process)).unwrap();
}

/// Sends an activation order with the fencing number `number`, and returns the status code.
async fn activate(engine: &Process, digest: &str, number: u64) -> u16 {
    let request = Request::post("/orders/activate").header("fencing-number", number);
    let body = json!({"digest": digest}).to_string();
    engine
        .send(request.body(body.into()).unwrap())
        .await
        .unwrap()
        .0
}

/// Stages the manifest of `content` with the chunks of `sent`, and returns the digest.
async fn stage(engine: &Process, content: &[u8], sent: &[u8]) -> String {
    let manifest = Manifest::build(content, 4);
    let digest = manifest.digest().to_string();
    let path = format!("PUT /weights/{digest}");
    let text = serde_json::to_vec(&manifest).unwrap();
    engine
        .call(&format!("{path}/manifest"), text)
        .await
        .unwrap();
    for (index, chunk) in sent.chunks(4).enumerate() {
        let chunk = chunk.to_vec();
        let response = engine
            .call(&format!("{path}/chunks/{index}"), chunk)
            .await
            .unwrap();
        assert_eq!(response.0, 204);
    }
    digest
}

// Guards against reporting the requested digest instead of one computed from the received chunks, which would hide
// partial or mixed weights.
#[test]
fn activate_reports_held_weights() {
    with_engine(json!({}), |engine| async move {
        assert_eq!(engine.call(CHAT, PROMPT).await.unwrap().0, 503);
        let partial = stage(&engine, b"0123456789", b"01234567").await;
        assert_eq!(activate(&engine, &partial, 1).await, 409);
        let whole = stage(&engine, b"0123456789", b"0123456789").await;
        assert_eq!(activate(&engine, &whole, 1).await, 200);
        let (_, headers, body) = engine.call(CHAT, PROMPT).await.unwrap();
        assert_eq!(headers["engine-weights"], whole.as_str());
        assert_eq!(json(&body)["choices"][0]["message"]["content"], "hi hi hi ");
        let mixed = stage(&engine, b"abcdefghij", b"abcd4567ij").await;
        assert_eq!(activate(&engine, &mixed, 1).await, 200);
        let (_, headers, _) = engine.call(CHAT, PROMPT).await.unwrap();
        assert_ne!(headers["engine-weights"], mixed.as_str());
    });
}

// Guards against an engine that rejects old fencing numbers with `check_fencing` off, or accepts them with it on.
#[yare::parameterized(checks = { true, 409 }, ignores = { false, 200 })]
fn activate_old_number(check_fencing: bool, expected: u16) {
    with_engine(
        json!({"check_fencing": check_fencing}),
        |engine| async move {
            let digest = stage(&engine, b"0123", b"0123").await;
            assert_eq!(activate(&engine, &digest, 7).await, 200);
            assert_eq!(activate(&engine, &digest, 6).await, expected);
            assert_eq!(engine.count("old_orders").await, 1);
        },
    );
}

// Guards against faults that have no effect: cut responses, wrong weights, and a restart that keeps active weights or
// running requests.
#[test]
fn engine_faults() {
    let digest = "ab".repeat(32);
    with_engine(json!({"weights": digest}), |engine| async move {
        let (_, _, body) = engine.call(CHAT, STREAM).await.unwrap();
        let text = String::from_utf8_lossy(&body).into_owned();
        assert_eq!(text.matches("\"hi \"").count(), 3);
        assert!(text.ends_with("data: [DONE]\n\n"));
        engine
            .switch(json!({"cut_answers": 2, "wrong_weights": true}))
            .await;
        for prompt in [PROMPT, STREAM] {
            assert!(matches!(
                engine.call(CHAT, prompt).await,
                Err(Error::Unknown { .. })
            ));
        }
        let (_, headers, _) = engine.call(CHAT, PROMPT).await.unwrap();
        assert_ne!(headers["engine-weights"], digest.as_str());
        let (_, _, before) = engine.call("GET /status", "").await.unwrap();
        engine
            .switch(json!({"token_ms": 10_000, "wrong_weights": false}))
            .await;
        let (result, _) = futures::join!(engine.call(CHAT, PROMPT), async {
            compio::time::sleep(std::time::Duration::from_millis(100)).await;
            engine
                .call("POST /control/restart", r#"{"down_ms": 50}"#)
                .await
        });
        assert!(matches!(result, Err(Error::Unknown { .. })));
        assert!(matches!(
            engine.call(CHAT, PROMPT).await,
            Err(Error::NotWritten { .. })
        ));
        compio::time::sleep(std::time::Duration::from_millis(300)).await;
        let (_, _, after) = engine.call("GET /status", "").await.unwrap();
        let (before, after) = (json(&before), json(&after));
        assert!(after["incarnation"].as_u64() > before["incarnation"].as_u64());
        assert!(after["weights"].is_null() && after["running"] == 0);
    });
}

// Guards against an engine that runs more concurrent requests than it has slots, or that reports a wrong load.
#[test]
fn status_load() {
    let settings = json!({"weights": "ab".repeat(32), "slots": 2, "first_token_ms": 300});
    with_engine(settings, |engine| async move {
        let chat = || engine.call(CHAT, PROMPT);
        let (one, two, three, status) = futures::join!(chat(), chat(), chat(), async {
            compio::time::sleep(std::time::Duration::from_millis(100)).await;
            engine.call("GET /status", Body::empty()).await
        });
        assert!(one.is_ok() && two.is_ok() && three.is_ok());
        let status = json(&status.unwrap().2);
        assert_eq!(
            (&status["running"], &status["waiting"]),
            (&json!(2), &json!(1))
        );
    });
}
