//! The binary `carobport-agent`.

use std::process::ExitCode;

use agent::Settings;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let (Some(path), None) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: carobport-agent SETTINGS");
        return ExitCode::from(node::settings::EXIT_CODE);
    };
    let settings: Settings = match node::settings::load(path) {
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
