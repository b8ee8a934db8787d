//! `carobport-agent`: brings weights to a target and passes calls on to it.

use std::path::PathBuf;
use std::process::ExitCode;

use agent::Settings;
use bpaf::Bpaf;

/// Brings weights to a target and passes calls on to it
///
/// Exit codes: 0 stopped; 1 a port could not be opened; 2 findings in the settings or a wrong command line.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, in JSON
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = match node::arguments::parse(&options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let settings: Settings = match node::settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(findings) => return findings.exit(),
    };
    match node::run("carobport-agent", agent::process::run(settings)).flatten() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carobport-agent: {error}");
            ExitCode::FAILURE
        }
    }
}
