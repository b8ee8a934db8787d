//! Faults that occur while an agent starts, stops or switches versions.

use std::net::TcpListener;
use std::time::Duration;

use serde_json::json;
use uuid::Uuid;
use yare::parameterized;

use super::not_run;
use super::support::{Process, TestEnv, wait_until, with_env};

async fn sleep_ms(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}

/// Returns a streaming completion request for `tokens` tokens.
fn stream_request(tokens: u32) -> serde_json::Value {
    json!({"messages": [], "max_tokens": tokens, "stream": true})
}

/// Waits until the agent refuses calls for `pin` with `reason`.
async fn wait_refused(env: &TestEnv, pin: &weights::Pin, reason: &str) {
    wait_until(reason, async || {
        env.complete(Some(pin)).await == not_run(reason)
    })
    .await;
}

/// Waits until the agent wants `pin`.
async fn wait_wanted(env: &TestEnv, pin: &weights::Pin) {
    wait_until("the new version", async || {
        env.status().await["wanted"] == pin.to_string()
    })
    .await;
}

/// Waits until the agent owns all claim slots.
async fn wait_all_slots(env: &TestEnv) {
    wait_until("all slots", async || env.status().await["slots"] == 0xffff).await;
}

/// Guards against a start that fails because of a killed predecessor: its fencing number, its ports or its partly
/// staged weights.
#[test]
fn kill_while_starting() {
    with_env("engine", json!({"check_fencing": true}), |env| async move {
        let v1 = env.pin("v1").await;
        env.publish(1, true, Some(&v1));
        // With a slow store the second transfer is still in progress when its agent is killed: the last chunk ends
        // at least 270 ms after the first.
        env.set_switches(&env.store, json!({"bytes_per_s": 60_000}))
            .await;
        drop(Process::agent(&env.settings));
        let second = Process::agent(&env.settings);
        wait_until("part of the chunks", async || {
            env.status().await["chunks"] != 0
        })
        .await;
        let old = env.status().await["fencing_number"].as_u64().unwrap();
        drop(second);
        assert_eq!(env.backend_count("activations").await, 0);
        env.set_switches(&env.store, json!({"bytes_per_s": 0}))
            .await;
        let _third = Process::agent(&env.settings);
        env.wait_open(&v1).await;
        let new = env.status().await["fencing_number"].as_u64().unwrap();
        assert!(new > old, "{new} after {old}");
        assert_eq!(env.backend_count("activations").await, 1);
    });
}

/// Guards against a response that looks complete although the agent was killed while it was stopping.
#[test]
fn kill_while_stopping() {
    with_env("engine", json!({"token_ms": 100}), |env| async move {
        let (agent, v1) = env.start_serving("v1").await;
        let response = env.call(Some(&v1), stream_request(40)).await.unwrap();
        agent.terminate();
        wait_refused(&env, &v1, "leaving").await;
        drop(agent);
        assert!(response.into_body().collect(1 << 20).await.is_err());
        let _agent = Process::agent(&env.settings);
        env.wait_open(&v1).await;
    });
}

/// Guards against a second run of a call whose claim owner was killed while it was stopping.
#[test]
fn kill_owner_while_stopping() {
    with_env("plain", json!({"service_ms": 2_000}), |env| async move {
        env.publish(1, false, None);
        let agent = Process::agent(&env.settings);
        wait_all_slots(&env).await;
        let key = Uuid::now_v7();
        let stop = async {
            wait_until("the run", async || env.backend_count("runs").await == 1).await;
            agent.terminate();
            wait_until("the release", async || env.status().await["slots"] == 0).await;
            drop(agent);
        };
        let (lost, ()) = futures::join!(env.try_keyed_call(key), stop);
        assert_eq!(lost, None);
        let _agent = Process::agent(&env.settings);
        wait_all_slots(&env).await;
        assert_eq!(env.keyed_call(key).await.0, "unknown");
        assert_eq!(env.backend_count("runs").await, 1);
    });
}

/// Guards against a start that hangs forever because connections stall, and against calls that wait for the stall to
/// end.
#[test]
fn start_while_links_stall() {
    with_env("engine", json!({}), |mut env| async move {
        let v1 = env.pin("v1").await;
        env.publish(1, true, Some(&v1));
        // The kernel accepts connections to this port, and no process ever reads from them.
        let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
        let seeds = env.settings["seeds"].as_array_mut().unwrap();
        seeds.insert(0, unresponsive.local_addr().unwrap().to_string().into());
        env.set_switches(&env.platform, json!({"outage": "hang"}))
            .await;
        env.set_switches(&env.store, json!({"slow_ms": 600_000}))
            .await;
        let _agent = Process::agent(&env.settings);
        wait_refused(&env, &v1, "closed").await;
        sleep_ms(3_000).await;
        assert_eq!(env.complete(Some(&v1)).await, not_run("closed"));
        env.set_switches(&env.platform, json!({"outage": "none"}))
            .await;
        env.set_switches(&env.store, json!({"slow_ms": 0})).await;
        env.wait_open(&v1).await;
    });
}

/// Guards against a stop that aborts a call with an idempotency key or never ends while the platform is down or its
/// connections stall, and against a second run of that call afterwards.
#[parameterized(down = { "refuse" }, stalled = { "hang" })]
fn stop_owner_without_platform(outage: &str) {
    with_env("plain", json!({"service_ms": 1_500}), |env| async move {
        env.publish(1, false, None);
        let mut agent = Process::agent(&env.settings);
        wait_all_slots(&env).await;
        let key = Uuid::now_v7();
        let stop = async {
            wait_until("the run", async || env.backend_count("runs").await == 1).await;
            env.set_switches(&env.platform, json!({"outage": outage}))
                .await;
            agent.terminate();
        };
        let (result, ()) = futures::join!(env.keyed_call(key), stop);
        assert_eq!(result.0, "answered");
        assert!(agent.wait_exit().await.success());
        env.set_switches(&env.platform, json!({"outage": "none"}))
            .await;
        let _agent = Process::agent(&env.settings);
        wait_all_slots(&env).await;
        wait_until("a response to a new key", async || {
            env.keyed_call(Uuid::now_v7()).await.0 == "answered"
        })
        .await;
        assert_eq!(env.keyed_call(key).await.0, "unknown");
        assert_eq!(env.backend_count("runs").await, 2);
    });
}

/// Guards against a replacement VM that serves or keeps corrupted chunks, or that never serves after receiving some.
#[test]
fn start_with_corrupted_chunks() {
    with_env("engine", json!({}), |env| async move {
        let (agent, v1) = env.start_serving("v1").await;
        drop(agent);
        env.send_to_backend("POST /control/restart", None, json!({"down_ms": 100}))
            .await;
        env.set_switches(&env.store, json!({"corrupt": true})).await;
        let ranges = env.standin_count(&env.store, "ranges").await;
        let _agent = Process::agent(&env.settings);
        wait_until("a corrupted chunk", async || {
            env.standin_count(&env.store, "ranges").await > ranges + 1
        })
        .await;
        sleep_ms(1_000).await;
        assert_eq!(env.complete(Some(&v1)).await, not_run("closed"));
        assert_eq!(env.status().await["chunks"], 0);
        env.set_switches(&env.store, json!({"corrupt": false}))
            .await;
        env.wait_open(&v1).await;
    });
}

/// Guards against an agent that activates the version that was replaced during its start.
#[test]
fn version_changes_while_starting() {
    with_env("engine", json!({}), |env| async move {
        let (v1, v2) = (env.pin("v1").await, env.pin("v2").await);
        env.publish(1, true, Some(&v1));
        env.set_switches(&env.store, json!({"bytes_per_s": 60_000}))
            .await;
        let _agent = Process::agent(&env.settings);
        // The chunks share the link and end at about the same time, seconds after the first draw began.
        wait_until("a draw", async || {
            env.standin_count(&env.store, "ranges").await > 0
        })
        .await;
        env.publish(2, true, Some(&v2));
        wait_wanted(&env, &v2).await;
        env.set_switches(&env.store, json!({"bytes_per_s": 0}))
            .await;
        env.wait_open(&v2).await;
        assert_eq!(env.complete(Some(&v1)).await, not_run("version"));
        assert_eq!(env.backend_count("activations").await, 1);
    });
}

/// Guards against activating a version while a leaving agent still streams a response from the old one.
#[test]
fn version_changes_while_stopping() {
    with_env("engine", json!({"token_ms": 100}), |env| async move {
        let (mut agent, v1) = env.start_serving("v1").await;
        let v2 = env.pin("v2").await;
        let response = env.call(Some(&v1), stream_request(40)).await.unwrap();
        agent.terminate();
        wait_refused(&env, &v1, "leaving").await;
        env.publish(2, true, Some(&v2));
        wait_wanted(&env, &v2).await;
        let body = response.into_body().collect(1 << 20).await.unwrap();
        assert!(body.ends_with(b"data: [DONE]\n\n"));
        assert!(agent.wait_exit().await.success());
        assert_eq!(env.backend_count("activations").await, 1);
        assert_eq!(env.backend_count("mixed_tokens").await, 0);
    });
}

/// Guards against a complete version that stays inactive because the platform went down.
#[test]
fn activate_during_outage() {
    with_env(
        "engine",
        json!({"token_ms": 100, "check_fencing": true}),
        |env| async move {
            let (_agent, v1) = env.start_serving("v1").await;
            let v2 = env.pin("v2").await;
            // The call keeps the gate draining until the platform is down.
            let response = env.call(Some(&v1), stream_request(40)).await.unwrap();
            env.publish(2, true, Some(&v2));
            wait_refused(&env, &v1, "draining").await;
            env.set_switches(&env.platform, json!({"outage": "cut"}))
                .await;
            assert_eq!(env.backend_count("activations").await, 1);
            assert!(response.into_body().collect(1 << 20).await.is_ok());
            env.wait_open(&v2).await;
            assert_eq!(env.backend_count("activations").await, 2);
        },
    );
}

/// Guards against an agent that never serves because it started while the store was down.
#[test]
fn start_without_store() {
    with_env("engine", json!({}), |env| async move {
        let v1 = env.pin("v1").await;
        env.publish(1, true, Some(&v1));
        env.set_switches(&env.store, json!({"down": true})).await;
        let _agent = Process::agent(&env.settings);
        wait_refused(&env, &v1, "closed").await;
        sleep_ms(3_000).await;
        assert_eq!(env.complete(Some(&v1)).await, not_run("closed"));
        env.set_switches(&env.store, json!({"down": false})).await;
        env.wait_open(&v1).await;
    });
}

/// Guards against a second write of the fencing number, or a wrong number, after the response to the first was lost.
#[test]
fn fencing_number_response_lost() {
    with_env("engine", json!({"check_fencing": true}), |env| async move {
        env.set_switches(&env.platform, json!({"lose_answers": 1}))
            .await;
        let (_agent, _) = env.start_serving("v1").await;
        wait_until("the number", async || {
            !env.status().await["fencing_number"].is_null()
        })
        .await;
        let lost = env.standin_count(&env.platform, "lost_answers").await;
        let puts = env.standin_count(&env.platform, "put").await;
        assert_eq!((lost, puts), (1, 1));
        // The first write on the platform gets revision 1.
        assert_eq!(env.status().await["fencing_number"], 1);
    });
}

/// Guards against a fencing number that is given out twice because the platform came back from a copy that lacks the
/// write of the first one.
#[test]
fn number_after_restore() {
    with_env("plain", json!({}), |env| async move {
        let number = async || {
            wait_until("the number", async || {
                !env.status().await["fencing_number"].is_null()
            })
            .await;
            env.status().await["fencing_number"].as_u64().unwrap()
        };
        // The agent of a repeatable service writes nothing else to the platform.
        env.publish(1, true, None);
        let agent = Process::agent(&env.settings);
        let first = number().await;
        drop(agent);
        env.set_switches(&env.platform, json!({"copy_age_ms": 60_000}))
            .await;
        let restart = json!({"down_ms": 0});
        env.send_to_standin(&env.platform, "POST /control/restart", None, restart)
            .await;
        let _agent = Process::agent(&env.settings);
        let second = number().await;
        assert!(second > first, "{second} after {first}");
    });
}
