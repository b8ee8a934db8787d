//! Interval claims of calls that must not be repeated.
//!
//! The keys of a service fall into 16 slots; see [`slot`]. The [`Table`] of a service, one object of the platform,
//! holds for each slot its owner, an epoch and the interval `[from, until)` of issue times that the owner may run.
//! Intervals of successive epochs are disjoint, so each key has at most one process that may ever run it. That process
//! keeps an [`Owner`], which decides about each call and remembers the keys that ran.
//!
//! Safety doesn't depend on clocks: `now` only chooses where intervals end. Times are durations since the Unix epoch,
//! in whole milliseconds.
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
mod held;
mod memory;
mod owner;
mod share;
mod slot;
mod table;

pub use decision::{Decision, Reason};
pub use memory::{Answer, Outcome};
pub use owner::{Owner, Write};
pub use share::places;
pub use slot::{SLOTS, issued, slot};
pub use table::{Claim, Error, Holder, Prior, Table};

use std::time::Duration;

/// Distance from now to the end of a renewed interval.
pub const TERM: Duration = Duration::from_secs(10);

/// Time between renewals.
pub const RENEWAL: Duration = Duration::from_secs(3);

/// Time for which a finished key is remembered.
pub const RETENTION: Duration = Duration::from_secs(15 * 60);

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
