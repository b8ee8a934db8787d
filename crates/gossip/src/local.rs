//! The record that a member publishes about itself.

use crate::record::{Key, Record, Value, Version};

/// The local member and the record that it publishes about itself.
///
/// ```
/// use gossip::{Key, LocalMember, Node, Phase, Store, Value};
///
/// let node = Node {
///     domain: "levis".into(),
///     region: "levis".into(),
///     peer: "127.0.0.1:7000".parse().unwrap(),
///     phase: Phase::Live,
/// };
/// let mut member = LocalMember::new(Key::Entry("e1".into()), 40, Value::Entry(node));
/// let mut store = Store::new();
/// store.merge(member.record().clone());
/// let down = store.down_record(&Key::Entry("e1".into())).unwrap();
/// assert!(member.refute(&down));
/// assert!(store.merge(member.record().clone()));
/// ```
#[derive(Clone, Debug)]
pub struct LocalMember {
    record: Record,
}

impl LocalMember {
    /// Creates the member `key` with the given incarnation and initial value.
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

    /// Returns the record to publish.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the incarnation, which is the major version of the record.
    pub fn incarnation(&self) -> u64 {
        self.record.version.major
    }

    /// Sets the value and returns whether it differs from the previous one, in which case the version is increased.
    pub fn update(&mut self, value: Value) -> bool {
        if self.record.value == value {
            return false;
        }
        self.record.value = value;
        self.record.version.minor += 1;
        true
    }

    /// Raises the own version above that of another record about this member, and returns whether it was raised.
    ///
    /// Such a record declares the member down, or stems from an earlier process of the same name. That process can have
    /// a higher incarnation if it started without the platform and derived the incarnation from its clock. The own
    /// incarnation is then raised above it, so that reports numbered from 1 count as new.
    pub fn refute(&mut self, other: &Record) -> bool {
        if other.key != self.record.key || *other == self.record {
            return false;
        }
        let (own, theirs) = (self.record.version, other.version);
        if theirs.major > own.major {
            self.record.version = Version {
                major: theirs.major.saturating_add(1),
                ..Version::default()
            };
        } else if theirs >= own {
            self.record.version.minor = theirs.minor.saturating_add(1);
        } else {
            return false;
        }
        true
    }
}
