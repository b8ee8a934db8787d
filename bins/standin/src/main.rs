//! Stand-ins (fake servers) for the external systems that carobport calls, for tests and benchmarks.
//!
//! Each stand-in implements the published protocol of section 10 of the design page and can inject faults:
//! `GET /control` returns its switches and counters, `PUT /control` sets the switches named in a JSON object, and
//! `POST /control/restart` with `{"down_ms":N}` closes all connections, discards volatile state and listens again
//! after `N` milliseconds.

mod control;
mod engine;
mod journal;
mod plain;
mod platform;
mod server;
mod slots;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use node::settings::{Settings, load};

/// Stand-ins for the outside systems of carobport
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// The platform's object API and VM list
    #[bpaf(command)]
    Platform {
        /// JSON settings
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
    },
    /// The weight store
    #[bpaf(command)]
    Store {
        /// JSON settings
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// JSON settings
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
    },
    /// A plain service
    #[bpaf(command)]
    Plain {
        /// JSON settings
        #[bpaf(positional("SETTINGS"))]
        settings: PathBuf,
    },
}

fn main() -> ExitCode {
    let command = match node::arguments::parse(&command()) {
        Ok(command) => command,
        Err(code) => return code,
    };
    match command {
        Command::Platform { settings } => start(settings, platform::run),
        Command::Store { settings } => start(settings, store::run),
        Command::Engine { settings } => start(settings, engine::run),
        Command::Plain { settings } => start(settings, plain::run),
    }
}

fn start<T: Settings>(path: PathBuf, run: impl AsyncFnOnce(T) -> std::io::Result<()>) -> ExitCode {
    let settings = match load(path) {
        Ok(settings) => settings,
        Err(findings) => return findings.exit(),
    };
    match node::run("standin", run(settings)) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) | Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
