//! The binary `carobport-agent`.

use std::path::PathBuf;
use std::process::ExitCode;

use agent::Settings;
use bpaf::Bpaf;

/// Transfers weights to its VM and stands in front of the VM's engine or plain service
///
///
/// Exit codes: 0 stopped as asked; 1 failed; 2 findings in the settings or a wrong command line.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, in JSON
    #[bpaf(positional("SETTINGS"))]
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
    match node::run("carobport-agent", agent::process::run(settings)) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) | Err(error) => {
            eprintln!("carobport-agent: {error}");
            ExitCode::FAILURE
        }
    }
}
