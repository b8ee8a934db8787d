//! Interval claims for calls that must not run more than once.
//!
//! The keys of a service are partitioned into 16 slots; see [`slot`]. The [`Table`] of a service is one object of the
//! platform. For each slot it contains the owner, an epoch and the interval `[from, until)` of issue times whose keys
//! the owner may run. Intervals of successive epochs are disjoint, so at most one process may ever run a key. That
//! process has an [`Owner`], which decides about each call and remembers the keys that ran.
//!
//! Safety doesn't depend on clocks: `now` only determines where intervals end. The exception is a platform that comes
//! back from an older copy, whose table may lack the last intervals: the intervals of the new era start [`ERA_GAP`]
//! later. Times are durations since the Unix epoch, in whole milliseconds.
//!
//! ```
//! use std::time::Duration;
//! use claim::{Decision, Owner, Table};
//!
//! let now = Duration::from_millis(0x0192_0000_0000);
//! let mut owner = Owner::new("vm-1", 7);
//! owner.observe(0, &Table::default());
//! let write = owner.plan(now, &["vm-1".into()], &[]).unwrap();
//! owner.observe(12, &write.table); // The platform accepted the write as revision 12.
//!
//! let key = uuid::Uuid::parse_str("01920000-0000-7000-8000-000000000001").unwrap();
//! assert_eq!(owner.begin("clerks", key, now), Decision::Run);
//! assert_eq!(owner.begin("clerks", key, now), Decision::Wait);
//! ```

mod decision;
mod history;
mod owner;
mod rank;
mod slot;
mod slot_state;
mod table;

pub use decision::{Decision, Reason};
pub use history::{Answer, Outcome};
pub use owner::{Owner, Write};
pub use rank::slot_ranks;
pub use slot::{SLOT_COUNT, issue_time, slot};
pub use table::{Claim, Error, Holder, Prior, Table};

use std::time::Duration;

/// Time from a renewal to the end of the renewed interval.
pub const TERM: Duration = Duration::from_secs(10);

/// Time from the first write of a new era to the start of the intervals that are claimed in it.
///
/// Every interval of an earlier era ends within a term after the restore; the rest is for clocks that differ.
pub const ERA_GAP: Duration = Duration::from_secs(15);

/// Time between two renewals of an interval.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Time for which a finished key is remembered, and its answer sent again.
pub const KEY_RETENTION: Duration = Duration::from_secs(15 * 60);

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
