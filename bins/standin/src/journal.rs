//! A file that records the runs of a stand-in.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A log file with one line per run, written when the run starts.
///
/// In-memory counters are lost when the process is killed; the file still lists every run started before that.
pub struct Journal(Option<RefCell<File>>);

impl Journal {
    /// Opens the file at `path` for appending; without a path, `append` does nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Self(path.map(open).transpose()?.map(RefCell::new)))
    }

    /// Appends `run` as a line.
    ///
    /// # Panics
    ///
    /// Panics if the line can't be written: a run missing from the file would hide a fault.
    pub fn append(&self, run: &str) {
        if let Some(file) = &self.0 {
            let line = format!("{run}\n");
            let result = file.borrow_mut().write_all(line.as_bytes());
            result.expect("failed to write to the journal");
        }
    }
}
