//! Processes that are killed during a burst, and a platform that is unavailable.

use load::{Deployment, Member};
use serde_json::json;
use yare::parameterized;

use super::support::*;

/// Time in which the slots of an agent without its plain service are taken over: the limit of the design page.
const SLOTS_MOVED_MS: u64 = 12_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Entry,
    Agent,
    ClaimOwner,
    Engine,
    Plain,
    Platform,
    Store,
}

fn victim(deployment: &mut Deployment, kind: Kind) -> &mut Member {
    match kind {
        Kind::Entry => &mut deployment.entries[0],
        Kind::Agent => &mut deployment.agents[0],
        Kind::ClaimOwner => {
            let first_plain = deployment.engines.len();
            &mut deployment.agents[first_plain]
        }
        Kind::Engine => &mut deployment.engines[0],
        Kind::Plain => &mut deployment.plains[0],
        Kind::Platform => &mut deployment.platform,
        Kind::Store => &mut deployment.store,
    }
}

/// Waits until a call has just started at the backend that dies with `kind`, so that the kill hits it in progress.
async fn wait_in_progress(deployment: &Deployment, kind: Kind) {
    match kind {
        Kind::Agent | Kind::Engine => wait_run(deployment, &deployment.engines[0]).await,
        Kind::ClaimOwner | Kind::Plain => wait_run(deployment, &deployment.plains[0]).await,
        Kind::Entry | Kind::Platform | Kind::Store => {}
    }
}

/// Starts the killed process again, but for the platform: its stand-in's objects are gone, the real one's are not.
fn restart(deployment: &mut Deployment, kind: Kind) {
    let restarted = match kind {
        Kind::Entry => restart_in(deployment, 0, |d| &mut d.entries),
        Kind::Agent => restart_in(deployment, 0, |d| &mut d.agents),
        Kind::ClaimOwner => restart_in(deployment, deployment.engines.len(), |d| &mut d.agents),
        Kind::Engine => restart_in(deployment, 0, |d| &mut d.engines),
        Kind::Plain => restart_in(deployment, 0, |d| &mut d.plains),
        Kind::Store => deployment.restart_store(),
        Kind::Platform => Ok(()),
    };
    restarted.unwrap();
}

// Guards against wrong, mixed or repeated work when a process dies in the middle of a burst, and against a system that
// doesn't recover from it.
#[parameterized(
    entry = { Kind::Entry },
    agent = { Kind::Agent },
    claim_owner = { Kind::ClaimOwner },
    engine = { Kind::Engine },
    plain = { Kind::Plain },
    platform = { Kind::Platform },
    store = { Kind::Store },
)]
fn kill_during_burst(kind: Kind) {
    with_system(small(), async |deployment| {
        let v1 = deployment.digest("v1").await.unwrap();
        let v2 = deployment.digest("v2").await.unwrap();
        let traffic = [
            start(model(deployment, 6000)),
            start(keyed(deployment, 6000)),
        ];
        sleep_ms(500).await;
        deployment.put_version("v2").await.unwrap();
        wait_in_progress(deployment, kind).await;
        victim(deployment, kind).process.kill();
        sleep_ms(1500).await;
        restart(deployment, kind);
        let mut tallies = Vec::new();
        for task in traffic {
            tallies.push(task.await.unwrap());
        }
        // Without the platform, agents that have no permit yet keep the old version.
        if kind != Kind::Platform {
            wait_served(deployment, deployment.engine_agents(), "v2").await;
            // An agent that died is Down after 5 s; claims and reports then take up to 3 s more.
            sleep_ms(3000).await;
            let after = expect_all_answered(model(deployment, 1000), keyed(deployment, 1000)).await;
            tallies.extend(after);
        }
        check(deployment, &[&v1, &v2], &tallies);
        if kind == Kind::Plain {
            // Only a call that ran can be mistaken for one that did not.
            assert!(tallies[1].outcome("unknown") > 0, "no call was cut");
        }
        check_not_mixed(deployment).await;
    });
}

// Guards against model traffic that depends on the platform, and against changes that are lost with an outage.
#[parameterized(
    refuse = { json!({ "outage": "refuse" }) },
    cut = { json!({ "outage": "cut" }) },
    hang = { json!({ "outage": "hang" }) },
    slow = { json!({ "slow_ms": 2500 }) },
)]
fn platform_fails_during_burst(fault: serde_json::Value) {
    with_system(small(), async |deployment| {
        let v1 = deployment.digest("v1").await.unwrap();
        let v2 = deployment.digest("v2").await.unwrap();
        let v3 = deployment.digest("v3").await.unwrap();
        let traffic = [
            start(model(deployment, 6000)),
            start(keyed(deployment, 6000)),
        ];
        sleep_ms(500).await;
        deployment.put_version("v2").await.unwrap();
        deployment
            .switch(&deployment.platform, &fault)
            .await
            .unwrap();
        let mut tallies = Vec::new();
        for task in traffic {
            tallies.push(task.await.unwrap());
        }
        expect_answered(&tallies[0]);
        let up = json!({ "outage": "none", "slow_ms": 0 });
        deployment.switch(&deployment.platform, &up).await.unwrap();
        deployment.put_version("v3").await.unwrap();
        wait_served(deployment, deployment.engine_agents(), "v3").await;
        check(deployment, &[&v1, &v2, &v3], &tallies);
        check_not_mixed(deployment).await;
    });
}

// Guards against keyed calls that stay refused while one plain service is gone and the others could run them.
#[test]
fn plain_stays_down() {
    with_system(small(), async |deployment| {
        let load = keyed(deployment, 1500);
        let during = start(load.clone());
        sleep_ms(500).await;
        deployment.plains[0].process.kill();
        sleep_ms(SLOTS_MOVED_MS).await;
        let after = start(keyed(deployment, 1000)).await.unwrap();
        expect_answered(&after);
        let during = during.await.unwrap();
        let first = during.clone();
        let last = during.repeated(&load).await;
        for record in &last.records {
            let tries = first.records.iter().filter(|first| first.key == record.key);
            let tries: Vec<_> = tries.chain([record]).collect();
            assert_ne!(record.outcome, "not-run", "{tries:?}");
        }
        check_once(deployment);
    });
}
