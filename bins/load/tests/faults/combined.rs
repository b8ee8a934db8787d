//! Faults at the same time, and the replacement of a VM while the store is down.

use std::time::Duration;

use load::{Member, Replicas, Revisions};
use serde_json::json;

use super::support::*;

/// Number of the log event of a corrupted chunk.
const CHUNK_CORRUPTED: &str = " 355 ";
/// Copies that the origin sends at most for one burst.
const COPIES: u64 = 4;

// Guards against wrong, mixed or repeated work, a change that reverts and a burst that never ends when an agent dies
// while the platform is down and the origin sends corrupted chunks.
#[test]
fn kill_and_outage_and_corruption() {
    with_system(small(), async |deployment| {
        let v1 = deployment.digest("v1").await.unwrap();
        let v2 = deployment.digest("v2").await.unwrap();
        let nodes = deployment.entries.iter().chain(deployment.engine_agents());
        let revisions = Revisions::watch(nodes);
        let drawn = deployment.count(&deployment.store, "bytes_drawn").await;
        let traffic = [
            start(model(deployment, 8000)),
            start(keyed(deployment, 8000)),
        ];
        sleep_ms(500).await;
        let corrupt = json!({ "corrupt": true });
        deployment
            .switch(&deployment.store, &corrupt)
            .await
            .unwrap();
        deployment.put_version("v2").await.unwrap();
        // Draws need permits of the platform: before the outage some must be in progress.
        let corrupted = |agent: &Member| agent.process.output().unwrap().contains(CHUNK_CORRUPTED);
        let any_corrupted = async || deployment.engine_agents().iter().any(corrupted);
        deployment
            .wait("a corrupted chunk", LIMIT, any_corrupted)
            .await
            .unwrap();
        let outage = json!({ "outage": "cut" });
        deployment
            .switch(&deployment.platform, &outage)
            .await
            .unwrap();
        wait_run(deployment, &deployment.engines[0]).await;
        deployment.agents[0].process.kill();
        sleep_ms(1500).await;
        restart_in(deployment, 0, |d| &mut d.agents).unwrap();
        sleep_ms(1500).await;
        let whole = json!({ "corrupt": false });
        deployment.switch(&deployment.store, &whole).await.unwrap();
        let up = json!({ "outage": "none" });
        deployment.switch(&deployment.platform, &up).await.unwrap();
        wait_served(deployment, deployment.engine_agents(), "v2").await;
        let mut tallies = Vec::new();
        for task in traffic {
            tallies.push(task.await.unwrap());
        }
        // An agent that died is Down after 5 s; claims and reports then take up to 3 s more.
        sleep_ms(3000).await;
        let after = expect_all_answered(model(deployment, 1000), keyed(deployment, 1000)).await;
        tallies.extend(after);
        check(deployment, &[&v1, &v2], &tallies);
        check_not_mixed(deployment).await;
        assert_eq!(revisions.reverted(), Vec::<String>::new());
        let all = deployment.count(&deployment.store, "bytes_drawn").await;
        let copies = (all.unwrap() - drawn.unwrap()) as f64 / deployment.plan.model_bytes as f64;
        assert!(copies <= COPIES as f64, "{copies} copies from the origin");
    });
}

// Guards against a replacement VM that can't start without the store although its peers hold all chunks.
#[test]
fn replace_vm_without_store() {
    with_system(small(), async |deployment| {
        let v1 = deployment.digest("v1").await.unwrap();
        let down = json!({ "down": true });
        deployment.switch(&deployment.store, &down).await.unwrap();
        let traffic = start(model(deployment, 4000));
        let engine = &deployment.engines[0];
        let before = deployment.count(engine, "activations").await.unwrap();
        deployment.agents[0].process.kill();
        deployment.crash(engine, Duration::from_millis(200)).await;
        restart_in(deployment, 0, |d| &mut d.agents).unwrap();
        let activated = async || {
            let count = deployment.count(&deployment.engines[0], "activations");
            count.await.is_ok_and(|count| count > before)
        };
        deployment
            .wait("the weights in the new engine", LIMIT, activated)
            .await
            .unwrap();
        // The store that is down can't be asked for the digest.
        let chunks = deployment.plan.chunks();
        Replicas::watch(deployment.engine_agents(), &v1, chunks)
            .wait(LIMIT)
            .await
            .unwrap();
        let tallies = [traffic.await.unwrap()];
        check(deployment, &[&v1], &tallies);
        check_not_mixed(deployment).await;
    });
}
