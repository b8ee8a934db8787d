//! Sample files: one JSON object a line.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Seek, SeekFrom, Write};
use std::path::Path;

use crate::Sample;
use crate::thin::Thinner;

/// A sample file that can't be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
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
/// Readings before `recent_ms` are thinned out (see [`Thinner`]). A last line without its end was cut off while it was
/// written and is passed over.
///
/// # Errors
///
/// Fails when the file can't be read, or with all lines that are not samples.
pub fn read(path: &Path, after_ms: u64, recent_ms: u64) -> Result<Vec<Sample>, Error> {
    let mut file = match File::open(path) {
        Ok(file) => BufReader::new(file),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(failed(path, error)),
    };
    let mut thinner = Thinner::new(recent_ms);
    let mut findings = Vec::new();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        file.read_until(b'\n', &mut line)
            .map_err(|error| failed(path, error))?;
        if line.last() != Some(&b'\n') {
            break;
        }
        match serde_json::from_slice::<Sample>(&line) {
            Ok(sample) if sample.time_ms >= after_ms => thinner.push(sample),
            Ok(_) => {}
            Err(error) => findings.push(format!("line {number}: {error}")),
        }
    }
    if !findings.is_empty() {
        let path = path.display().to_string();
        return Err(Error::Lines { path, findings });
    }
    Ok(thinner.finish())
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
    let mut file = match OpenOptions::new().read(true).write(true).open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    let length = file.metadata()?.len();
    let mut last = [b'\n'];
    if length > 0 {
        file.seek(SeekFrom::End(-1))?;
        file.read_exact(&mut last)?;
    }
    if last == [b'\n'] {
        return Ok(());
    }
    let bytes = std::fs::read(path)?;
    let whole = bytes.iter().rposition(|byte| *byte == b'\n');
    file.set_len(whole.map_or(0, |end| end as u64 + 1))
}

fn failed(path: &Path, error: io::Error) -> Error {
    let path = path.display().to_string();
    Error::Io { path, error }
}
