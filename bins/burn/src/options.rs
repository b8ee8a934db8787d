//! Command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser};

use crate::WindowPair;
use crate::window;

/// Reports how fast the classes spend their error budgets.
///
///
/// Exit codes: 0 no alert; 1 the command failed; 2 wrong command line; 3 alert; 4 no alert, but entries were not
/// reached or lack samples.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Sample the entries, or read earlier samples, and show budgets and burn rates
    ///
    ///
    /// The objectives are read from the classes of the catalogue. Without --entry only the samples of a file are used.
    #[bpaf(command)]
    Report(#[bpaf(external(arguments))] Arguments),
}

/// Arguments of `report`.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(
    ignore_rustdoc,
    guard(has_sample_source, "give --entry, --samples or both")
)]
pub struct Arguments {
    /// Operator port of an entry VM, as IP:PORT, to sample; may be repeated
    #[bpaf(long("entry"), argument("ADDRESS"), many)]
    pub entries: Vec<SocketAddr>,
    /// Address of the platform, as IP:PORT
    #[bpaf(argument("ADDRESS"), env("CAROBPORT_PLATFORM"))]
    pub platform: SocketAddr,
    /// File of samples, in JSON lines: earlier ones are read from it, new ones are appended to it
    #[bpaf(argument("FILE"))]
    pub samples: Option<PathBuf>,
    /// Time over which the entries are sampled, such as 60s (default: 60s)
    #[bpaf(external)]
    pub sample_for: Duration,
    /// Time between two samples of an entry, such as 10s (default: 10s)
    #[bpaf(external)]
    pub every: Duration,
    /// Time over which the share used of each budget is shown, such as 30d (default: 30d)
    #[bpaf(external)]
    pub period: Duration,
    /// Pair of windows and the burn rate above which both raise an alert; may be repeated (default: 5m/1h@14.4 and
    /// 30m/6h@6)
    #[bpaf(long("pair"), argument("FAST/SLOW@RATE"), many, map(pairs_or_defaults))]
    pub pairs: Vec<WindowPair>,
    /// Form of the report: text or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text), display_fallback)]
    pub format: Format,
    /// Draw the burn rates over time into an SVG file
    #[bpaf(argument("FILE"))]
    pub picture: Option<PathBuf>,
}

/// Format of the printed report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// Plain text for a terminal.
    Text,
    /// One JSON object.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("`{text}` is neither text nor json")),
        }
    }
}

impl std::fmt::Display for Format {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

fn has_sample_source(arguments: &Arguments) -> bool {
    !arguments.entries.is_empty() || arguments.samples.is_some()
}

fn pairs_or_defaults(pairs: Vec<WindowPair>) -> Vec<WindowPair> {
    match pairs.is_empty() {
        true => WindowPair::defaults(),
        false => pairs,
    }
}

fn sample_for() -> impl Parser<Duration> {
    let help = "Time over which the entries are sampled (default: 60s)";
    duration_option("for", help, Duration::from_secs(60))
}

fn every() -> impl Parser<Duration> {
    let help = "Time between two samples of an entry (default: 10s)";
    duration_option("every", help, Duration::from_secs(10))
}

fn period() -> impl Parser<Duration> {
    let help = "Time over which the share used of each budget is shown (default: 30d)";
    duration_option("period", help, Duration::from_secs(30 * 86_400))
}

fn duration_option(
    name: &'static str,
    help: &'static str,
    fallback: Duration,
) -> impl Parser<Duration> {
    bpaf::long(name)
        .help(help)
        .argument::<String>("TIME")
        .parse(|text| window::parse_duration(&text))
        .fallback(fallback)
}
