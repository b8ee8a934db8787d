//! Follows the operators' evacuations of failure domains.

use std::time::{Duration, Instant};

use node::{Notify, event};
use platform::{Update, evacuations};

use super::gateway::Gateway;
use super::reader::Reader;
use super::store::read;

/// Wait of a watch, as a fraction of the time within which an evacuation must be in force. A call that is never
/// answered must end, and the next one succeed, within that time.
const WAIT_FACTOR: f64 = 0.4;
/// Minimum wait of a watch.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Follows evacuations, which must be in force within `bound`; never returns.
///
/// While the store can't be read, the known evacuations stay in force.
pub(super) async fn follow(gateway: &Gateway, bound: Duration, connectivity_changed: &Notify) {
    let mut reader = Reader::new(gateway, evacuations::KIND, connectivity_changed);
    let wait = bound.mul_f64(WAIT_FACTOR).max(MIN_WAIT);
    loop {
        reader.select_source(Instant::now());
        match read(&mut reader, wait, connectivity_changed).await {
            Some(Ok(update)) => apply(gateway, &update),
            Some(Err(failed)) => compio::time::sleep(failed.pause).await,
            None => {}
        }
    }
}

fn apply(gateway: &Gateway, update: &Update) {
    for object in &update.listing.objects {
        let domain = evacuations::domain(object);
        if gateway.update(|scheduler, now| scheduler.begin_evacuation(now, domain)) {
            event!(event::EVACUATION_BEGUN, domain = domain);
        }
    }
    for domain in ended(gateway, update) {
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
