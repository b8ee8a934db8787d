//! Faults that hit an agent while it starts, stops or switches versions.

use std::net::TcpListener;
use std::time::Duration;

use serde_json::json;
use uuid::Uuid;
use yare::parameterized;

use super::refused;
use super::support::{Process, World, until, with_world};

async fn sleep_ms(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}

fn stream(tokens: u32) -> serde_json::Value {
    json!({"messages": [], "max_tokens": tokens, "stream": true})
}

async fn wait_refused(world: &World, pin: &weights::Pin, reason: &str) {
    until(reason, async || {
        world.ask(Some(pin)).await == refused(reason)
    })
    .await;
}

async fn wait_wanted(world: &World, pin: &weights::Pin) {
    until("the new version", async || {
        world.status().await["wanted"] == pin.to_string()
    })
    .await;
}

async fn wait_all_slots(world: &World) {
    until("all slots", async || {
        world.status().await["slots"] == 0xffff
    })
    .await;
}

/// Guards against a start that a killed predecessor blocks, by its number, its ports or weights staged in part.
#[test]
fn kill_while_starting() {
    with_world(
        "engine",
        json!({"check_fencing": true}),
        |world| async move {
            let v1 = world.pin("v1").await;
            world.publish(1, true, Some(&v1));
            // A slow store keeps the second transfer in progress at its kill: the last chunk ends 270 ms after the
            // first, at least.
            world
                .switch(&world.store, json!({"bytes_per_s": 60_000}))
                .await;
            drop(Process::agent(&world.settings));
            let second = Process::agent(&world.settings);
            until("part of the chunks", async || {
                world.status().await["chunks"] != 0
            })
            .await;
            let old = world.status().await["fencing_number"].as_u64().unwrap();
            drop(second);
            assert_eq!(world.count("activations").await, 0);
            world.switch(&world.store, json!({"bytes_per_s": 0})).await;
            let _third = Process::agent(&world.settings);
            world.wait_open(&v1).await;
            let new = world.status().await["fencing_number"].as_u64().unwrap();
            assert!(new > old, "{new} after {old}");
            assert_eq!(world.count("activations").await, 1);
        },
    );
}

/// Guards against an answer that looks whole although the agent was killed while it stopped.
#[test]
fn kill_while_stopping() {
    with_world("engine", json!({"token_ms": 100}), |world| async move {
        let (agent, v1) = world.serving("v1").await;
        let answer = world.call(Some(&v1), stream(40)).await.unwrap();
        agent.terminate();
        wait_refused(&world, &v1, "leaving").await;
        drop(agent);
        assert!(answer.into_body().collect(1 << 20).await.is_err());
        let _agent = Process::agent(&world.settings);
        world.wait_open(&v1).await;
    });
}

/// Guards against a second run of a key whose owner was killed while it stopped.
#[test]
fn kill_owner_while_stopping() {
    with_world("plain", json!({"service_ms": 2_000}), |world| async move {
        world.publish(1, false, None);
        let agent = Process::agent(&world.settings);
        wait_all_slots(&world).await;
        let key = Uuid::now_v7();
        let stop = async {
            until("the run", async || world.count("runs").await == 1).await;
            agent.terminate();
            until("the release", async || world.status().await["slots"] == 0).await;
            drop(agent);
        };
        let (lost, ()) = futures::join!(world.try_book(key), stop);
        assert_eq!(lost, None);
        let _agent = Process::agent(&world.settings);
        wait_all_slots(&world).await;
        assert_eq!(world.book(key).await.0, "unknown");
        assert_eq!(world.count("runs").await, 1);
    });
}

/// Guards against a start that hangs for good on links that stall, and against a call that waits for their end.
#[test]
fn start_while_links_stall() {
    with_world("engine", json!({}), |mut world| async move {
        let v1 = world.pin("v1").await;
        world.publish(1, true, Some(&v1));
        // The system takes connections to this port, and no process ever reads from them.
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let seeds = world.settings["seeds"].as_array_mut().unwrap();
        seeds.insert(0, silent.local_addr().unwrap().to_string().into());
        world
            .switch(&world.platform, json!({"outage": "hang"}))
            .await;
        world
            .switch(&world.store, json!({"slow_ms": 600_000}))
            .await;
        let _agent = Process::agent(&world.settings);
        wait_refused(&world, &v1, "closed").await;
        sleep_ms(3_000).await;
        assert_eq!(world.ask(Some(&v1)).await, refused("closed"));
        world
            .switch(&world.platform, json!({"outage": "none"}))
            .await;
        world.switch(&world.store, json!({"slow_ms": 0})).await;
        world.wait_open(&v1).await;
    });
}

/// Guards against a stop that cuts a keyed call or never ends while the platform is down or its link stalls, and
/// against a second run of the key afterwards.
#[parameterized(down = { "refuse" }, stalled = { "hang" })]
fn stop_owner_without_platform(outage: &str) {
    with_world("plain", json!({"service_ms": 1_500}), |world| async move {
        world.publish(1, false, None);
        let mut agent = Process::agent(&world.settings);
        wait_all_slots(&world).await;
        let key = Uuid::now_v7();
        let stop = async {
            until("the run", async || world.count("runs").await == 1).await;
            world
                .switch(&world.platform, json!({"outage": outage}))
                .await;
            agent.terminate();
        };
        let (booked, ()) = futures::join!(world.book(key), stop);
        assert_eq!(booked.0, "answered");
        assert!(agent.exit().await.success());
        world
            .switch(&world.platform, json!({"outage": "none"}))
            .await;
        let _agent = Process::agent(&world.settings);
        wait_all_slots(&world).await;
        until("an answer to a new key", async || {
            world.book(Uuid::now_v7()).await.0 == "answered"
        })
        .await;
        assert_eq!(world.book(key).await.0, "unknown");
        assert_eq!(world.count("runs").await, 2);
    });
}

/// Guards against a replacement VM that serves or keeps corrupted chunks, or never serves after them.
#[test]
fn start_with_corrupted_chunks() {
    with_world("engine", json!({}), |world| async move {
        let (agent, v1) = world.serving("v1").await;
        drop(agent);
        world
            .backend("POST /control/restart", None, json!({"down_ms": 100}))
            .await;
        world.switch(&world.store, json!({"corrupt": true})).await;
        let ranges = world.standin_count(&world.store, "ranges").await;
        let _agent = Process::agent(&world.settings);
        until("a corrupted chunk", async || {
            world.standin_count(&world.store, "ranges").await > ranges + 1
        })
        .await;
        sleep_ms(1_000).await;
        assert_eq!(world.ask(Some(&v1)).await, refused("closed"));
        assert_eq!(world.status().await["chunks"], 0);
        world.switch(&world.store, json!({"corrupt": false})).await;
        world.wait_open(&v1).await;
    });
}

/// Guards against an agent that starts with the version that was replaced during its start.
#[test]
fn version_changes_while_starting() {
    with_world("engine", json!({}), |world| async move {
        let (v1, v2) = (world.pin("v1").await, world.pin("v2").await);
        world.publish(1, true, Some(&v1));
        world
            .switch(&world.store, json!({"bytes_per_s": 60_000}))
            .await;
        let _agent = Process::agent(&world.settings);
        // The chunks share the link and end at about the same time, seconds after the first draw.
        until("a draw", async || {
            world.standin_count(&world.store, "ranges").await > 0
        })
        .await;
        world.publish(2, true, Some(&v2));
        wait_wanted(&world, &v2).await;
        world.switch(&world.store, json!({"bytes_per_s": 0})).await;
        world.wait_open(&v2).await;
        assert_eq!(world.ask(Some(&v1)).await, refused("version"));
        assert_eq!(world.count("activations").await, 1);
    });
}

/// Guards against a version that is activated under an answer that a leaving agent still passes on.
#[test]
fn version_changes_while_stopping() {
    with_world("engine", json!({"token_ms": 100}), |world| async move {
        let (mut agent, v1) = world.serving("v1").await;
        let v2 = world.pin("v2").await;
        let answer = world.call(Some(&v1), stream(40)).await.unwrap();
        agent.terminate();
        wait_refused(&world, &v1, "leaving").await;
        world.publish(2, true, Some(&v2));
        wait_wanted(&world, &v2).await;
        let body = answer.into_body().collect(1 << 20).await.unwrap();
        assert!(body.ends_with(b"data: [DONE]\n\n"));
        assert!(agent.exit().await.success());
        assert_eq!(world.count("activations").await, 1);
        assert_eq!(world.count("mixed_tokens").await, 0);
    });
}

/// Guards against a version that is held but stays inactive because the platform went down.
#[test]
fn activate_during_outage() {
    with_world(
        "engine",
        json!({"token_ms": 100, "check_fencing": true}),
        |world| async move {
            let (_agent, v1) = world.serving("v1").await;
            let v2 = world.pin("v2").await;
            // The call keeps the gate draining until the platform is down.
            let answer = world.call(Some(&v1), stream(40)).await.unwrap();
            world.publish(2, true, Some(&v2));
            wait_refused(&world, &v1, "draining").await;
            world
                .switch(&world.platform, json!({"outage": "cut"}))
                .await;
            assert_eq!(world.count("activations").await, 1);
            assert!(answer.into_body().collect(1 << 20).await.is_ok());
            world.wait_open(&v2).await;
            assert_eq!(world.count("activations").await, 2);
        },
    );
}

/// Guards against an agent that is lost when it starts while the store is down.
#[test]
fn start_without_store() {
    with_world("engine", json!({}), |world| async move {
        let v1 = world.pin("v1").await;
        world.publish(1, true, Some(&v1));
        world.switch(&world.store, json!({"down": true})).await;
        let _agent = Process::agent(&world.settings);
        wait_refused(&world, &v1, "closed").await;
        sleep_ms(3_000).await;
        assert_eq!(world.ask(Some(&v1)).await, refused("closed"));
        world.switch(&world.store, json!({"down": false})).await;
        world.wait_open(&v1).await;
    });
}

/// Guards against a second write of the fencing number, or a wrong number, after the answer to the first was lost.
#[test]
fn number_answer_lost() {
    with_world(
        "engine",
        json!({"check_fencing": true}),
        |world| async move {
            world
                .switch(&world.platform, json!({"lose_answers": 1}))
                .await;
            let (_agent, _) = world.serving("v1").await;
            until("the number", async || {
                !world.status().await["fencing_number"].is_null()
            })
            .await;
            let lost = world.standin_count(&world.platform, "lost_answers").await;
            let puts = world.standin_count(&world.platform, "put").await;
            assert_eq!((lost, puts), (1, 1));
            // The first write of the platform has revision 1.
            assert_eq!(world.status().await["fencing_number"], 1);
        },
    );
}
