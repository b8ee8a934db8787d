//! Planned stops under load.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde_json::json;

use super::support::*;

const EXIT: Duration = Duration::from_secs(10);

// Guards against a planned stop of an entry that cuts off a request, or refuses one before the balancer knows.
#[test]
fn stop_entry_under_load() {
    with_system(small(), async |deployment| {
        let v1 = deployment.digest("v1").await.unwrap();
        let only = |mut load: load::Load| {
            load.entries.truncate(1);
            load
        };
        // Sending ends 200 ms after the stop, within the entry's 300 ms for the balancer.
        let traffic = [
            start(only(model(deployment, 1200))),
            start(only(keyed(deployment, 1200))),
        ];
        sleep_ms(1000).await;
        let operator = deployment.entries[0].operator;
        deployment.entries[0].process.terminate();
        sleep_ms(100).await;
        let health = deployment.get(operator, "/healthz").await.unwrap_err();
        assert!(health.to_string().contains("503"), "{health}");
        let mut tallies = Vec::new();
        for task in traffic {
            tallies.push(task.await.unwrap());
        }
        expect_answered(&tallies[0]);
        expect_none_cut(&tallies[1]);
        let exit = deployment.entries[0].process.wait_exit(EXIT);
        assert!(exit.is_some_and(|status| status.success()), "{exit:?}");
        check(deployment, &[&v1], &tallies);
    });
}

// Guards against new work for a target that leaves, and against a stop that cuts off the work it has.
#[test]
fn stop_agents_under_load() {
    with_system(small(), async |deployment| {
        let v1 = deployment.digest("v1").await.unwrap();
        let first_plain = deployment.engines.len();
        // Long answers keep the leaving agent running well past the 3 s after which new work is forbidden.
        let slow = json!({ "first_token_ms": 4500 });
        deployment
            .switch(&deployment.engines[0], &slow)
            .await
            .unwrap();
        let traffic = [
            start(model(deployment, 7000)),
            start(keyed(deployment, 7000)),
        ];
        sleep_ms(1000).await;
        for index in [0, first_plain] {
            deployment.agents[index].process.terminate();
        }
        let stopped = Instant::now();
        sleep_ms(3000).await;
        let ran = |members: &[load::Member]| -> BTreeSet<String> {
            deployment.runs(members).unwrap().into_keys().collect()
        };
        let (engines, plains) = (&deployment.engines[..1], &deployment.plains[..1]);
        let before = [ran(engines), ran(plains)];
        let mut tallies = Vec::new();
        for task in traffic {
            tallies.push(task.await.unwrap());
        }
        let after = [ran(engines), ran(plains)];
        assert!(stopped.elapsed() > Duration::from_secs(5));
        assert_eq!(before, after, "a leaving target got new work after 3 s");
        for tally in &tallies {
            expect_none_cut(tally);
        }
        expect_answered(&tallies[0]);
        check(deployment, &[&v1], &tallies);
        for index in [0, first_plain] {
            let exit = deployment.agents[index].process.wait_exit(EXIT);
            assert!(exit.is_some_and(|status| status.success()), "{exit:?}");
        }
    });
}
