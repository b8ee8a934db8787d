//! Versioned records of members and catalogue entries, and how they spread.
//!
//! A [`Record`] is replaced only by one of a higher [`Version`]; the merge of two stores doesn't depend on the order
//! in which records arrive, so no record ever reverts. Records spread in three ways, all of which are decisions without
//! I/O here:
//!
//! - a changed record is pushed to the peers that [`Peers::push`] chooses;
//! - once a second two stores are compared by the steps of [`Digest`] and [`Delta`];
//! - agents get the records that concern them from [`Views`], in the replies to their reports.
//!
//! ```
//! use gossip::{Key, Record, Store, Value, Version};
//!
//! let record = |revision, text: &str| Record {
//!     key: Key::Catalog("class/urgent".into()),
//!     version: Version { major: revision, ..Version::default() },
//!     value: Value::Catalog(text.into()),
//! };
//! let mut store = Store::new();
//! assert!(store.merge(record(8, "new")));
//! assert!(!store.merge(record(7, "old")));
//! ```

mod choice;
mod codec;
mod detect;
mod exchange;
mod expiry;
mod hash;
mod member;
mod random;
mod record;
mod source;
mod store;
mod view;

pub use choice::{Peers, report_count, report_entries, reporters, watchers};
pub use detect::{Detector, Sign};
pub use exchange::{Delta, Digest};
pub use expiry::Expiry;
pub use member::Member;
pub use random::Random;
pub use record::{Key, Node, Phase, Record, Target, Value, Version};
pub use source::Source;
pub use store::{BUCKETS, Store};
pub use view::{Scope, Span, Update, Views};
