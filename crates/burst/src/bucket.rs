//! Token buckets that limit the rate of chunk transfers.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use weights::Digest;

/// A token bucket in bytes that several bursts share in turn.
///
/// A send joins its burst and gets a [`Ticket`]. Bursts are served in turn, one ticket each. Within a burst, a ticket is
/// served once the bucket holds more than what the tickets before it take, whether they were polled or not: with only
/// the first one served, the link idled until it was polled again, and with 16 tickets a link of 8 MiB/s carried 7
/// MiB/s. A served ticket may take more bytes than the bucket holds: the bucket goes below zero, and the next ticket
/// waits until it is refilled above zero.
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
    at: Instant,
    live: bool,
    next: u64,
    /// Waiting tickets of each burst, as number and bytes; the first burst has the turn.
    bursts: VecDeque<(Digest, Vec<(u64, u64)>)>,
}

/// Shortest time after which a ticket out of turn is polled again.
const TURN: Duration = Duration::from_millis(5);

/// A place among those that wait for a bucket; it is given up on drop.
#[derive(Debug)]
pub struct Ticket {
    bucket: TokenBucket,
    number: u64,
}

impl TokenBucket {
    /// Returns a full bucket that refills with `rate` bytes a second and holds at most `capacity` bytes.
    pub fn new(rate: f64, capacity: f64, now: Instant) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            rate,
            capacity,
            level: capacity,
            at: now,
            live: false,
            next: 0,
            bursts: VecDeque::new(),
        })))
    }

    /// Halves the rate while live requests are in progress on the VM.
    pub fn set_live_traffic(&self, live: bool, now: Instant) {
        let mut inner = self.0.borrow_mut();
        inner.refill(now);
        inner.live = live;
    }

    /// Joins the burst `version` to send or receive `bytes` bytes.
    pub fn enqueue(&self, version: Digest, bytes: u64) -> Ticket {
        let mut inner = self.0.borrow_mut();
        let number = inner.next;
        inner.next += 1;
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
    /// Takes the bytes of the ticket out of the bucket.
    ///
    /// A ticket that was served stays served.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before the next poll when it isn't the ticket's turn or the bucket is empty.
    pub fn try_take(&self, now: Instant) -> Result<(), Duration> {
        self.bucket.0.borrow_mut().serve(self.number, now)
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
        if self.live {
            self.rate / 2.0
        } else {
            self.rate
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + elapsed * self.current_rate()).min(self.capacity);
        self.at = self.at.max(now);
    }

    fn serve(&mut self, number: u64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let waits = |(_, tickets): &(Digest, Vec<(u64, u64)>)| {
            tickets.iter().any(|(waiting, _)| *waiting == number)
        };
        let Some(place) = self.bursts.iter().position(waits) else {
            return Ok(());
        };
        let tickets = &self.bursts[place].1;
        let before = tickets.iter().take_while(|(waiting, _)| *waiting != number);
        let ahead: u64 = before.map(|(_, bytes)| bytes).sum();
        let short = ahead as f64 - self.level;
        if short >= 0.0 {
            let wait = short / self.current_rate();
            return Err(Duration::from_secs_f64(wait.clamp(0.001, 60.0)));
        }
        if place > 0 {
            return Err(TURN);
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
