//! Slots, the partitions of a service's key space that are claimed separately.

use std::time::Duration;

use uuid::Uuid;

/// Number of slots per service.
pub const SLOT_COUNT: u8 = 16;

/// Returns the slot of a key, from 0 to 15.
///
/// A key is scoped to the workspace that issued it: equal keys of two workspaces identify two different calls. The slot
/// is derived from a BLAKE3 hash, so every entry and agent computes the same slot on any platform.
///
/// ```
/// let key = uuid::Uuid::parse_str("01920000-0000-7000-8000-000000000001").unwrap();
/// let slot = claim::slot("clerks", key);
/// assert!(slot < claim::SLOT_COUNT);
/// assert_eq!(slot, claim::slot("clerks", key));
/// ```
pub fn slot(workspace: &str, key: Uuid) -> u8 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(workspace.as_bytes());
    hasher.finalize().as_bytes()[0] % SLOT_COUNT
}

/// Returns the issue time in a UUIDv7, as whole milliseconds since the Unix epoch.
///
/// Returns `None` for a UUID of another version.
///
/// ```
/// let key = uuid::Uuid::parse_str("01920000-0000-7000-8000-000000000001").unwrap();
/// assert_eq!(claim::issue_time(key).unwrap().as_millis(), 0x0192_0000_0000);
/// assert_eq!(claim::issue_time(uuid::Uuid::nil()), None);
/// ```
pub fn issue_time(key: Uuid) -> Option<Duration> {
    if key.get_version_num() != 7 || key.get_variant() != uuid::Variant::RFC4122 {
        return None;
    }
    let millis = key.as_u128() >> 80;
    Some(Duration::from_millis(u64::try_from(millis).ok()?))
}
