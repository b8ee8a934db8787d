//! Command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Checks, writes and shows catalogue entries.
///
///
/// Exit codes: 0 done; 1 the command failed or its outcome is unknown; 2 findings or a wrong command line; 3 another
/// operator was first; 4 written, but not yet in force everywhere.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Report everything that is wrong in a set of files
    #[bpaf(command)]
    Check {
        /// Print the findings as a JSON list
        json: bool,
        /// Number of targets of a service, as NAME=COUNT; its limits are compared with what they can run
        #[bpaf(argument("NAME=COUNT"), many)]
        targets: Vec<TargetCount>,
        /// Files with one entry each, or directories with such files (*.json)
        #[bpaf(positional("PATH"), some("at least one PATH is needed"))]
        paths: Vec<PathBuf>,
    },
    /// Write entries, then wait until they are in force
    #[bpaf(command)]
    Put {
        #[bpaf(external)]
        platform: SocketAddr,
        /// Name under which the change is recorded
        #[bpaf(argument("NAME"), env("USER"))]
        author: String,
        #[bpaf(external)]
        entries: Vec<SocketAddr>,
        /// Longest time to write, and then to wait until in force, in seconds
        #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
        timeout: u64,
        /// Show the difference and stop
        dry_run: bool,
        /// Files with one entry each, or directories with such files (*.json)
        #[bpaf(positional("PATH"), some("at least one PATH is needed"))]
        paths: Vec<PathBuf>,
    },
    /// Print an entry
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        platform: SocketAddr,
        /// Kind and name, such as service/assistant
        #[bpaf(positional("KIND/NAME"))]
        key: String,
    },
    /// Show the latest versions of an entry, their authors and what they changed
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        platform: SocketAddr,
        /// Kind and name, such as service/assistant
        #[bpaf(positional("KIND/NAME"))]
        key: String,
    },
    /// Show which entries of the catalogue are in force where, and the targets: state, weights in service, chunks held
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        entries: Vec<SocketAddr>,
    },
}

/// Number of targets of a service, parsed from `NAME=COUNT`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetCount {
    /// Name of the service.
    pub service: String,
    /// Number of its targets.
    pub targets: u32,
}

impl std::str::FromStr for TargetCount {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let error = || format!("`{text}` is not NAME=COUNT, such as assistant=15");
        let (service, targets) = text.split_once('=').ok_or_else(error)?;
        let targets = targets.parse().map_err(|_| error())?;
        Ok(Self {
            service: service.into(),
            targets,
        })
    }
}

fn platform() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("platform")
        .help("Address of the platform, as IP:PORT")
        .env("CAROBPORT_PLATFORM")
        .argument("ADDRESS")
}

fn entries() -> impl bpaf::Parser<Vec<SocketAddr>> {
    use bpaf::Parser;

    bpaf::long("entry")
        .help("Operator port of an entry VM, as IP:PORT, to ask whether the change is in force there; may be repeated")
        .argument("ADDRESS")
        .many()
}
