//! A mock server for the platform's catalogue and an entry's metrics, and helpers to start processes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::JoinHandle;
use node::http::{Limits, Request, StatusCode, json, response};
use platform::wire::{self, Call};
use platform::{Listing, Object, Revision};
use serde_json::value::to_raw_value;
use serde_json::{Value, json};

/// Maximum time that a test waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Serves the catalogue like the platform, and each of the given texts in turn at `/metrics`.
pub struct MockServer {
    pub address: SocketAddr,
    _serving: JoinHandle<()>,
}

/// A running entry process, killed on drop.
pub struct EntryProcess {
    pub caller_address: SocketAddr,
    pub operator_address: SocketAddr,
    child: Child,
}

impl MockServer {
    pub fn start(texts: Vec<String>) -> Self {
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let texts = Rc::new(RefCell::new(texts.into_iter()));
        let handler = move |_, request: Request<Bytes>| {
            let texts = Rc::clone(&texts);
            async move {
                match request.uri().path() {
                    "/metrics" => response(StatusCode::OK, texts.borrow_mut().next().unwrap()),
                    "/vms" => json(StatusCode::OK, &json!([])),
                    _ => match Call::parse(&request) {
                        Some(Call::List { .. }) => wire::list_response(&catalogue()),
                        // A watch request never completes because the catalogue never changes.
                        _ => std::future::pending().await,
                    },
                }
            }
        };
        let stop = std::future::pending();
        let serving = node::http::serve(listener, Limits::default(), handler, stop);
        Self {
            address,
            _serving: compio::runtime::spawn(serving),
        }
    }
}

/// Catalogue entries by key, all with class `urgent`; one class is retired.
const CATALOGUE: [(&str, &str); 5] = [
    (
        "class/urgent",
        r#""rank":0,"objective":{"answered":0.99,"within_ms":1000,"within":0.9}"#,
    ),
    (
        "class/old",
        r#""rank":1,"retired":true,"objective":{"answered":1,"within_ms":1,"within":1}"#,
    ),
    (
        "service/desk",
        r#""backend":"plain","repeatable":true,"deadline_ms":1000"#,
    ),
    ("workspace/clerks", r#""services":["desk"]"#),
    (
        "workspace/limited",
        r#""services":["desk"],"limits":{"rate_per_s":1}"#,
    ),
];

fn catalogue() -> Listing {
    let objects = CATALOGUE.iter().enumerate().map(|(index, (key, rest))| {
        let (kind, name) = key.split_once('/').unwrap();
        let head = format!(r#""kind":"{kind}","name":"{name}","owner":"o","class":"urgent""#);
        let entry: Value = serde_json::from_str(&format!("{{{head},{rest}}}")).unwrap();
        let value = json!({"entry": entry, "author": "ada", "time_ms": 1, "write": "w"});
        Object {
            name: (*key).into(),
            revision: Revision::new(0, index as u64 + 1),
            value: to_raw_value(&value).unwrap(),
        }
    });
    Listing {
        revision: Revision::new(0, 9),
        objects: objects.collect(),
        deleted: Vec::new(),
        bytes: 0,
    }
}

impl EntryProcess {
    pub fn start(platform: SocketAddr) -> Self {
        let binary =
            Path::new(env!("CARGO_BIN_EXE_carobport-burn")).with_file_name("carobport-entry");
        assert!(
            binary.exists(),
            "build the entry first: cargo build --workspace --bins"
        );
        let (caller_address, operator_address) =
            (loopback::unused_address(), loopback::unused_address());
        let settings = json!({"name": "e0", "domain": "levis", "region": "quebec", "caller_listen": caller_address,
            "peer_listen": loopback::unused_address(), "operator_listen": operator_address, "platform": platform});
        let file = temp_path("json");
        std::fs::write(&file, settings.to_string()).unwrap();
        let mut command = Command::new(binary);
        command.args(["--settings", &file]).stdout(Stdio::null());
        command.env_remove(node::log::LEVEL_VARIABLE);
        Self {
            caller_address,
            operator_address,
            child: command.spawn().unwrap(),
        }
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns metrics of an entry that answered and refused the given numbers of `urgent` requests since `started`.
pub fn metrics_text((started, answered, refused): (f64, u64, u64)) -> String {
    let requests = "carobport_requests_total{service=\"desk\",class=\"urgent\"";
    let buckets = "carobport_first_byte_seconds_bucket{class=\"urgent\"";
    format!(
        "carobport_start_time_seconds {started}\n\
        {requests},reason=\"\",workspace=\"clerks\",outcome=\"answered\"}} {answered}\n\
        {requests},reason=\"queue\",workspace=\"clerks\",outcome=\"not-run\"}} {refused}\n\
        {buckets},le=\"1.0\"}} {answered}\n{buckets},le=\"+Inf\"}} {answered}\n# EOF\n"
    )
}

/// Returns the path of a temporary file of the current test.
pub fn temp_path(kind: &str) -> String {
    let test = std::thread::current().name().unwrap().replace("::", "-");
    let pid = std::process::id();
    format!("{}/{test}-{pid}.{kind}", env!("CARGO_TARGET_TMPDIR"))
}

/// Runs the `report` command and returns its exit code and report.
pub async fn run_report(platform: &str, entry: &str, rest: &str) -> (i32, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobport-burn"));
    command.args([
        "report",
        "--format=json",
        "--platform",
        platform,
        "--entry",
        entry,
    ]);
    command.args(rest.split(' '));
    command.env_remove(node::log::LEVEL_VARIABLE);
    let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
    wait_until("the report", async || child.try_wait().unwrap().is_some()).await;
    let output = child.wait_with_output().unwrap();
    let report = serde_json::from_slice(&output.stdout).unwrap_or_default();
    (output.status.code().unwrap(), report)
}

/// Waits until the condition holds; panics after [`TIMEOUT`].
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = deadline();
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        compio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the time at which a wait that starts now times out.
pub fn deadline() -> Instant {
    Instant::now() + TIMEOUT
}
