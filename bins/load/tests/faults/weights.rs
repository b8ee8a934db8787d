//! Corrupted chunks, versions that change in flight, and engines that fail.

use std::time::Duration;

use load::{Deployment, Load};
use serde_json::json;
use yare::parameterized;

use super::support::*;

async fn switch_store(deployment: &Deployment, switches: serde_json::Value) {
    deployment
        .switch(&deployment.store, &switches)
        .await
        .unwrap();
}

// Guards against answers from a version that isn't whole, and against one that never gets whole after a corruption.
#[test]
fn corrupted_then_changed_in_flight() {
    with_system(small(), async |deployment| {
        let v1 = deployment.digest("v1").await.unwrap();
        let v3 = deployment.digest("v3").await.unwrap();
        switch_store(deployment, json!({ "corrupt": true })).await;
        let traffic = [
            start(model(deployment, 8000)),
            start(keyed(deployment, 8000)),
        ];
        deployment.put_version("v2").await.unwrap();
        sleep_ms(1000).await;
        deployment.put_version("v3").await.unwrap();
        sleep_ms(1000).await;
        switch_store(deployment, json!({ "corrupt": false })).await;
        wait_served(deployment, deployment.engine_agents(), "v3").await;
        let mut tallies = Vec::new();
        for task in traffic {
            tallies.push(task.await.unwrap());
        }
        expect_answered(&tallies[0]);
        expect_none_cut(&tallies[1]);
        // No chunk of v2 ever arrived whole, so that no answer may come from it.
        check(deployment, &[&v1, &v3], &tallies);
        check_not_mixed(deployment).await;
    });
}

// Guards against a transfer that stops for good when the store is down or slow.
#[parameterized(down = { json!({ "down": true }) }, slow = { json!({ "slow_ms": 1500 }) })]
fn store_fails_during_burst(fault: serde_json::Value) {
    with_system(small(), async |deployment| {
        let v1 = deployment.digest("v1").await.unwrap();
        let v2 = deployment.digest("v2").await.unwrap();
        let traffic = start(model(deployment, 4000));
        deployment.put_version("v2").await.unwrap();
        switch_store(deployment, fault).await;
        sleep_ms(3000).await;
        switch_store(deployment, json!({ "down": false, "slow_ms": 0 })).await;
        wait_served(deployment, deployment.engine_agents(), "v2").await;
        let tallies = [traffic.await.unwrap()];
        expect_answered(&tallies[0]);
        check(deployment, &[&v1, &v2], &tallies);
        check_not_mixed(deployment).await;
    });
}

// Guards against an entry that starts while no target serves the new version yet and refuses all requests, although all
// targets serve the old one, and against an agent that starts then and keeps its engine out of service.
#[test]
fn nodes_start_during_burst() {
    with_system(small(), async |deployment| {
        let v1 = deployment.digest("v1").await.unwrap();
        let v2 = deployment.digest("v2").await.unwrap();
        deployment.put_version("v2").await.unwrap();
        sleep_ms(500).await;
        // The burst stays in progress until the store is back.
        switch_store(deployment, json!({ "down": true })).await;
        let mut entry = deployment.entries.remove(0);
        deployment.restart(&mut entry).unwrap();
        deployment.entries.insert(0, entry);
        let mut agent = deployment.agents.remove(0);
        deployment.restart(&mut agent).unwrap();
        deployment.agents.insert(0, agent);
        for member in [&deployment.entries[0], &deployment.agents[0]] {
            wait_healthy(deployment, member).await;
        }
        let load = Load {
            entries: vec![deployment.callers()[0]],
            ..model(deployment, 2000)
        };
        let tally = start(load).await.unwrap();
        let pinned: Vec<_> = tally
            .records
            .iter()
            .filter_map(|record| record.weights.as_deref())
            .collect();
        assert!(
            pinned.iter().all(|weights| *weights == v1),
            "the burst ended too early: {pinned:?}"
        );
        switch_store(deployment, json!({ "down": false })).await;
        wait_served(deployment, deployment.engine_agents(), "v2").await;
        expect_answered(&tally);
        check(deployment, &[&v1, &v2], &[tally]);
        check_not_mixed(deployment).await;
    });
}

// Guards against answers from weights that no one ordered, and against a gate that stays closed afterwards.
#[parameterized(restart = { false }, wrong_weights = { true })]
fn engine_fails_under_load(wrong_weights: bool) {
    with_system(small(), async |deployment| {
        let v1 = deployment.digest("v1").await.unwrap();
        let traffic = start(model(deployment, 4000));
        sleep_ms(1000).await;
        let engine = &deployment.engines[0];
        if wrong_weights {
            let wrong = json!({ "wrong_weights": true });
            deployment.switch(engine, &wrong).await.unwrap();
            sleep_ms(1500).await;
            let right = json!({ "wrong_weights": false });
            deployment.switch(engine, &right).await.unwrap();
        } else {
            deployment.crash(engine, Duration::from_millis(500)).await;
        }
        sleep_ms(1500).await;
        wait_served(deployment, deployment.engine_agents(), "v1").await;
        let mut tallies = vec![traffic.await.unwrap()];
        let after = expect_all_answered(model(deployment, 1000), keyed(deployment, 1000)).await;
        tallies.extend(after);
        // An answer of tokens from two versions is no whole answer to a request, and this check fails on it.
        check(deployment, &[&v1], &tallies);
        if !wrong_weights {
            // An engine that changes its weights by itself mixes them, whatever the agent then does with the answer.
            check_not_mixed(deployment).await;
        }
    });
}
