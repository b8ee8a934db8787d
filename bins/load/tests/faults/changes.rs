//! Changes of the catalogue: lost answers, racing operators, stale reads and restarts.

use std::time::{Duration, Instant};

use load::{Deployment, MODEL_SERVICE, Revisions};
use serde_json::json;
use yare::parameterized;

use super::support::*;

/// Time within which an accepted change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

async fn stored_revision(deployment: &Deployment, key: &str) -> u64 {
    let platform = platform::Client::new(deployment.platform_address(), IN_FORCE);
    let object = platform.get("catalog", key).await.unwrap();
    let object = object.unwrap_or_else(|| panic!("no {key}"));
    object.revision.ordinal()
}

async fn expect_in_force(deployment: &Deployment, revisions: &Revisions, key: &str, revision: u64) {
    let nodes = || deployment.entries.iter().chain(deployment.engine_agents());
    let start = Instant::now();
    let all = || nodes().all(|node| revisions.of(node.process.name(), key) == revision);
    while !all() {
        let held: Vec<_> = nodes()
            .map(|node| revisions.of(node.process.name(), key))
            .collect();
        assert!(start.elapsed() < IN_FORCE, "{held:?} instead of {revision}");
        sleep_ms(20).await;
    }
}

// Guards against an accepted change that is lost, reaches only some nodes or reverts.
#[parameterized(
    lost_answers = { 2, false },
    stale_reads = { 0, true },
)]
fn race_in_force_everywhere(lose_answers: u32, stale_reads: bool) {
    with_system(small(), async |deployment| {
        let key = format!("service/{MODEL_SERVICE}");
        let nodes = deployment.entries.iter().chain(deployment.engine_agents());
        let revisions = Revisions::watch(nodes);
        let before = stored_revision(deployment, &key).await;
        let switches = json!({ "lose_answers": lose_answers });
        deployment
            .switch(&deployment.platform, &switches)
            .await
            .unwrap();
        let first = [deployment.model_service("v2").await.unwrap()];
        let second = [deployment.model_service("v3").await.unwrap()];
        let (first, second) = futures::join!(
            deployment.put_as("ada", &first),
            deployment.put_as("bo", &second)
        );
        assert!(first.is_ok() || second.is_ok(), "{first:?}, {second:?}");
        let accepted = stored_revision(deployment, &key).await;
        assert!(accepted > before);

        let stale = json!({ "stale_reads": stale_reads });
        deployment
            .switch(&deployment.platform, &stale)
            .await
            .unwrap();
        let mut entry = deployment.entries.remove(0);
        deployment.restart(&mut entry).unwrap();
        deployment.entries.insert(0, entry);
        expect_in_force(deployment, &revisions, &key, accepted).await;
        sleep_ms(3000).await;
        let fresh = json!({ "stale_reads": false });
        deployment
            .switch(&deployment.platform, &fresh)
            .await
            .unwrap();
        assert_eq!(stored_revision(deployment, &key).await, accepted);
        expect_in_force(deployment, &revisions, &key, accepted).await;
        assert_eq!(revisions.reverted(), Vec::<String>::new());
    });
}
