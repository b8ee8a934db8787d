//! `carobport-trace`: prints the timeline of a request, or of a configuration change, from the logs of several processes.

use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use trace::{Line, Spread, Timeline};

/// Exit code if no line has the id of the request, or the version came into force nowhere.
const EXIT_NOT_FOUND: u8 = 3;

/// Tells the story of a request from the logs of several processes, or when a version of the configuration came into force
///
///
/// Lines that name the request are marked with a star; times count from the first of them, each by the clock of its VM.
/// Exit codes: 0 told; 1 a log can't be read; 2 a wrong command line; 3 no line names the request or the version.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Milliseconds before and after the request's lines from which lines about its targets and processes are told
    #[bpaf(argument("MS"), fallback(2000))]
    around: u64,
    #[bpaf(external)]
    subject: Subject,
    /// Logs; standard input when none is named
    #[bpaf(positional("LOG"))]
    logs: Vec<PathBuf>,
}

/// What to tell
#[derive(Clone, Debug)]
#[derive(Bpaf)]
enum Subject {
    Config {
        /// Version of the configuration: tells when it came into force at each entry, and from where the entry had it
        #[bpaf(long("config"), argument("VERSION"))]
        version: u64,
    },
    Request {
        /// Id of the request
        #[bpaf(positional("ID"))]
        id: String,
    },
}

fn main() -> ExitCode {
    let options = match node::arguments::parse(&options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let mut lines = Vec::new();
    let read = match options.logs.is_empty() {
        true => read_lines("", io::stdin().lock(), &mut lines),
        false => options
            .logs
            .iter()
            .try_for_each(|log| read_log(log, &mut lines)),
    };
    if let Err(error) = read {
        eprintln!("carobport-trace: {error}");
        return ExitCode::FAILURE;
    }
    let (text, is_empty) = match &options.subject {
        Subject::Config { version } => {
            let spread = Spread::new(*version, &lines);
            (spread.to_string(), spread.arrivals().is_empty())
        }
        Subject::Request { id } => {
            let timeline = Timeline::new(id, &lines, Duration::from_millis(options.around));
            (timeline.to_string(), timeline.is_empty())
        }
    };
    // Writing fails if the reader has closed the pipe, as `head` does; that is not an error.
    let _ = write!(io::stdout(), "{text}");
    match is_empty {
        true => ExitCode::from(EXIT_NOT_FOUND),
        false => ExitCode::SUCCESS,
    }
}

/// Reads the log file `log`; errors name its path.
fn read_log(log: &Path, lines: &mut Vec<Line>) -> io::Result<()> {
    let name = log.file_stem().unwrap_or_default().to_string_lossy();
    let with_path =
        |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", log.display()));
    let file = std::fs::File::open(log).map_err(with_path)?;
    read_lines(&name, BufReader::new(file), lines).map_err(with_path)
}

/// Appends the lines of a log that parse; lines of another form are skipped, and invalid UTF-8 is replaced.
fn read_lines(name: &str, log: impl BufRead, lines: &mut Vec<Line>) -> io::Result<()> {
    for text in log.split(b'\n') {
        let text = text?;
        lines.extend(Line::parse(name, &String::from_utf8_lossy(&text)));
    }
    Ok(())
}
