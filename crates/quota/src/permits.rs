//! The entry's side: the permits that it holds for a target, and when it requests more.

use std::ops::Range;
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
/// Factors by which an entry shortens or extends the pause that the issuer sets.
pub(crate) const PAUSE_FACTORS: Range<f64> = 0.5..1.5;
/// Time for which another issuer is used instead of the first one.
const SKIP_TIME: Duration = Duration::from_secs(10);
/// Time after which a request that lacked a permit no longer counts as demand: it was rejected, or has one.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(200);

/// A request for permits, or a notification of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PermitRequest {
    /// Number of the request, repeated by the grant.
    pub number: u32,
    /// Number of permits that the entry can use now; 0 if it needs none, or to send the advertised limit only.
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
/// permits.set_wanted(now);
/// let request = permits.next_request(now, 1, Some(1.0), None).unwrap();
/// let grant = issuer.handle_request(now, &target, "entry", &request, Role::Sole);
/// permits.apply_grant(now, &grant, 0.5);
/// assert!(!permits.try_take(now), "an issuer that has just started grants nothing yet");
///
/// let later = now + Duration::from_secs(2);
/// permits.set_wanted(later);
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
    /// Last time at which a request lacked a permit; `None` if that is too long ago to count as demand.
    wanted_at: Option<Instant>,
    /// Last time at which permits were requested.
    requested_at: Option<Instant>,
    /// Whether the issuer was last told that this entry wants permits.
    is_requester: bool,
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

    /// Records that a request to the target lacks a permit at `now`.
    pub fn set_wanted(&mut self, now: Instant) {
        self.wanted_at = Some(now);
    }

    /// Records that the target advertised a new limit, which must be sent to the issuer.
    pub fn set_limit_changed(&mut self) {
        self.limit_changed = true;
    }

    /// Returns whether there is a request to send to the issuer, now or later.
    pub fn has_request(&self) -> bool {
        self.wanted_at.is_some() || self.is_requester || self.limit_changed
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
    ///
    /// While no request lacks a permit, none are requested, and the issuer is told once that this entry wants none.
    pub fn next_request(
        &mut self,
        now: Instant,
        wanted: usize,
        limit: Option<Limit>,
        statement: Option<AdvertisedLimit>,
    ) -> Option<PermitRequest> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < DEMAND_TIMEOUT;
        self.wanted_at = self.wanted_at.filter(is_recent);
        let demand_ended = self.is_requester && self.wanted_at.is_none();
        let wanted = match self.is_request_due(now) {
            true => wanted.clamp(1, MAX_WANTED) as u16,
            false if self.limit_changed || demand_ended => 0,
            false => return None,
        };
        self.limit_changed = false;
        self.is_requester = wanted > 0;
        self.next_number = self.next_number.wrapping_add(1);
        if wanted > 0 {
            if self.pending_request.is_some() {
                self.unanswered_requests = self.unanswered_requests.saturating_add(1);
            }
            self.pending_request = Some((self.next_number, now));
            self.requested_at = Some(now);
        }
        Some(PermitRequest {
            number: self.next_number,
            wanted,
            limit,
            statement,
        })
    }

    /// Returns whether a request has lacked a permit since permits were last requested, and more may be requested now.
    fn is_request_due(&self, now: Instant) -> bool {
        let is_pending = |at: Instant| now.saturating_duration_since(at) < RESPONSE_TIMEOUT;
        self.wanted_at > self.requested_at
            && !self.pending_request.is_some_and(|(_, at)| is_pending(at))
            && self.next_request_at.is_none_or(|at| at <= now)
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
        let factor = PAUSE_FACTORS.start + jitter * (PAUSE_FACTORS.end - PAUSE_FACTORS.start);
        self.next_request_at = Some(now + pause.mul_f64(factor));
        if grant.permits > 0 {
            // The earlier permits expire no later than the new ones, so they are dropped.
            self.available_permits = grant.permits.into();
            self.valid_until = Some(at + PERMIT_VALIDITY);
        }
    }
}
