//! Test environment: the transfers of several agents in one process, with a minimal weight store, platform and engines
//! on loopback.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agent::chunk_server;
use agent::transfer::{Holdings, Order, Origin, Rates, Settings, Transfer};
use burst::{Members, Peer};
use bytes::Bytes;
use catalog::Plan;
use compio::runtime::{JoinHandle, spawn};
use node::http::{Body, Limits, Request, Response, StatusCode, header, json, response, serve};
use platform::wire::{self, Call};
use platform::{Object, Revision};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use weights::{Digest, Manifest, Pin};

pub const CHUNK: usize = 16 << 10;

/// Weight store and platform, served on one port.
#[derive(Default)]
pub struct TestEnv {
    pub address: Cell<Option<SocketAddr>>,
    pub versions: RefCell<HashMap<String, (Manifest, Vec<u8>)>>,
    pub objects: RefCell<BTreeMap<String, Object>>,
    /// Bytes served to draws.
    pub drawn: Cell<u64>,
    /// Number of upcoming draws that get status 503.
    pub draws_to_refuse: Cell<u32>,
    /// Number of upcoming draws whose connection fails after half of the bytes.
    pub draws_to_cut: Cell<u32>,
    /// Number of upcoming writes that take effect but get status 502.
    pub writes_to_lose: Cell<u32>,
    /// Number of upcoming writes that get status 503.
    pub writes_to_refuse: Cell<u32>,
}

/// Stand-in for an agent's engine that records what was staged.
#[derive(Default)]
pub struct Engine {
    pub staged: RefCell<HashSet<(Digest, u32)>>,
    pub manifests: RefCell<HashMap<Digest, Manifest>>,
}

pub struct Agent {
    pub peer: Peer,
    pub transfer: Transfer,
    pub holdings: Rc<Holdings>,
    pub engine: Rc<Engine>,
    pub complete: Rc<RefCell<Vec<Pin>>>,
    _tasks: [JoinHandle<()>; 3],
}

/// Decrements `count` unless it is zero, and returns whether it did.
fn try_decrement(count: &Cell<u32>) -> bool {
    let before = count.get();
    count.set(before.saturating_sub(1));
    before > 0
}

pub fn data(seed: u64, chunks: usize) -> Vec<u8> {
    let block = |n: u64| (seed + n).to_le_bytes().repeat(CHUNK / 8);
    (0..chunks as u64).flat_map(block).collect()
}

pub fn listen() -> (compio::net::TcpListener, SocketAddr) {
    let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Runs `test` in an environment whose store holds version `v1` with 48 chunks.
pub fn with_test_env<F: Future<Output = ()>>(test: impl FnOnce(Rc<TestEnv>) -> F) {
    node::run("test", async {
        let env = Rc::new(TestEnv::default());
        env.publish("v1", data(0, 48));
        let (listener, address) = listen();
        env.address.set(Some(address));
        let handler = {
            let env = Rc::clone(&env);
            move |_: SocketAddr, request: Request<Bytes>| {
                let env = Rc::clone(&env);
                async move { env.answer(&request).await }
            }
        };
        let server = spawn(serve(
            listener,
            Limits::default(),
            handler,
            std::future::pending(),
        ));
        test(env).await;
        drop(server);
    })
    .unwrap();
}

impl TestEnv {
    pub fn publish(&self, version: &str, data: Vec<u8>) -> Pin {
        let manifest = Manifest::build(&data, CHUNK as u32);
        let pin = Pin::new("m", version, manifest.digest());
        self.versions
            .borrow_mut()
            .insert(version.into(), (manifest, data));
        pin
    }

    pub fn pin(&self, version: &str) -> Pin {
        Pin::new("m", version, self.versions.borrow()[version].0.digest())
    }

    pub fn size(&self, version: &str) -> u64 {
        self.versions.borrow()[version].1.len() as u64
    }

    async fn answer(&self, request: &Request<Bytes>) -> Response<Body> {
        let path: Vec<&str> = request.uri().path().split('/').skip(1).collect();
        match path[..] {
            ["weights", _, version, "manifest"] => {
                json(StatusCode::OK, &self.versions.borrow()[version].0)
            }
            ["weights", _, version, "data"] => self.draw(version, request),
            _ => match Call::parse(request) {
                Some(call) => self.object(call).await,
                None => response(StatusCode::NOT_FOUND, ""),
            },
        }
    }

    fn draw(&self, version: &str, request: &Request<Bytes>) -> Response<Body> {
        if try_decrement(&self.draws_to_refuse) {
            return response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let range = request.headers()[header::RANGE]
            .to_str()
            .unwrap()
            .trim_start_matches("bytes=")
            .to_owned();
        let (first, last) = range.split_once('-').unwrap();
        let bytes = self.versions.borrow()[version].1
            [first.parse().unwrap()..=last.parse().unwrap()]
            .to_vec();
        if try_decrement(&self.draws_to_cut) {
            let half = Bytes::from(bytes[..bytes.len() / 2].to_vec());
            self.drawn.set(self.drawn.get() + half.len() as u64);
            let cut = futures::stream::unfold(Some(half), |half| async {
                match half {
                    Some(half) => Some((Ok(half), None)),
                    None => {
                        // The first half must have been sent before the connection fails; otherwise it wasn't drawn.
                        compio::time::sleep(Duration::from_millis(20)).await;
                        Some((Err(std::io::ErrorKind::UnexpectedEof.into()), None))
                    }
                }
            });
            return response(StatusCode::PARTIAL_CONTENT, Body::stream(cut));
        }
        self.drawn.set(self.drawn.get() + bytes.len() as u64);
        response(StatusCode::PARTIAL_CONTENT, bytes)
    }

    async fn object(&self, call: Call) -> Response<Body> {
        let (name, write) = match call {
            Call::Get { name, .. } => (name, None),
            Call::Create { name, value, .. } => (name, Some((None, value))),
            Call::Replace {
                name,
                revision,
                value,
                ..
            } => (name, Some((revision, value))),
            Call::List { .. } | Call::Watch { .. } => panic!("no transfer lists objects"),
        };
        if write.is_some() && try_decrement(&self.writes_to_refuse) {
            return response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let held = self.objects.borrow().get(&name).cloned();
        let Some((seen, value)) = write else {
            return match held {
                Some(object) => wire::object_response(StatusCode::OK, &object),
                None => response(StatusCode::NOT_FOUND, ""),
            };
        };
        let revision = held.as_ref().map(|held| held.revision.number);
        if seen != revision {
            return match held {
                Some(object) => wire::object_response(StatusCode::CONFLICT, &object),
                None => response(StatusCode::NOT_FOUND, ""),
            };
        }
        let object = Object {
            name: name.clone(),
            revision: Revision::new(0, revision.unwrap_or(0) + 1),
            value,
        };
        self.objects.borrow_mut().insert(name, object.clone());
        if try_decrement(&self.writes_to_lose) {
            return response(StatusCode::BAD_GATEWAY, "");
        }
        wire::object_response(StatusCode::OK, &object)
    }

    /// Starts an agent in `domain`; its members aren't set yet.
    pub fn start(&self, domain: &str, number: usize) -> Agent {
        let (listener, address) = listen();
        let (engine_listener, engine_address) = listen();
        let engine = Rc::new(Engine::default());
        let handler = {
            let engine = Rc::clone(&engine);
            move |_: SocketAddr, request: Request<Bytes>| {
                let answer = engine.put(&request);
                async move { answer }
            }
        };
        let limits = Limits::default();
        let engine_task = spawn(serve(
            engine_listener,
            limits,
            handler,
            std::future::pending(),
        ));
        let rates = Rates {
            uplink: 200 << 20,
            downlink: 200 << 20,
            inter_region: 200 << 20,
            burst_time: Rates::BULK_BURST_TIME,
            piece_bytes: Rates::BULK_PIECE_BYTES,
        };
        let holdings = Rc::new(Holdings::new(domain, domain, &rates, 1 << 30, 2));
        let peer = Peer {
            name: format!("{domain}-{number}"),
            domain: domain.into(),
            region: domain.into(),
            address,
        };
        let env_address = self.address.get().unwrap();
        let settings = Settings {
            local: peer.clone(),
            incarnation: 1,
            origin: Origin::Store(env_address),
            engine: Some(engine_address),
            max_requests: 8,
            max_upstream_requests: burst::MAX_UPSTREAM_REQUESTS,
            max_retry_delay: burst::MAX_RETRY_DELAY,
        };
        let platform = platform::Client::new(env_address, Duration::from_secs(1));
        let complete: Rc<RefCell<Vec<Pin>>> = Rc::default();
        let on_complete = {
            let complete = Rc::clone(&complete);
            move |pin: &Pin| complete.borrow_mut().push(pin.clone())
        };
        let (transfer, worker) =
            Transfer::new(settings, Rc::clone(&holdings), Some(platform), on_complete);
        let server = chunk_server::serve(listener, Rc::clone(&holdings), std::future::pending());
        Agent {
            peer,
            transfer,
            holdings,
            engine,
            complete,
            _tasks: [spawn(worker.run()), spawn(server), engine_task],
        }
    }

    /// Starts 2 agents in each domain, with all of them as members and `v1` as the wanted weights.
    pub fn start_agents(&self, domains: &[&str], plan: Plan) -> Vec<Agent> {
        let agents: Vec<Agent> = domains
            .iter()
            .flat_map(|domain| (0..2).map(|number| self.start(domain, number)))
            .collect();
        set_members(&agents, &[]);
        set_wanted(&agents, &self.pin("v1"), plan);
        agents
    }

    /// Asserts that all chunks of `version` are staged in each engine.
    pub fn check_staged(&self, agents: &[Agent], version: &str) {
        let chunks = self.versions.borrow()[version].0.chunks.len() as u32;
        let digest = self.pin(version).digest;
        for agent in agents {
            let staged = agent.engine.staged.borrow();
            assert!(
                (0..chunks).all(|chunk| staged.contains(&(digest, chunk))),
                "{} lacks chunks",
                agent.peer.name
            );
        }
    }
}

impl Agent {
    /// Returns the value of the metric `carobport_agent_{name}` as the operator port shows it; `name` includes the
    /// labels.
    pub fn metric(&self, name: &str) -> u64 {
        let mut registry = Registry::default();
        self.holdings.metrics.register(&mut registry);
        let mut text = String::new();
        encode(&mut text, &registry).unwrap();
        let start = format!("carobport_agent_{name} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&start));
        value
            .unwrap_or_else(|| panic!("no {name} in {text}"))
            .parse()
            .unwrap()
    }
}

/// Sets the members of all agents to `agents` and `others`.
pub fn set_members(agents: &[Agent], others: &[Peer]) {
    let peers = agents.iter().map(|agent| &agent.peer).chain(others);
    let members = Members::new(peers.cloned());
    for agent in agents {
        agent.transfer.set_members(members.clone());
    }
}

pub fn set_wanted(agents: &[Agent], pin: &Pin, plan: Plan) {
    for agent in agents {
        let pin = pin.clone();
        agent.transfer.set_wanted(Some(Order {
            pin,
            plan,
            origin_chunk_time: Duration::ZERO,
            draws_since: None,
        }));
    }
}

/// Waits for up to 30 s until `pin` is the last transfer that each agent completed.
pub async fn wait_complete(agents: &[Agent], pin: &Pin) {
    let deadline = Instant::now() + Duration::from_secs(30);
    let done = |agent: &Agent| agent.complete.borrow().last() == Some(pin);
    while !agents.iter().all(done) {
        let state: Vec<_> = agents
            .iter()
            .map(|agent| (&agent.peer.name, agent.transfer.progress()))
            .collect();
        assert!(Instant::now() < deadline, "not complete: {state:?}");
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until the agents together hold `count` verified chunks of their current transfers.
pub async fn wait_chunks(agents: &[Agent], count: u32) {
    let held = |agent: &Agent| agent.transfer.progress().chunks - agent.transfer.progress().missing;
    while agents.iter().map(held).sum::<u32>() < count {
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

impl Engine {
    /// Stages a manifest or a chunk; panics if the chunk doesn't match the manifest.
    fn put(&self, request: &Request<Bytes>) -> Response<Body> {
        let path: Vec<&str> = request.uri().path().split('/').skip(1).collect();
        match path[..] {
            ["weights", digest, "manifest"] => {
                let manifest: Manifest = serde_json::from_slice(request.body()).unwrap();
                assert_eq!(manifest.digest().to_string(), digest);
                self.manifests
                    .borrow_mut()
                    .insert(manifest.digest(), manifest);
            }
            ["weights", digest, "chunks", index] => {
                let (digest, index) = (digest.parse().unwrap(), index.parse().unwrap());
                assert!(
                    self.manifests.borrow()[&digest].verify(index, request.body()),
                    "a wrong chunk was staged"
                );
                self.staged.borrow_mut().insert((digest, index));
            }
            _ => panic!("unexpected path {path:?}"),
        }
        response(StatusCode::OK, "")
    }
}
