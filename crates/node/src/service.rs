//! A process that serves until it is asked to stop.

use std::io;
use std::path::Path;
use std::process::ExitCode;

use crate::settings::{self, Settings};

/// Reads the settings in `file`, runs `serve` with them under `name` and returns the code to exit with.
///
/// The code is 0 when `serve` ended as asked, 1 with a line on standard error when it failed, and
/// [`settings::EXIT_CODE`] with all findings when the settings are not as they should be.
pub fn serve<S: Settings>(
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
