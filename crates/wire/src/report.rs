//! The compact form of a report.
//!
//! Every target sends reports to several entries all the time; of the control traffic of an entry they are the largest
//! part. Gate and presence of the optional fields share one byte, and hashes take 8 bytes instead of the 10 of
//! a variable-length number. The form is a tuple: flags, then the fields in the order of their declaration, absent ones
//! left out.

use std::fmt;

use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::message::{Gate, Report};

const GATE_BITS: u8 = 0b0011;
const WEIGHTS_BIT: u8 = 0b0100;
const MEMBER_BIT: u8 = 0b1000;
/// Flags and the required fields.
const MIN_FIELDS: usize = 9;
const MAX_FIELDS: usize = MIN_FIELDS + 2;

impl Serialize for Report {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let optional = usize::from(self.weights.is_some()) + usize::from(self.member.is_some());
        let mut tuple = serializer.serialize_tuple(MIN_FIELDS + optional)?;
        tuple.serialize_element(&flags(self))?;
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
        let flags: u8 = next(&mut seq, "flags")?;
        let gate = gate::<A>(flags)?;
        Ok(Report {
            target: next(&mut seq, "target")?,
            incarnation: next(&mut seq, "incarnation")?,
            sequence: next(&mut seq, "sequence")?,
            gate,
            weights: match flags & WEIGHTS_BIT {
                0 => None,
                _ => Some(u64::from_be_bytes(next(&mut seq, "weights")?)),
            },
            chunks: next(&mut seq, "chunks")?,
            running: next(&mut seq, "running")?,
            waiting: next(&mut seq, "waiting")?,
            slots: next(&mut seq, "slots")?,
            view: u64::from_be_bytes(next(&mut seq, "view")?),
            member: match flags & MEMBER_BIT {
                0 => None,
                _ => Some(next(&mut seq, "member")?),
            },
        })
    }
}

fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    field: &'static str,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| A::Error::custom(format_args!("the report ends before its field `{field}`")))
}

fn flags(report: &Report) -> u8 {
    let gate = match report.gate {
        Gate::Closed => 0,
        Gate::Open => 1,
        Gate::Draining => 2,
    };
    let weights = report.weights.map_or(0, |_| WEIGHTS_BIT);
    let member = report.member.as_ref().map_or(0, |_| MEMBER_BIT);
    gate | weights | member
}

fn gate<'de, A: SeqAccess<'de>>(flags: u8) -> Result<Gate, A::Error> {
    let known = flags & !(GATE_BITS | WEIGHTS_BIT | MEMBER_BIT) == 0;
    match flags & GATE_BITS {
        0 if known => Ok(Gate::Closed),
        1 if known => Ok(Gate::Open),
        2 if known => Ok(Gate::Draining),
        _ => Err(A::Error::custom(format_args!(
            "the report's flags {flags:#010b} name no gate state"
        ))),
    }
}
