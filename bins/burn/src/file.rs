//! Sample files: one JSON object a line.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::Path;

use crate::Sample;

/// A sample file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be opened, read or written.
    #[error("samples in {path}: {error}")]
    Io {
        /// Path of the file.
        path: String,
        /// What failed.
        error: io::Error,
    },
    /// Lines are not samples.
    #[error("samples in {path}: {}", findings.join("; "))]
    Lines {
        /// Path of the file.
        path: String,
        /// Each line's number and what is wrong with it.
        findings: Vec<String>,
    },
}

/// Returns the samples of a file from `after_ms` on, in milliseconds since 1970; a missing file has none.
///
/// A last line without its end was cut off while it was written and is passed over.
///
/// # Errors
///
/// Fails when the file can't be read, or with all lines that are not samples.
pub fn read(path: &Path, after_ms: u64) -> Result<Vec<Sample>, Error> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(failed(path, error)),
    };
    let whole = text.rfind('\n').map_or(0, |end| end + 1);
    let mut samples: Vec<Sample> = Vec::new();
    let mut findings = Vec::new();
    for (index, line) in text[..whole].lines().enumerate() {
        match serde_json::from_str(line) {
            Ok(sample) => samples.push(sample),
            Err(error) => findings.push(format!("line {}: {error}", index + 1)),
        }
    }
    if !findings.is_empty() {
        let path = path.display().to_string();
        return Err(Error::Lines { path, findings });
    }
    samples.retain(|sample| sample.time_ms >= after_ms);
    Ok(samples)
}

/// Appends samples to a file, which is created if it is missing; a last line that was cut off is removed first.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn append(path: &Path, samples: &[Sample]) -> Result<(), Error> {
    let mut text = String::new();
    for sample in samples {
        let line = serde_json::to_string(sample);
        let line = line.map_err(|error| failed(path, error.into()))?;
        text.push_str(&line);
        text.push('\n');
    }
    let written = cut_partial_line(path).and_then(|()| {
        let mut file = OpenOptions::new().create(true).append(true).open(path)?;
        file.write_all(text.as_bytes())
    });
    written.map_err(|error| failed(path, error))
}

fn cut_partial_line(path: &Path) -> io::Result<()> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    let whole = bytes.iter().rposition(|byte| *byte == b'\n');
    let whole = whole.map_or(0, |end| end + 1);
    if whole == bytes.len() {
        return Ok(());
    }
    let file = OpenOptions::new().write(true).open(path)?;
    file.set_len(whole as u64)
}

fn failed(path: &Path, error: io::Error) -> Error {
    let path = path.display().to_string();
    Error::Io { path, error }
}
