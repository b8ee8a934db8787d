//! Settings of a process, read from a JSON file; all errors are reported at once.
//!
//! A settings type implements [`Settings`] and reads its fields from [`Fields`]. Each field is decoded separately, so
//! that an invalid field doesn't hide another. A field that wasn't read is unknown and is reported as well.
//!
//! ```
//! use node::settings::{Fields, Settings, parse};
//!
//! #[derive(Debug)]
//! struct Desk {
//!     slots: u32,
//!     name: String,
//! }
//!
//! impl Settings for Desk {
//!     fn read(fields: &mut Fields<'_>) -> Option<Self> {
//!         let slots = fields.number("slots", 1..=64, Some(8));
//!         let name = fields.text("name");
//!         Some(Self { slots: slots?, name: name? })
//!     }
//! }
//!
//! let desk: Desk = parse(r#"{"name": "greens"}"#).unwrap();
//! assert_eq!((desk.slots, desk.name.as_str()), (8, "greens"));
//! let findings = parse::<Desk>(r#"{"slots": 0, "slot": 3}"#).unwrap_err();
//! assert_eq!(findings.len(), 3);
//! ```

mod fields;
mod interface;

use std::fmt;
use std::path::Path;
use std::process::ExitCode;

use serde_json::Value;

pub use fields::Fields;
pub use interface::Interface;

/// Exit code of a process with invalid settings.
pub const EXIT_CODE: u8 = 2;

/// A type that can be read from a settings object.
pub trait Settings: Sized {
    /// Reads the fields of an object; returns `None` only if at least one finding was added.
    ///
    /// Implementations read every field before the first `?`, so that all findings are collected.
    fn read(fields: &mut Fields<'_>) -> Option<Self>;
}

/// An error in the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// JSON pointer (RFC 6901) to the invalid value; empty for the whole file.
    pub pointer: String,
    /// The value read, as JSON, or a description of what was found instead.
    pub read: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// All findings in a settings file.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub struct Findings {
    source_name: String,
    findings: Vec<Finding>,
}

impl Findings {
    /// Returns the number of findings; at least 1.
    #[expect(clippy::len_without_is_empty, reason = "never empty")]
    pub fn len(&self) -> usize {
        self.findings.len()
    }

    /// Returns the findings in the order in which the fields were read.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }

    /// Prints the findings to standard error and returns [`EXIT_CODE`] for the process to exit with.
    pub fn exit(&self) -> ExitCode {
        eprintln!("{self}");
        ExitCode::from(EXIT_CODE)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} finding(s)",
            self.source_name,
            self.findings.len()
        )?;
        for finding in &self.findings {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pointer = match self.pointer.as_str() {
            "" => "(whole file)",
            pointer => pointer,
        };
        write!(
            f,
            "{pointer}: read {}, allowed: {}",
            self.read, self.allowed
        )
    }
}

/// Reads the settings file at `path`.
///
/// # Errors
///
/// Returns all findings in the file; a single one if the file can't be read or isn't valid JSON.
pub fn load<T: Settings>(path: impl AsRef<Path>) -> Result<T, Findings> {
    let path = path.as_ref();
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse_named(&text, name),
        Err(error) => Err(Findings {
            source_name: name,
            findings: vec![Finding {
                pointer: String::new(),
                read: error.to_string(),
                allowed: "a readable file".into(),
            }],
        }),
    }
}

/// Reads settings from JSON text.
///
/// # Errors
///
/// Returns all findings in the text.
pub fn parse<T: Settings>(text: &str) -> Result<T, Findings> {
    parse_named(text, "settings".into())
}

fn parse_named<T: Settings>(text: &str, source_name: String) -> Result<T, Findings> {
    let mut findings = Vec::new();
    let settings = match serde_json::from_str::<Value>(text) {
        Ok(value) => fields::read_object(&value, "", &mut findings),
        Err(error) => {
            findings.push(Finding {
                pointer: String::new(),
                read: error.to_string(),
                allowed: "JSON text".into(),
            });
            None
        }
    };
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(Findings {
            source_name,
            findings,
        }),
    }
}
