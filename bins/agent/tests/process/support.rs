//! Starts an agent and stand-ins as processes and simulates the entry that the agent reports to.

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

/// Timeout of everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A child process; killed when dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    stdout: BufReader<ChildStdout>,
}

/// An entry that responds to each report with all records.
#[derive(Clone, Default)]
pub struct Entry {
    records: Rc<RefCell<Vec<Record>>>,
    reports: Rc<RefCell<Vec<Report>>>,
}

/// Test environment of one agent: stand-ins, an entry and the settings of the agent.
pub struct TestEnv {
    pub store: Process,
    backend: Process,
    entry: Entry,
    pub settings: Value,
    client: Client,
    pub platform: Process,
    _entry_server: JoinHandle<()>,
}

/// Outcome and reason of a call without a response of the backend.
pub type CallFailure = (String, String);

impl Process {
    /// Starts a stand-in on a free port and waits until it accepts requests.
    pub fn standin(role: &str, mut settings: Value) -> Self {
        settings["listen"] = "127.0.0.1:0".into();
        let agent = Path::new(env!("CARGO_BIN_EXE_carobport-agent"));
        let binary = agent.with_file_name("carobport-standin");
        assert!(
            binary.exists(),
            "build the stand-ins first: cargo build --workspace --bins"
        );
        let mut command = Command::new(binary);
        command.arg(role).arg(write_settings(role, &settings));
        let (mut process, line) = Self::start(&mut command, " 600 ");
        let (_, address) = line.split_once("address=").unwrap();
        process.address = address.trim().parse().unwrap();
        process
    }

    /// Starts an agent and waits until its ports are open.
    pub fn agent(settings: &Value) -> Self {
        Self::agent_until(settings, " 309 ")
    }

    /// Starts an agent and waits until it logs the event with the number `ready`.
    pub fn agent_until(settings: &Value, ready: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_carobport-agent"));
        let name = settings["call_listen"].as_str().unwrap().replace(':', "-");
        command
            .arg("--settings")
            .arg(write_settings(&name, settings));
        let (mut process, _) = Self::start(&mut command, ready);
        process.address = settings["call_listen"].as_str().unwrap().parse().unwrap();
        process
    }

    fn start(command: &mut Command, ready: &str) -> (Self, String) {
        // Tests wait for events of the level `info`, which is the default.
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

    /// Sends the process SIGTERM.
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

    /// Returns what the process logged after it was ready; the process must have ended.
    pub fn remaining_log(&mut self) -> String {
        let mut text = String::new();
        std::io::Read::read_to_string(&mut self.stdout, &mut text).unwrap();
        text
    }

    /// Waits until the process ends.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the exit", async || {
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

/// Runs `test` in an environment whose backend is a stand-in of `role` with the settings `backend`.
pub fn with_env<F: Future<Output = ()>>(
    role: &str,
    backend: Value,
    test: impl FnOnce(TestEnv) -> F,
) {
    node::run("test", async {
        let env = TestEnv::start(role, backend);
        test(env).await;
    })
    .unwrap();
}

impl TestEnv {
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
            _entry_server: spawn(async move { wire::serve(&listener, handler).await }),
        }
    }

    /// Makes the entry report the agent's VM as leaving, as the VM list of the platform does.
    pub fn mark_vm_leaving(&self) {
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

    /// Publishes `version`, starts an agent and waits until it serves that version.
    pub async fn start_serving(&self, version: &str) -> (Process, Pin) {
        let pin = self.pin(version).await;
        self.publish(1, true, Some(&pin));
        let agent = Process::agent(&self.settings);
        self.wait_open(&pin).await;
        (agent, pin)
    }

    /// Waits until the agent's gate is open for `pin`.
    pub async fn wait_open(&self, pin: &Pin) {
        wait_until("a response", async || {
            self.complete(Some(pin)).await.is_ok()
        })
        .await;
    }

    /// Returns the highest fencing number that the engine accepted.
    pub async fn engine_fencing_number(&self) -> u64 {
        let status = self.get(self.backend.address, "/status").await;
        let status: Value = serde_json::from_slice(&status).unwrap();
        status["fencing_number"].as_u64().unwrap()
    }

    /// Sends a completion request and returns the whole response body.
    pub async fn complete(&self, pin: Option<&Pin>) -> Result<Bytes, CallFailure> {
        let response = self
            .call(pin, json!({"messages": [], "max_tokens": 2}))
            .await;
        let response = response.map_err(|error| ("lost".to_owned(), error.to_string()))?;
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
        };
        let (outcome, reason) = (header(wire::header::OUTCOME), header(wire::header::REASON));
        assert_eq!(
            header(wire::header::REQUEST),
            "00000000000000000000000000000007"
        );
        if outcome != "answered" {
            return Err((outcome, reason));
        }
        if let Some(pin) = pin {
            assert_eq!(header(wire::header::WEIGHTS), pin.digest.to_string());
        }
        response
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
            .send(address, request, Instant::now() + TIMEOUT)
            .await
    }

    /// Returns the digest that the agent at `address` serves, if its gate is open.
    pub async fn open_weights_at(&self, address: SocketAddr) -> Option<String> {
        let weights: Value = serde_json::from_slice(&self.get(address, "/weights").await).unwrap();
        weights["open"].as_str().map(str::to_owned)
    }

    /// Sends a call with an idempotency key and returns its outcome and body.
    pub async fn keyed_call(&self, key: uuid::Uuid) -> (String, Bytes) {
        self.try_keyed_call(key).await.expect("a response")
    }

    /// Sends a call with an idempotency key and returns its outcome and body, or `None` if the connection failed.
    pub async fn try_keyed_call(&self, key: uuid::Uuid) -> Option<(String, Bytes)> {
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
        let deadline = Instant::now() + TIMEOUT;
        let response = self.client.send(address, request, deadline).await.ok()?;
        let outcome = response.headers()[wire::header::OUTCOME]
            .to_str()
            .unwrap()
            .to_owned();
        Some((outcome, response.into_body().collect(1 << 20).await.ok()?))
    }

    /// Requests a chunk from the agent as another agent does, and returns the unread body.
    pub async fn chunk(&self, pin: &Pin, index: u32) -> ResponseBody {
        let request = Request::get(format!("/chunks/{}/{index}", pin.digest))
            .header(wire::header::CHUNK_ADDRESS, "127.0.0.1:9")
            .body(Body::empty())
            .unwrap();
        let address = self.settings["chunk_listen"].as_str().unwrap();
        let deadline = Instant::now() + TIMEOUT;
        let response = self
            .client
            .send(address.parse().unwrap(), request, deadline)
            .await
            .unwrap();
        assert_eq!(response.status().as_u16(), 200);
        response.into_body()
    }

    /// Returns the claim table of the service.
    pub async fn claims(&self) -> Value {
        let platform = platform::Client::new(self.platform.address, TIMEOUT);
        let object = platform.get("claims", "desk").await.unwrap().unwrap();
        serde_json::from_str(object.value.get()).unwrap()
    }

    /// Returns the agent's `/status`.
    pub async fn status(&self) -> Value {
        let address = self.settings["operator_listen"]
            .as_str()
            .unwrap()
            .parse()
            .unwrap();
        serde_json::from_slice(&self.get(address, "/status").await).unwrap()
    }

    /// Sends a request to the backend's stand-in and returns status and body, or `None` if it failed.
    pub async fn send_to_backend(
        &self,
        call: &str,
        number: Option<u64>,
        body: Value,
    ) -> Option<(u16, Bytes)> {
        self.send_to_standin(&self.backend, call, number, body)
            .await
    }

    /// Changes the switches of a stand-in.
    pub async fn set_switches(&self, standin: &Process, switches: Value) {
        let response = self
            .send_to_standin(standin, "PUT /control", None, switches)
            .await;
        let (status, body) = response.expect("a response of the stand-in");
        assert_eq!(status, 200, "{body:?}");
    }

    /// Sends a call to a stand-in, with a fencing number if there is one; returns `None` without a response.
    pub async fn send_to_standin(
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
        let deadline = Instant::now() + TIMEOUT;
        let response = self
            .client
            .send(standin.address, request, deadline)
            .await
            .ok()?;
        let status = response.status().as_u16();
        Some((status, response.into_body().collect(1 << 20).await.ok()?))
    }

    /// Returns a counter of the backend's stand-in.
    pub async fn backend_count(&self, name: &str) -> u64 {
        self.standin_count(&self.backend, name).await
    }

    /// Returns a counter of a stand-in.
    pub async fn standin_count(&self, standin: &Process, name: &str) -> u64 {
        let body = self.get(standin.address, "/control").await;
        let control: Value = serde_json::from_slice(&body).unwrap();
        control["counts"][name].as_u64().unwrap_or(0)
    }

    /// Returns whether any report so far matches `condition`.
    pub fn reported(&self, condition: impl Fn(&Report) -> bool) -> bool {
        self.entry.reports.borrow().iter().any(condition)
    }

    /// Returns the sequence number of the last report.
    pub fn last_sequence(&self) -> u64 {
        let reports = self.entry.reports.borrow();
        reports.last().map_or(0, |report| report.sequence)
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Bytes {
        let request = Request::get(path).body(Body::empty()).unwrap();
        let response = self
            .client
            .send(address, request, Instant::now() + TIMEOUT)
            .await
            .unwrap();
        response.into_body().collect(1 << 20).await.unwrap()
    }
}

/// Waits until `condition` holds; `what` names it in the failure message.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Writes a settings file and returns its path.
fn write_settings(name: &str, settings: &Value) -> PathBuf {
    let test = std::thread::current().name().unwrap().replace("::", "-");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{test}-{name}-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string()).unwrap();
    path
}
