//! The binary `carobport-burn`.

use std::process::ExitCode;
use std::time::Duration;

use burn::options::{Arguments, Format, Options, options};
use burn::report::{Question, Report};
use burn::{fetch, file, picture, text};

const FAILED: u8 = 1;
const ALERT: u8 = 3;
const INCOMPLETE: u8 = 4;

type Error = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let Options::Report(arguments) = match node::arguments::parse(&options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let code = match node::block_on(run(&arguments)) {
        Ok(result) => result,
        Err(error) => Err(error.into()),
    };
    ExitCode::from(code.unwrap_or_else(|error| {
        eprintln!("{error}");
        FAILED
    }))
}

async fn run(arguments: &Arguments) -> Result<u8, Error> {
    let classes = fetch::classes(arguments.platform).await?;
    let question = Question {
        classes,
        entries: arguments.entries.iter().map(ToString::to_string).collect(),
        pairs: arguments.pairs.clone(),
        period: arguments.period,
    };
    let samples = samples(arguments).await?;
    let report = Report::new(&question, &samples, fetch::now_ms());
    match arguments.format {
        Format::Text => print!("{}", text::text(&report)),
        Format::Json => println!("{}", serde_json::to_string_pretty(&report)?),
    }
    if let Some(path) = &arguments.picture {
        picture::draw(path, &report, &question, &samples)?;
    }
    Ok(match (report.alert, report.unreached.is_empty()) {
        (true, _) => ALERT,
        (false, false) => INCOMPLETE,
        (false, true) => 0,
    })
}

/// Returns the samples of the file and new ones, which are appended to the file round by round.
async fn samples(arguments: &Arguments) -> Result<Vec<burn::Sample>, Error> {
    let slow = arguments.pairs.iter().map(|pair| pair.slow).max();
    let slow = slow.unwrap_or_default();
    let before = |time: Duration| -> Result<u64, Error> {
        Ok(fetch::now_ms().saturating_sub(u64::try_from(time.as_millis())?))
    };
    let path = arguments.samples.as_deref();
    let mut samples = match path {
        Some(path) => file::read(path, before(slow.max(arguments.period))?, before(slow)?)?,
        None => Vec::new(),
    };
    if !arguments.entries.is_empty() {
        let (time, every) = (arguments.sample_for, arguments.every);
        let keep = |round: Vec<burn::Sample>| -> Result<(), Error> {
            if let Some(path) = path {
                file::append(path, &round)?;
            }
            samples.extend(round);
            Ok(())
        };
        fetch::sample(&arguments.entries, time, every, keep).await?;
    }
    Ok(samples)
}
