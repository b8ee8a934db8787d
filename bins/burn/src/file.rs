//! Sample files in JSON Lines format: one sample per line.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Seek, SeekFrom, Write};
use std::path::Path;

use crate::Sample;
use crate::downsample::Downsampler;

/// Errors while reading or writing a sample file.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// An I/O operation on the file failed.
    #[error("samples in {path}: {error}")]
    Io {
        /// Path of the file.
        path: String,
        /// The I/O error.
        error: io::Error,
    },
    /// Some lines are not valid samples.
    #[error("samples in {path}: {}", findings.join("; "))]
    Lines {
        /// Path of the file.
        path: String,
        /// Line number and parse error of each invalid line.
        findings: Vec<String>,
    },
}

/// Returns the samples of a file taken at or after `after_ms`; a missing file yields no samples.
///
/// Times are in milliseconds since the Unix epoch. Readings before `recent_ms` are downsampled (see [`Downsampler`]). A
/// last line without a newline is an interrupted write and is skipped.
///
/// # Errors
///
/// Returns an error if the file can't be read, or one that lists all invalid lines.
pub fn read(path: &Path, after_ms: u64, recent_ms: u64) -> Result<Vec<Sample>, Error> {
    let mut file = match File::open(path) {
        Ok(file) => BufReader::new(file),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(io_error(path, error)),
    };
    let mut downsampler = Downsampler::new(recent_ms);
    let mut findings = Vec::new();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        file.read_until(b'\n', &mut line)
            .map_err(|error| io_error(path, error))?;
        if line.last() != Some(&b'\n') {
            break;
        }
        match serde_json::from_slice::<Sample>(&line) {
            Ok(sample) if sample.time_ms >= after_ms => downsampler.push(sample),
            Ok(_) => {}
            Err(error) => findings.push(format!("line {number}: {error}")),
        }
    }
    if !findings.is_empty() {
        let path = path.display().to_string();
        return Err(Error::Lines { path, findings });
    }
    Ok(downsampler.finish())
}

/// Appends samples to a file and creates it if it is missing; a partially written last line is removed first.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn append(path: &Path, samples: &[Sample]) -> Result<(), Error> {
    let mut text = String::new();
    for sample in samples {
        let line = serde_json::to_string(sample);
        let line = line.map_err(|error| io_error(path, error.into()))?;
        text.push_str(&line);
        text.push('\n');
    }
    let written = truncate_partial_line(path).and_then(|()| {
        let mut file = OpenOptions::new().create(true).append(true).open(path)?;
        file.write_all(text.as_bytes())
    });
    written.map_err(|error| io_error(path, error))
}

fn truncate_partial_line(path: &Path) -> io::Result<()> {
    let mut file = match OpenOptions::new().read(true).write(true).open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    let length = file.metadata()?.len();
    let mut last_byte = [b'\n'];
    if length > 0 {
        file.seek(SeekFrom::End(-1))?;
        file.read_exact(&mut last_byte)?;
    }
    if last_byte == [b'\n'] {
        return Ok(());
    }
    let bytes = std::fs::read(path)?;
    let last_newline = bytes.iter().rposition(|byte| *byte == b'\n');
    file.set_len(last_newline.map_or(0, |end| end as u64 + 1))
}

fn io_error(path: &Path, error: io::Error) -> Error {
    let path = path.display().to_string();
    Error::Io { path, error }
}
