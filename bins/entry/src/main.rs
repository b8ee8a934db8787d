//! `carobport-entry`: takes callers' requests and routes them to targets.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use entry::Settings;
use entry::shared::Shared;

/// Takes callers' requests and routes them to targets
///
///
/// Exit codes: 0 stopped as asked; 1 failed; 2 findings in the settings or a wrong command line.
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
    let served = node::run("carobport-entry", async {
        entry::serve(settings, Shared::new(), node::signal::shutdown()).await
    });
    match served.flatten() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
