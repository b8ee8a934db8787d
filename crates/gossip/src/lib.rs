//! Versioned records of members and catalogue entries, and their dissemination by gossip.
//!
//! A [`Record`] is replaced only by one of a higher [`Version`], so no record ever reverts, and the result of merging
//! two stores doesn't depend on the order in which records arrive. Records are disseminated in three ways. This crate
//! makes the decisions and does no I/O.
//!
//! - A changed record is pushed to the peers that [`PeerSelector::push_peers`] selects.
//! - Once a second, two stores are compared by an exchange of [`Digest`] and [`Delta`] messages.
//! - Agents receive the records in their scope from [`ViewReplies`], in the replies to their reports.
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

mod codec;
mod exchange;
mod expiry;
mod failure;
mod hash;
mod local;
mod random;
mod record;
mod selection;
mod source;
mod store;
mod view;

pub use exchange::{Delta, Digest};
pub use expiry::Expiry;
pub use failure::{FailureDetector, Liveness};
pub use local::LocalMember;
pub use random::Random;
pub use record::{Key, Node, Phase, Record, Target, Value, Version};
pub use selection::{PeerSelector, report_count, report_entries, reporters, watchers};
pub use source::UpdateSource;
pub use store::{BUCKET_COUNT, Store};
pub use view::{KeyRange, Scope, ViewReplies, ViewUpdate};
