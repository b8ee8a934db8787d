//! A process's own record.

use crate::record::{Key, Record, Value, Version};

/// The record that a member publishes about itself.
///
/// ```
/// use gossip::{Key, Member, Node, Phase, Store, Value};
///
/// let node = Node {
///     domain: "levis".into(),
///     region: "levis".into(),
///     peer: "127.0.0.1:7000".parse().unwrap(),
///     phase: Phase::Live,
/// };
/// let mut member = Member::new(Key::Entry("e1".into()), 40, Value::Entry(node));
/// let mut store = Store::new();
/// store.merge(member.record().clone());
/// let down = store.down(&Key::Entry("e1".into())).unwrap();
/// assert!(member.refute(&down));
/// assert!(store.merge(member.record().clone()));
/// ```
#[derive(Clone, Debug)]
pub struct Member {
    record: Record,
}

impl Member {
    /// Returns the member `key` with the given incarnation and its first value.
    pub fn new(key: Key, incarnation: u64, value: Value) -> Self {
        let version = Version {
            major: incarnation,
            ..Version::default()
        };
        Self {
            record: Record {
                key,
                version,
                value,
            },
        }
    }

    /// Returns the record as it is to be published.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> u64 {
        self.record.version.major
    }

    /// Changes the value; the version rises if it differs. Returns whether it did.
    pub fn update(&mut self, value: Value) -> bool {
        if self.record.value == value {
            return false;
        }
        self.record.value = value;
        self.record.version.minor += 1;
        true
    }

    /// Raises the own version above that of another record about this member, and returns whether it had to.
    ///
    /// Such a record says that the member is down, or comes from an earlier process of the same name. The latter can
    /// have a higher incarnation when it started without the platform and counted from its clock; the own incarnation
    /// then rises above it, so that reports numbered from 1 count as new.
    pub fn refute(&mut self, seen: &Record) -> bool {
        if seen.key != self.record.key || *seen == self.record {
            return false;
        }
        let (mine, theirs) = (self.record.version, seen.version);
        if theirs.major > mine.major {
            self.record.version = Version {
                major: theirs.major.saturating_add(1),
                ..Version::default()
            };
        } else if theirs >= mine {
            self.record.version.minor = theirs.minor.saturating_add(1);
        } else {
            return false;
        }
        true
    }
}
