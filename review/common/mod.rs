//! Stand-ins of the users' platform for the cases of the review, the start of the project's own programs, and the record and
//! the exit status of a case. Only the standard library is used.

pub mod engine;
mod http;
mod process;
mod store;
mod worker;

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub use http::*;
pub use process::*;
pub use store::*;
pub use worker::*;

/// Exit status when the rule was kept.
pub const HELD: i32 = 0;
/// Exit status when the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status when the case could not run.
pub const NOT_RUN: i32 = 2;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Writes what happened to `record.txt` and to standard output, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
        })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Returns whether the disruption is to take place: it is left out with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs `case` in the folder given as the first argument, and exits with its result.
pub fn run(case: impl FnOnce(&Record) -> io::Result<bool>) -> ! {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let code = match Record::create(Path::new(&folder)) {
        Err(_) => NOT_RUN,
        Ok(record) => match case(&record) {
            Ok(true) => {
                record.line("result: the rule was broken");
                BROKEN
            }
            Ok(false) => {
                record.line("result: the rule held");
                HELD
            }
            Err(error) => {
                record.line(&format!("result: the case could not run: {error}"));
                NOT_RUN
            }
        },
    };
    std::process::exit(code)
}
