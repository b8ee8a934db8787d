//! Compact serialized form of a record.
//!
//! Records are the most frequent payload, so the kind of key and value, the down flag and the phase share one byte. The
//! form is a tuple: flags, name, major, minor, then the fields of the value in the order of their declaration.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::{Error as _, SerializeTuple};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::record::{Key, Node, Phase, Record, Target, Value, Version};

const KIND_CATALOG: u8 = 0;
const KIND_ENTRY: u8 = 1;
const KIND_TARGET: u8 = 2;
const KIND_MASK: u8 = 0b0000_0011;
const DOWN_BIT: u8 = 0b0000_0100;
const PHASE_SHIFT: u8 = 3;
/// Largest number of tuple elements: flags, name, major, minor and the five fields of a target.
const MAX_FIELDS: usize = 9;

impl Serialize for Record {
    /// Serializes the record in the compact form.
    ///
    /// # Errors
    ///
    /// Returns an error if key and value are of different kinds, or if the serializer fails.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match (&self.key, &self.value) {
            (Key::Catalog(name), Value::Catalog(text)) => {
                let mut tuple = self.start_tuple(serializer, 5, KIND_CATALOG, name)?;
                tuple.serialize_element(text)?;
                tuple.end()
            }
            (Key::Entry(name), Value::Entry(node)) => {
                let flags = KIND_ENTRY | encode_phase(node.phase);
                let mut tuple = self.start_tuple(serializer, 7, flags, name)?;
                tuple.serialize_element(&node.domain)?;
                tuple.serialize_element(&node.region)?;
                tuple.serialize_element(&node.peer)?;
                tuple.end()
            }
            (Key::Target(name), Value::Target(target)) => {
                let flags = KIND_TARGET | encode_phase(target.phase);
                let mut tuple = self.start_tuple(serializer, MAX_FIELDS, flags, name)?;
                tuple.serialize_element(&target.domain)?;
                tuple.serialize_element(&target.region)?;
                tuple.serialize_element(&target.service)?;
                tuple.serialize_element(&target.call)?;
                tuple.serialize_element(&target.chunk)?;
                tuple.end()
            }
            (key, _) => Err(S::Error::custom(format_args!(
                "record {key:?} has a value of a different kind than its key"
            ))),
        }
    }
}

impl Record {
    fn start_tuple<S: Serializer>(
        &self,
        serializer: S,
        fields: usize,
        flags: u8,
        name: &str,
    ) -> Result<S::SerializeTuple, S::Error> {
        let down = if self.version.down { DOWN_BIT } else { 0 };
        let mut tuple = serializer.serialize_tuple(fields)?;
        tuple.serialize_element(&(flags | down))?;
        tuple.serialize_element(name)?;
        tuple.serialize_element(&self.version.major)?;
        tuple.serialize_element(&self.version.minor)?;
        Ok(tuple)
    }
}

impl<'de> Deserialize<'de> for Record {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(MAX_FIELDS, RecordVisitor)
    }
}

struct RecordVisitor;

impl<'de> Visitor<'de> for RecordVisitor {
    type Value = Record;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a record of 5, 7 or 9 fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Record, A::Error> {
        let flags: u8 = read_field(&mut seq, "flags")?;
        let phase = decode_phase::<A>(flags)?;
        let name: String = read_field(&mut seq, "name")?;
        let version = Version {
            major: read_field(&mut seq, "major")?,
            minor: read_field(&mut seq, "minor")?,
            down: flags & DOWN_BIT != 0,
        };
        let (key, value) = match flags & KIND_MASK {
            KIND_CATALOG if phase == Phase::Live => {
                let text = read_field(&mut seq, "text")?;
                (Key::Catalog(name), Value::Catalog(text))
            }
            KIND_ENTRY => (Key::Entry(name), Value::Entry(read_node(&mut seq, phase)?)),
            KIND_TARGET => (
                Key::Target(name),
                Value::Target(read_target(&mut seq, phase)?),
            ),
            _ => return Err(invalid_flags::<A>(flags)),
        };
        Ok(Record {
            key,
            version,
            value,
        })
    }
}

fn read_node<'de, A: SeqAccess<'de>>(seq: &mut A, phase: Phase) -> Result<Node, A::Error> {
    Ok(Node {
        domain: read_field(seq, "domain")?,
        region: read_field(seq, "region")?,
        peer: read_field::<SocketAddr, A>(seq, "peer")?,
        phase,
    })
}

fn read_target<'de, A: SeqAccess<'de>>(seq: &mut A, phase: Phase) -> Result<Target, A::Error> {
    Ok(Target {
        domain: read_field(seq, "domain")?,
        region: read_field(seq, "region")?,
        service: read_field(seq, "service")?,
        call: read_field::<SocketAddr, A>(seq, "call")?,
        chunk: read_field::<SocketAddr, A>(seq, "chunk")?,
        phase,
    })
}

fn read_field<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    field: &'static str,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| A::Error::custom(format_args!("record ends before field `{field}`")))
}

fn encode_phase(phase: Phase) -> u8 {
    let bits = match phase {
        Phase::Live => 0,
        Phase::Leaving => 1,
        Phase::Down => 2,
    };
    bits << PHASE_SHIFT
}

fn decode_phase<'de, A: SeqAccess<'de>>(flags: u8) -> Result<Phase, A::Error> {
    match flags >> PHASE_SHIFT {
        0 => Ok(Phase::Live),
        1 => Ok(Phase::Leaving),
        2 => Ok(Phase::Down),
        _ => Err(invalid_flags::<A>(flags)),
    }
}

fn invalid_flags<'de, A: SeqAccess<'de>>(flags: u8) -> A::Error {
    A::Error::custom(format_args!(
        "record flags {flags:#010b} encode no valid kind and phase"
    ))
}
