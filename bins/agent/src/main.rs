//! The binary `carobport-agent`.

use std::process::ExitCode;

fn main() -> ExitCode {
    eprintln!("usage: carobport-agent SETTINGS");
    ExitCode::from(2)
}
