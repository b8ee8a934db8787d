//! The experiment: a new version reaches all targets while live requests flow.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::deployment::{Deployment, Error, MODEL_SERVICE, PLAIN_SERVICE, WORKSPACE};
use crate::{Load, Percentiles, Plan, Replicas, Tally, fault};

/// Requests a second to the model's service.
const MODEL_RATE: f64 = 20.0;
/// Calls a second that must run at most once.
const KEYED_RATE: f64 = 5.0;
/// Requests named in a report as the slowest ones.
const SLOWEST: usize = 12;
const DEADLINE: Duration = Duration::from_secs(10);
/// Time for which requests flow before and after the burst.
const MARGIN: Duration = Duration::from_secs(2);

/// Figures of a burst.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Report {
    /// What was run.
    pub plan: Plan,
    /// Targets that had to serve the version: those that survived the fault.
    pub replicas: usize,
    /// Targets that were lost by the fault.
    pub lost: usize,
    /// Time from the start of the put until half, 90% and all of the targets held the version, in seconds.
    pub hold_s: [f64; 3],
    /// The same until they served it.
    pub serve_s: [f64; 3],
    /// Copies of the model drawn from the origin.
    pub origin_copies: f64,
    /// Copies for each domain that draws from the origin while all domains are alive.
    pub copies_per_drawing_domain: f64,
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
    /// Attempts that agents refused as not run between the start of the requests and their end, by reason; agents that
    /// are gone by the end count for nothing.
    pub refused_attempts: BTreeMap<String, u64>,
    /// Time to the first byte without a burst, 99th percentile in milliseconds.
    pub idle_p99_ms: f64,
    /// Time to the first byte of the model's requests from the put until the last target held the weights.
    pub burst_first_byte: Percentiles,
    /// Slowest of these requests: time of sending after the put in seconds, and time to the first byte in milliseconds.
    pub slowest: Vec<[f64; 2]>,
    /// Its 99th percentile over the idle one.
    pub p99_ratio: f64,
    /// Share of all chunks held by the targets, every 250 ms from the start of the put.
    pub progress: Vec<f64>,
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
    burst(deployment, "v2", limit, idle.first_byte.p99_ms).await
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
    mut deployment: Deployment,
    version: &str,
    limit: Duration,
    idle_p99_ms: f64,
) -> Result<Report, Error> {
    let plan = deployment.plan.clone();
    let drawn_before = deployment.count(&deployment.store, "bytes_drawn").await?;
    let refused_before = refused_attempts(&deployment).await;
    // The requests flow until the burst is over: a time estimated from the bound made short bursts wait for it, and
    // bursts longer than it ended without live requests.
    let time = MARGIN * 2 + limit;
    let wanted = Rc::new(Cell::new(true));
    let model = load(&deployment, MODEL_SERVICE, MODEL_RATE, time);
    let removed = Rc::clone(&model.removed);
    let keyed = Load {
        removed: Rc::clone(&removed),
        ..load(&deployment, PLAIN_SERVICE, KEYED_RATE, time)
    };
    let while_wanted = Rc::clone(&wanted);
    let model = compio::runtime::spawn(async move { model.run_while(&while_wanted).await });
    let while_wanted = Rc::clone(&wanted);
    let keyed = compio::runtime::spawn(async move { keyed.run_while(&while_wanted).await });
    compio::time::sleep(MARGIN).await;

    let digest = deployment.digest(version).await?;
    let start = Instant::now();
    let replicas = Replicas::watch(deployment.engine_agents(), &digest, plan.chunks());
    deployment.put_version(version).await?;
    let progress = compio::time::timeout(limit, replicas.progress());
    let fault = async {
        if let Some(fault) = plan.fault {
            // A burst that never gets that far ends at its limit.
            let given = fault::give(fault, &mut deployment, &replicas, &removed);
            let _ = compio::time::timeout(limit, given).await;
        }
    };
    let (progress, ()) = futures::join!(progress, fault);
    replicas.wait(limit).await?;
    compio::time::sleep(MARGIN).await;
    wanted.set(false);
    let count = replicas.expected();
    let shares = [count.div_ceil(2), (count * 9).div_ceil(10), count];
    let hold_s = shares.map(|count| replicas.held_time_of(count).as_secs_f64());
    let serve_s = shares.map(|count| replicas.time_of(count).as_secs_f64());
    let drawn = deployment.count(&deployment.store, "bytes_drawn").await? - drawn_before;
    let bound_s = bound(&plan).as_secs_f64();
    let copies = drawn as f64 / plan.model_bytes as f64;
    let model = tally(model.await)?;
    let keyed = tally(keyed.await)?;
    let mut refused = refused_attempts(&deployment).await;
    for (reason, before) in refused_before {
        if let Some(count) = refused.get_mut(&reason) {
            *count = count.saturating_sub(before);
        }
    }
    let end = start + replicas.held_time_of(count);
    let burst_first_byte = model.first_byte_between(start, end);
    Ok(Report {
        replicas: count,
        lost: plan.replicas() - count,
        hold_s,
        serve_s,
        origin_copies: copies,
        copies_per_drawing_domain: copies / plan.drawing_domains() as f64,
        origin_bytes: drawn,
        bound_s,
        ratio: hold_s[2] / bound_s,
        slowest: model.slowest_between(start, end, SLOWEST),
        model,
        keyed,
        refused_attempts: refused,
        idle_p99_ms,
        burst_first_byte,
        p99_ratio: burst_first_byte.p99_ms / idle_p99_ms,
        progress: progress.unwrap_or_default(),
        plan,
    })
}

/// Returns the attempts that the agents have refused as not run, by reason.
async fn refused_attempts(deployment: &Deployment) -> BTreeMap<String, u64> {
    let mut refused = BTreeMap::new();
    for agent in &deployment.agents {
        // An agent that a fault has killed has no metrics.
        let Ok(metrics) = deployment.metrics(agent.operator).await else {
            continue;
        };
        for line in metrics.lines() {
            let Some(rest) = line.strip_prefix("carobport_agent_calls_total{") else {
                continue;
            };
            let Some((labels, count)) = rest.split_once("} ") else {
                continue;
            };
            let reason = labels.split("reason=\"").nth(1).unwrap_or_default();
            let reason = reason.split('"').next().unwrap_or_default();
            if labels.contains("outcome=\"not-run\"") {
                *refused.entry(reason.to_owned()).or_default() += count.parse().unwrap_or(0);
            }
        }
    }
    refused
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
        removed: Rc::default(),
        path,
        workspace: WORKSPACE.into(),
        rate_per_s,
        duration,
        deadline: DEADLINE,
        keyed: service == PLAIN_SERVICE,
    }
}

/// Returns the lower bound of the time until all targets hold a new version.
///
/// It is the largest of three times: that of the copies which must cross the origin's link, that of the copies which
/// must cross a region's link, and that of a pipelined broadcast, size over link rate times (1 + log2 N / chunks).
pub fn bound(plan: &Plan) -> Duration {
    let size = plan.model_bytes as f64;
    let domains = plan.domains.len() as f64;
    let regions = plan.region_count() as f64;
    let drawing = match plan.transfer.as_str() {
        "direct" => plan.replicas(),
        _ => plan.drawing_domains(),
    };
    let origin = drawing as f64 * size / plan.origin_bytes_per_s as f64;
    let pipeline = 1.0 + (plan.replicas() as f64).log2() / plan.chunks() as f64;
    let broadcast = size / plan.link_bytes_per_s as f64 * pipeline;
    // Each region receives the stripes that it doesn't draw over its agents' share of its link.
    let per_region = domains / regions * f64::from(plan.engines) * plan.region_share() as f64;
    let received = 1.0 - (plan.drawing_domains() as f64 / regions).min(1.0);
    let crossing = size * received / per_region;
    Duration::from_secs_f64(origin.max(broadcast).max(crossing))
}
