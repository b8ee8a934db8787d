//! Live requests at a steady rate, and what became of them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use node::http::{Body, Client, Method, Request};
use serde::Serialize;

use serde_json::Value;

use crate::Percentiles;

/// Tokens that a request asks for.
const TOKENS: usize = 16;

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Attempts after which a refused call is given up.
const REPEATS: u32 = 6;
/// Time between two attempts: what a refused keyed call is told to wait.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A steady stream of requests.
#[derive(Clone, Debug)]
pub struct Load {
    /// Caller ports of the entries, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Entries that the balancer has taken out of rotation.
    pub removed: Rc<RefCell<Vec<SocketAddr>>>,
    /// Path with the service, as `/v1/assistant/v1/chat/completions`.
    pub path: String,
    /// Workspace of the requests.
    pub workspace: String,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Time of sending.
    pub duration: Duration,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Adds an idempotency key to each request.
    pub keyed: bool,
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Requests by outcome header; `cut` for answers that ended early, `failed` for connections without an answer.
    pub outcomes: BTreeMap<String, u64>,
    /// Requests that were not answered, by reason header.
    pub reasons: BTreeMap<String, u64>,
    /// Answers by the version of the weights that made them.
    pub weights: BTreeMap<String, u64>,
    /// Refusals that may be repeated but don't say when.
    pub without_retry_after: u64,
    /// Time to the head of the answer, for answered requests.
    pub first_byte: Percentiles,
    /// Time to the end of the answer, for answered requests.
    pub whole: Percentiles,
    /// Every request, in the order of the ends.
    #[serde(skip)]
    pub records: Vec<Record>,
    #[serde(skip)]
    first_bytes: Vec<Duration>,
    #[serde(skip)]
    wholes: Vec<Duration>,
}

/// One request and its result.
#[derive(Clone, Debug)]
pub struct Record {
    /// Text of the request's message, different for each request.
    pub prompt: String,
    /// Idempotency key of a keyed call.
    pub key: Option<String>,
    /// Entry that was asked.
    pub entry: SocketAddr,
    /// Time of sending.
    pub sent: Instant,
    /// Outcome, as in [`Tally::outcomes`].
    pub outcome: String,
    /// Reason of a request that was not answered.
    pub reason: Option<String>,
    /// Digest of the weights that made the answer.
    pub weights: Option<String>,
    /// Body of the answer; empty when it was cut.
    pub body: Vec<u8>,
    lacks_retry_after: bool,
    first_byte: Duration,
    /// Time until the end of the answer.
    pub whole: Duration,
}

impl Record {
    /// Tells whether the body is the whole answer to this very request.
    ///
    /// A stand-in engine repeats the prompt once a token; a plain service echoes the request's body.
    pub fn is_own_whole(&self) -> bool {
        let Ok(answer) = serde_json::from_slice::<Value>(&self.body) else {
            return false;
        };
        if self.key.is_some() {
            return answer["echo"] == body(&self.prompt);
        }
        let content = &answer["choices"][0]["message"]["content"];
        content.as_str() == Some(&format!("{} ", self.prompt).repeat(TOKENS))
    }
}

impl Load {
    /// Sends the requests, waits for the last answer and returns the tally.
    pub async fn run(&self) -> Tally {
        self.run_while(&Cell::new(true)).await
    }

    /// Like [`Load::run`], but sends no request once `wanted` is false.
    pub async fn run_while(&self, wanted: &Cell<bool>) -> Tally {
        let tally = Rc::new(RefCell::new(Tally::default()));
        let client = Client::new();
        let start = Instant::now();
        let count = (self.rate_per_s * self.duration.as_secs_f64()) as u64;
        let mut tasks = Vec::new();
        for index in 0..count {
            let due = start + Duration::from_secs_f64(index as f64 / self.rate_per_s);
            compio::time::sleep_until(due).await;
            if !wanted.get() {
                break;
            }
            let (load, client, tally) = (self.clone(), client.clone(), Rc::clone(&tally));
            tasks.push(compio::runtime::spawn(async move {
                let record = load.send_next(&client, index).await;
                tally.borrow_mut().add(record);
            }));
        }
        let sent = tasks.len() as u64;
        for task in tasks {
            // A task only fails by a panic, which the missing outcome in the tally shows.
            let _ = task.await;
        }
        let mut tally = tally.take();
        tally.sent = sent;
        tally.first_byte = Percentiles::of(&tally.first_bytes);
        tally.whole = Percentiles::of(&tally.wholes);
        tally
    }

    /// Returns the entry for request `index`; with none left in rotation, those removed are used.
    fn entry(&self, index: u64) -> SocketAddr {
        let removed = self.removed.borrow();
        let rotation: Vec<SocketAddr> = self
            .entries
            .iter()
            .copied()
            .filter(|entry| !removed.contains(entry))
            .collect();
        let rotation = if rotation.is_empty() {
            &self.entries
        } else {
            &rotation
        };
        rotation[index as usize % rotation.len()]
    }

    async fn send_next(&self, client: &Client, index: u64) -> Record {
        let entry = self.entry(index);
        let prompt = format!("request {}", uuid::Uuid::now_v7());
        let key = self.keyed.then(|| uuid::Uuid::now_v7().to_string());
        self.send(client, entry, &prompt, key).await
    }

    /// Sends one request to `entry` and returns what became of it; a caller that repeats a call gives its key again.
    pub async fn send(
        &self,
        client: &Client,
        entry: SocketAddr,
        prompt: &str,
        key: Option<String>,
    ) -> Record {
        let sent = Instant::now();
        let mut record = Record {
            prompt: prompt.into(),
            key,
            entry,
            sent,
            outcome: "failed".into(),
            reason: None,
            weights: None,
            body: Vec::new(),
            lacks_retry_after: false,
            first_byte: Duration::ZERO,
            whole: Duration::ZERO,
        };
        let request = self.request(prompt, record.key.as_deref());
        let response = match client.send(entry, request, sent + self.deadline).await {
            Ok(response) => response,
            Err(error) => {
                record.reason = Some(error.to_string());
                return record;
            }
        };
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        record.outcome = header(wire::header::OUTCOME).unwrap_or_else(|| "missing".into());
        record.reason = header(wire::header::REASON);
        record.weights = header(wire::header::WEIGHTS);
        record.first_byte = sent.elapsed();
        let may_repeat = matches!(response.status().as_u16(), 429 | 503);
        record.lacks_retry_after = may_repeat && header("retry-after").is_none();
        match response.into_body().collect(MAX_ANSWER).await {
            Ok(body) => record.body = body.to_vec(),
            Err(_) => record.outcome = "cut".into(),
        }
        record.whole = sent.elapsed();
        record
    }

    fn request(&self, prompt: &str, key: Option<&str>) -> Request<Body> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(&self.path)
            .header("content-type", "application/json")
            .header(wire::header::WORKSPACE, &self.workspace)
            .header(wire::header::DEADLINE_MS, self.deadline.as_millis() as u64);
        if let Some(key) = key {
            request = request.header(wire::header::IDEMPOTENCY_KEY, key);
        }
        request
            .body(Body::from(body(prompt)))
            .expect("path and headers come from the experiment's own names")
    }
}

fn body(prompt: &str) -> String {
    format!(r#"{{"messages":[{{"role":"user","content":"{prompt}"}}],"max_tokens":{TOKENS}}}"#)
}

impl Tally {
    /// Repeats each keyed call that was refused as not run, with its key, until it ends otherwise.
    ///
    /// Returns the tally with the last outcome of each call. A call is given up after [`REPEATS`] attempts.
    pub async fn repeated(mut self, load: &Load) -> Self {
        let client = Client::new();
        let mut last = Self {
            sent: self.sent,
            ..Self::default()
        };
        for mut record in std::mem::take(&mut self.records) {
            for _ in 0..REPEATS {
                if record.outcome != "not-run" {
                    break;
                }
                compio::time::sleep(RETRY_AFTER).await;
                let key = record.key.clone();
                record = load.send(&client, record.entry, &record.prompt, key).await;
            }
            last.add(record);
        }
        last
    }

    /// Returns the number of requests with `outcome`.
    pub fn outcome(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }

    /// Returns the `count` requests sent between `from` and `until` that waited longest for their first byte, as the time
    /// of sending after `from` in seconds and the wait in milliseconds.
    pub fn slowest_between(&self, from: Instant, until: Instant, count: usize) -> Vec<[f64; 2]> {
        let within = |record: &&Record| {
            record.outcome == "answered" && record.sent >= from && record.sent <= until
        };
        let mut records: Vec<&Record> = self.records.iter().filter(within).collect();
        records.sort_unstable_by_key(|record| std::cmp::Reverse(record.first_byte));
        records.truncate(count);
        let pair = |record: &Record| {
            let after = record.sent.duration_since(from).as_secs_f64();
            [after, record.first_byte.as_secs_f64() * 1000.0]
        };
        records.into_iter().map(pair).collect()
    }

    /// Returns the time to the first byte of the requests sent between `from` and `until` that were answered.
    pub fn first_byte_between(&self, from: Instant, until: Instant) -> Percentiles {
        let within = |record: &&Record| {
            record.outcome == "answered" && record.sent >= from && record.sent <= until
        };
        let records = self.records.iter().filter(within);
        Percentiles::of(&records.map(|record| record.first_byte).collect::<Vec<_>>())
    }

    fn add(&mut self, record: Record) {
        *self.outcomes.entry(record.outcome.clone()).or_default() += 1;
        self.without_retry_after += u64::from(record.lacks_retry_after);
        if record.outcome == "answered" {
            self.first_bytes.push(record.first_byte);
            self.wholes.push(record.whole);
            if let Some(weights) = &record.weights {
                *self.weights.entry(weights.clone()).or_default() += 1;
            }
        } else if let Some(reason) = &record.reason {
            *self.reasons.entry(reason.clone()).or_default() += 1;
        }
        self.records.push(record);
    }
}
