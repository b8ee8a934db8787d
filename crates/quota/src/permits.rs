//! An entry's side: what it holds of a target's limit, and when it asks for more.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::issuer::Grant;
use crate::statement::{Limit, Statement};

/// Time from the question after which a permit has run out.
const PERMIT_VALIDITY: Duration = Duration::from_millis(500);
/// Time after which a question without an answer is taken for lost; an issuer on a slow VM takes long.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Most permits that are asked for at once.
const MAX_WANTED: usize = 16;
/// Questions in a row without an answer after which another issuer is asked.
const MAX_UNANSWERED: u32 = 4;
/// Time for which it is asked.
const SKIP_TIME: Duration = Duration::from_secs(10);

/// A question for permits, or word of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ask {
    /// Number of the question; the answer repeats it.
    pub number: u32,
    /// Permits that the entry has use for now; 0 to tell the statement only.
    pub wanted: u16,
    /// Limit that the entry keeps to.
    pub limit: Option<Limit>,
    /// What the entry knows of the target's own word.
    pub statement: Option<Statement>,
}

/// Permits of one entry for one target.
///
/// ```
/// use std::time::{Duration, Instant};
/// use quota::{Issuer, Permits, Role};
///
/// let now = Instant::now();
/// let target = ("target".to_owned(), None);
/// let (mut issuer, mut permits) = (Issuer::default(), Permits::default());
/// permits.want();
/// let ask = permits.ask(now, 1, Some(1.0), None).unwrap();
/// let grant = issuer.ask(now, &target, "entry", &ask, Role::Sole);
/// permits.take_grant(now, &grant, 0.5);
/// assert!(!permits.take(now), "an issuer that has just started grants nothing yet");
///
/// let later = now + Duration::from_secs(2);
/// permits.want();
/// let ask = permits.ask(later, 1, Some(1.0), None).unwrap();
/// let grant = issuer.ask(later, &target, "entry", &ask, Role::Sole);
/// permits.take_grant(later, &grant, 0.5);
/// assert!(permits.take(later));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Permits that were granted and not used, and when they run out.
    available_permits: u32,
    valid_until: Option<Instant>,
    /// The question that has no answer yet, and when it was put.
    pending_request: Option<(u32, Instant)>,
    next_number: u32,
    unanswered_requests: u32,
    /// Issuers that are passed over, and since when.
    skipped: usize,
    skipped_at: Option<Instant>,
    /// Time before which no question is put.
    next_request_at: Option<Instant>,
    wanted: bool,
    /// Whether the issuer hasn't been told yet what the target said.
    limit_changed: bool,
}

impl Permits {
    /// Tells whether a request may be sent.
    pub fn is_available(&self, now: Instant) -> bool {
        self.available_permits > 0 && self.valid_until.is_some_and(|until| now < until)
    }

    /// Uses a permit for a request, and returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let available = self.is_available(now);
        if available {
            self.available_permits -= 1;
        }
        available
    }

    /// Notes that a request would use a permit.
    pub fn want(&mut self) {
        self.wanted = true;
    }

    /// Notes that the target said something new of its limit.
    pub fn tell(&mut self) {
        self.limit_changed = true;
    }

    /// Tells whether there is a question to put, now or later.
    pub fn is_asking(&self) -> bool {
        self.wanted || self.limit_changed
    }

    /// Returns the time at which a request that wants a permit may get one, as far as it is known.
    pub fn expected(&self, now: Instant) -> Instant {
        self.next_request_at.map_or(now, |at| at.max(now))
    }

    /// Returns how many issuers are passed over because they didn't answer.
    pub fn skipped(&mut self, now: Instant) -> usize {
        if self.unanswered_requests >= MAX_UNANSWERED {
            self.unanswered_requests = 0;
            self.skipped += 1;
            self.skipped_at = Some(now);
        }
        // The first one may be back, and entries that use different ones grant more together.
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= SKIP_TIME;
        if self.skipped_at.is_some_and(is_expired) {
            self.skipped = 0;
            self.skipped_at = None;
        }
        self.skipped
    }

    /// Returns the question to put now for `wanted` permits, if one is due.
    pub fn ask(
        &mut self,
        now: Instant,
        wanted: usize,
        limit: Option<Limit>,
        statement: Option<Statement>,
    ) -> Option<Ask> {
        let is_pending = |at: Instant| now.saturating_duration_since(at) < RESPONSE_TIMEOUT;
        let request_due = self.wanted
            && !self.pending_request.is_some_and(|(_, at)| is_pending(at))
            && self.next_request_at.is_none_or(|at| at <= now);
        if !request_due && !self.limit_changed {
            return None;
        }
        self.limit_changed = false;
        self.next_number = self.next_number.wrapping_add(1);
        if request_due {
            if self.pending_request.is_some() {
                self.unanswered_requests = self.unanswered_requests.saturating_add(1);
            }
            self.wanted = false;
            self.pending_request = Some((self.next_number, now));
        }
        Some(Ask {
            number: self.next_number,
            wanted: if request_due {
                wanted.clamp(1, MAX_WANTED) as u16
            } else {
                0
            },
            limit,
            statement,
        })
    }

    /// Takes an answer; `draw`, from 0 to 1, spreads the entry's next question over time.
    ///
    /// The answer to an older question is of no use: its permits have run out or were asked for again.
    pub fn take_grant(&mut self, now: Instant, grant: &Grant, jitter: f64) {
        let Some((_, at)) = self
            .pending_request
            .filter(|(number, _)| *number == grant.number)
        else {
            return;
        };
        self.pending_request = None;
        self.unanswered_requests = 0;
        let pause = Duration::from_millis(grant.pause_ms.into());
        self.next_request_at = Some(now + pause.mul_f64(0.5 + jitter));
        if grant.permits > 0 {
            // Those held before run out with the new ones at the latest, so they are let go.
            self.available_permits = grant.permits.into();
            self.valid_until = Some(at + PERMIT_VALIDITY);
        }
    }
}
