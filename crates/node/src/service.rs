//! Entry point of a process that serves until it is asked to stop.

use std::io;
use std::path::Path;
use std::process::ExitCode;

use crate::settings::{self, Settings};

/// Reads the settings from `file`, runs `serve` with them as process `name` and returns the exit code.
///
/// The exit code is 0 if `serve` succeeds, 1 with an error message on standard error if it fails, and
/// [`settings::EXIT_CODE`] with all findings on standard error if the settings are invalid.
pub fn run_service<S: Settings>(
    name: &str,
    file: &Path,
    serve: impl AsyncFnOnce(S) -> io::Result<()>,
) -> ExitCode {
    let settings = match settings::load(file) {
        Ok(settings) => settings,
        Err(findings) => return findings.exit(),
    };
    match crate::run(name, serve(settings)).flatten() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
