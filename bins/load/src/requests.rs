//! What live requests cost the entry and the agent that they pass through, and what they add to the engine's times.
//!
//! One entry and one agent carry all requests, so that a cost measured here is that of one request or token at one
//! process of each kind.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::{JoinHandle, spawn};
use node::http::{Body, Client, Method, Request};
use serde::Serialize;
use serde_json::json;

use crate::deployment::{Deployment, Error, MODEL_SERVICE, WORKSPACE};
use crate::slopes::slope;
use crate::{BACKEND_PORT, Load, Percentiles, Plan, Usage, burst};

/// Time over which a cost is measured.
const WINDOW: Duration = Duration::from_secs(5);
/// Time over which the streams of a point begin; the window starts after it.
const RAMP: Duration = Duration::from_secs(2);
/// Time by which each stream outlasts the window; all end before the service's deadline of 10 s.
const REST: Duration = Duration::from_millis(500);
/// Time between two tokens of the engine: the target's 95th percentile, so that any delay added shows.
const TOKEN: Duration = Duration::from_millis(45);
/// Streams that go to the engine itself, for comparison.
const DIRECT: usize = 10;
/// Requests that the engine runs at once, more than any point needs.
const SLOTS: u32 = 1024;
const DEADLINE: Duration = Duration::from_secs(30);
const START_LIMIT: Duration = Duration::from_secs(30);
/// Repetitions of each size.
const RUNS: usize = 2;

/// What is varied in a series.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Variable {
    /// Whole answers a second.
    Requests,
    /// Streamed answers at a time.
    Streams,
}

/// A quantity at several sizes, and the slopes of its costs.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Series {
    /// What varies.
    pub variable: &'static str,
    /// One run each.
    pub points: Vec<Point>,
    /// Processor time of the entry, in seconds for each request or token.
    pub entry_cpu_s: f64,
    /// Processor time of the agent, in seconds for each request or token.
    pub agent_cpu_s: f64,
    /// Memory of the entry, in bytes for each unit of size.
    pub entry_memory: f64,
    /// Memory of the agent, in bytes for each unit of size.
    pub agent_memory: f64,
}

/// One run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Point {
    /// Requests a second, or streams at a time.
    pub size: usize,
    /// Requests or tokens a second that passed in the window.
    pub rate: f64,
    /// Share of a core that the entry took.
    pub entry_core: f64,
    /// Share of a core that the agent took.
    pub agent_core: f64,
    /// Resident memory of the entry, in bytes.
    pub entry_memory: u64,
    /// Resident memory of the agent, in bytes.
    pub agent_memory: u64,
    /// Requests that were not answered whole.
    pub failed: u64,
    /// Time to the first byte, or to the first token.
    pub first: Percentiles,
    /// Time to the whole answer, or between two tokens.
    pub next: Percentiles,
    /// The same as `next` at the engine itself; empty for whole answers.
    pub next_direct: Percentiles,
}

/// A streamed answer as its caller saw it.
#[derive(Debug, Default)]
struct Stream {
    first: Duration,
    /// Arrivals of tokens after the first, and the time since the one before.
    gaps: Vec<(Instant, Duration)>,
    whole: bool,
}

impl std::str::FromStr for Variable {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "requests" => Ok(Self::Requests),
            "streams" => Ok(Self::Streams),
            _ => Err(format!("`{text}` is not `requests` or `streams`")),
        }
    }
}

/// Measures the series of `variable`.
///
/// # Errors
///
/// Fails when the processes don't start or don't get ready.
pub async fn run(variable: Variable) -> Result<Series, Error> {
    let (name, sizes): (_, &[usize]) = match variable {
        Variable::Requests => ("whole answers of 16 tokens a second", &[20, 100, 300]),
        Variable::Streams => ("streams of a token each 45 ms", &[20, 100, 300]),
    };
    let mut points = Vec::new();
    for size in sizes {
        for _ in 0..RUNS {
            points.push(match variable {
                Variable::Requests => requests(*size).await?,
                Variable::Streams => streams(*size).await?,
            });
        }
    }
    let by_rate = |value: fn(&Point) -> f64| slope(&points, |point| point.rate, value);
    let by_size = |value: fn(&Point) -> f64| slope(&points, |point| point.size as f64, value);
    Ok(Series {
        variable: name,
        entry_cpu_s: by_rate(|point| point.entry_core),
        agent_cpu_s: by_rate(|point| point.agent_core),
        entry_memory: by_size(|point| point.entry_memory as f64),
        agent_memory: by_size(|point| point.agent_memory as f64),
        points,
    })
}

async fn start(token: Duration) -> Result<Deployment, Error> {
    let plan = Plan {
        domains: vec!["levis".into()],
        engines: 1,
        plains: 0,
        model_bytes: 1 << 20,
        engine_slots: SLOTS,
        token_ms: token.as_millis() as u64,
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await?;
    burst::serve_version(&deployment, "v1", START_LIMIT).await?;
    Ok(deployment)
}

async fn requests(size: usize) -> Result<Point, Error> {
    let deployment = start(Duration::from_millis(2)).await?;
    let load = Load {
        entries: deployment.callers(),
        removed: Rc::default(),
        path: format!("/v1/{MODEL_SERVICE}/v1/chat/completions"),
        workspace: WORKSPACE.into(),
        rate_per_s: size as f64,
        duration: RAMP,
        deadline: DEADLINE,
        keyed: false,
    };
    load.run().await;
    let (at, before) = (Instant::now(), usages(&deployment)?);
    let tally = Load {
        duration: WINDOW,
        ..load
    }
    .run()
    .await;
    let seconds = at.elapsed().as_secs_f64();
    let after = usages(&deployment)?;
    let mut point = Point::new(size, seconds, before, after);
    point.rate = tally.sent as f64 / seconds;
    point.failed = tally.sent - tally.outcome("answered");
    point.first = tally.first_byte;
    point.next = tally.whole;
    Ok(point)
}

async fn streams(size: usize) -> Result<Point, Error> {
    let deployment = start(TOKEN).await?;
    let entry = deployment.callers()[0];
    let engine = SocketAddr::new(deployment.engines[0].operator.ip(), BACKEND_PORT);
    let start = Instant::now();
    let begin = |index: usize, count: usize| start + RAMP / count as u32 * index as u32;
    let open = |address, path: &str, count: usize| -> Vec<JoinHandle<Stream>> {
        let tasks = (0..count)
            .map(|index| spawn(read_stream(address, path.to_owned(), begin(index, count))));
        tasks.collect()
    };
    let path = format!("/v1/{MODEL_SERVICE}");
    let tasks = open(entry, &path, size);
    let direct = open(engine, "", DIRECT);
    compio::time::sleep_until(start + RAMP).await;
    let (at, before) = (Instant::now(), usages(&deployment)?);
    compio::time::sleep(WINDOW).await;
    let (end, after) = (Instant::now(), usages(&deployment)?);
    let seconds = (end - at).as_secs_f64();
    let mut point = Point::new(size, seconds, before, after);
    let mut streams = Vec::with_capacity(size);
    for task in tasks {
        // A task only fails by a panic; its stream then counts as failed.
        streams.push(task.await.unwrap_or_default());
    }
    let mut direct_streams = Vec::with_capacity(DIRECT);
    for task in direct {
        direct_streams.push(task.await.unwrap_or_default());
    }
    let gaps = |streams: &[Stream]| -> Vec<Duration> {
        let all = streams.iter().flat_map(|stream| &stream.gaps);
        let seen = all.filter(|(time, _)| (at..end).contains(time));
        seen.map(|(_, gap)| *gap).collect()
    };
    let passed = gaps(&streams);
    point.rate = passed.len() as f64 / seconds;
    point.failed = streams.iter().filter(|stream| !stream.whole).count() as u64;
    let firsts: Vec<_> = streams.iter().map(|stream| stream.first).collect();
    point.first = Percentiles::of(&firsts);
    point.next = Percentiles::of(&passed);
    point.next_direct = Percentiles::of(&gaps(&direct_streams));
    Ok(point)
}

/// Reads a streamed answer that lasts from `begin` over the whole window.
async fn read_stream(address: SocketAddr, path: String, begin: Instant) -> Stream {
    compio::time::sleep_until(begin).await;
    let tokens = (RAMP + WINDOW + REST).as_millis() / TOKEN.as_millis();
    let message = json!({"role": "user", "content": "word"});
    let body = json!({"messages": [message], "stream": true, "max_tokens": tokens as u64});
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("{path}/v1/chat/completions"))
        .header(wire::header::WORKSPACE, WORKSPACE)
        .body(Body::from(body.to_string()))
        .expect("the path is valid");
    let sent = Instant::now();
    let mut stream = Stream::default();
    let Ok(answer) = Client::new().send(address, request, sent + DEADLINE).await else {
        return stream;
    };
    let mut last = None;
    let mut body = answer.into_body();
    loop {
        let piece = match body.next().await {
            Ok(Some(piece)) => piece,
            Ok(None) => {
                stream.whole = stream.gaps.len() + 1 >= tokens as usize;
                return stream;
            }
            Err(_) => return stream,
        };
        let now = Instant::now();
        let text = String::from_utf8_lossy(&piece);
        for _ in 0..text.matches("\"delta\"").count() {
            match last.replace(now) {
                None => stream.first = now - sent,
                Some(last) => stream.gaps.push((now, now - last)),
            }
        }
    }
}

/// Returns what the entry and the agent have used so far.
fn usages(deployment: &Deployment) -> Result<[Usage; 2], Error> {
    let usage = |member: &crate::Member| {
        member.process.usage().map_err(|source| Error::Io {
            what: format!("reading the usage of {}", member.process.name()),
            source,
        })
    };
    Ok([
        usage(&deployment.entries[0])?,
        usage(&deployment.agents[0])?,
    ])
}

impl Point {
    fn new(size: usize, seconds: f64, before: [Usage; 2], after: [Usage; 2]) -> Self {
        let core = |index: usize| (after[index].cpu_s - before[index].cpu_s) / seconds;
        Self {
            size,
            rate: 0.0,
            entry_core: core(0),
            agent_core: core(1),
            entry_memory: after[0].memory_bytes,
            agent_memory: after[1].memory_bytes,
            failed: 0,
            first: Percentiles::default(),
            next: Percentiles::default(),
            next_direct: Percentiles::default(),
        }
    }
}
