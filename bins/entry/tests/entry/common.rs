//! Test fixture: an entry on loopback ports, its callers, and scripted agents.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use entry::Settings;
use entry::shared::SharedState;
use futures::channel::oneshot;
use gossip::Phase;
use node::http::{Body, Client, Request, Response, ResponseBody};
use wire::{Gate, Report};

/// A step of a scripted agent.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends the text, with `ID` replaced by the id of the request.
    Send(String),
    /// Sleeps for a number of milliseconds.
    Sleep(u64),
    /// Waits until the test sets the flag.
    Wait(Rc<Cell<bool>>),
    /// Closes the connection.
    Close,
}

/// Returns a complete response.
pub fn complete() -> Step {
    scripted("200 OK", "carobport-request: ID", "answered", "whole")
}

/// Returns the refusal of an agent whose gate is closed.
pub fn gate_closed() -> Step {
    scripted(
        "503 Service Unavailable",
        "carobport-request: ID\r\ncarobport-reason: closed",
        "not-run",
        "",
    )
}

/// Returns a response that names the id of another request.
pub fn foreign() -> Step {
    scripted("200 OK", "carobport-request: 0", "answered", "")
}

fn scripted(status: &str, headers: &str, outcome: &str, body: &str) -> Step {
    let length = body.len();
    Step::Send(format!(
        "HTTP/1.1 {status}\r\n{headers}\r\ncarobport-outcome: {outcome}\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

/// The text of each request that an agent received, with the index of the connection.
pub type Received = Rc<RefCell<Vec<(usize, String)>>>;

/// An entry under test and what is needed to drive it.
pub struct Fixture {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub shared: SharedState,
    pub client: Client,
    /// Dropping the sender requests the stop.
    pub stop: Cell<Option<oneshot::Sender<()>>>,
    /// Sequence number of the last report.
    report_sequence: Cell<u64>,
}

fn settings() -> Settings {
    node::settings::parse(
        r#"{"name":"e0","domain":"levis","region":"quebec","caller_listen":"127.0.0.1:0",
        "peer_listen":"127.0.0.1:0","operator_listen":"127.0.0.1:0","platform":"127.0.0.1:1",
        "balancer_wait_ms":200,"drain_ms":3000,"stall_ms":300}"#,
    )
    .unwrap()
}

/// Runs `test` with an entry, then requests a stop if `test` hasn't; the entry must stop within 5 s.
pub fn with_entry<F: Future<Output = ()>>(test: impl FnOnce(Rc<Fixture>) -> F) {
    node::run("test", async {
        let loopback: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let (callers, operators) = (
            node::listen(loopback).unwrap(),
            node::listen(loopback).unwrap(),
        );
        let (stop, stopped) = oneshot::channel::<()>();
        let fixture = Rc::new(Fixture {
            callers: callers.local_addr().unwrap(),
            operators: operators.local_addr().unwrap(),
            shared: SharedState::new(),
            client: Client::new(),
            stop: Cell::new(Some(stop)),
            report_sequence: Cell::new(0),
        });
        fixture.fill_catalogue();
        let stopped = async {
            let _ = stopped.await;
        };
        let server = entry::serve_on(
            callers,
            operators,
            settings(),
            fixture.shared.clone(),
            stopped,
        );
        let server = compio::runtime::spawn(server);
        test(Rc::clone(&fixture)).await;
        fixture.stop.take();
        compio::time::timeout(Duration::from_secs(5), server)
            .await
            .unwrap()
            .unwrap();
    })
    .unwrap();
}

impl Fixture {
    fn fill_catalogue(&self) {
        let entries = [
            r#"{"kind":"class","name":"urgent","owner":"o","class":"urgent","rank":0,
            "objective":{"answered":0.9,"within_ms":1000,"within":0.9}}"#,
            r#"{"kind":"workspace","name":"clerks","owner":"o","class":"urgent",
            "services":["desk","bookings"]}"#,
            r#"{"kind":"workspace","name":"limited","owner":"o","class":"urgent","services":["desk"],
            "limits":{"concurrent":1}}"#,
            r#"{"kind":"service","name":"desk","owner":"o","class":"urgent","backend":"plain",
            "repeatable":true,"deadline_ms":1000}"#,
            r#"{"kind":"service","name":"bookings","owner":"o","class":"urgent","backend":"plain",
            "repeatable":false,"deadline_ms":1000}"#,
        ];
        for (revision, entry) in entries.iter().enumerate() {
            self.shared
                .put_catalog(revision as u64 + 1, serde_json::from_str(entry).unwrap());
        }
    }

    /// Starts an agent that runs `script(index)` for each request, counted from 0, and adds it as the target `name`.
    pub fn agent(
        &self,
        name: &str,
        service: &str,
        slots: u16,
        script: impl Fn(usize) -> Vec<Step> + 'static,
    ) -> Received {
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let received = Received::default();
        compio::runtime::spawn(serve_agent(listener, Rc::clone(&received), Rc::new(script)))
            .detach();
        self.shared.put_target(
            name,
            gossip::Target {
                domain: "levis".into(),
                region: "quebec".into(),
                service: service.into(),
                call: address,
                chunk: address,
                phase: Phase::Live,
            },
        );
        self.report(name, slots);
        received
    }

    pub fn report(&self, name: &str, slots: u16) {
        self.report_weights(name, slots, None);
    }

    /// Gives the service `desk` a model backend; `model` is JSON.
    pub fn put_model(&self, model: &str) {
        let service = format!(
            r#"{{"kind":"service","name":"desk","owner":"o","class":"urgent","backend":"model","repeatable":true,
            "deadline_ms":1000,"model":{model}}}"#
        );
        let service = serde_json::from_str(&service).unwrap();
        self.shared.put_catalog(99, service);
    }

    pub fn report_weights(&self, name: &str, slots: u16, weights: Option<u64>) {
        self.report_sequence.set(self.report_sequence.get() + 1);
        self.shared.put_report(
            Instant::now(),
            Report {
                target: name.into(),
                incarnation: 1,
                sequence: self.report_sequence.get(),
                gate: Gate::Open,
                weights,
                chunks: 0,
                running: 0,
                waiting: 0,
                slots,
                view: 0,
                member: None,
            },
        );
    }

    pub async fn call(&self, path: &str, headers: &[(&str, &str)]) -> Response<ResponseBody> {
        // The entry applies reports and members in a task of its own.
        compio::time::sleep(Duration::from_millis(5)).await;
        let mut request = Request::post(path).header("carobport-workspace", "clerks");
        for (name, value) in headers {
            request.headers_mut().unwrap().insert(
                node::http::header::HeaderName::try_from(*name).unwrap(),
                value.parse().unwrap(),
            );
        }
        let request = request.body(Body::from("{}")).unwrap();
        self.client
            .send(
                self.callers,
                request,
                Instant::now() + Duration::from_secs(4),
            )
            .await
            .unwrap()
    }

    pub async fn operator(&self, path: &str) -> (u16, String) {
        let request = Request::get(path).body(Body::empty()).unwrap();
        let deadline = Instant::now() + Duration::from_secs(2);
        let response = self
            .client
            .send(self.operators, request, deadline)
            .await
            .unwrap();
        let status = response.status().as_u16();
        let bytes = response.into_body().collect(1 << 20).await.unwrap();
        (status, String::from_utf8(bytes.to_vec()).unwrap())
    }
}

/// Returns the status, the outcome, the reason, and whether there is a `Retry-After` header.
pub fn summary(response: &Response<ResponseBody>) -> (u16, String, String, bool) {
    let text = |name: &str| {
        response
            .headers()
            .get(name)
            .map_or(String::new(), |value| value.to_str().unwrap().into())
    };
    let retry = response.headers().contains_key("retry-after");
    (
        response.status().as_u16(),
        text("carobport-outcome"),
        text("carobport-reason"),
        retry,
    )
}

async fn serve_agent(
    listener: TcpListener,
    received: Received,
    script: Rc<dyn Fn(usize) -> Vec<Step>>,
) {
    let mut connection = 0;
    while let Ok((stream, _)) = listener.accept().await {
        let task = serve_connection(stream, connection, Rc::clone(&received), Rc::clone(&script));
        compio::runtime::spawn(task).detach();
        connection += 1;
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    connection: usize,
    received: Received,
    script: Rc<dyn Fn(usize) -> Vec<Step>>,
) {
    loop {
        let mut text = String::new();
        while !text.ends_with("\r\n\r\n{}") {
            let compio::BufResult(read, bytes) = stream.read(Vec::with_capacity(4096)).await;
            if !matches!(read, Ok(1..)) {
                return;
            }
            text.push_str(&String::from_utf8(bytes).unwrap());
        }
        let id = text.split("carobport-request: ").nth(1).unwrap();
        let id = id.split("\r\n").next().unwrap().to_owned();
        let index = received.borrow().len();
        received.borrow_mut().push((connection, text));
        for step in script(index) {
            match step {
                Step::Send(text) => {
                    let bytes = text.replace("ID", &id).into_bytes();
                    if stream.write_all(bytes).await.0.is_err() {
                        return;
                    }
                }
                Step::Sleep(ms) => compio::time::sleep(Duration::from_millis(ms)).await,
                Step::Wait(flag) => {
                    while !flag.get() {
                        compio::time::sleep(Duration::from_millis(5)).await;
                    }
                }
                Step::Close => return,
            }
        }
    }
}
