//! A small system, its traffic, and the checks that hold after every failure.

use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use compio::runtime::{JoinHandle, spawn};
use load::{
    Deployment, Load, MODEL_SERVICE, Member, PLAIN_SERVICE, Plan, Replicas, Tally, WORKSPACE,
};

/// Time within which a version must reach all targets of the small system.
pub const LIMIT: Duration = Duration::from_secs(30);
pub const MODEL_RATE: f64 = 30.0;
pub const KEYED_RATE: f64 = 20.0;

/// Most systems at the same time. Tests check times, which a busy machine stretches.
const SYSTEMS_MAX: usize = 4;

/// Cores for each system that runs at the same time as others.
const CORES_PER_SYSTEM: usize = 3;

/// Number of systems that run.
static SYSTEMS: Mutex<usize> = Mutex::new(0);

/// Tells the tests that wait that a system has ended.
static ENDED: Condvar = Condvar::new();

/// Part of the machine that one system uses; dropping it lets the next test start.
pub struct Share(());

/// Returns a system of two domains in which a burst takes about three seconds and calls last long enough that some are
/// in progress on each target at any time.
pub fn small() -> Plan {
    Plan {
        engines: 2,
        plains: 2,
        model_bytes: 4 << 20,
        chunk_bytes: 128 << 10,
        link_bytes_per_s: 2 << 20,
        region_bytes_per_s: 2 << 20,
        first_token_ms: 150,
        service_ms: 300,
        ..Plan::default()
    }
}

/// Waits until the machine has room for another system.
pub fn machine() -> Share {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let limit = (cores / CORES_PER_SYSTEM).clamp(1, SYSTEMS_MAX);
    let systems = SYSTEMS.lock().unwrap_or_else(PoisonError::into_inner);
    let waited = ENDED.wait_while(systems, |systems| *systems >= limit);
    *waited.unwrap_or_else(PoisonError::into_inner) += 1;
    Share(())
}

impl Drop for Share {
    fn drop(&mut self) {
        *SYSTEMS.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// Runs `test` on a system that serves version `v1`.
pub fn with_system(plan: Plan, test: impl AsyncFnOnce(&mut Deployment)) {
    let _machine = machine();
    node::run("test", async {
        let mut deployment = Deployment::start(plan).await.unwrap();
        load::burst::serve_version(&deployment, "v1", LIMIT)
            .await
            .unwrap();
        test(&mut deployment).await;
    })
    .unwrap();
}

pub async fn sleep_ms(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}

pub fn model(deployment: &Deployment, millis: u64) -> Load {
    Load {
        entries: deployment.callers(),
        removed: Default::default(),
        path: format!("/v1/{MODEL_SERVICE}/v1/chat/completions"),
        workspace: WORKSPACE.into(),
        rate_per_s: MODEL_RATE,
        duration: Duration::from_millis(millis),
        deadline: Duration::from_secs(8),
        keyed: false,
    }
}

pub fn keyed(deployment: &Deployment, millis: u64) -> Load {
    Load {
        path: format!("/v1/{PLAIN_SERVICE}/reservations"),
        rate_per_s: KEYED_RATE,
        deadline: Duration::from_secs(4),
        keyed: true,
        ..model(deployment, millis)
    }
}

pub fn start(load: Load) -> JoinHandle<Tally> {
    spawn(async move { load.run().await })
}

/// Sends both kinds of requests and expects that each is answered in the end.
///
/// A slot that changes hands refuses its keys for about a second, so a keyed call is repeated with its key while it is
/// refused as not run, as callers do. No model request may be refused.
pub async fn expect_all_answered(model: Load, keyed: Load) -> [Tally; 2] {
    let (model, keyed) = (
        start(model),
        start(keyed.clone()).await.unwrap().repeated(&keyed).await,
    );
    let tallies = [model.await.unwrap(), keyed];
    for tally in &tallies {
        expect_answered(tally);
    }
    tallies
}

/// Expects an answer to each request of `tally`.
pub fn expect_answered(tally: &Tally) {
    let failed: Vec<_> = tally
        .records
        .iter()
        .filter(|record| record.outcome != "answered")
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    assert_eq!(tally.records.len() as u64, tally.sent);
}

/// Expects that each request has ended with an answer or a refusal, none with an unknown outcome.
pub fn expect_none_cut(tally: &Tally) {
    let ended = tally.outcome("answered") + tally.outcome("not-run");
    assert_eq!(
        ended, tally.sent,
        "{:?} {:?}",
        tally.outcomes, tally.reasons
    );
}

/// Waits until an entry or agent says that it takes work.
pub async fn wait_healthy(deployment: &Deployment, member: &Member) {
    let client = node::http::Client::new();
    let healthy = async || {
        let request = node::http::Request::builder().uri("/healthz");
        let request = request.body(node::http::Body::empty()).unwrap();
        let deadline = Instant::now() + Duration::from_secs(1);
        let answer = client.send(member.operator, request, deadline).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    };
    deployment
        .wait(member.process.name(), LIMIT, healthy)
        .await
        .unwrap();
}

pub async fn wait_served<'a>(
    deployment: &Deployment,
    agents: impl IntoIterator<Item = &'a Member>,
    version: &str,
) {
    let digest = deployment.digest(version).await.unwrap();
    let chunks = deployment.plan.chunks();
    Replicas::watch(agents, &digest, chunks)
        .wait(LIMIT)
        .await
        .unwrap();
}

/// Waits until a call starts to run at the backend `standin`; it is still in progress then.
pub async fn wait_run(deployment: &Deployment, standin: &Member) {
    let runs = || {
        let runs = deployment.runs(std::slice::from_ref(standin)).unwrap();
        runs.values().sum::<u64>()
    };
    let before = runs();
    deployment
        .wait("a call in progress", LIMIT, async || runs() > before)
        .await
        .unwrap();
}

/// Checks invariants 1 to 4 over `tallies`, none of whose calls was sent twice by its caller.
///
/// `versions` are the versions that answers may come from, as digests.
pub fn check(deployment: &Deployment, versions: &[&str], tallies: &[Tally]) {
    let bookings = deployment.runs(&deployment.plains).unwrap();
    let completions = deployment.runs(&deployment.engines).unwrap();
    check_once(deployment);
    for tally in tallies {
        assert_eq!(
            tally.records.len() as u64,
            tally.sent,
            "a request has no outcome"
        );
        assert_eq!(tally.without_retry_after, 0, "{:?}", tally.reasons);
        assert_eq!(tally.outcome("missing"), 0, "{:?}", tally.outcomes);
        for record in &tally.records {
            let ran = match &record.key {
                Some(key) => bookings.get(key).copied().unwrap_or(0),
                None => completions.get(&record.prompt).copied().unwrap_or(0),
            };
            match record.outcome.as_str() {
                "answered" => {
                    assert!(
                        record.is_own_whole(),
                        "another's or part of an answer: {record:?}"
                    );
                    assert!(ran > 0, "answered without a run: {record:?}");
                    let weights = record.weights.as_deref();
                    let known = weights.is_some_and(|weights| versions.contains(&weights));
                    assert!(record.key.is_some() || known, "unknown weights: {record:?}");
                }
                "not-run" => assert_eq!(ran, 0, "refused as not run, but ran: {record:?}"),
                _ => {}
            }
        }
    }
}

/// Checks that no key ran more than once at any plain service.
pub fn check_once(deployment: &Deployment) {
    let bookings = deployment.runs(&deployment.plains).unwrap();
    let twice: Vec<_> = bookings.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(twice.is_empty(), "keys that ran more than once: {twice:?}");
}

/// Checks that no engine changed its weights within an answer.
pub async fn check_not_mixed(deployment: &Deployment) {
    for engine in &deployment.engines {
        let mixed = deployment.count(engine, "mixed_tokens").await.unwrap();
        assert_eq!(mixed, 0, "{}", engine.process.name());
    }
}

/// Starts a process of the deployment again, after it has ended.
pub fn restart_in(
    deployment: &mut Deployment,
    index: usize,
    members: fn(&mut Deployment) -> &mut Vec<Member>,
) -> Result<(), load::Error> {
    let mut member = members(deployment).remove(index);
    let restarted = deployment.restart(&mut member);
    members(deployment).insert(index, member);
    restarted
}
