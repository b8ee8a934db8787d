//! A claim owner that is paused past its interval.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::runtime::spawn;
use load::{CALL_PORT, Deployment, Load, Member, PLAIN_SERVICE, Plan, Record, WORKSPACE};
use node::http::{Body, Client, Request};
use serde_json::json;
use wire::header;
use yare::parameterized;

use super::support::*;

/// Past the interval of 10 s, and past `Down` after 5 s, so that others hold the slots.
const PAUSE: Duration = Duration::from_secs(13);
/// Time between two calls, and between two attempts of one call.
const NEXT_CALL_MS: u64 = 200;
const NEXT_ATTEMPT_MS: u64 = 900;

/// Delay of the platform's answers to an owner that stops, above the 100 ms within which it begins its release.
const SLOW_MS: u64 = 400;
const EXIT: Duration = Duration::from_secs(10);

/// Repeats a call with its key to the entries in turn until `end`, also after it was answered.
async fn repeat(load: Load, client: Client, key: String, end: Instant) -> Vec<Record> {
    let prompt = format!("reservation {key}");
    let mut attempts = Vec::new();
    for entry in load.entries.iter().copied().cycle() {
        attempts.push(load.send(&client, entry, &prompt, Some(key.clone())).await);
        if Instant::now() > end {
            break;
        }
        sleep_ms(NEXT_ATTEMPT_MS).await;
    }
    attempts
}

/// Sends a keyed call to an agent like an entry that has not heard of the new owner.
async fn call_agent(client: Client, agent: SocketAddr, key: String) {
    let request = Request::post(format!("/call/{PLAIN_SERVICE}/reservations"))
        .header(header::REQUEST, uuid::Uuid::now_v7().simple().to_string())
        .header(header::WORKSPACE, WORKSPACE)
        .header(header::RANK, "0")
        .header(header::DEADLINE_MS, "8000")
        .header(header::IDEMPOTENCY_KEY, key)
        .body(Body::from("again"))
        .unwrap();
    let deadline = Instant::now() + Duration::from_secs(8);
    // Whatever the agent answers, only the runs at the services count.
    let _ = client.send(agent, request, deadline).await;
}

async fn switch_slow(deployment: &Deployment, slow_ms: u64) {
    let slow = json!({ "slow_ms": slow_ms });
    deployment
        .switch(&deployment.platform, &slow)
        .await
        .unwrap();
}

/// Asks `owner` to stop and returns while it waits for the claim table that its release will be based on.
async fn stop_until_release(deployment: &Deployment, owner: &Member) {
    switch_slow(deployment, SLOW_MS).await;
    owner.process.terminate();
    sleep_ms(SLOW_MS / 2).await;
}

// Guards against a key that runs at the owner of the next interval and again at the owner that was paused, whether it
// was about to renew its claims or to release them.
#[parameterized(running = { false }, stopping = { true })]
fn pause_claim_owner_past_interval(stopping: bool) {
    let plan = Plan {
        engines: 1,
        service_ms: 50,
        model_bytes: 1 << 20,
        ..small()
    };
    with_system(plan, async |deployment| {
        let mut load = keyed(deployment, 0);
        load.deadline = Duration::from_secs(2);
        let client = Client::new();
        let start = Instant::now();
        let end = start + PAUSE + Duration::from_secs(4);
        let index = deployment.engines.len();
        let owner = &deployment.agents[index];
        let mut callers = Vec::new();
        let mut keys = Vec::new();
        let mut paused = false;
        while start.elapsed() < PAUSE + Duration::from_secs(1) {
            let key = uuid::Uuid::now_v7().to_string();
            let caller = repeat(load.clone(), client.clone(), key.clone(), end);
            callers.push(spawn(caller));
            keys.push(key);
            sleep_ms(NEXT_CALL_MS).await;
            if !paused && start.elapsed() > Duration::from_secs(1) {
                if stopping {
                    stop_until_release(deployment, owner).await;
                }
                owner.process.pause();
                paused = true;
                switch_slow(deployment, 0).await;
            }
        }
        // These calls wait in the paused agent's sockets and are the first thing that it reads.
        let agent = SocketAddr::new(owner.operator.ip(), CALL_PORT);
        let late = keys
            .iter()
            .map(|key| spawn(call_agent(client.clone(), agent, key.clone())));
        let late: Vec<_> = late.collect();
        sleep_ms(500).await;
        owner.process.resume();
        for call in late {
            call.await.unwrap();
        }
        let mut outcomes = BTreeMap::new();
        for caller in callers {
            let attempts = caller.await.unwrap();
            for attempt in &attempts {
                *outcomes.entry(attempt.outcome.clone()).or_insert(0) += 1;
            }
            let bodies: Vec<_> = attempts
                .iter()
                .filter(|attempt| attempt.outcome == "answered")
                .collect();
            assert!(
                bodies.iter().all(|attempt| attempt.body == bodies[0].body),
                "{bodies:?}"
            );
        }
        assert!(outcomes["answered"] > keys.len(), "{outcomes:?}");
        assert!(outcomes.len() > 1, "the pause had no effect: {outcomes:?}");
        check_once(deployment);
        if stopping {
            let exit = deployment.agents[index].process.wait_exit(EXIT);
            assert!(exit.is_some_and(|status| status.success()), "{exit:?}");
        }
    });
}
