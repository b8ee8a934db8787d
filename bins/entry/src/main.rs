//! `carobport-entry`: takes callers' requests and routes them to targets.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use entry::Settings;
use entry::shared::Shared;

/// Takes callers' requests and routes them to targets
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, in JSON
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = options().run();
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
