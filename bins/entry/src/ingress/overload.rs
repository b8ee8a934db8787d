//! Records which services are overloaded.

use std::collections::BTreeMap;
use std::time::Instant;

use node::event;

use super::gateway::Gateway;

/// Services that are overloaded, with the time since when.
pub(super) type OverloadedServices = BTreeMap<String, Instant>;

impl Gateway {
    /// Logs services whose overload began or ended, and updates the metric.
    pub(super) fn record_overload(&self, now: Instant) {
        let overloaded = self.view(|scheduler| scheduler.overloaded_services(now));
        let mut known = self.overloaded_services.borrow_mut();
        known.retain(|service, since| {
            let lasts = overloaded.contains(service);
            if !lasts {
                let lasted = now.saturating_duration_since(*since);
                event!(
                    event::OVERLOAD_ENDED,
                    service = service,
                    lasted_ms = lasted.as_millis()
                );
            }
            lasts
        });
        for service in overloaded {
            known.entry(service).or_insert_with_key(|service| {
                event!(event::OVERLOAD_BEGAN, service = service);
                now
            });
        }
        self.metrics.set_overloaded_services(known.len());
    }
}
