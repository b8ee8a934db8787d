//! A file that lists what a stand-in ran.

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// One line for each run, written when the run starts.
///
/// Counts in memory are lost when the process is killed; the file still tells what had run until then.
pub struct Journal(Option<RefCell<File>>);

impl Journal {
    /// Opens the file at `path` for appending; without a path nothing is written.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the file.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Self(path.map(open).transpose()?.map(RefCell::new)))
    }

    /// Adds the line `run`.
    ///
    /// # Panics
    ///
    /// Panics when the line can't be written: a run that is missing from the file would hide a fault.
    pub fn append(&self, run: &str) {
        if let Some(file) = &self.0 {
            let line = format!("{run}\n");
            let written = file.borrow_mut().write_all(line.as_bytes());
            written.expect("the journal can be written");
        }
    }
}
