//! What is wrong in a set of entries, and where.

use std::fmt;

use serde::Serialize;

/// A fault in an entry's file.
///
/// The text form is one line:
///
/// ```text
/// secretaries.json:3:12: /class: read "urgnt", allowed: a declared class: "standard", "urgent"
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Finding {
    /// Name of the file, as it was given.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// JSON pointer of the field; empty for the whole entry.
    pub pointer: String,
    /// The value read as JSON, shortened, or `nothing` for an absent field.
    pub read: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.pointer.is_empty() {
            write!(f, "{}: ", self.pointer)?;
        }
        write!(f, "read {}, allowed: {}", self.read, self.allowed)
    }
}
