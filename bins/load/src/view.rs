//! What control costs an agent: processor time, memory and traffic against the size of its view.
//!
//! One agent serves a small model. This program plays its two entries with a store of their own and relays their
//! connections, so that the traffic is counted apart from all other. Processor time and memory are the process's own
//! figures; all runs go on at the same time.

use std::cell::{Cell, RefCell};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::{JoinHandle, spawn};
use futures::future::try_join_all;
use gossip::{
    Delta, Digest, Key, Node, Phase, Record, Scope, Store, Target, Value, Version, ViewReplies,
};
use serde::Serialize;
use tarpc::context::Context;
use wire::{Peer, Reply, Report};

use crate::deployment::{Deployment, Error, MODEL_SERVICE, io_error};
use crate::slopes::slope;
use crate::{CALL_PORT, PEER_PORT, Plan, Replicas};

/// Targets in the view: few, a large model of today, and all workers of the target size.
const SIZES: [usize; 3] = [100, 1_000, 6_500];
/// Repetitions of each size.
const RUNS: usize = 2;
/// Failure domains of the view's targets.
const DOMAINS: usize = 9;
/// Entries that the agent reports to.
const ENTRIES: u8 = 2;
/// Time over which a cost is measured.
const WINDOW: Duration = Duration::from_secs(20);
/// Most targets that are lost at once: those of one domain at target size.
const LOST: usize = 722;
const LIMIT: Duration = Duration::from_secs(150);
const POLL: Duration = Duration::from_millis(20);
const VERSION: &str = "v1";

/// The costs at several sizes of the view.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Series {
    /// Load average over a minute, at the start and at the end.
    pub load_average: [f64; 2],
    /// One run each.
    pub points: Vec<Point>,
    /// Bytes of memory for each target in the view.
    pub memory_slope: f64,
    /// Share of a core for each target in the view, without changes.
    pub core_slope: f64,
}

/// One run.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Point {
    /// Targets in the view beside the agent's own.
    pub size: usize,
    /// Resident memory before the view came, in bytes.
    pub fixed_memory: u64,
    /// Resident memory with the view, in bytes.
    pub memory: u64,
    /// Resident memory at the end, in bytes.
    pub last_memory: u64,
    /// The view comes.
    pub start: Cost,
    /// Nothing changes.
    pub still: Cost,
    /// One target is replaced within [`WINDOW`]: 4.7 times as often as 918 a day.
    pub replaced: Cost,
    /// Targets lost at once: up to 722, and at most half of the view.
    pub lost: usize,
    /// They are lost, and the view is equal again.
    pub loss: Cost,
}

/// What a span of time cost.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Cost {
    /// Length, in seconds.
    pub seconds: f64,
    /// Share of a core.
    pub core: f64,
    /// Reports sent.
    pub reports: u64,
    /// Bytes received from the entries, without headers.
    pub received: u64,
    /// Bytes sent to the entries, without headers.
    pub sent: u64,
    /// Bytes a second, in both directions.
    pub traffic: f64,
}

/// The state of the played entries, and what passed their ports.
struct Played {
    store: Store,
    views: [ViewReplies; ENTRIES as usize],
    /// Hash that the agent reported last to each entry; during an update only one of them is told the true one.
    reported: [u64; ENTRIES as usize],
    reports: u64,
}

/// Bytes that a relay has passed to and from the entries.
#[derive(Clone, Debug, Default)]
struct Traffic {
    sent: Rc<Cell<u64>>,
    received: Rc<Cell<u64>>,
}

#[derive(Clone)]
struct Entry {
    index: usize,
    played: Rc<RefCell<Played>>,
}

#[derive(Clone, Copy)]
struct Sample {
    at: Instant,
    cpu_s: f64,
    reports: u64,
    received: u64,
    sent: u64,
}

struct Running {
    deployment: Deployment,
    played: Rc<RefCell<Played>>,
    traffic: Traffic,
    network: [u8; 2],
    tasks: Vec<JoinHandle<()>>,
}

/// Measures an agent with views of 100, 1,000 and 6,500 targets.
///
/// # Errors
///
/// Fails when the processes don't start, or when the agent's view doesn't become equal to the entries'.
pub async fn run() -> Result<Series, Error> {
    let before = load_average()?;
    let sizes = SIZES.iter().flat_map(|size| [*size; RUNS]);
    let points = try_join_all(sizes.map(measure)).await?;
    let slope = |value: fn(&Point) -> f64| slope(&points, |point| point.size as f64, value);
    Ok(Series {
        load_average: [before, load_average()?],
        memory_slope: slope(|point| point.memory as f64),
        core_slope: slope(|point| point.still.core),
        points,
    })
}

async fn measure(size: usize) -> Result<Point, Error> {
    let running = Running::start().await?;
    let fixed_memory = running.memory()?;
    let records = (0..size).map(|index| running.target(index, 1, Phase::Live));
    let start = running.change(records.collect(), Duration::ZERO).await?;
    let memory = running.memory()?;
    let still = running.change(Vec::new(), WINDOW).await?;
    let replacing = vec![
        running.target(0, 1, Phase::Down),
        running.target(size, 1, Phase::Live),
    ];
    let replaced = running.change(replacing, WINDOW).await?;
    // The targets of the second domain, then of the next ones where that has too few.
    let mut order: Vec<usize> = (1..size).collect();
    order.sort_by_key(|index| (index + DOMAINS - 1) % DOMAINS);
    let lost = LOST.min(size / 2);
    let down = order[..lost]
        .iter()
        .map(|index| running.target(*index, 1, Phase::Down));
    let loss = running.change(down.collect(), Duration::ZERO).await?;
    Ok(Point {
        size,
        fixed_memory,
        memory,
        last_memory: running.memory()?,
        start,
        still,
        replaced,
        lost,
        loss,
    })
}

impl Running {
    async fn start() -> Result<Self, Error> {
        let plan = Plan {
            domains: vec![domain(0)],
            entries: 0,
            engines: 1,
            plains: 0,
            model_bytes: 1 << 20,
            ..Plan::default()
        };
        let deployment = Deployment::start(plan).await?;
        let SocketAddr::V4(platform) = deployment.platform_address() else {
            unreachable!("experiments use IPv4 addresses");
        };
        let [first, second, ..] = platform.ip().octets();
        let mut running = Self {
            deployment,
            played: Rc::new(RefCell::new(Played {
                store: Store::new(),
                views: Default::default(),
                reported: Default::default(),
                reports: 0,
            })),
            traffic: Traffic::default(),
            network: [first, second],
            tasks: Vec::new(),
        };
        let service = running.deployment.model_service(VERSION).await?;
        running.merge(Record {
            key: Key::Catalog(format!("service/{MODEL_SERVICE}")),
            version: version(1),
            value: Value::Catalog(service.to_string()),
        });
        for index in 1..=ENTRIES {
            running.listen(index).await?;
        }
        let digest = running.deployment.digest(VERSION).await?;
        let chunks = running.deployment.plan.chunks();
        Replicas::watch(running.deployment.engine_agents(), &digest, chunks)
            .wait(LIMIT)
            .await?;
        running.change(Vec::new(), Duration::from_secs(3)).await?;
        Ok(running)
    }

    /// Opens the peer port of an entry; a relay before it counts what passes.
    async fn listen(&mut self, index: u8) -> Result<(), Error> {
        let failed = io_error("opening the port of a played entry");
        let [first, second] = self.network;
        let address = |port| SocketAddr::from(([first, second, 1, index], port));
        let outer = TcpListener::bind(address(PEER_PORT)).await;
        let outer = outer.map_err(&failed)?;
        let inner = TcpListener::bind(address(CALL_PORT)).await;
        let inner = inner.map_err(&failed)?;
        let handler = Entry {
            index: usize::from(index) - 1,
            played: Rc::clone(&self.played),
        };
        let serve = async move { wire::serve(&inner, handler).await };
        self.tasks.push(spawn(serve));
        let traffic = self.traffic.clone();
        self.tasks
            .push(spawn(relay(outer, address(CALL_PORT), traffic)));
        self.merge(Record {
            key: Key::Entry(format!("entry-{index}")),
            version: version(1),
            value: Value::Entry(Node {
                domain: domain(0),
                region: domain(0),
                peer: address(PEER_PORT),
                phase: Phase::Live,
            }),
        });
        Ok(())
    }

    fn merge(&self, record: Record) {
        self.played.borrow_mut().merge(record);
    }

    /// Merges `records` at the entries, and returns what it costs the agent until its view is equal, at least `time`.
    async fn change(&self, records: Vec<Record>, time: Duration) -> Result<Cost, Error> {
        let before = self.sample()?;
        for record in records {
            self.merge(record);
        }
        let equal = async || self.played.borrow().is_equal();
        self.deployment.wait("an equal view", LIMIT, equal).await?;
        compio::time::sleep_until(before.at + time).await;
        let after = self.sample()?;
        let seconds = (after.at - before.at).as_secs_f64();
        let (received, sent) = (after.received - before.received, after.sent - before.sent);
        Ok(Cost {
            seconds,
            core: (after.cpu_s - before.cpu_s) / seconds,
            reports: after.reports - before.reports,
            received,
            sent,
            traffic: (received + sent) as f64 / seconds,
        })
    }

    fn sample(&self) -> Result<Sample, Error> {
        let usage = self.deployment.agents[0].process.usage();
        Ok(Sample {
            at: Instant::now(),
            cpu_s: usage.map_err(io_error("reading the agent's usage"))?.cpu_s,
            reports: self.played.borrow().reports,
            received: self.traffic.received.get(),
            sent: self.traffic.sent.get(),
        })
    }

    fn memory(&self) -> Result<u64, Error> {
        let usage = self.deployment.agents[0].process.usage();
        Ok(usage
            .map_err(io_error("reading the agent's usage"))?
            .memory_bytes)
    }

    /// Returns the record of a target that nothing listens for; its address is on loopback.
    fn target(&self, index: usize, incarnation: u64, phase: Phase) -> Record {
        let [first, second] = self.network;
        let [high, low] = (index as u16).to_be_bytes();
        let address =
            |port| SocketAddr::from((Ipv4Addr::new(first, second, 100 + high, low), port));
        let mut version = version(incarnation);
        version.down = phase == Phase::Down;
        Record {
            key: Key::Target(format!("vm-{index:05}")),
            version,
            value: Value::Target(Target {
                domain: domain(index),
                region: domain(index),
                service: MODEL_SERVICE.into(),
                call: address(CALL_PORT),
                chunk: address(PEER_PORT),
                phase,
            }),
        }
    }
}

impl Played {
    fn merge(&mut self, record: Record) {
        let key = record.key.clone();
        if self.store.merge(record) {
            for views in &mut self.views {
                views.record_change(&self.store, key.clone());
            }
        }
    }

    fn is_equal(&self) -> bool {
        self.reported == [scope().hash(&self.store); ENTRIES as usize]
    }
}

impl Peer for Entry {
    async fn report(self, _: Context, report: Report) -> Reply {
        let mut played = self.played.borrow_mut();
        played.reports += 1;
        played.reported[self.index] = report.view;
        if let Some(record) = report.member {
            played.merge(record);
        }
        let Played { store, views, .. } = &mut *played;
        let update = views[self.index].reply(store, &report.target, &scope(), report.view);
        Reply {
            known: store.get(&Key::Target(report.target)).is_some(),
            view: (update.hash != report.view).then_some(update.hash),
            records: update.records,
            span: update.span,
        }
    }

    async fn push(self, _: Context, _: Vec<Record>) -> Vec<Record> {
        Vec::new()
    }

    async fn exchange(self, _: Context, digest: Digest) -> Delta {
        self.played.borrow().store.answer(&digest)
    }
}

/// Passes each connection on to `to` and counts its bytes.
async fn relay(listener: TcpListener, to: SocketAddr, traffic: Traffic) {
    let mut connections = Vec::new();
    loop {
        let (Ok((caller, _)), Ok(entry)) = (listener.accept().await, TcpStream::connect(to).await)
        else {
            compio::time::sleep(POLL).await;
            continue;
        };
        let (sent, received) = (Rc::clone(&traffic.sent), Rc::clone(&traffic.received));
        connections.push(spawn(copy(caller.clone(), entry.clone(), sent)));
        connections.push(spawn(copy(entry, caller, received)));
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, count: Rc<Cell<u64>>) {
    let mut buffer = Vec::with_capacity(64 << 10);
    loop {
        buffer.clear();
        let read = from.read(buffer).await;
        let (Ok(1..), filled) = (read.0, read.1) else {
            return;
        };
        count.set(count.get() + filled.len() as u64);
        let written = to.write_all(filled).await;
        if written.0.is_err() {
            return;
        }
        buffer = written.1;
    }
}

fn scope() -> Scope {
    Scope {
        domain: domain(0),
        services: vec![MODEL_SERVICE.into()],
    }
}

/// Returns the failure domain of the target `index`; names have a usual length.
fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

fn version(major: u64) -> Version {
    Version {
        major,
        ..Version::default()
    }
}

fn load_average() -> Result<f64, Error> {
    let text = fs::read_to_string("/proc/loadavg");
    let text = text.map_err(io_error("reading the load average"))?;
    let first = text.split_whitespace().next();
    Ok(first.and_then(|value| value.parse().ok()).unwrap_or(0.0))
}
