//! Compact encoding of [`Report`].
//!
//! Every target continuously sends reports to several entries, and they are the largest part of an entry's control
//! traffic. The gate state and the presence of the optional fields share one byte, and hashes take 8 bytes instead of
//! the 10 bytes of a variable-length integer. A report is encoded as a tuple: the flags, then the fields in the order
//! of their declaration, without those that are absent.

use std::fmt;

use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::message::{Gate, Report};

/// Flag bits of the gate state.
const GATE_BITS: u8 = 0b0011;
/// Flag bit of a report with the field `weights`.
const WEIGHTS_BIT: u8 = 0b0100;
/// Flag bit of a report with the field `member`.
const MEMBER_BIT: u8 = 0b1000;
/// Number of tuple elements without the optional fields: the flags and 8 required fields.
const MIN_FIELDS: usize = 9;
/// Number of tuple elements with both optional fields.
const MAX_FIELDS: usize = MIN_FIELDS + 2;

impl Serialize for Report {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let optional_fields =
            usize::from(self.weights.is_some()) + usize::from(self.member.is_some());
        let mut tuple = serializer.serialize_tuple(MIN_FIELDS + optional_fields)?;
        tuple.serialize_element(&encode_flags(self))?;
        tuple.serialize_element(&self.target)?;
        tuple.serialize_element(&self.incarnation)?;
        tuple.serialize_element(&self.sequence)?;
        if let Some(weights) = self.weights {
            tuple.serialize_element(&weights.to_be_bytes())?;
        }
        tuple.serialize_element(&self.chunks)?;
        tuple.serialize_element(&self.running)?;
        tuple.serialize_element(&self.waiting)?;
        tuple.serialize_element(&self.slots)?;
        tuple.serialize_element(&self.view.to_be_bytes())?;
        if let Some(member) = &self.member {
            tuple.serialize_element(member)?;
        }
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Report {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(MAX_FIELDS, ReportVisitor)
    }
}

struct ReportVisitor;

impl<'de> Visitor<'de> for ReportVisitor {
    type Value = Report;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a report of {MIN_FIELDS} to {MAX_FIELDS} fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Report, A::Error> {
        let flags: u8 = next_field(&mut seq, "flags")?;
        let gate = decode_gate::<A>(flags)?;
        Ok(Report {
            target: next_field(&mut seq, "target")?,
            incarnation: next_field(&mut seq, "incarnation")?,
            sequence: next_field(&mut seq, "sequence")?,
            gate,
            weights: match flags & WEIGHTS_BIT {
                0 => None,
                _ => Some(u64::from_be_bytes(next_field(&mut seq, "weights")?)),
            },
            chunks: next_field(&mut seq, "chunks")?,
            running: next_field(&mut seq, "running")?,
            waiting: next_field(&mut seq, "waiting")?,
            slots: next_field(&mut seq, "slots")?,
            view: u64::from_be_bytes(next_field(&mut seq, "view")?),
            member: match flags & MEMBER_BIT {
                0 => None,
                _ => Some(next_field(&mut seq, "member")?),
            },
        })
    }
}

fn next_field<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    field: &'static str,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| A::Error::custom(format_args!("report truncated before field `{field}`")))
}

fn encode_flags(report: &Report) -> u8 {
    let gate = match report.gate {
        Gate::Closed => 0,
        Gate::Open => 1,
        Gate::Draining => 2,
    };
    let weights = report.weights.map_or(0, |_| WEIGHTS_BIT);
    let member = report.member.as_ref().map_or(0, |_| MEMBER_BIT);
    gate | weights | member
}

fn decode_gate<'de, A: SeqAccess<'de>>(flags: u8) -> Result<Gate, A::Error> {
    let valid = flags & !(GATE_BITS | WEIGHTS_BIT | MEMBER_BIT) == 0;
    match flags & GATE_BITS {
        0 if valid => Ok(Gate::Closed),
        1 if valid => Ok(Gate::Open),
        2 if valid => Ok(Gate::Draining),
        _ => Err(A::Error::custom(format_args!(
            "invalid report flags {flags:#010b}"
        ))),
    }
}
