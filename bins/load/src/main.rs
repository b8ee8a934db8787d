//! The binary `carobport-load`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use load::burst::{self, Report};
use load::{Error, Plan};

/// Time within which a burst of the command line must end.
const LIMIT: Duration = Duration::from_secs(300);

/// Runs experiments with real processes on loopback.
///
/// All processes of an experiment are started by this program and end with it.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Show a burst: two entries, six engines and two plain services in two failure domains
    #[bpaf(command)]
    Demo {},
    /// Measure a burst and print its figures as JSON
    #[bpaf(command)]
    Burst {
        /// JSON file with domains, targets, weights and links; what it leaves out keeps its default
        #[bpaf(positional("PLAN"), optional)]
        plan: Option<PathBuf>,
    },
    /// Measure what control costs an entry or an agent and print slopes as JSON
    ///
    /// The traffic of an entry is that of the loopback device: nothing else may use it meanwhile.
    #[bpaf(command)]
    Slopes {
        /// What to vary: reports, members or changes of an entry, or the view of an agent
        #[bpaf(positional("VARIABLE"))]
        variable: load::slopes::Variable,
    },
    /// Measure what live requests cost an entry and an agent and print slopes as JSON
    #[bpaf(command)]
    Requests {
        /// What to vary: requests or streams
        #[bpaf(positional("VARIABLE"))]
        variable: load::requests::Variable,
    },
}

fn main() -> ExitCode {
    let options = match node::arguments::parse(&options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let outcome = match options {
        Options::Demo {} => run(burst::run(Plan::default(), LIMIT)).map(|report| show(&report)),
        Options::Burst { plan } => read(plan.as_deref())
            .and_then(|plan| run(burst::run(plan, LIMIT)))
            .map(|report| print(&report)),
        Options::Slopes { variable } => {
            run(load::slopes::run(variable)).map(|figures| print(&figures))
        }
        Options::Requests { variable } => {
            run(load::requests::run(variable)).map(|series| print(&series))
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("carobport-load: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs an experiment on the event loop.
fn run<T>(experiment: impl Future<Output = Result<T, Error>>) -> Result<T, String> {
    let outcome = node::block_on(experiment).map_err(|error| error.to_string())?;
    outcome.map_err(|error| error.to_string())
}

fn read(path: Option<&std::path::Path>) -> Result<Plan, String> {
    let Some(path) = path else {
        return Ok(Plan::default());
    };
    let named = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| named(&error))?;
    serde_json::from_str(&text).map_err(|error| named(&error))
}

fn print(figures: &impl serde::Serialize) {
    let text = serde_json::to_string_pretty(figures).expect("figures have a JSON form");
    println!("{text}");
}

fn show(report: &Report) {
    println!(
        "targets that serve the new version: {} of {}",
        report.replicas, report.replicas
    );
    for (what, [half, ninety, all]) in [("hold", report.hold_s), ("serve", report.serve_s)] {
        println!("time until half, 90% and all {what} it: {half:.1} s, {ninety:.1} s, {all:.1} s");
    }
    println!("copies drawn from the origin: {:.2}", report.origin_copies);
    for (name, tally) in [("model", &report.model), ("at most once", &report.keyed)] {
        println!(
            "live requests ({name}): {} sent, {:?}",
            tally.sent, tally.outcomes
        );
        if !tally.reasons.is_empty() {
            println!("  reasons: {:?}", tally.reasons);
        }
    }
    println!("answers by weights: {:?}", report.model.weights);
}
