//! Token buckets that limit the rate of chunk transfers.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use weights::Digest;

/// A token bucket, counted in bytes, that concurrent bursts share round-robin.
///
/// Each send enqueues a [`Ticket`] for its burst. Bursts are served round-robin, one ticket at a time. Within a burst,
/// a ticket can be served once the bucket's level exceeds the total of the tickets ahead of it, even if those haven't
/// been polled yet. When only the first ticket could be served, the link idled until that ticket was polled again: with
/// 16 tickets, a link of 8 MiB/s carried 7 MiB/s. A served ticket may take more bytes than the bucket holds; the level
/// then becomes negative, and the next ticket waits until it is positive again.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let bucket = burst::TokenBucket::new(1000.0, 100.0, now);
/// let version = weights::Digest::of(b"manifest");
/// assert_eq!(bucket.enqueue(version, 600).try_take(now), Ok(()));
/// let second = bucket.enqueue(version, 600);
/// assert_eq!(second.try_take(now), Err(Duration::from_millis(500)));
/// assert_eq!(second.try_take(now + Duration::from_millis(501)), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket(Rc<RefCell<Inner>>);

#[derive(Debug)]
struct Inner {
    rate: f64,
    capacity: f64,
    level: f64,
    refilled_at: Instant,
    live_traffic: bool,
    next_number: u64,
    /// Waiting tickets of each burst as (number, bytes); the burst at the front is served next.
    bursts: VecDeque<(Digest, Vec<(u64, u64)>)>,
}

/// Shortest delay before a ticket whose burst isn't at the front is polled again.
const OUT_OF_TURN_DELAY: Duration = Duration::from_millis(5);

/// A position in the queue of a bucket; dropping it leaves the queue.
#[derive(Debug)]
pub struct Ticket {
    bucket: TokenBucket,
    number: u64,
}

impl TokenBucket {
    /// Returns a full bucket that refills at `rate` bytes per second and holds at most `capacity` bytes.
    pub fn new(rate: f64, capacity: f64, now: Instant) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            rate,
            capacity,
            level: capacity,
            refilled_at: now,
            live_traffic: false,
            next_number: 0,
            bursts: VecDeque::new(),
        })))
    }

    /// Halves the rate while live requests are in progress on the VM.
    pub fn set_live_traffic(&self, live_traffic: bool, now: Instant) {
        let mut inner = self.0.borrow_mut();
        inner.refill(now);
        inner.live_traffic = live_traffic;
    }

    /// Enqueues a ticket for `bytes` bytes of the burst of `version`.
    pub fn enqueue(&self, version: Digest, bytes: u64) -> Ticket {
        let mut inner = self.0.borrow_mut();
        let number = inner.next_number;
        inner.next_number += 1;
        match inner.bursts.iter_mut().find(|(burst, _)| *burst == version) {
            Some((_, tickets)) => tickets.push((number, bytes)),
            None => inner.bursts.push_back((version, vec![(number, bytes)])),
        }
        Ticket {
            bucket: self.clone(),
            number,
        }
    }
}

impl Ticket {
    /// Takes the bytes of the ticket from the bucket.
    ///
    /// Once it has succeeded, further calls succeed without taking bytes.
    ///
    /// # Errors
    ///
    /// Returns the delay before the next call when the ticket isn't next or the level is too low.
    pub fn try_take(&self, now: Instant) -> Result<(), Duration> {
        self.bucket.0.borrow_mut().serve_ticket(self.number, now)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut inner = self.bucket.0.borrow_mut();
        for (_, tickets) in &mut inner.bursts {
            tickets.retain(|(number, _)| *number != self.number);
        }
        inner.bursts.retain(|(_, tickets)| !tickets.is_empty());
    }
}

impl Inner {
    fn current_rate(&self) -> f64 {
        if self.live_traffic {
            self.rate / 2.0
        } else {
            self.rate
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.level = (self.level + elapsed * self.current_rate()).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn serve_ticket(&mut self, number: u64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let contains_ticket = |(_, tickets): &(Digest, Vec<(u64, u64)>)| {
            tickets.iter().any(|(waiting, _)| *waiting == number)
        };
        let Some(position) = self.bursts.iter().position(contains_ticket) else {
            return Ok(());
        };
        let tickets = &self.bursts[position].1;
        let before = tickets.iter().take_while(|(waiting, _)| *waiting != number);
        let ahead: u64 = before.map(|(_, bytes)| bytes).sum();
        let shortfall = ahead as f64 - self.level;
        if shortfall >= 0.0 {
            let wait = shortfall / self.current_rate();
            return Err(Duration::from_secs_f64(wait.clamp(0.001, 60.0)));
        }
        if position > 0 {
            return Err(OUT_OF_TURN_DELAY);
        }
        let Some((version, mut tickets)) = self.bursts.pop_front() else {
            return Ok(());
        };
        let served = tickets.iter().position(|(waiting, _)| *waiting == number);
        if let Some((_, bytes)) = served.map(|served| tickets.remove(served)) {
            self.level -= bytes as f64;
        }
        if !tickets.is_empty() {
            self.bursts.push_back((version, tickets));
        }
        Ok(())
    }
}
