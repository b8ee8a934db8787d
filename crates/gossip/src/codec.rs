//! The compact form of a record.
//!
//! Records are sent more often than anything else, so key kind, value kind, down flag and phase share one byte. The
//! form is a tuple: flags, name, major, minor, then the fields of the value in the order of their declaration.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::{Error as _, SerializeTuple};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::record::{Key, Node, Phase, Record, Target, Value, Version};

const CATALOG: u8 = 0;
const ENTRY: u8 = 1;
const TARGET: u8 = 2;
const KIND_BITS: u8 = 0b0000_0011;
const DOWN_BIT: u8 = 0b0000_0100;
const PHASE_SHIFT: u8 = 3;
/// Flags, name, major, minor and the five fields of a target.
const MAX_FIELDS: usize = 9;

impl Serialize for Record {
    /// Writes the compact form.
    ///
    /// # Errors
    ///
    /// Fails when the kinds of key and value differ, besides the serializer's own errors.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match (&self.key, &self.value) {
            (Key::Catalog(name), Value::Catalog(text)) => {
                let mut tuple = self.head(serializer, 5, CATALOG, name)?;
                tuple.serialize_element(text)?;
                tuple.end()
            }
            (Key::Entry(name), Value::Entry(node)) => {
                let flags = ENTRY | phase_bits(node.phase);
                let mut tuple = self.head(serializer, 7, flags, name)?;
                tuple.serialize_element(&node.domain)?;
                tuple.serialize_element(&node.region)?;
                tuple.serialize_element(&node.peer)?;
                tuple.end()
            }
            (Key::Target(name), Value::Target(target)) => {
                let flags = TARGET | phase_bits(target.phase);
                let mut tuple = self.head(serializer, MAX_FIELDS, flags, name)?;
                tuple.serialize_element(&target.domain)?;
                tuple.serialize_element(&target.region)?;
                tuple.serialize_element(&target.service)?;
                tuple.serialize_element(&target.call)?;
                tuple.serialize_element(&target.chunk)?;
                tuple.end()
            }
            (key, _) => Err(S::Error::custom(format_args!(
                "the value of record {key:?} is of another kind than its key"
            ))),
        }
    }
}

impl Record {
    fn head<S: Serializer>(
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
        let flags: u8 = next(&mut seq, "flags")?;
        let phase = phase::<A>(flags)?;
        let name: String = next(&mut seq, "name")?;
        let version = Version {
            major: next(&mut seq, "major")?,
            minor: next(&mut seq, "minor")?,
            down: flags & DOWN_BIT != 0,
        };
        let (key, value) = match flags & KIND_BITS {
            CATALOG if phase == Phase::Live => {
                let text = next(&mut seq, "text")?;
                (Key::Catalog(name), Value::Catalog(text))
            }
            ENTRY => (Key::Entry(name), Value::Entry(node(&mut seq, phase)?)),
            TARGET => (Key::Target(name), Value::Target(target(&mut seq, phase)?)),
            _ => return Err(bad_flags::<A>(flags)),
        };
        Ok(Record {
            key,
            version,
            value,
        })
    }
}

fn node<'de, A: SeqAccess<'de>>(seq: &mut A, phase: Phase) -> Result<Node, A::Error> {
    Ok(Node {
        domain: next(seq, "domain")?,
        region: next(seq, "region")?,
        peer: next::<SocketAddr, A>(seq, "peer")?,
        phase,
    })
}

fn target<'de, A: SeqAccess<'de>>(seq: &mut A, phase: Phase) -> Result<Target, A::Error> {
    Ok(Target {
        domain: next(seq, "domain")?,
        region: next(seq, "region")?,
        service: next(seq, "service")?,
        call: next::<SocketAddr, A>(seq, "call")?,
        chunk: next::<SocketAddr, A>(seq, "chunk")?,
        phase,
    })
}

fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    field: &'static str,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| A::Error::custom(format_args!("the record ends before its field `{field}`")))
}

fn phase_bits(phase: Phase) -> u8 {
    let bits = match phase {
        Phase::Live => 0,
        Phase::Leaving => 1,
        Phase::Down => 2,
    };
    bits << PHASE_SHIFT
}

fn phase<'de, A: SeqAccess<'de>>(flags: u8) -> Result<Phase, A::Error> {
    match flags >> PHASE_SHIFT {
        0 => Ok(Phase::Live),
        1 => Ok(Phase::Leaving),
        2 => Ok(Phase::Down),
        _ => Err(bad_flags::<A>(flags)),
    }
}

fn bad_flags<'de, A: SeqAccess<'de>>(flags: u8) -> A::Error {
    A::Error::custom(format_args!(
        "the record's flags {flags:#010b} name no kind and phase"
    ))
}
