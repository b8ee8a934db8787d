//! Command-line parsing for the binaries.

use std::process::ExitCode;

use bpaf::{Args, OptionParser};

use crate::settings;

/// Maximum line width of help texts and messages, in characters.
const MAX_LINE_WIDTH: usize = 100;

/// Parses the command line of the process; prints the help text, the version or an error message.
///
/// # Errors
///
/// Returns the exit code if the process should exit: 0 after printing the help text or the version, and
/// [`settings::EXIT_CODE`] for an invalid command line.
pub fn parse<T>(options: &OptionParser<T>) -> Result<T, ExitCode> {
    options.run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(MAX_LINE_WIDTH);
        match failure.exit_code() {
            0 => ExitCode::SUCCESS,
            _ => ExitCode::from(settings::EXIT_CODE),
        }
    })
}
