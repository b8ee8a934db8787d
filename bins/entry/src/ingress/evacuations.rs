//! Follows the operators' evacuations of failure domains.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use node::event;
use platform::{Update, evacuations};
use replica::Kind;

use super::gateway::Gateway;

/// Interval between checks for evacuations that no longer hold.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without evacuations after which an entry that has a configuration routes requests as if there were none. A store
/// that serves everything else but not these would keep all entries out of service.
const MAX_UNKNOWN: Duration = Duration::from_secs(30);

/// Time for which an evacuation stays in force that a store restored from an older copy lacks. Operators write again
/// what is missing, or take it back meanwhile.
const RESTORE_GRACE: Duration = Duration::from_secs(10);

/// Tells which evacuations were taken back, and which of them a restored store only lacks.
#[derive(Default)]
struct Tracker {
    /// Era of the store that was last read.
    era: Option<u64>,
    /// Failure domains whose evacuation the restored store lacks, with the time at which it ends.
    missing: BTreeMap<String, Instant>,
}

/// Applies evacuations as they become known; never returns.
///
/// While they can't be read, the known ones stay in force. Until they have been read once, no request is routed.
pub(super) async fn follow(gateway: &Gateway) {
    let mut tracker = Tracker::default();
    let mut configured_since = None;
    let mut after = None;
    loop {
        let update = gateway.objects.next_update(Kind::Evacuations, after);
        match compio::time::timeout(CHECK_INTERVAL, update).await {
            Ok(update) => {
                after = Some(update.listing.revision);
                apply(gateway, &mut tracker, &update);
                gateway.set_evacuations_known();
            }
            Err(_) => assume_none(gateway, Instant::now(), &mut configured_since),
        }
        for domain in tracker.expired(Instant::now()) {
            end(gateway, &domain);
        }
    }
}

/// Routes requests without knowing the evacuations once nothing but these has been missing for [`MAX_UNKNOWN`].
///
/// `configured_since` is the time of the first call at which the entry had a configuration.
fn assume_none(gateway: &Gateway, now: Instant, configured_since: &mut Option<Instant>) {
    if gateway.are_evacuations_known() || gateway.config().is_none() {
        return;
    }
    let waited = now.saturating_duration_since(*configured_since.get_or_insert(now));
    if waited >= MAX_UNKNOWN {
        event!(event::EVACUATIONS_UNREAD, waited_ms = waited.as_millis());
        gateway.set_evacuations_known();
    }
}

fn apply(gateway: &Gateway, tracker: &mut Tracker, update: &Update) {
    for object in &update.listing.objects {
        let domain = evacuations::domain(object);
        if gateway.update(|scheduler, now| scheduler.begin_evacuation(now, domain)) {
            event!(event::EVACUATION_BEGUN, domain = domain);
        }
    }
    let known: Vec<String> =
        gateway.view(|scheduler| scheduler.evacuated_domains().cloned().collect());
    for domain in tracker.ended(Instant::now(), known, update) {
        end(gateway, &domain);
    }
    gateway.record_evacuations();
}

fn end(gateway: &Gateway, domain: &str) {
    let age = gateway.update(|scheduler, now| scheduler.end_evacuation(now, domain));
    if let Some(age) = age {
        event!(
            event::EVACUATION_ENDED,
            domain = domain,
            age_ms = age.as_millis()
        );
    }
    gateway.record_evacuations();
}

impl Tracker {
    /// Returns those of the `known` evacuations that were taken back according to `update`.
    fn ended(&mut self, now: Instant, known: Vec<String>, update: &Update) -> Vec<String> {
        let listing = &update.listing;
        for object in &listing.objects {
            self.missing.remove(evacuations::domain(object));
        }
        if !update.whole {
            for domain in &listing.deleted {
                self.missing.remove(domain);
            }
            return listing.deleted.clone();
        }
        let is_listed = |domain: &String| {
            let mut objects = listing.objects.iter();
            objects.any(|object| evacuations::domain(object) == domain)
        };
        let unlisted = known.into_iter().filter(|domain| !is_listed(domain));
        let era = listing.revision.era;
        let restored = self
            .era
            .replace(era)
            .is_some_and(|previous| previous != era);
        if restored {
            let until = now + RESTORE_GRACE;
            for domain in unlisted {
                self.missing.entry(domain).or_insert(until);
            }
            return Vec::new();
        }
        unlisted
            .filter(|domain| !self.missing.contains_key(domain))
            .collect()
    }

    /// Removes and returns the missing evacuations that no longer hold.
    fn expired(&mut self, now: Instant) -> Vec<String> {
        let expired = self.missing.extract_if(.., |_, until| *until <= now);
        expired.map(|(domain, _)| domain).collect()
    }
}
