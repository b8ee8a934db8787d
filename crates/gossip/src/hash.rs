//! Hashes of records and rendezvous weights.

use std::net::SocketAddr;

use crate::record::{Key, Phase, Value, Version};

/// Returns a 64-bit hash of a record. Equal records have equal hashes on every platform.
pub(crate) fn record(key: &Key, version: Version, value: &Value) -> u64 {
    let mut bytes = Vec::with_capacity(192);
    let (tag, name) = match key {
        Key::Catalog(name) => (0, name),
        Key::Entry(name) => (1, name),
        Key::Target(name) => (2, name),
    };
    bytes.push(tag);
    append_text(&mut bytes, name);
    bytes.extend(version.major.to_le_bytes());
    bytes.extend(version.minor.to_le_bytes());
    bytes.push(u8::from(version.down));
    match value {
        Value::Catalog(json) => append_text(&mut bytes, json),
        Value::Entry(node) => {
            append_text(&mut bytes, &node.domain);
            append_text(&mut bytes, &node.region);
            append_address(&mut bytes, node.peer);
            bytes.push(phase_tag(node.phase));
        }
        Value::Target(target) => {
            append_text(&mut bytes, &target.domain);
            append_text(&mut bytes, &target.region);
            append_text(&mut bytes, &target.service);
            append_address(&mut bytes, target.call);
            append_address(&mut bytes, target.chunk);
            bytes.push(phase_tag(target.phase));
        }
    }
    truncate(blake3::hash(&bytes))
}

/// Returns the bucket of a key, below `buckets`.
pub(crate) fn bucket(key: &Key, buckets: usize) -> usize {
    let name = match key {
        Key::Catalog(name) | Key::Entry(name) | Key::Target(name) => name,
    };
    usize::from(blake3::hash(name.as_bytes()).as_bytes()[0]) % buckets
}

/// Returns the rendezvous weight of `name` for `subject`; the highest weight comes first.
pub(crate) fn weight(subject: &str, name: &str) -> u64 {
    let mut bytes = Vec::with_capacity(subject.len() + name.len() + 8);
    append_text(&mut bytes, subject);
    bytes.extend(name.as_bytes());
    truncate(blake3::hash(&bytes))
}

/// Appends `text` with a length prefix, so that different fields never produce the same bytes.
fn append_text(bytes: &mut Vec<u8>, text: &str) {
    bytes.extend((text.len() as u64).to_le_bytes());
    bytes.extend(text.as_bytes());
}

fn append_address(bytes: &mut Vec<u8>, address: SocketAddr) {
    match address {
        SocketAddr::V4(address) => {
            bytes.push(4);
            bytes.extend(address.ip().octets());
        }
        SocketAddr::V6(address) => {
            bytes.push(6);
            bytes.extend(address.ip().octets());
        }
    }
    bytes.extend(address.port().to_le_bytes());
}

fn phase_tag(phase: Phase) -> u8 {
    match phase {
        Phase::Live => 0,
        Phase::Leaving => 1,
        Phase::Down => 2,
    }
}

fn truncate(hash: blake3::Hash) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(head)
}
