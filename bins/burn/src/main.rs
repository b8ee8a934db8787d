//! Entry point of `carobport-burn`.

use std::process::ExitCode;
use std::time::Duration;

use burn::options::{Arguments, Format, Options, options};
use burn::report::{Report, ReportConfig};
use burn::{fetch, file, picture, text};

const EXIT_FAILED: u8 = 1;
const EXIT_ALERT: u8 = 3;
const EXIT_INCOMPLETE: u8 = 4;

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
        EXIT_FAILED
    }))
}

async fn run(arguments: &Arguments) -> Result<u8, Error> {
    let classes = fetch::classes(arguments.platform).await?;
    let config = ReportConfig {
        classes,
        entries: arguments.entries.iter().map(ToString::to_string).collect(),
        pairs: arguments.pairs.clone(),
        period: arguments.period,
    };
    let samples = collect_samples(arguments).await?;
    let report = Report::new(&config, &samples, fetch::now_ms());
    match arguments.format {
        Format::Text => print!("{}", text::render(&report)),
        Format::Json => println!("{}", serde_json::to_string_pretty(&report)?),
    }
    if let Some(path) = &arguments.picture {
        picture::write_svg(path, &report, &config, &samples)?;
    }
    Ok(match (report.alert, report.unreached.is_empty()) {
        (true, _) => EXIT_ALERT,
        (false, false) => EXIT_INCOMPLETE,
        (false, true) => 0,
    })
}

/// Reads earlier samples from the file, samples the entries, and appends each round to the file.
async fn collect_samples(arguments: &Arguments) -> Result<Vec<burn::Sample>, Error> {
    let longest_window = arguments.pairs.iter().map(|pair| pair.slow).max();
    let longest_window = longest_window.unwrap_or_default();
    let time_before_now = |duration: Duration| -> Result<u64, Error> {
        Ok(fetch::now_ms().saturating_sub(u64::try_from(duration.as_millis())?))
    };
    let path = arguments.samples.as_deref();
    let mut samples = match path {
        Some(path) => file::read(
            path,
            time_before_now(longest_window.max(arguments.period))?,
            time_before_now(longest_window)?,
        )?,
        None => Vec::new(),
    };
    if !arguments.entries.is_empty() {
        let (duration, interval) = (arguments.sample_for, arguments.every);
        let store_round = |round: Vec<burn::Sample>| -> Result<(), Error> {
            if let Some(path) = path {
                file::append(path, &round)?;
            }
            samples.extend(round);
            Ok(())
        };
        fetch::sample(&arguments.entries, duration, interval, store_round).await?;
    }
    Ok(samples)
}
