//! Agents as processes, with stand-ins of the engine, the plain service, the platform and the store.

mod faults;
mod support;

use std::time::Duration;

use gossip::{Phase, Value as Content};
use loopback::unused_address;
use serde_json::json;
use support::{Process, until, with_world};
use uuid::Uuid;
use yare::parameterized;

fn refused(reason: &str) -> Result<bytes::Bytes, (String, String)> {
    Err(("not-run".into(), reason.into()))
}

/// Guards against a switch that cuts requests, goes on serving the old pin or never opens for the new one, and against a
/// refusal that doesn't name the pin served.
#[test]
fn switch_version() {
    with_world("engine", json!({}), |world| async move {
        let (_agent, v1) = world.serving("v1").await;
        let v2 = world.pin("v2").await;
        assert_eq!(world.ask(Some(&v2)).await, refused("version"));
        world.publish(2, true, Some(&v2));
        world.wait_open(&v2).await;
        assert_eq!(world.ask(Some(&v1)).await, refused("version"));
        let refusal = world.call(Some(&v1), json!({"messages": []})).await;
        assert_eq!(
            refusal.unwrap().headers()[wire::header::PIN],
            v2.to_string()
        );
        assert_eq!(world.count("activations").await, 2);
        assert_eq!(world.count("activations_while_running").await, 0);
    });
}

/// Guards against a gate that stays open over a restart of the engine, or closed after the weights are back.
#[test]
fn engine_restarts() {
    with_world("engine", json!({}), |world| async move {
        let (_agent, v1) = world.serving("v1").await;
        world
            .backend("POST /control/restart", None, json!({"down_ms": 300}))
            .await;
        until("the closed gate", async || {
            world.ask(Some(&v1)).await == refused("closed")
        })
        .await;
        assert!(world.reported(|report| report.gate == wire::Gate::Closed && report.sequence > 2));
        world.wait_open(&v1).await;
        assert_eq!(world.count("activations").await, 2);
    });
}

/// Guards against an answer from other weights that reaches the caller.
#[test]
fn engine_wrong_weights() {
    with_world("engine", json!({}), |world| async move {
        let (_agent, v1) = world.serving("v1").await;
        world
            .backend("PUT /control", None, json!({"wrong_weights": true}))
            .await;
        let mut dropped = 0;
        until("the closed gate", async || {
            let refusal = world.ask(Some(&v1)).await.unwrap_err();
            dropped += u32::from(refusal == ("unknown".into(), "weights".into()));
            Err(refusal) == refused("closed")
        })
        .await;
        assert!(dropped <= 1, "the gate stayed open after a wrong answer");
        world
            .backend("PUT /control", None, json!({"wrong_weights": false}))
            .await;
        world.wait_open(&v1).await;
    });
}

/// Guards against a whole answer of tokens from two versions when the engine changes its weights within it.
#[parameterized(streamed = { true }, in_one_piece = { false })]
fn engine_changes_weights_within_answer(stream: bool) {
    with_world("engine", json!({"token_ms": 100}), |world| async move {
        let (_agent, v1) = world.serving("v1").await;
        let change = async {
            compio::time::sleep(Duration::from_millis(400)).await;
            world
                .backend("PUT /control", None, json!({"wrong_weights": true}))
                .await
        };
        let completion = json!({"messages": [], "max_tokens": 10, "stream": stream});
        let call = async {
            let answer = world.call(Some(&v1), completion).await.unwrap();
            let outcome = answer.headers()[wire::header::OUTCOME].clone();
            (outcome, answer.into_body().collect(1 << 20).await)
        };
        let (changed, (outcome, body)) = futures::join!(change, call);
        changed.unwrap();
        assert!(world.count("mixed_tokens").await > 0);
        // The head of a stream is on its way before the change; the answer's end must not follow.
        assert_eq!(outcome, if stream { "answered" } else { "unknown" });
        assert_eq!(body.is_err(), stream);
        until("the closed gate", async || {
            world.ask(Some(&v1)).await == refused("closed")
        })
        .await;
    });
}

/// Guards against a cut answer that looks complete to the caller.
#[test]
fn engine_cuts_answer() {
    with_world("engine", json!({}), |world| async move {
        let (_agent, v1) = world.serving("v1").await;
        world
            .backend("PUT /control", None, json!({"cut_answers": 1}))
            .await;
        let stream = json!({"messages": [], "max_tokens": 4, "stream": true});
        let answer = world.call(Some(&v1), stream).await.unwrap();
        assert!(answer.into_body().collect(1 << 20).await.is_err());
        assert!(world.ask(Some(&v1)).await.is_ok());
    });
}

/// Guards against a planned stop that cuts a streamed answer, takes new work, reports late or ends with an error.
#[test]
fn terminate_during_stream() {
    with_world("engine", json!({"token_ms": 100}), |world| async move {
        let (mut agent, v1) = world.serving("v1").await;
        let stream = json!({"messages": [], "max_tokens": 20, "stream": true});
        let answer = world.call(Some(&v1), stream).await.unwrap();
        agent.terminate();
        until("the refusal", async || {
            world.ask(Some(&v1)).await == refused("leaving")
        })
        .await;
        let leaving = |report: &wire::Report| {
            let value = report.member.as_ref().map(|member| &member.value);
            matches!(value, Some(Content::Target(target)) if target.phase == Phase::Leaving)
        };
        until("the report", async || world.reported(leaving)).await;
        let body = answer.into_body().collect(1 << 20).await.unwrap();
        assert!(body.ends_with(b"data: [DONE]\n\n"));
        assert!(agent.exit().await.success());
    });
}

/// Guards against an agent that goes on when the VM list says that its VM leaves, or ends without saying why.
#[test]
fn told_to_leave() {
    with_world("engine", json!({}), |world| async move {
        let (mut agent, _) = world.serving("v1").await;
        world.tell_to_leave();
        assert!(agent.exit().await.success());
        let log = agent.rest_of_log();
        assert!(log.contains(" 311 told-to-leave from="), "{log}");
    });
}

/// Guards against a restarted agent with its old number, and against an engine that obeys the old number.
#[test]
fn kill_takes_new_number() {
    with_world(
        "engine",
        json!({"check_fencing": true}),
        |world| async move {
            let (agent, v1) = world.serving("v1").await;
            let old = world.status().await["fencing_number"].as_u64().unwrap();
            drop(agent);
            let _agent = Process::agent(&world.settings);
            world.wait_open(&v1).await;
            let v2 = world.pin("v2").await;
            world.publish(2, true, Some(&v2));
            world.wait_open(&v2).await;
            let new = world.status().await["fencing_number"].as_u64().unwrap();
            assert!(new > old, "{new} after {old}");
            let order = json!({"digest": v1.digest});
            let answer = world
                .backend("POST /orders/activate", Some(old), order)
                .await;
            assert_eq!(answer.unwrap().0, 409);
            assert!(world.ask(Some(&v2)).await.is_ok());
        },
    );
}

/// Guards against an agent that goes on giving orders after the engine took one with a higher number.
#[parameterized(at_once = { 0 }, slow_engine = { 300 })]
fn order_refused_as_stale(slow_ms: u64) {
    with_world(
        "engine",
        json!({"check_fencing": true}),
        |world| async move {
            let (_agent, v1) = world.serving("v1").await;
            let order = json!({"digest": v1.digest});
            let answer = world
                .backend("POST /orders/activate", Some(1 << 40), order)
                .await;
            assert_eq!(answer.unwrap().0, 200);
            let v2 = world.pin("v2").await;
            world
                .backend("PUT /control", None, json!({"slow_ms": slow_ms}))
                .await
                .unwrap();
            world.publish(2, true, Some(&v2));
            until("the refusal", async || {
                world.ask(Some(&v1)).await == refused("closed")
            })
            .await;
            // The gate closes before the engine has the order.
            until("the order", async || world.count("old_orders").await > 0).await;
            assert_eq!(world.count("old_orders").await, 1);
            compio::time::sleep(std::time::Duration::from_secs(3)).await;
            assert_eq!(world.count("old_orders").await, 1);
            assert_eq!(world.ask(Some(&v1)).await, refused("closed"));
        },
    );
}

/// Guards against two agents that give orders on one VM.
#[test]
fn second_agent_refused() {
    with_world("engine", json!({}), |world| async move {
        let (_agent, v1) = world.serving("v1").await;
        let mut settings = world.settings.clone();
        for port in ["call_listen", "chunk_listen", "operator_listen"] {
            settings[port] = unused_address().to_string().into();
        }
        let mut second = Process::agent_until(&settings, " 100 ");
        assert_eq!(second.exit().await.code(), Some(1));
        assert!(world.ask(Some(&v1)).await.is_ok());
    });
}

/// Guards against a target that is lost to its domain while the platform is down, and against orders that an engine
/// refuses or that an earlier agent could repeat.
#[test]
fn start_without_platform() {
    let checks = json!({"check_fencing": true});
    with_world("engine", checks, |world| async move {
        let (agent, v1) = world.serving("v1").await;
        let first = world.engine_number().await;
        drop(agent);
        let mut settings = world.settings.clone();
        settings["platform"] = unused_address().to_string().into();
        let agent = Process::agent(&settings);
        world.wait_open(&v1).await;
        let v2 = world.pin("v2").await;
        world.publish(2, true, Some(&v2));
        world.wait_open(&v2).await;
        assert!(world.status().await["fencing_number"].is_null());
        assert_eq!(world.count("activations").await, 2);
        let provisional = world.engine_number().await;
        assert_eq!(provisional, first + 1);
        drop(agent);

        // The platform's next revision is the provisional number itself, which the next agent must not take.
        let _agent = Process::agent(&world.settings);
        world.publish(3, true, Some(&v1));
        world.wait_open(&v1).await;
        assert!(world.engine_number().await > provisional);
    });
}

/// Guards against a live target that stays unknown to an entry which dropped its record, as after a long pause.
#[test]
fn dropped_member_reported_again() {
    with_world("plain", json!({}), |world| async move {
        world.publish(1, true, None);
        let _agent = Process::agent(&world.settings);
        let without = |report: &wire::Report| report.member.is_none();
        until("a report without the member", async || {
            world.reported(without)
        })
        .await;
        let before = world.last_sequence();
        world.drop_members();
        let again = |report: &wire::Report| report.sequence > before && report.member.is_some();
        until("the member again", async || world.reported(again)).await;
    });
}

/// Guards against a plain service that waits for weights.
#[test]
fn plain_forwarded() {
    with_world("plain", json!({}), |world| async move {
        world.publish(1, true, None);
        let _agent = Process::agent(&world.settings);
        until("an answer", async || world.ask(None).await.is_ok()).await;
    });
}

/// Guards against a keyed call that runs twice, or whose second caller gets another outcome.
#[test]
fn keyed_call_runs_once() {
    with_world("plain", json!({"service_ms": 300}), |world| async move {
        world.publish(1, false, None);
        let _agent = Process::agent(&world.settings);
        until("a claim", async || {
            world.book(Uuid::now_v7()).await.0 == "answered"
        })
        .await;
        let runs = world.count("runs").await;
        let key = Uuid::now_v7();
        let (first, second) = futures::join!(world.book(key), world.book(key));
        assert_eq!(first, second);
        assert_eq!(world.book(key).await, first);
        assert_eq!(first.0, "answered");
        assert_eq!(world.count("runs").await, runs + 1);
        world
            .backend("PUT /control", None, json!({"cut_answers": 1}))
            .await;
        let key = Uuid::now_v7();
        assert_eq!(world.book(key).await.0, "unknown");
        assert_eq!(world.book(key).await.0, "unknown");
        assert_eq!(world.count("runs").await, runs + 2);
    });
}

/// Guards against a planned stop that keeps its claims or cuts a keyed call.
#[test]
fn terminate_releases_claims() {
    with_world("plain", json!({"service_ms": 1_500}), |world| async move {
        world.publish(1, false, None);
        let mut agent = Process::agent(&world.settings);
        until("a claim", async || world.status().await["slots"] == 0xffff).await;
        let book = world.book(Uuid::now_v7());
        let stop = async {
            compio::time::sleep(std::time::Duration::from_millis(300)).await;
            agent.terminate();
        };
        let (booked, ()) = futures::join!(book, stop);
        assert_eq!(booked.0, "answered");
        assert!(agent.exit().await.success());
        let claims = world.claims().await;
        let slots = claims["slots"].as_array().unwrap();
        assert!(
            slots.iter().all(|slot| slot["holder"].is_null()),
            "{claims}"
        );
    });
}

/// Guards against a planned stop that cuts the chunks on their way to other agents, or that waits without a bound.
#[test]
fn terminate_during_chunk() {
    with_world("engine", json!({}), |mut world| async move {
        // Each chunk of 64 KB takes a second.
        world.settings["uplink"] = 65_536.into();
        let (mut agent, v1) = world.serving("v1").await;
        let mut chunks = Vec::new();
        for index in 0..3 {
            chunks.push(world.chunk(&v1, index).await);
        }
        agent.terminate();
        let stopped = std::time::Instant::now();
        for chunk in chunks {
            assert_eq!(chunk.collect(1 << 20).await.unwrap().len(), 65_536);
        }
        assert!(agent.exit().await.success());
        let time = stopped.elapsed();
        assert!(time < Duration::from_secs(12), "{time:?}");
    });
}

/// Guards against two targets of a small domain that drain at once and leave it without an open gate.
#[test]
fn switch_takes_turns() {
    with_world("engine", json!({"token_ms": 100}), |world| async move {
        let (first, v1) = world.serving("v1").await;
        let engine = Process::standin("engine", json!({"token_ms": 100}));
        let mut settings = world.settings.clone();
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
        let v2 = world.pin("v2").await;
        let mut streams = Vec::new();
        for address in agents {
            let serves = Some(v1.digest.to_string());
            until("both agents", async || {
                world.open_at(address).await == serves
            })
            .await;
            let stream = json!({"messages": [], "max_tokens": 25, "stream": true});
            streams.push(world.call_at(address, Some(&v1), stream).await.unwrap());
        }
        world.publish(2, true, Some(&v2));
        let finish = async {
            for stream in streams {
                assert!(stream.into_body().collect(1 << 20).await.is_ok());
            }
        };
        let switch = until("both switches", async || {
            let open = [
                world.open_at(agents[0]).await,
                world.open_at(agents[1]).await,
            ];
            assert!(open.iter().any(Option::is_some), "no gate is open");
            open.iter().all(|open| *open == Some(v2.digest.to_string()))
        });
        futures::join!(finish, switch);
    });
}
