//! Token buckets that limit the rate of chunk transfers.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use weights::Digest;

/// A token bucket in bytes that several bursts share in turn.
///
/// A send joins the queue of its burst and gets a [`Ticket`]. The first tickets of the queues are served in turn, one
/// queue after the other. A served ticket may take more bytes than the bucket holds: the bucket goes below zero, and
/// the next ticket waits until it is refilled above zero.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let bucket = burst::Bucket::new(1000.0, 100.0, now);
/// let version = weights::Digest::of(b"manifest");
/// assert_eq!(bucket.join(version, 600).poll(now), Ok(()));
/// let second = bucket.join(version, 600);
/// assert_eq!(second.poll(now), Err(Duration::from_millis(500)));
/// assert_eq!(second.poll(now + Duration::from_millis(501)), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct Bucket(Rc<RefCell<Inner>>);

#[derive(Debug)]
struct Inner {
    rate: f64,
    capacity: f64,
    level: f64,
    at: Instant,
    live: bool,
    next: u64,
    /// Waiting tickets of each burst; the first queue has the turn.
    queues: VecDeque<(Digest, VecDeque<(u64, u64)>)>,
}

/// Shortest time after which a ticket out of turn is polled again.
const TURN: Duration = Duration::from_millis(5);

/// A place in the queue of a bucket; it is given up on drop.
#[derive(Debug)]
pub struct Ticket {
    bucket: Bucket,
    number: u64,
}

impl Bucket {
    /// Returns a full bucket that refills with `rate` bytes a second and holds at most `capacity` bytes.
    pub fn new(rate: f64, capacity: f64, now: Instant) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            rate,
            capacity,
            level: capacity,
            at: now,
            live: false,
            next: 0,
            queues: VecDeque::new(),
        })))
    }

    /// Halves the rate while live requests are in progress on the VM.
    pub fn set_live(&self, live: bool, now: Instant) {
        let mut inner = self.0.borrow_mut();
        inner.refill(now);
        inner.live = live;
    }

    /// Joins the queue of the burst `version` to send or receive `bytes` bytes.
    pub fn join(&self, version: Digest, bytes: u64) -> Ticket {
        let mut inner = self.0.borrow_mut();
        let number = inner.next;
        inner.next += 1;
        match inner.queues.iter_mut().find(|(burst, _)| *burst == version) {
            Some((_, queue)) => queue.push_back((number, bytes)),
            None => inner
                .queues
                .push_back((version, VecDeque::from([(number, bytes)]))),
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
    pub fn poll(&self, now: Instant) -> Result<(), Duration> {
        self.bucket.0.borrow_mut().serve(self.number, now)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut inner = self.bucket.0.borrow_mut();
        for (_, queue) in &mut inner.queues {
            queue.retain(|(number, _)| *number != self.number);
        }
        inner.queues.retain(|(_, queue)| !queue.is_empty());
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
        let waiting =
            |(_, queue): &(Digest, VecDeque<(u64, u64)>)| queue.iter().any(|(n, _)| *n == number);
        if !self.queues.iter().any(waiting) {
            return Ok(());
        }
        if self.level <= 0.0 {
            let wait = -self.level / self.current_rate();
            return Err(Duration::from_secs_f64(wait.clamp(0.001, 60.0)));
        }
        let Some((version, mut queue)) = self.queues.pop_front() else {
            return Ok(());
        };
        if queue.front().is_none_or(|(head, _)| *head != number) {
            self.queues.push_front((version, queue));
            return Err(TURN);
        }
        if let Some((_, bytes)) = queue.pop_front() {
            self.level -= bytes as f64;
        }
        if !queue.is_empty() {
            self.queues.push_back((version, queue));
        }
        Ok(())
    }
}
