//! Runs agents as processes, with stand-ins for the engine, the plain service, the platform and the store.

mod cuts;
mod faults;
mod support;

use std::time::Duration;

use gossip::{Phase, Value as Content};
use loopback::unused_address;
use serde_json::json;
use support::{Process, wait_until, with_env};
use uuid::Uuid;
use yare::parameterized;

/// Returns the result of a call that did not run for `reason`.
fn not_run(reason: &str) -> Result<bytes::Bytes, (String, String)> {
    Err(("not-run".into(), reason.into()))
}

/// Guards against a switch that aborts requests, still serves the old pin or never opens for the new one, and against a
/// refusal that doesn't name the pin in service.
#[test]
fn switch_version() {
    with_env("engine", json!({}), |env| async move {
        let (_agent, v1) = env.start_serving("v1").await;
        let v2 = env.pin("v2").await;
        assert_eq!(env.complete(Some(&v2)).await, not_run("version"));
        env.publish(2, true, Some(&v2));
        env.wait_open(&v2).await;
        assert_eq!(env.complete(Some(&v1)).await, not_run("version"));
        let refusal = env.call(Some(&v1), json!({"messages": []})).await;
        assert_eq!(
            refusal.unwrap().headers()[wire::header::PIN],
            v2.to_string()
        );
        assert_eq!(env.backend_count("activations").await, 2);
        assert_eq!(env.backend_count("activations_while_running").await, 0);
    });
}

/// Guards against a gate that stays open during a restart of the engine, or closed after the weights are active again.
#[test]
fn engine_restarts() {
    with_env("engine", json!({}), |env| async move {
        let (_agent, v1) = env.start_serving("v1").await;
        env.send_to_backend("POST /control/restart", None, json!({"down_ms": 300}))
            .await;
        wait_until("the closed gate", async || {
            env.complete(Some(&v1)).await == not_run("closed")
        })
        .await;
        assert!(env.reported(|report| report.gate == wire::Gate::Closed && report.sequence > 2));
        env.wait_open(&v1).await;
        assert_eq!(env.backend_count("activations").await, 2);
    });
}

/// Guards against a response from other weights that reaches the caller.
#[test]
fn engine_wrong_weights() {
    with_env("engine", json!({}), |env| async move {
        let (_agent, v1) = env.start_serving("v1").await;
        env.send_to_backend("PUT /control", None, json!({"wrong_weights": true}))
            .await;
        let mut dropped = 0;
        wait_until("the closed gate", async || {
            let failure = env.complete(Some(&v1)).await.unwrap_err();
            dropped += u32::from(failure == ("unknown".into(), "weights".into()));
            Err(failure) == not_run("closed")
        })
        .await;
        assert!(
            dropped <= 1,
            "the gate stayed open after a response from other weights"
        );
        env.send_to_backend("PUT /control", None, json!({"wrong_weights": false}))
            .await;
        env.wait_open(&v1).await;
    });
}

/// Guards against a complete response with tokens from two versions, after the engine changed its weights during it.
#[parameterized(streamed = { true }, in_one_piece = { false })]
fn engine_changes_weights_within_response(stream: bool) {
    with_env("engine", json!({"token_ms": 100}), |env| async move {
        let (_agent, v1) = env.start_serving("v1").await;
        let change = async {
            compio::time::sleep(Duration::from_millis(400)).await;
            env.send_to_backend("PUT /control", None, json!({"wrong_weights": true}))
                .await
        };
        let completion = json!({"messages": [], "max_tokens": 10, "stream": stream});
        let call = async {
            let response = env.call(Some(&v1), completion).await.unwrap();
            let outcome = response.headers()[wire::header::OUTCOME].clone();
            (outcome, response.into_body().collect(1 << 20).await)
        };
        let (changed, (outcome, body)) = futures::join!(change, call);
        changed.unwrap();
        assert!(env.backend_count("mixed_tokens").await > 0);
        // The head of a stream is sent before the change; the end of the response must not be sent.
        assert_eq!(outcome, if stream { "answered" } else { "unknown" });
        assert_eq!(body.is_err(), stream);
        wait_until("the closed gate", async || {
            env.complete(Some(&v1)).await == not_run("closed")
        })
        .await;
    });
}

/// Guards against a truncated response that looks complete to the caller.
#[test]
fn engine_truncates_response() {
    with_env("engine", json!({}), |env| async move {
        let (_agent, v1) = env.start_serving("v1").await;
        env.send_to_backend("PUT /control", None, json!({"cut_answers": 1}))
            .await;
        let stream = json!({"messages": [], "max_tokens": 4, "stream": true});
        let response = env.call(Some(&v1), stream).await.unwrap();
        assert!(response.into_body().collect(1 << 20).await.is_err());
        assert!(env.complete(Some(&v1)).await.is_ok());
    });
}

/// Guards against a planned stop that truncates a streamed response, admits new calls, reports late or exits with an
/// error.
#[test]
fn terminate_during_stream() {
    with_env("engine", json!({"token_ms": 100}), |env| async move {
        let (mut agent, v1) = env.start_serving("v1").await;
        let stream = json!({"messages": [], "max_tokens": 20, "stream": true});
        let response = env.call(Some(&v1), stream).await.unwrap();
        agent.terminate();
        wait_until("the refusal", async || {
            env.complete(Some(&v1)).await == not_run("leaving")
        })
        .await;
        let leaving = |report: &wire::Report| {
            let value = report.member.as_ref().map(|member| &member.value);
            matches!(value, Some(Content::Target(target)) if target.phase == Phase::Leaving)
        };
        wait_until("the report", async || env.reported(leaving)).await;
        let body = response.into_body().collect(1 << 20).await.unwrap();
        assert!(body.ends_with(b"data: [DONE]\n\n"));
        assert!(agent.wait_exit().await.success());
    });
}

/// Guards against an agent that doesn't stop when the VM list marks its VM as leaving, or doesn't log why it stops.
#[test]
fn stops_when_vm_is_leaving() {
    with_env("engine", json!({}), |env| async move {
        let (mut agent, _) = env.start_serving("v1").await;
        env.mark_vm_leaving();
        assert!(agent.wait_exit().await.success());
        let log = agent.remaining_log();
        assert!(log.contains(" 311 told-to-leave from="), "{log}");
    });
}

/// Guards against a restarted agent that uses its old fencing number, and against an engine that accepts that number.
#[test]
fn kill_takes_new_number() {
    with_env("engine", json!({"check_fencing": true}), |env| async move {
        let (agent, v1) = env.start_serving("v1").await;
        let old = env.status().await["fencing_number"].as_u64().unwrap();
        drop(agent);
        let _agent = Process::agent(&env.settings);
        env.wait_open(&v1).await;
        let v2 = env.pin("v2").await;
        env.publish(2, true, Some(&v2));
        env.wait_open(&v2).await;
        let new = env.status().await["fencing_number"].as_u64().unwrap();
        assert!(new > old, "{new} after {old}");
        let order = json!({"digest": v1.digest});
        let response = env
            .send_to_backend("POST /orders/activate", Some(old), order)
            .await;
        assert_eq!(response.unwrap().0, 409);
        assert!(env.complete(Some(&v2)).await.is_ok());
    });
}

/// Guards against an agent that still sends orders after the engine accepted one with a higher fencing number.
#[parameterized(at_once = { 0 }, slow_engine = { 300 })]
fn order_refused_as_stale(slow_ms: u64) {
    with_env("engine", json!({"check_fencing": true}), |env| async move {
        let (_agent, v1) = env.start_serving("v1").await;
        let order = json!({"digest": v1.digest});
        let response = env
            .send_to_backend("POST /orders/activate", Some(1 << 40), order)
            .await;
        assert_eq!(response.unwrap().0, 200);
        let v2 = env.pin("v2").await;
        env.send_to_backend("PUT /control", None, json!({"slow_ms": slow_ms}))
            .await
            .unwrap();
        env.publish(2, true, Some(&v2));
        wait_until("the refusal", async || {
            env.complete(Some(&v1)).await == not_run("closed")
        })
        .await;
        // The gate closes before the engine receives the order.
        wait_until("the order", async || {
            env.backend_count("old_orders").await > 0
        })
        .await;
        assert_eq!(env.backend_count("old_orders").await, 1);
        compio::time::sleep(std::time::Duration::from_secs(3)).await;
        assert_eq!(env.backend_count("old_orders").await, 1);
        assert_eq!(env.complete(Some(&v1)).await, not_run("closed"));
    });
}

/// Guards against two agents that send orders on one VM.
#[test]
fn second_agent_refused() {
    with_env("engine", json!({}), |env| async move {
        let (_agent, v1) = env.start_serving("v1").await;
        let mut settings = env.settings.clone();
        for port in ["call_listen", "chunk_listen", "operator_listen"] {
            settings[port] = unused_address().to_string().into();
        }
        let mut second = Process::agent_until(&settings, " 100 ");
        assert_eq!(second.wait_exit().await.code(), Some(1));
        assert!(env.complete(Some(&v1)).await.is_ok());
    });
}

/// Guards against an agent that can't serve while the platform is down, and against orders with a fencing number that
/// the engine refuses or that an earlier agent could also use.
#[test]
fn start_without_platform() {
    let checks = json!({"check_fencing": true});
    with_env("engine", checks, |env| async move {
        let (agent, v1) = env.start_serving("v1").await;
        let first = env.engine_fencing_number().await;
        drop(agent);
        let mut settings = env.settings.clone();
        settings["platform"] = unused_address().to_string().into();
        let agent = Process::agent(&settings);
        env.wait_open(&v1).await;
        let v2 = env.pin("v2").await;
        env.publish(2, true, Some(&v2));
        env.wait_open(&v2).await;
        assert!(env.status().await["fencing_number"].is_null());
        assert_eq!(env.backend_count("activations").await, 2);
        let provisional = env.engine_fencing_number().await;
        assert_eq!(provisional, first + 1);
        drop(agent);

        // The platform's next revision equals the provisional number, which the next agent must not use.
        let _agent = Process::agent(&env.settings);
        env.publish(3, true, Some(&v1));
        env.wait_open(&v1).await;
        assert!(env.engine_fencing_number().await > provisional);
    });
}

/// Guards against a live target that stays unknown to an entry that dropped its record, for example after a long pause.
#[test]
fn dropped_member_reported_again() {
    with_env("plain", json!({}), |env| async move {
        env.publish(1, true, None);
        let _agent = Process::agent(&env.settings);
        let without_member = |report: &wire::Report| report.member.is_none();
        wait_until("a report without the member", async || {
            env.reported(without_member)
        })
        .await;
        let before = env.last_sequence();
        env.drop_members();
        let with_member =
            |report: &wire::Report| report.sequence > before && report.member.is_some();
        wait_until("the member again", async || env.reported(with_member)).await;
    });
}

/// Guards against a gate in front of a plain service that waits for weights.
#[test]
fn plain_forwarded() {
    with_env("plain", json!({}), |env| async move {
        env.publish(1, true, None);
        let _agent = Process::agent(&env.settings);
        wait_until("a response", async || env.complete(None).await.is_ok()).await;
    });
}

/// Guards against a call with an idempotency key that runs twice, or whose second caller gets a different outcome.
#[test]
fn keyed_call_runs_once() {
    with_env("plain", json!({"service_ms": 300}), |env| async move {
        env.publish(1, false, None);
        let _agent = Process::agent(&env.settings);
        wait_until("a claim", async || {
            env.keyed_call(Uuid::now_v7()).await.0 == "answered"
        })
        .await;
        let runs = env.backend_count("runs").await;
        let key = Uuid::now_v7();
        let (first, second) = futures::join!(env.keyed_call(key), env.keyed_call(key));
        assert_eq!(first, second);
        assert_eq!(env.keyed_call(key).await, first);
        assert_eq!(first.0, "answered");
        assert_eq!(env.backend_count("runs").await, runs + 1);
        env.send_to_backend("PUT /control", None, json!({"cut_answers": 1}))
            .await;
        let key = Uuid::now_v7();
        assert_eq!(env.keyed_call(key).await.0, "unknown");
        assert_eq!(env.keyed_call(key).await.0, "unknown");
        assert_eq!(env.backend_count("runs").await, runs + 2);
    });
}

/// Guards against a planned stop that keeps its claims or aborts a call with an idempotency key.
#[test]
fn terminate_releases_claims() {
    with_env("plain", json!({"service_ms": 1_500}), |env| async move {
        env.publish(1, false, None);
        let mut agent = Process::agent(&env.settings);
        wait_until("a claim", async || env.status().await["slots"] == 0xffff).await;
        let call = env.keyed_call(Uuid::now_v7());
        let stop = async {
            compio::time::sleep(std::time::Duration::from_millis(300)).await;
            agent.terminate();
        };
        let (result, ()) = futures::join!(call, stop);
        assert_eq!(result.0, "answered");
        assert!(agent.wait_exit().await.success());
        let claims = env.claims().await;
        let slots = claims["slots"].as_array().unwrap();
        assert!(
            slots.iter().all(|slot| slot["holder"].is_null()),
            "{claims}"
        );
    });
}

/// Guards against a planned stop that truncates chunks being sent to other agents, or that waits without a limit.
#[test]
fn terminate_during_chunk() {
    with_env("engine", json!({}), |mut env| async move {
        // Each chunk of 64 KB takes a second.
        env.settings["uplink"] = 65_536.into();
        let (mut agent, v1) = env.start_serving("v1").await;
        let mut chunks = Vec::new();
        for index in 0..3 {
            chunks.push(env.chunk(&v1, index).await);
        }
        agent.terminate();
        let stopped = std::time::Instant::now();
        for chunk in chunks {
            assert_eq!(chunk.collect(1 << 20).await.unwrap().len(), 65_536);
        }
        assert!(agent.wait_exit().await.success());
        let time = stopped.elapsed();
        assert!(time < Duration::from_secs(12), "{time:?}");
    });
}

/// Guards against two targets of a small failure domain that drain at once and leave it without an open gate.
#[test]
fn switch_takes_turns() {
    with_env("engine", json!({"token_ms": 100}), |env| async move {
        let (first, v1) = env.start_serving("v1").await;
        let engine = Process::standin("engine", json!({"token_ms": 100}));
        let mut settings = env.settings.clone();
        settings["name"] = "vm-2".into();
        settings["backend_address"] = engine.address.to_string().into();
        for port in [
            "call_listen",
            "chunk_listen",
            "operator_listen",
            "order_listen",
        ] {
            settings[port] = unused_address().to_string().into();
        }
        let second = Process::agent(&settings);
        let agents = [first.address, second.address];
        let v2 = env.pin("v2").await;
        let mut streams = Vec::new();
        for address in agents {
            let serves = Some(v1.digest.to_string());
            wait_until("both agents", async || {
                env.open_weights_at(address).await == serves
            })
            .await;
            let stream = json!({"messages": [], "max_tokens": 25, "stream": true});
            streams.push(env.call_at(address, Some(&v1), stream).await.unwrap());
        }
        env.publish(2, true, Some(&v2));
        let finish = async {
            for stream in streams {
                assert!(stream.into_body().collect(1 << 20).await.is_ok());
            }
        };
        let switch = wait_until("both switches", async || {
            let open = [
                env.open_weights_at(agents[0]).await,
                env.open_weights_at(agents[1]).await,
            ];
            assert!(open.iter().any(Option::is_some), "no gate is open");
            open.iter().all(|open| *open == Some(v2.digest.to_string()))
        });
        futures::join!(finish, switch);
    });
}
