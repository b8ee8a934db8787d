//! Hashes of records and rendezvous weights.

use std::net::SocketAddr;

use crate::record::{Key, Phase, Value, Version};

/// Returns a 64-bit hash of a record; equal records have equal hashes on every platform.
pub(crate) fn record(key: &Key, version: Version, value: &Value) -> u64 {
    let mut text = Vec::with_capacity(192);
    let (tag, name) = match key {
        Key::Catalog(name) => (0, name),
        Key::Entry(name) => (1, name),
        Key::Target(name) => (2, name),
    };
    text.push(tag);
    part(&mut text, name);
    text.extend(version.major.to_le_bytes());
    text.extend(version.minor.to_le_bytes());
    text.push(u8::from(version.down));
    match value {
        Value::Catalog(json) => part(&mut text, json),
        Value::Entry(node) => {
            part(&mut text, &node.domain);
            part(&mut text, &node.region);
            address(&mut text, node.peer);
            text.push(phase(node.phase));
        }
        Value::Target(target) => {
            part(&mut text, &target.domain);
            part(&mut text, &target.region);
            part(&mut text, &target.service);
            address(&mut text, target.call);
            address(&mut text, target.chunk);
            text.push(phase(target.phase));
        }
    }
    short(blake3::hash(&text))
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
    let mut text = Vec::with_capacity(subject.len() + name.len() + 8);
    part(&mut text, subject);
    text.extend(name.as_bytes());
    short(blake3::hash(&text))
}

/// Appends `text` with its length, so that neighbouring fields can't be confused.
fn part(bytes: &mut Vec<u8>, text: &str) {
    bytes.extend((text.len() as u64).to_le_bytes());
    bytes.extend(text.as_bytes());
}

fn address(bytes: &mut Vec<u8>, address: SocketAddr) {
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

fn phase(phase: Phase) -> u8 {
    match phase {
        Phase::Live => 0,
        Phase::Leaving => 1,
        Phase::Down => 2,
    }
}

fn short(hash: blake3::Hash) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(head)
}
