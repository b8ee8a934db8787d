//! Command lines of the binaries.

use std::process::ExitCode;

use bpaf::{Args, OptionParser};

use crate::settings;

/// Widest line of help texts and messages, in characters.
const WIDTH: usize = 100;

/// Reads the command line of the process; prints help, version or what is wrong with it.
///
/// # Errors
///
/// Returns the code to exit with when there is nothing to run: 0 after help or version, and
/// [`settings::EXIT_CODE`] for a wrong command line.
pub fn parse<T>(options: &OptionParser<T>) -> Result<T, ExitCode> {
    options.run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(WIDTH);
        match failure.exit_code() {
            0 => ExitCode::SUCCESS,
            _ => ExitCode::from(settings::EXIT_CODE),
        }
    })
}
