//! How many chunks an agent receives at once, and at what rate.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time over which the rate that comes is compared with the one that was asked for.
const REVIEW: Duration = Duration::from_millis(150);
/// Least time that a body must have lasted within a review to say something.
const LEAST_TIME: Duration = Duration::from_millis(50);
/// Share of the asked rate below which a body is slow.
const SLOW: f64 = 0.4;
/// Factor on what is asked for while the link carries its whole rate: bodies begin late and senders are busy, and the few
/// that come at once can't queue for long there.
const HEADROOM: f64 = 1.5;
/// Share of the asked rate from which the link can carry more.
const QUICK: f64 = 0.9;
/// Factor on the rate that came, where all bodies are slow: below it, so that what has queued drains.
const DRAIN: f64 = 0.7;
/// Factor on the rate while the link carries what is asked for.
const GROWTH: f64 = 1.25;
/// Reviews in a row that find a body slow while others aren't, from which its sender is to blame.
const SLOW_REVIEWS: u32 = 2;
/// Most bodies at once, those of slow senders counted.
const MOST_BODIES: usize = 12;
/// Least rate, as a share of the whole one.
const LEAST_SHARE: f64 = 0.01;

/// Number of a body that is being received.
pub type BodyId = u64;

/// Limits what other agents and the origin send to this agent.
///
/// Senders know their own links, but not the receiver's. When several of them send at once, or the link of the receiver
/// is narrower than its settings say, their chunks queue in front of it, and the requests that share the link wait
/// behind them. An intake lets a few bodies come at once, each at a rate that the receiver asks for. While the bodies of
/// several senders are all slower than asked for, the receiver's link is to blame, and the rate follows what comes. A body
/// that is slow while others aren't keeps nobody waiting: its sender is to blame.
///
/// ```
/// use std::time::Instant;
/// use burst::Intake;
///
/// let now = Instant::now();
/// let mut intake = Intake::new(1_000_000, 2, now);
/// let sender = ([127, 0, 0, 1], 1).into();
/// let first = intake.begin(now, sender).unwrap();
/// assert_eq!(first.rate, 750_000);
/// assert!(intake.begin(now, sender).is_some());
/// assert!(intake.begin(now, sender).is_none());
/// intake.end(now, first.body);
/// assert!(intake.begin(now, sender).is_some());
/// ```
#[derive(Debug)]
pub struct Intake {
    /// Bytes a second that the link carries by the settings.
    full: f64,
    /// Bytes a second that are asked for in all.
    rate: f64,
    most: usize,
    bodies: BTreeMap<BodyId, Body>,
    next: BodyId,
    reviewed: Instant,
    /// Bodies of this review that have ended.
    ended: Vec<Sample>,
}

/// Permission to receive a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Number of the body.
    pub body: BodyId,
    /// Bytes a second to ask for.
    pub rate: u64,
}

#[derive(Debug)]
struct Body {
    from: SocketAddr,
    rate: f64,
    /// Start of the body, or of the review if that is later.
    since: Instant,
    /// Bytes that came since then.
    bytes: u64,
    /// Reviews in a row that found it slow while others weren't.
    slow: u32,
}

/// What came of a body within a review.
#[derive(Clone, Copy, Debug)]
struct Sample {
    from: SocketAddr,
    /// Bytes a second that were asked for.
    rate: f64,
    /// Bytes that would have come at that rate.
    asked: f64,
    bytes: u64,
}

impl Intake {
    /// Returns an intake of `rate` bytes a second that receives `most` bodies at once.
    pub fn new(rate: u64, most: usize, now: Instant) -> Self {
        Self {
            full: rate as f64,
            rate: rate as f64,
            most: most.max(1),
            bodies: BTreeMap::new(),
            next: 0,
            reviewed: now,
            ended: Vec::new(),
        }
    }

    /// Lets `from` send a body, or returns `None` while enough others come.
    pub fn begin(&mut self, now: Instant, from: SocketAddr) -> Option<Grant> {
        if self.bodies.len() >= self.limit() {
            return None;
        }
        if self.bodies.is_empty() {
            self.restart(now);
        }
        let headroom = if self.rate < self.full { 1.0 } else { HEADROOM };
        let rate = self.rate * headroom / self.most as f64;
        let body = Body {
            from,
            rate,
            since: now,
            bytes: 0,
            slow: 0,
        };
        self.next += 1;
        self.bodies.insert(self.next, body);
        Some(Grant {
            body: self.next,
            rate: (rate as u64).max(1),
        })
    }

    /// Notes that bytes of a body came.
    pub fn received(&mut self, now: Instant, body: BodyId, bytes: usize) {
        if let Some(body) = self.bodies.get_mut(&body) {
            body.bytes += bytes as u64;
        }
        self.review(now);
    }

    /// Notes that a body ended, whole or not.
    pub fn end(&mut self, now: Instant, body: BodyId) {
        if let Some(body) = self.bodies.remove(&body) {
            self.ended.extend(body.sample(now));
        }
        self.review(now);
    }

    /// Returns the number of bodies that may come now.
    fn limit(&self) -> usize {
        let slow = |body: &&Body| body.slow >= SLOW_REVIEWS;
        let slow = self.bodies.values().filter(slow).count();
        match self.rate < self.full {
            true => self.most,
            false => (self.most + slow).min(MOST_BODIES),
        }
    }

    /// Adapts the rate to what came since the last review.
    fn review(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.reviewed);
        if passed < REVIEW {
            return;
        }
        let running = self.bodies.values().filter_map(|body| body.sample(now));
        let samples: Vec<Sample> = self.ended.iter().copied().chain(running).collect();
        let sound = samples.is_empty() || samples.iter().any(|sample| sample.share() >= SLOW);
        for body in self.bodies.values_mut() {
            let slow = body.sample(now).is_some_and(|sample| sample.share() < SLOW);
            body.slow = if slow && sound { body.slow + 1 } else { 0 };
        }
        let senders: BTreeSet<SocketAddr> = samples.iter().map(|sample| sample.from).collect();
        let came: u64 = samples.iter().map(|sample| sample.bytes).sum();
        if senders.len() > 1 && !sound {
            self.rate = came as f64 / passed.as_secs_f64() * DRAIN;
        } else {
            // A rate that no body had yet says nothing.
            let quick = samples.iter().filter(|sample| sample.share() >= QUICK);
            let tried = quick.map(|sample| sample.rate).fold(0.0, f64::max);
            self.rate = self.rate.max(tried * self.most as f64 * GROWTH);
        }
        self.rate = self.rate.clamp(self.full * LEAST_SHARE, self.full);
        self.restart(now);
    }

    fn restart(&mut self, now: Instant) {
        self.reviewed = now;
        self.ended.clear();
        for body in self.bodies.values_mut() {
            body.since = now;
            body.bytes = 0;
        }
    }
}

impl Body {
    fn sample(&self, now: Instant) -> Option<Sample> {
        let time = now.saturating_duration_since(self.since);
        (time >= LEAST_TIME).then_some(Sample {
            from: self.from,
            rate: self.rate,
            asked: self.rate * time.as_secs_f64(),
            bytes: self.bytes,
        })
    }
}

impl Sample {
    /// Returns the share of what was asked for that came.
    fn share(&self) -> f64 {
        self.bytes as f64 / self.asked.max(1.0)
    }
}
