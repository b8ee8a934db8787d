//! Live requests at a steady rate, and what became of them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use node::http::{Body, Client, Method, Request};
use serde::Serialize;

use crate::Percentiles;

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// A steady stream of requests.
#[derive(Clone, Debug)]
pub struct Load {
    /// Caller ports of the entries, used in turn.
    pub entries: Vec<SocketAddr>,
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
#[derive(Clone, Debug, Default, Serialize)]
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
    #[serde(skip)]
    first_bytes: Vec<Duration>,
    #[serde(skip)]
    wholes: Vec<Duration>,
}

/// One request's result.
#[derive(Debug, Default)]
struct Shot {
    outcome: String,
    reason: Option<String>,
    weights: Option<String>,
    lacks_retry_after: bool,
    first_byte: Duration,
    whole: Duration,
}

impl Load {
    /// Sends the requests, waits for the last answer and returns the tally.
    pub async fn run(&self) -> Tally {
        let tally = Rc::new(RefCell::new(Tally::default()));
        let client = Client::new();
        let start = Instant::now();
        let count = (self.rate_per_s * self.duration.as_secs_f64()) as u64;
        let mut tasks = Vec::with_capacity(count as usize);
        for index in 0..count {
            let due = start + Duration::from_secs_f64(index as f64 / self.rate_per_s);
            compio::time::sleep_until(due).await;
            let (load, client, tally) = (self.clone(), client.clone(), Rc::clone(&tally));
            tasks.push(compio::runtime::spawn(async move {
                let shot = load.shoot(&client, index).await;
                tally.borrow_mut().add(shot);
            }));
        }
        for task in tasks {
            // A task only fails by a panic, which the missing outcome in the tally shows.
            let _ = task.await;
        }
        let mut tally = tally.take();
        tally.sent = count;
        tally.first_byte = Percentiles::of(&tally.first_bytes);
        tally.whole = Percentiles::of(&tally.wholes);
        tally
    }

    async fn shoot(&self, client: &Client, index: u64) -> Shot {
        let entry = self.entries[index as usize % self.entries.len()];
        let start = Instant::now();
        let answer = client
            .send(entry, self.request(index), start + self.deadline)
            .await;
        let response = match answer {
            Ok(response) => response,
            Err(error) => {
                return Shot {
                    outcome: "failed".into(),
                    reason: Some(error.to_string()),
                    ..Shot::default()
                };
            }
        };
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let mut shot = Shot {
            outcome: header(wire::header::OUTCOME).unwrap_or_else(|| "missing".into()),
            reason: header(wire::header::REASON),
            weights: header(wire::header::WEIGHTS),
            first_byte: start.elapsed(),
            ..Shot::default()
        };
        let may_repeat = matches!(response.status().as_u16(), 429 | 503);
        shot.lacks_retry_after = may_repeat && header("retry-after").is_none();
        if response.into_body().bytes(MAX_ANSWER).await.is_err() {
            shot.outcome = "cut".into();
        }
        shot.whole = start.elapsed();
        shot
    }

    fn request(&self, index: u64) -> Request<Body> {
        let body = format!(r#"{{"messages":[{{"role":"user","content":"request {index}"}}]}}"#);
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(&self.path)
            .header("content-type", "application/json")
            .header(wire::header::WORKSPACE, &self.workspace)
            .header(wire::header::DEADLINE_MS, self.deadline.as_millis() as u64);
        if self.keyed {
            let key = uuid::Uuid::now_v7().to_string();
            request = request.header(wire::header::IDEMPOTENCY_KEY, key);
        }
        request
            .body(Body::from(body))
            .expect("path and headers come from the experiment's own names")
    }
}

impl Tally {
    /// Returns the number of requests with `outcome`.
    pub fn outcome(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }

    fn add(&mut self, shot: Shot) {
        *self.outcomes.entry(shot.outcome.clone()).or_default() += 1;
        self.without_retry_after += u64::from(shot.lacks_retry_after);
        if shot.outcome == "answered" {
            self.first_bytes.push(shot.first_byte);
            self.wholes.push(shot.whole);
            if let Some(weights) = shot.weights {
                *self.weights.entry(weights).or_default() += 1;
            }
        } else if let Some(reason) = shot.reason {
            *self.reasons.entry(reason).or_default() += 1;
        }
    }
}
