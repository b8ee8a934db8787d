//! `carobport-agent`: loads weights into the engine of a target and forwards calls to its backend.

use std::path::PathBuf;
use std::process::ExitCode;

use agent::Interface;
use bpaf::Bpaf;

/// Loads weights into the engine of a target and forwards calls to its backend
///
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
    match node::arguments::parse(&options()) {
        Ok(options) => node::run_service("carobport-agent", &options.settings, run),
        Err(code) => code,
    }
}

async fn run(settings: Interface) -> std::io::Result<()> {
    match settings {
        Interface::Own(settings) => agent::process::run(settings).await,
        Interface::Platform(settings) => {
            agent::rollout::serve(settings, node::signal::shutdown()).await
        }
    }
}
