//! The experiment: a new version reaches all targets while live requests flow.

use std::time::Duration;

use serde::Serialize;

use crate::deployment::{Deployment, Error, MODEL_SERVICE, PLAIN_SERVICE, WORKSPACE};
use crate::{Load, Plan, Replicas, Tally};

/// Requests a second to the model's service.
const MODEL_RATE: f64 = 20.0;
/// Calls a second that must run at most once.
const KEYED_RATE: f64 = 5.0;
const DEADLINE: Duration = Duration::from_secs(10);
/// Time for which requests flow before and after the burst.
const MARGIN: Duration = Duration::from_secs(2);

/// Figures of a burst.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Report {
    /// What was run.
    pub plan: Plan,
    /// Targets that had to serve the version.
    pub replicas: usize,
    /// Time from the start of the put until half, 90% and all of the targets held the version, in seconds.
    pub hold_s: [f64; 3],
    /// The same until they served it.
    pub serve_s: [f64; 3],
    /// Copies of the model drawn from the origin.
    pub origin_copies: f64,
    /// Bytes drawn from the origin.
    pub origin_bytes: u64,
    /// Lower bound of the time until all hold the weights, in seconds.
    pub bound_s: f64,
    /// The last of `hold_s` over `bound_s`.
    pub ratio: f64,
    /// Requests to the model's service before, during and after the burst.
    pub model: Tally,
    /// Calls that must run at most once.
    pub keyed: Tally,
    /// Time to the first byte without a burst, 99th percentile in milliseconds.
    pub idle_p99_ms: f64,
}

/// Starts a system, serves `v1`, then brings `v2` to all targets under live requests.
///
/// # Errors
///
/// Fails when the system doesn't start or the burst doesn't end within `limit`.
pub async fn run(plan: Plan, limit: Duration) -> Result<Report, Error> {
    let deployment = Deployment::start(plan).await?;
    serve_version(&deployment, "v1", limit).await?;
    let idle = load(&deployment, MODEL_SERVICE, MODEL_RATE, MARGIN * 2)
        .run()
        .await;
    burst(&deployment, "v2", limit, idle.first_byte.p99_ms).await
}

/// Puts the whole catalogue with the model at `version` and waits until requests are answered.
///
/// # Errors
///
/// Fails when not every target serves the version within `limit`.
pub async fn serve_version(
    deployment: &Deployment,
    version: &str,
    limit: Duration,
) -> Result<(), Error> {
    deployment.put_catalogue(version).await?;
    let digest = deployment.digest(version).await?;
    let chunks = deployment.plan.chunks();
    Replicas::watch(deployment.engine_agents(), &digest, chunks)
        .wait(limit)
        .await?;
    let plains = &deployment.agents[deployment.engines.len()..];
    for agent in plains {
        let owns = async || {
            let status = deployment.get(agent.operator, "/status").await;
            status.is_ok_and(|status| status["gate"] == "open" && status["slots"] != 0)
        };
        deployment.wait(agent.process.name(), limit, owns).await?;
    }
    // One report interval: the entries learn of the last gate.
    compio::time::sleep(MARGIN).await;
    Ok(())
}

async fn burst(
    deployment: &Deployment,
    version: &str,
    limit: Duration,
    idle_p99_ms: f64,
) -> Result<Report, Error> {
    let plan = deployment.plan.clone();
    let drawn_before = deployment.count(&deployment.store, "bytes_drawn").await?;
    let time = MARGIN * 2 + estimate(&plan);
    let model = compio::runtime::spawn(load_owned(deployment, MODEL_SERVICE, MODEL_RATE, time));
    let keyed = compio::runtime::spawn(load_owned(deployment, PLAIN_SERVICE, KEYED_RATE, time));
    compio::time::sleep(MARGIN).await;

    let digest = deployment.digest(version).await?;
    let replicas = Replicas::watch(deployment.engine_agents(), &digest, plan.chunks());
    deployment.put_version(version).await?;
    let count = plan.replicas();
    replicas.wait(limit).await?;
    let shares = [count.div_ceil(2), (count * 9).div_ceil(10), count];
    let hold_s = shares.map(|count| replicas.held_time_of(count).as_secs_f64());
    let serve_s = shares.map(|count| replicas.time_of(count).as_secs_f64());
    let drawn = deployment.count(&deployment.store, "bytes_drawn").await? - drawn_before;
    let bound_s = bound(&plan).as_secs_f64();
    Ok(Report {
        replicas: count,
        hold_s,
        serve_s,
        origin_copies: drawn as f64 / plan.model_bytes as f64,
        origin_bytes: drawn,
        bound_s,
        ratio: hold_s[2] / bound_s,
        model: tally(model.await)?,
        keyed: tally(keyed.await)?,
        idle_p99_ms,
        plan,
    })
}

fn tally<E>(result: Result<Tally, E>) -> Result<Tally, Error> {
    result.map_err(|_| Error::Answer {
        what: "live requests".into(),
        reason: "the task that sends them panicked".into(),
    })
}

fn load(deployment: &Deployment, service: &str, rate_per_s: f64, duration: Duration) -> Load {
    let path = match service {
        MODEL_SERVICE => format!("/v1/{service}/v1/chat/completions"),
        _ => format!("/v1/{service}/reservations"),
    };
    Load {
        entries: deployment.callers(),
        path,
        workspace: WORKSPACE.into(),
        rate_per_s,
        duration,
        deadline: DEADLINE,
        keyed: service == PLAIN_SERVICE,
    }
}

fn load_owned(
    deployment: &Deployment,
    service: &str,
    rate_per_s: f64,
    duration: Duration,
) -> impl Future<Output = Tally> + 'static {
    let load = load(deployment, service, rate_per_s, duration);
    async move { load.run().await }
}

/// Returns the time for which requests should flow: three times the lower bound, and the turns of the switch.
fn estimate(plan: &Plan) -> Duration {
    bound(plan) * 3 + Duration::from_secs(4)
}

/// Returns the lower bound of the time until all targets hold a new version.
///
/// It is the larger of two times: that of the copies which must cross the origin's link, and that of a pipelined
/// broadcast, size over link rate times (1 + log2 N / chunks).
pub fn bound(plan: &Plan) -> Duration {
    let size = plan.model_bytes as f64;
    let domains = plan.domains.len() as f64;
    let drawing = match plan.transfer.as_str() {
        "origin_bytes" => 1.0,
        "direct" => plan.replicas() as f64,
        _ => domains.min(3.0),
    };
    let origin = drawing * size / plan.origin_bytes_per_s as f64;
    let pipeline = 1.0 + (plan.replicas() as f64).log2() / plan.chunks() as f64;
    let broadcast = size / plan.link_bytes_per_s as f64 * pipeline;
    // Every domain receives one copy over its agents' share of the region's link, unless it draws all from the origin.
    let per_domain = f64::from(plan.engines) * plan.region_bytes_per_s as f64;
    let crossing = if domains > 1.0 && plan.transfer == "origin_bytes" {
        size * (domains - 1.0) / domains / per_domain
    } else {
        0.0
    };
    Duration::from_secs_f64(origin.max(broadcast).max(crossing))
}
