//! Runs stand-ins as child processes and sends them requests.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use node::http::{Body, Client, Error, HeaderMap, Request};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A running stand-in, killed on drop.
pub struct Process {
    pub child: Child,
    pub address: SocketAddr,
    pub client: Client,
    _stdout: BufReader<ChildStdout>,
}

/// Status, headers and body of a response.
pub type Response = (u16, HeaderMap, Bytes);

/// Writes settings to a file named after the test and returns a command that starts a stand-in with them.
pub fn command(role: &str, settings: &Value) -> Command {
    let test = std::thread::current().name().unwrap().replace("::", "-");
    let pid = std::process::id();
    let file = format!("{}/{test}-{role}-{pid}.json", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&file, settings.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobport-standin"));
    command.arg(role).arg(file);
    // Tests wait for events at level `info`, which the environment could disable.
    command.env_remove(node::log::LEVEL_VARIABLE);
    command
}

impl Process {
    /// Starts a stand-in on a free loopback port and waits until it accepts requests.
    pub fn start(role: &str, mut settings: Value) -> Self {
        settings["listen"] = "127.0.0.1:0".into();
        let mut child = command(role, &settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        while !line.contains(" 600 ") {
            line.clear();
            assert_ne!(
                stdout.read_line(&mut line).unwrap(),
                0,
                "the stand-in exited before it was serving"
            );
        }
        let (_, address) = line.split_once("address=").unwrap();
        Self {
            child,
            address: address.trim().parse().unwrap(),
            client: Client::new(),
            _stdout: stdout,
        }
    }

    /// Sends a request and reads the whole response.
    pub async fn send(&self, request: Request<Body>) -> Result<Response, Error> {
        let deadline = Instant::now() + TIMEOUT;
        let response = self.client.send(self.address, request, deadline).await?;
        let (parts, body) = response.into_parts();
        Ok((
            parts.status.as_u16(),
            parts.headers,
            body.collect(64 << 20).await?,
        ))
    }

    /// Sends a request without headers; `call` is the method and path, such as `GET /control`.
    pub async fn call(&self, call: &str, body: impl Into<Body>) -> Result<Response, Error> {
        let (method, path) = call.split_once(' ').unwrap();
        let request = Request::builder().method(method).uri(path);
        self.send(request.body(body.into()).unwrap()).await
    }

    /// Sets the named switches.
    pub async fn switch(&self, switches: Value) {
        let response = self
            .call("PUT /control", switches.to_string())
            .await
            .unwrap();
        assert_eq!(response.0, 200, "{response:?}");
    }

    /// Returns the value of a counter, 0 if it doesn't exist yet.
    pub async fn count(&self, name: &str) -> u64 {
        let (_, _, body) = self.call("GET /control", "").await.unwrap();
        json(&body)["counts"][name].as_u64().unwrap_or(0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Parses a JSON body.
pub fn json(body: &[u8]) -> Value {
    serde_json::from_slice(body).unwrap()
}
