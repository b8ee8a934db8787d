//! Follows the operators' evacuations of failure domains.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use node::{Notify, event};
use platform::{Update, evacuations};

use super::gateway::Gateway;
use super::reader::Reader;
use super::store::read;
use super::targets::REREGISTRATION_TIME;

/// Wait of a watch, as a fraction of the time within which an evacuation must be in force. A call that is never
/// answered must end, and the next one succeed, within that time.
const WAIT_FACTOR: f64 = 0.4;
/// Minimum wait of a watch.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Follows evacuations, which must be in force within `bound`; never returns.
///
/// While the store can't be read, the known evacuations stay in force. Those that are missing after the store came back from
/// an older copy stay for as long as targets that are missing: operators write them again.
pub(super) async fn follow(gateway: &Gateway, bound: Duration, connectivity_changed: &Notify) {
    let mut reader = Reader::new(gateway, evacuations::KIND, connectivity_changed);
    let wait = bound.mul_f64(WAIT_FACTOR).max(MIN_WAIT);
    let mut missing = Missing::default();
    loop {
        reader.select_source(Instant::now());
        match read(&mut reader, wait, connectivity_changed).await {
            Some(Ok(update)) => apply(gateway, &mut missing, &update),
            Some(Err(failed)) => compio::time::sleep(failed.pause).await,
            None => {}
        }
        end(gateway, missing.expire(Instant::now()));
    }
}

/// Evacuations that are missing since the store came back from an older copy.
#[derive(Debug, Default)]
struct Missing {
    /// Era of the store that was read last.
    era: Option<u64>,
    /// Evacuated domains, each with the time until which its evacuation stays in force.
    domains: BTreeMap<String, Instant>,
}

impl Missing {
    /// Records the era of an update; returns whether it has risen.
    fn record_era(&mut self, era: u64) -> bool {
        let previous = self.era.replace(era);
        previous.is_some_and(|previous| previous < era)
    }

    /// Removes and returns the domains whose evacuation was not requested again in time.
    fn expire(&mut self, now: Instant) -> Vec<String> {
        let due = |_: &String, until: &mut Instant| *until <= now;
        let expired = self.domains.extract_if(.., due);
        expired.map(|(domain, _)| domain).collect()
    }
}

fn apply(gateway: &Gateway, missing: &mut Missing, update: &Update) {
    for object in &update.listing.objects {
        let domain = evacuations::domain(object);
        missing.domains.remove(domain);
        if gateway.update(|scheduler, now| scheduler.begin_evacuation(now, domain)) {
            event!(event::EVACUATION_BEGUN, domain = domain);
        }
    }
    let mut unlisted = ended(gateway, update);
    unlisted.retain(|domain| !missing.domains.contains_key(domain));
    if missing.record_era(update.listing.revision.era) {
        let until = Instant::now() + REREGISTRATION_TIME;
        let unlisted = unlisted.into_iter().map(|domain| (domain, until));
        missing.domains.extend(unlisted);
    } else {
        end(gateway, unlisted);
    }
    gateway.record_evacuations();
}

/// Ends the evacuations of `domains`.
fn end(gateway: &Gateway, domains: Vec<String>) {
    if domains.is_empty() {
        return;
    }
    for domain in domains {
        let age = gateway.update(|scheduler, now| scheduler.end_evacuation(now, &domain));
        if let Some(age) = age {
            event!(
                event::EVACUATION_ENDED,
                domain = domain,
                age_ms = age.as_millis()
            );
        }
    }
    gateway.record_evacuations();
}

/// Returns the failure domains whose evacuation was taken back.
fn ended(gateway: &Gateway, update: &Update) -> Vec<String> {
    let listing = &update.listing;
    if !update.whole {
        return listing.deleted.clone();
    }
    let is_listed = |domain: &String| {
        let mut objects = listing.objects.iter();
        objects.any(|object| evacuations::domain(object) == domain)
    };
    gateway.view(|scheduler| {
        let evacuated = scheduler.evacuated_domains();
        evacuated
            .filter(|domain| !is_listed(domain))
            .cloned()
            .collect()
    })
}
