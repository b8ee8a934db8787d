//! What control costs an entry: processor time, memory and traffic against the size of the system; [`view`] measures
//! an agent.
//!
//! An entry runs alone with a platform. This program plays its targets and the other entries: it sends reports, records
//! and catalogue changes. Traffic is read from the counters of the loopback device, so nothing else may use it.

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gossip::{Key, Node, Phase, Record, Target, Value, Version};
use platform::Condition;
use serde::Serialize;
use serde_json::json;
use wire::{Client, Gate, REPORT_INTERVAL, Report};

use crate::deployment::{Deployment, Error, Member};
use crate::{Plan, Usage, view};

const DOMAIN: &str = "levis";
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time before the measurement starts, in which start-up work ends.
const SETTLE: Duration = Duration::from_secs(2);
/// Time over which a cost is measured.
const WINDOW: Duration = Duration::from_secs(10);
/// Repetitions of each size.
const RUNS: usize = 2;
/// Records in one push.
const PUSH: usize = 500;

/// A quantity at several sizes, and the slopes of its costs.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Series {
    /// What varies.
    pub variable: &'static str,
    /// One run each.
    pub points: Vec<Point>,
    /// Processor time: share of a core for each unit.
    pub core_slope: f64,
    /// Bytes of memory for each unit.
    pub memory_slope: f64,
    /// Bytes a second over the network, both directions, for each unit.
    pub traffic_slope: f64,
}

/// The figures of a variable.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(untagged)]
pub enum Figures {
    /// Costs of an entry.
    Entry(Series),
    /// Costs of an agent.
    Agent(view::Series),
}

/// One run.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Point {
    /// Size.
    pub size: usize,
    /// Share of a core.
    pub core: f64,
    /// Resident memory, in bytes.
    pub memory: u64,
    /// Bytes a second over the network, both directions.
    pub traffic: f64,
}

/// What is varied in a series.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Variable {
    /// Targets that report at the agents' interval.
    Reports,
    /// Members known by gossip.
    Members,
    /// Catalogue changes in 10 s.
    Changes,
    /// Targets in the view of an agent; [`crate::view::run`] measures it.
    View,
}

impl std::str::FromStr for Variable {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "reports" => Ok(Self::Reports),
            "members" => Ok(Self::Members),
            "changes" => Ok(Self::Changes),
            "view" => Ok(Self::View),
            _ => Err(format!(
                "`{text}` is not `reports`, `members`, `changes` or `view`"
            )),
        }
    }
}

/// Measures the series of `variable`.
///
/// # Errors
///
/// Fails when an entry or agent doesn't start or doesn't answer.
pub async fn run(variable: Variable) -> Result<Figures, Error> {
    let series = match variable {
        Variable::Reports => {
            let name = "targets that report every 1.4 s";
            series(name, &[10, 50, 200], async |entry, size| {
                report(entry, size).await
            })
            .await
        }
        Variable::Members => {
            let name = "members known by gossip";
            series(name, &[1_000, 3_000, 7_100], async |entry, size| {
                known(entry, size).await
            })
            .await
        }
        Variable::Changes => {
            let name = "catalogue changes in 10 s";
            series(name, &[10, 50, 200], async |entry, size| {
                change(entry, size).await
            })
            .await
        }
        Variable::View => return view::run().await.map(Figures::Agent),
    };
    series.map(Figures::Entry)
}

async fn series(
    variable: &'static str,
    sizes: &[usize],
    load: impl AsyncFn(&Running, usize) -> Result<(), Error>,
) -> Result<Series, Error> {
    let mut points = Vec::new();
    for size in sizes.iter().copied() {
        for _ in 0..RUNS {
            let running = Running::start().await?;
            let before = running.sample()?;
            load(&running, size).await?;
            points.push(running.point(size, &before)?);
        }
    }
    let slope = |value: fn(&Point) -> f64| slope(&points, |point| point.size as f64, value);
    Ok(Series {
        variable,
        core_slope: slope(|point| point.core),
        memory_slope: slope(|point| point.memory as f64),
        traffic_slope: slope(|point| point.traffic),
        points,
    })
}

/// An entry and its platform.
struct Running {
    deployment: Deployment,
    window: std::cell::Cell<Option<Sample>>,
}

/// Counters at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    usage: Usage,
    traffic: u64,
}

impl Running {
    async fn start() -> Result<Self, Error> {
        let plan = Plan {
            domains: vec![DOMAIN.into()],
            engines: 0,
            plains: 0,
            ..Plan::default()
        };
        let deployment = Deployment::start(plan).await?;
        compio::time::sleep(SETTLE).await;
        Ok(Self {
            deployment,
            window: std::cell::Cell::default(),
        })
    }

    fn entry(&self) -> &Member {
        &self.deployment.entries[0]
    }

    fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.entry().operator.ip(), crate::PEER_PORT)
    }

    async fn connect(&self) -> Result<Client, Error> {
        let connected = wire::connect(self.peer(), TIMEOUT).await;
        connected.map_err(|error| answer("connecting to the peer port", &error))
    }

    fn sample(&self) -> Result<Sample, Error> {
        let failed = |source| Error::Io {
            what: "reading the entry's usage".into(),
            source,
        };
        Ok(Sample {
            at: Instant::now(),
            usage: self.entry().process.usage().map_err(failed)?,
            traffic: loopback_bytes().map_err(failed)?,
        })
    }

    /// Starts the window again, after the work that only builds up the state.
    fn restart_window(&self) -> Result<(), Error> {
        self.window.set(Some(self.sample()?));
        Ok(())
    }

    fn point(&self, size: usize, before: &Sample) -> Result<Point, Error> {
        let start = self.window.get().unwrap_or(*before);
        let end = self.sample()?;
        let seconds = (end.at - start.at).as_secs_f64();
        Ok(Point {
            size,
            core: (end.usage.cpu_s - start.usage.cpu_s) / seconds,
            memory: end.usage.memory_bytes,
            traffic: end.traffic.saturating_sub(start.traffic) as f64 / seconds,
        })
    }
}

/// Sends a report of each of `size` targets at the interval of agents whose load doesn't change.
async fn report(running: &Running, size: usize) -> Result<(), Error> {
    let mut clients = Vec::with_capacity(size);
    let mut views = vec![0; size];
    for _ in 0..size {
        clients.push(running.connect().await?);
    }
    // Two rounds: the targets join, then take the records of those that joined after them.
    for sequence in 1..=2 {
        for (index, client) in clients.iter().enumerate() {
            views[index] = send(client, index, sequence, views[index]).await?;
        }
    }
    running.restart_window()?;
    let start = Instant::now();
    let rounds = (WINDOW.as_millis() / REPORT_INTERVAL.as_millis()) as u32;
    for round in 0..rounds {
        for (index, client) in clients.iter().enumerate() {
            let offset = REPORT_INTERVAL / size as u32 * index as u32;
            compio::time::sleep_until(start + REPORT_INTERVAL * round + offset).await;
            let sequence = u64::from(round) + 3;
            views[index] = send(client, index, sequence, views[index]).await?;
        }
    }
    Ok(())
}

/// Sends a report of a target that holds the records with the hash `view`, and returns the hash that it holds then.
async fn send(client: &Client, index: usize, sequence: u64, view: u64) -> Result<u64, Error> {
    let record = target(index, DOMAIN);
    let report = Report {
        target: name(index),
        incarnation: 1,
        sequence,
        gate: Gate::Open,
        weights: Some(0x0123_4567_89ab_cdef),
        chunks: 0,
        running: 3,
        waiting: 1,
        slots: 0,
        view,
        member: (sequence == 1).then_some(record),
    };
    let sent = client.report(report).await;
    sent.map(|reply| reply.view.unwrap_or(view))
        .map_err(|error| answer("sending a report", &error))
}

/// Pushes the records of `size` members of other domains, then leaves the entry alone.
async fn known(running: &Running, size: usize) -> Result<(), Error> {
    let records: Vec<Record> = (0..size)
        .map(|index| match index % 12 {
            0 => entry(index),
            _ => target(index, "beauce"),
        })
        .collect();
    let client = running.connect().await?;
    for part in records.chunks(PUSH) {
        let pushed = client.push(part.to_vec()).await;
        pushed.map_err(|error| answer("pushing records", &error))?;
    }
    compio::time::sleep(SETTLE).await;
    running.restart_window()?;
    compio::time::sleep(WINDOW).await;
    Ok(())
}

/// Writes `size` catalogue entries over the window.
async fn change(running: &Running, size: usize) -> Result<(), Error> {
    let platform = platform::Client::new(running.deployment.platform_address(), TIMEOUT);
    running.restart_window()?;
    let start = Instant::now();
    for index in 0..size {
        compio::time::sleep_until(start + WINDOW / size as u32 * index as u32).await;
        let key = format!("workspace/w{index}");
        let value = json!({
            "entry": {
                "kind": "workspace", "name": format!("w{index}"), "owner": "league-office",
                "class": "urgent", "limits": {"concurrent": 20, "rate_per_s": 30.0},
                "services": ["assistant", "club-registry"],
            },
            "author": "load", "time_ms": 0, "write": "slopes", "history": [],
        });
        let put = platform.put("catalog", &key, &value, Condition::Any).await;
        put.map_err(|error| answer("writing an entry", &error))?;
    }
    compio::time::sleep_until(start + WINDOW).await;
    Ok(())
}

fn name(index: usize) -> String {
    format!("vm-{index:05}")
}

fn target(index: usize, domain: &str) -> Record {
    let [high, low] = (index as u16).to_be_bytes();
    let address = |port| SocketAddr::from(([10, 1, high, low], port));
    Record {
        key: Key::Target(name(index)),
        version: version(),
        value: Value::Target(Target {
            domain: domain.into(),
            region: domain.into(),
            service: "assistant".into(),
            call: address(crate::CALL_PORT),
            chunk: address(crate::PEER_PORT),
            phase: Phase::Live,
        }),
    }
}

/// Returns the record of an entry that is leaving, so that the measured entry makes no connections to it.
fn entry(index: usize) -> Record {
    let [high, low] = (index as u16).to_be_bytes();
    Record {
        key: Key::Entry(format!("entry-{index:05}")),
        version: version(),
        value: Value::Entry(Node {
            domain: "beauce".into(),
            region: "beauce".into(),
            peer: SocketAddr::from(([127, 250, high, low], crate::PEER_PORT)),
            phase: Phase::Leaving,
        }),
    }
}

fn version() -> Version {
    Version {
        major: 1,
        ..Version::default()
    }
}

fn answer(what: &str, error: &dyn std::fmt::Display) -> Error {
    Error::Answer {
        what: what.into(),
        reason: error.to_string(),
    }
}

/// Returns the bytes that the loopback device has received, headers included.
fn loopback_bytes() -> std::io::Result<u64> {
    let text = fs::read_to_string("/proc/net/dev")?;
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let field = line.and_then(|line| line.split_whitespace().next());
    let bytes = field.and_then(|field| field.parse().ok());
    bytes.ok_or_else(|| std::io::Error::other("/proc/net/dev names no loopback device"))
}

/// Returns the least-squares slope of `value` against `size` over the points.
pub(crate) fn slope<P>(points: &[P], size: impl Fn(&P) -> f64, value: impl Fn(&P) -> f64) -> f64 {
    let count = points.len() as f64;
    let mean_size = points.iter().map(&size).sum::<f64>() / count;
    let mean_value = points.iter().map(&value).sum::<f64>() / count;
    let (mut covariance, mut variance) = (0.0, 0.0);
    for point in points {
        let distance = size(point) - mean_size;
        covariance += distance * (value(point) - mean_value);
        variance += distance.powi(2);
    }
    covariance / variance
}
