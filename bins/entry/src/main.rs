//! `carobport-entry`: accepts callers' requests and routes them to targets.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use entry::Interface;
use entry::shared::SharedState;

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
    match node::arguments::parse(&options()) {
        Ok(options) => {
            node::run_service(
                "carobport-entry",
                &options.settings,
                async |settings| match settings {
                    Interface::Own(settings) => {
                        entry::serve(settings, SharedState::new(), node::signal::shutdown()).await
                    }
                    Interface::Platform(settings) => {
                        entry::ingress::serve(settings, node::signal::shutdown()).await
                    }
                },
            )
        }
        Err(code) => code,
    }
}
