//! Errors in entry files and their positions.

use std::fmt;

use serde::Serialize;

/// An error in an entry file.
///
/// The text form is one line:
///
/// ```text
/// secretaries.json:3:12: /class: read "urgnt", allowed: a class that is declared and not retired: "standard"
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct Finding {
    /// Name of the file, as passed to [`check`](crate::check).
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// JSON pointer of the field; empty for the whole entry.
    pub pointer: String,
    /// The value read, as JSON shortened to 80 characters; `nothing` for a missing field.
    pub read: String,
    /// Description of the allowed values.
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
