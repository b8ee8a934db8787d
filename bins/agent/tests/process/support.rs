//! Starts an agent and stand-ins as processes, and plays the entry they report to.

use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::{JoinHandle, spawn};
use gossip::{Key, Record, Value as Content, Version};
use loopback::unused_address;
use node::http::{Body, Client, Error, Request, Response, ResponseBody};
use serde_json::{Value, json};
use tarpc::context::Context;
use weights::{Manifest, Pin};
use wire::{Delta, Digest, Peer, Reply, Report};

/// Time in which anything that a test waits for must happen.
const SOON: Duration = Duration::from_secs(20);

/// A process of a test; killed when dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    stdout: BufReader<ChildStdout>,
}

/// An entry that answers each report with all records.
#[derive(Clone, Default)]
pub struct Entry {
    records: Rc<RefCell<Vec<Record>>>,
    reports: Rc<RefCell<Vec<Report>>>,
}

/// Stand-ins, an entry and the settings of one agent.
pub struct World {
    pub store: Process,
    backend: Process,
    entry: Entry,
    pub settings: Value,
    client: Client,
    pub platform: Process,
    _entry: JoinHandle<()>,
}

/// Outcome and reason of a call that was not answered.
pub type Refusal = (String, String);

impl Process {
    /// Starts a stand-in on a free port and waits until it serves.
    pub fn standin(role: &str, mut settings: Value) -> Self {
        settings["listen"] = "127.0.0.1:0".into();
        let agent = Path::new(env!("CARGO_BIN_EXE_carobport-agent"));
        let binary = agent.with_file_name("carobport-standin");
        assert!(
            binary.exists(),
            "build the stand-ins first: cargo build --workspace --bins"
        );
        let mut command = Command::new(binary);
        command.arg(role).arg(file(role, &settings));
        let (mut process, line) = Self::start(&mut command, " 600 ");
        let (_, address) = line.split_once("address=").unwrap();
        process.address = address.trim().parse().unwrap();
        process
    }

    /// Starts an agent and waits until its ports are open.
    pub fn agent(settings: &Value) -> Self {
        Self::agent_until(settings, " 309 ")
    }

    /// Starts an agent and waits until it logs the event number `ready`.
    pub fn agent_until(settings: &Value, ready: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_carobport-agent"));
        let name = settings["call_listen"].as_str().unwrap().replace(':', "-");
        command.arg("--settings").arg(file(&name, settings));
        let (mut process, _) = Self::start(&mut command, ready);
        process.address = settings["call_listen"].as_str().unwrap().parse().unwrap();
        process
    }

    fn start(command: &mut Command, ready: &str) -> (Self, String) {
        // Tests wait for events of the level `info`.
        let command = command
            .env_remove(node::log::LEVEL_VARIABLE)
            .stdout(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        while !line.contains(ready) {
            line.clear();
            assert_ne!(stdout.read_line(&mut line).unwrap(), 0, "the process ended");
        }
        let process = Self {
            child,
            address: ([127, 0, 0, 1], 0).into(),
            stdout,
        };
        (process, line)
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-TERM", &pid])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Returns what the process has logged since it was ready; it must have ended.
    pub fn rest_of_log(&mut self) -> String {
        let mut text = String::new();
        std::io::Read::read_to_string(&mut self.stdout, &mut text).unwrap();
        text
    }

    /// Waits for the end of the process.
    pub async fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        until("the exit", async || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Peer for Entry {
    async fn report(self, _: Context, report: Report) -> Reply {
        if let Some(member) = &report.member {
            let mut records = self.records.borrow_mut();
            records.retain(|record| record.key != member.key || record.version > member.version);
            records.push(member.clone());
        }
        let key = gossip::Key::Target(report.target.clone());
        let known = self.records.borrow().iter().any(|record| record.key == key);
        self.reports.borrow_mut().push(report);
        Reply {
            known,
            view: None,
            records: self.records.borrow().clone(),
            span: None,
        }
    }

    async fn push(self, _: Context, _: Vec<Record>) -> Vec<Record> {
        Vec::new()
    }

    async fn exchange(self, _: Context, _: Digest) -> Delta {
        Delta::default()
    }
}

/// Runs `test` with a backend's stand-in of `role` and its settings.
pub fn with_world<F: Future<Output = ()>>(
    role: &str,
    backend: Value,
    test: impl FnOnce(World) -> F,
) {
    node::run("test", async {
        let world = World::start(role, backend);
        test(world).await;
    })
    .unwrap();
}

impl World {
    fn start(role: &str, backend: Value) -> Self {
        let model = |version: &str| json!({"name": "lm", "version": version, "size": 300_000, "chunk_size": 65_536});
        let platform = Process::standin("platform", json!({"vms": []}));
        let store = Process::standin("store", json!({"models": [model("v1"), model("v2")]}));
        let backend = Process::standin(role, backend);
        let entry = Entry::default();
        let listener = node::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let settings = json!({
            "name": "vm-1", "domain": "levis", "region": "levis", "service": "desk", "backend": role,
            "backend_address": backend.address, "call_listen": unused_address(), "chunk_listen": unused_address(),
            "operator_listen": unused_address(), "order_listen": unused_address(), "platform": platform.address,
            "store": store.address, "seeds": [listener.local_addr().unwrap()],
        });
        let handler = entry.clone();
        Self {
            store,
            backend,
            platform,
            entry,
            settings,
            client: Client::new(),
            _entry: spawn(async move { wire::serve(&listener, handler).await }),
        }
    }

    /// Makes the entry pass on that the VM list names the agent's VM as leaving.
    pub fn tell_to_leave(&self) {
        let mut records = self.entry.records.borrow_mut();
        for record in records.iter_mut() {
            if let Content::Target(target) = &mut record.value {
                target.phase = gossip::Phase::Leaving;
                record.version.down = true;
            }
        }
    }

    /// Makes the entry drop the records of all members.
    pub fn drop_members(&self) {
        let mut records = self.entry.records.borrow_mut();
        records.retain(|record| record.value.phase().is_none());
    }

    /// Publishes the catalogue entry of the service at `revision`.
    pub fn publish(&self, revision: u64, repeatable: bool, pin: Option<&Pin>) {
        let model = pin.map(|pin| {
            json!({"name": pin.model, "version": pin.version, "digest": pin.digest, "plan": "direct"})
        });
        let mut service = json!({
            "kind": "service", "name": "desk", "owner": "league", "class": "urgent", "repeatable": repeatable,
            "backend": if pin.is_some() { "model" } else { "plain" }, "deadline_ms": 5_000,
        });
        if let Some(model) = model {
            service["model"] = model;
        }
        let record = Record {
            key: Key::Catalog("service/desk".into()),
            version: Version {
                major: revision,
                ..Version::default()
            },
            value: Content::Catalog(service.to_string()),
        };
        let mut records = self.entry.records.borrow_mut();
        records.retain(|held| held.key != record.key);
        records.push(record);
    }

    /// Returns the pin of a version in the store.
    pub async fn pin(&self, version: &str) -> Pin {
        let path = format!("/weights/lm/{version}/manifest");
        let body = self.get(self.store.address, &path).await;
        let manifest: Manifest = serde_json::from_slice(&body).unwrap();
        Pin::new("lm", version, manifest.digest())
    }

    /// Publishes `version`, starts an agent and waits until it serves it.
    pub async fn serving(&self, version: &str) -> (Process, Pin) {
        let pin = self.pin(version).await;
        self.publish(1, true, Some(&pin));
        let agent = Process::agent(&self.settings);
        self.wait_open(&pin).await;
        (agent, pin)
    }

    /// Waits until the agent answers calls for `pin`.
    pub async fn wait_open(&self, pin: &Pin) {
        until("an answer", async || self.ask(Some(pin)).await.is_ok()).await;
    }

    /// Returns the highest fencing number that the engine took.
    pub async fn engine_number(&self) -> u64 {
        let status = self.get(self.backend.address, "/status").await;
        let status: Value = serde_json::from_slice(&status).unwrap();
        status["fencing_number"].as_u64().unwrap()
    }

    /// Makes a call to an engine and returns its whole answer.
    pub async fn ask(&self, pin: Option<&Pin>) -> Result<Bytes, Refusal> {
        let answer = self
            .call(pin, json!({"messages": [], "max_tokens": 2}))
            .await;
        let answer = answer.map_err(|error| ("lost".to_owned(), error.to_string()))?;
        let text = |name: &str| {
            let value = answer.headers().get(name);
            value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
        };
        let refusal = (text(wire::header::OUTCOME), text(wire::header::REASON));
        assert_eq!(
            text(wire::header::REQUEST),
            "00000000000000000000000000000007"
        );
        if refusal.0 != "answered" {
            return Err(refusal);
        }
        if let Some(pin) = pin {
            assert_eq!(text(wire::header::WEIGHTS), pin.digest.to_string());
        }
        answer
            .into_body()
            .collect(1 << 20)
            .await
            .map_err(|error| ("cut".into(), error.to_string()))
    }

    /// Sends a completion request to the agent.
    pub async fn call(
        &self,
        pin: Option<&Pin>,
        body: Value,
    ) -> Result<Response<ResponseBody>, Error> {
        let address = self.settings["call_listen"]
            .as_str()
            .unwrap()
            .parse()
            .unwrap();
        self.call_at(address, pin, body).await
    }

    /// Sends a completion request to the agent at `address`.
    pub async fn call_at(
        &self,
        address: SocketAddr,
        pin: Option<&Pin>,
        body: Value,
    ) -> Result<Response<ResponseBody>, Error> {
        let mut request = Request::post("/call/desk/v1/chat/completions")
            .header(wire::header::REQUEST, "00000000000000000000000000000007");
        if let Some(pin) = pin {
            request = request.header(wire::header::PIN, pin.to_string());
        }
        let request = request.body(body.to_string().into()).unwrap();
        self.client
            .send(address, request, Instant::now() + SOON)
            .await
    }

    /// Returns the digest that the agent at `address` serves, if its gate is open.
    pub async fn open_at(&self, address: SocketAddr) -> Option<String> {
        let weights: Value = serde_json::from_slice(&self.get(address, "/weights").await).unwrap();
        weights["open"].as_str().map(str::to_owned)
    }

    /// Makes a call with a key and returns its outcome and body.
    pub async fn book(&self, key: uuid::Uuid) -> (String, Bytes) {
        self.try_book(key).await.expect("an answer")
    }

    /// Makes a call with a key and returns its outcome and body, or nothing when the connection broke.
    pub async fn try_book(&self, key: uuid::Uuid) -> Option<(String, Bytes)> {
        let request = Request::post("/call/desk/book")
            .header(wire::header::REQUEST, "00000000000000000000000000000007")
            .header(wire::header::WORKSPACE, "clerks")
            .header(wire::header::IDEMPOTENCY_KEY, key.to_string());
        let address = self.settings["call_listen"]
            .as_str()
            .unwrap()
            .parse()
            .unwrap();
        let request = request.body("green 4".into()).unwrap();
        let deadline = Instant::now() + SOON;
        let answer = self.client.send(address, request, deadline).await.ok()?;
        let outcome = answer.headers()[wire::header::OUTCOME]
            .to_str()
            .unwrap()
            .to_owned();
        Some((outcome, answer.into_body().collect(1 << 20).await.ok()?))
    }

    /// Asks the agent for a chunk as another agent, and returns the body, of which nothing was read.
    pub async fn chunk(&self, pin: &Pin, index: u32) -> ResponseBody {
        let request = Request::get(format!("/chunks/{}/{index}", pin.digest))
            .header(wire::header::CHUNK_ADDRESS, "127.0.0.1:9")
            .body(Body::empty())
            .unwrap();
        let address = self.settings["chunk_listen"].as_str().unwrap();
        let deadline = Instant::now() + SOON;
        let answer = self
            .client
            .send(address.parse().unwrap(), request, deadline)
            .await
            .unwrap();
        assert_eq!(answer.status().as_u16(), 200);
        answer.into_body()
    }

    /// Returns the claim table of the service.
    pub async fn claims(&self) -> Value {
        let platform = platform::Client::new(self.platform.address, SOON);
        let object = platform.get("claims", "desk").await.unwrap().unwrap();
        serde_json::from_str(object.value.get()).unwrap()
    }

    /// Returns `/status` of the agent.
    pub async fn status(&self) -> Value {
        let address = self.settings["operator_listen"]
            .as_str()
            .unwrap()
            .parse()
            .unwrap();
        serde_json::from_slice(&self.get(address, "/status").await).unwrap()
    }

    /// Sends a request to the backend's stand-in and returns status and body.
    pub async fn backend(
        &self,
        call: &str,
        number: Option<u64>,
        body: Value,
    ) -> Option<(u16, Bytes)> {
        self.order(&self.backend, call, number, body).await
    }

    /// Changes the switches of a stand-in.
    pub async fn switch(&self, standin: &Process, switches: Value) {
        let answer = self.order(standin, "PUT /control", None, switches).await;
        let (status, body) = answer.expect("the stand-in answers");
        assert_eq!(status, 200, "{body:?}");
    }

    async fn order(
        &self,
        standin: &Process,
        call: &str,
        number: Option<u64>,
        body: Value,
    ) -> Option<(u16, Bytes)> {
        let (method, path) = call.split_once(' ').unwrap();
        let mut request = Request::builder().method(method).uri(path);
        if let Some(number) = number {
            request = request.header(wire::header::FENCING_NUMBER, number);
        }
        let request = request.body(Body::from(body.to_string())).unwrap();
        let deadline = Instant::now() + SOON;
        let answer = self
            .client
            .send(standin.address, request, deadline)
            .await
            .ok()?;
        let status = answer.status().as_u16();
        Some((status, answer.into_body().collect(1 << 20).await.ok()?))
    }

    /// Returns a count of the backend's stand-in.
    pub async fn count(&self, name: &str) -> u64 {
        self.standin_count(&self.backend, name).await
    }

    /// Returns a count of a stand-in.
    pub async fn standin_count(&self, standin: &Process, name: &str) -> u64 {
        let body = self.get(standin.address, "/control").await;
        let control: Value = serde_json::from_slice(&body).unwrap();
        control["counts"][name].as_u64().unwrap_or(0)
    }

    /// Tells whether a report fulfils `condition`.
    pub fn reported(&self, condition: impl Fn(&Report) -> bool) -> bool {
        self.entry.reports.borrow().iter().any(condition)
    }

    /// Returns the number of the last report.
    pub fn last_sequence(&self) -> u64 {
        let reports = self.entry.reports.borrow();
        reports.last().map_or(0, |report| report.sequence)
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Bytes {
        let request = Request::get(path).body(Body::empty()).unwrap();
        let answer = self
            .client
            .send(address, request, Instant::now() + SOON)
            .await
            .unwrap();
        answer.into_body().collect(1 << 20).await.unwrap()
    }
}

/// Waits until `condition` holds.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + SOON;
    while !condition().await {
        assert!(Instant::now() < deadline, "{what} did not come");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn file(name: &str, settings: &Value) -> PathBuf {
    let test = std::thread::current().name().unwrap().replace("::", "-");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{test}-{name}-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string()).unwrap();
    path
}
