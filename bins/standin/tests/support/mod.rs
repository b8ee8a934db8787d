//! Starts stand-ins as processes and calls them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use node::http::{Body, Client, Error, HeaderMap, Request};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A running stand-in; ended when dropped.
pub struct Process {
    pub child: Child,
    pub address: SocketAddr,
    pub client: Client,
    _stdout: BufReader<ChildStdout>,
}

/// Status, headers and body of an answer.
pub type Answer = (u16, HeaderMap, Bytes);

/// Writes settings to a file of this test and returns the command that reads it.
pub fn command(role: &str, settings: &Value) -> Command {
    let test = std::thread::current().name().unwrap().replace("::", "-");
    let pid = std::process::id();
    let file = format!("{}/{test}-{role}-{pid}.json", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&file, settings.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobport-standin"));
    command.arg(role).arg(file);
    // Tests wait for events of the level `info`.
    command.env_remove(node::log::LEVEL_VARIABLE);
    command
}

impl Process {
    /// Starts a stand-in on a free loopback port and waits until it serves.
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
                "the stand-in ended"
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

    /// Sends a request and returns the whole answer.
    pub async fn send(&self, request: Request<Body>) -> Result<Answer, Error> {
        let deadline = Instant::now() + TIMEOUT;
        let answer = self.client.send(self.address, request, deadline).await?;
        let (parts, body) = answer.into_parts();
        Ok((
            parts.status.as_u16(),
            parts.headers,
            body.collect(64 << 20).await?,
        ))
    }

    /// Sends a request without headers.
    pub async fn call(&self, call: &str, body: impl Into<Body>) -> Result<Answer, Error> {
        let (method, path) = call.split_once(' ').unwrap();
        let request = Request::builder().method(method).uri(path);
        self.send(request.body(body.into()).unwrap()).await
    }

    /// Changes switches.
    pub async fn switch(&self, switches: Value) {
        let answer = self
            .call("PUT /control", switches.to_string())
            .await
            .unwrap();
        assert_eq!(answer.0, 200, "{answer:?}");
    }

    /// Returns a count.
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

/// Reads a JSON body.
pub fn json(body: &[u8]) -> Value {
    serde_json::from_slice(body).unwrap()
}
