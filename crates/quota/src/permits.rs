//! The entry's side: the permits that it holds for a target, and when it requests more.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::advertised_limit::{AdvertisedLimit, Limit};
use crate::issuer::Grant;

/// Time after the request for it at which a permit expires.
const PERMIT_VALIDITY: Duration = Duration::from_millis(500);
/// Time after which a request for permits without a response is considered lost; an issuer on a slow VM takes long.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of permits per request.
const MAX_WANTED: usize = 16;
/// Consecutive requests without a response after which another issuer is used.
const MAX_UNANSWERED: u32 = 4;
/// Time for which another issuer is used instead of the first one.
const SKIP_TIME: Duration = Duration::from_secs(10);

/// A request for permits, or a notification of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PermitRequest {
    /// Number of the request, repeated by the grant.
    pub number: u32,
    /// Number of permits that the entry can use now; 0 to send the advertised limit only.
    pub wanted: u16,
    /// Limit that the entry applies.
    pub limit: Option<Limit>,
    /// The latest limit advertised by the target that the entry knows.
    pub statement: Option<AdvertisedLimit>,
}

/// The permits of one entry for one target.
///
/// ```
/// use std::time::{Duration, Instant};
/// use quota::{Issuer, Permits, Role};
///
/// let now = Instant::now();
/// let target = ("target".to_owned(), None);
/// let (mut issuer, mut permits) = (Issuer::default(), Permits::default());
/// permits.set_wanted();
/// let request = permits.next_request(now, 1, Some(1.0), None).unwrap();
/// let grant = issuer.handle_request(now, &target, "entry", &request, Role::Sole);
/// permits.apply_grant(now, &grant, 0.5);
/// assert!(!permits.try_take(now), "an issuer that has just started grants nothing yet");
///
/// let later = now + Duration::from_secs(2);
/// permits.set_wanted();
/// let request = permits.next_request(later, 1, Some(1.0), None).unwrap();
/// let grant = issuer.handle_request(later, &target, "entry", &request, Role::Sole);
/// permits.apply_grant(later, &grant, 0.5);
/// assert!(permits.try_take(later));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Granted permits that were not used yet.
    available_permits: u32,
    /// Time at which they expire.
    valid_until: Option<Instant>,
    /// Number of the request that has no response yet, and the time at which it was sent.
    pending_request: Option<(u32, Instant)>,
    next_number: u32,
    unanswered_requests: u32,
    /// Number of issuers that are skipped.
    skipped: usize,
    /// Time at which the last one of them was skipped.
    skipped_at: Option<Instant>,
    /// Time before which no request for permits is sent.
    next_request_at: Option<Instant>,
    wanted: bool,
    /// Whether the target advertised a limit that was not sent to the issuer yet.
    limit_changed: bool,
}

impl Permits {
    /// Returns whether a permit is available for a request to the target.
    pub fn is_available(&self, now: Instant) -> bool {
        self.available_permits > 0 && self.valid_until.is_some_and(|until| now < until)
    }

    /// Uses a permit for a request to the target, and returns whether one was available.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let available = self.is_available(now);
        if available {
            self.available_permits -= 1;
        }
        available
    }

    /// Records that a request to the target needs a permit.
    pub fn set_wanted(&mut self) {
        self.wanted = true;
    }

    /// Records that the target advertised a new limit, which must be sent to the issuer.
    pub fn set_limit_changed(&mut self) {
        self.limit_changed = true;
    }

    /// Returns whether there is a request to send to the issuer, now or later.
    pub fn has_request(&self) -> bool {
        self.wanted || self.limit_changed
    }

    /// Returns the earliest time at which a permit may become available, as far as it is known.
    pub fn next_permit_at(&self, now: Instant) -> Instant {
        self.next_request_at.map_or(now, |at| at.max(now))
    }

    /// Returns the number of issuers that are skipped because they didn't respond.
    pub fn skipped_issuers(&mut self, now: Instant) -> usize {
        if self.unanswered_requests >= MAX_UNANSWERED {
            self.unanswered_requests = 0;
            self.skipped += 1;
            self.skipped_at = Some(now);
        }
        // The first issuer may be available again, and several issuers at once grant more in total.
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= SKIP_TIME;
        if self.skipped_at.is_some_and(is_expired) {
            self.skipped = 0;
            self.skipped_at = None;
        }
        self.skipped
    }

    /// Returns the request for `wanted` permits that is to be sent now, if one is due.
    pub fn next_request(
        &mut self,
        now: Instant,
        wanted: usize,
        limit: Option<Limit>,
        statement: Option<AdvertisedLimit>,
    ) -> Option<PermitRequest> {
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
        Some(PermitRequest {
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

    /// Applies a grant; `jitter`, from 0 to 1, spreads the next requests of entries over time.
    ///
    /// A grant for an older request is ignored, because its permits have expired or were requested again.
    pub fn apply_grant(&mut self, now: Instant, grant: &Grant, jitter: f64) {
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
            // The earlier permits expire no later than the new ones, so they are dropped.
            self.available_permits = grant.permits.into();
            self.valid_until = Some(at + PERMIT_VALIDITY);
        }
    }
}
