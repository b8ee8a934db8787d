//! Entry point of `carobport-catalog`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use carobport_catalog::catalogue::Catalogue;
use carobport_catalog::entry_status::{self, Progress, Revisions, Statuses};
use carobport_catalog::files::{self, Files};
use carobport_catalog::options::{Options, options};
use carobport_catalog::put::{self, Outcome};
use carobport_catalog::{KIND, render, targets};
use catalog::{Finding, Revision, StoredEntry, diff};
use platform::Client;

const EXIT_FAILED: u8 = 1;
const EXIT_FINDINGS: u8 = 2;
const EXIT_RACED: u8 = 3;
const EXIT_NOT_IN_FORCE: u8 = 4;

/// Timeout of a call to the platform, unless `--timeout` is shorter.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

type Error = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let options = match node::arguments::parse(&options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    match node::block_on(run(options)) {
        Ok(Ok(code)) => ExitCode::from(code),
        Ok(Err(error)) => fail(&*error),
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_FAILED)
}

async fn run(options: Options) -> Result<u8, Error> {
    match options {
        Options::Check {
            json,
            targets,
            paths,
        } => {
            let targets = targets
                .into_iter()
                .map(|count| (count.service, count.targets))
                .collect();
            let result = files::check_all(&files::read(&paths)?, &targets);
            print_findings(&result.findings, json)
        }
        Options::Put {
            platform,
            author,
            entries,
            timeout,
            dry_run,
            paths,
        } => {
            let timeout = Duration::from_secs(timeout);
            let client = Client::new(platform, CALL_TIMEOUT.min(timeout));
            let files = files::read(&paths)?;
            put_all(&client, &files, &author, dry_run, timeout, &entries).await
        }
        Options::Get { platform, key } => {
            let (revision, stored) = read(&Client::new(platform, CALL_TIMEOUT), &key).await?;
            eprintln!(
                "{key} at revision {revision} by {} at {}",
                stored.author,
                node::time::format_utc(stored.time_ms)
            );
            for pin in stored.entry.pins().skip(1) {
                eprintln!("replaced {pin}");
            }
            println!("{}", render::entry(&stored.entry));
            Ok(0)
        }
        Options::History { platform, key } => {
            let (revision, stored) = read(&Client::new(platform, CALL_TIMEOUT), &key).await?;
            print!("{}", render::history(revision, &stored));
            Ok(0)
        }
        Options::Status { platform, entries } => {
            let catalogue = list(&Client::new(platform, CALL_TIMEOUT)).await;
            let client = node::http::Client::new();
            let statuses = entry_status::fetch_all(&client, &entries).await;
            print_status(catalogue, &statuses)
        }
    }
}

/// Prints the catalogue, the targets and where the catalogue is in force.
///
/// If the platform is unavailable, compares the entry VMs with the latest revisions among them instead.
fn print_status(catalogue: Result<Catalogue, Error>, statuses: &Statuses) -> Result<u8, Error> {
    let wanted = match &catalogue {
        Ok(catalogue) => catalogue.revisions(),
        Err(_) => entry_status::latest_revisions(statuses),
    };
    if let Ok(catalogue) = &catalogue {
        let malformed = catalogue.malformed.values();
        malformed.for_each(|finding| println!("{finding}"));
        for (key, revision) in &wanted {
            println!("{key} at revision {revision}");
        }
    }
    print!("{}", targets::render(statuses));
    if let Err(error) = catalogue {
        print_progress(
            &entry_status::compare(statuses, &wanted),
            "the latest versions that the entries asked hold are in force",
        );
        return Err(error);
    }
    if statuses.is_empty() {
        println!(
            "no entry VM was asked; name operator ports with --entry to see where this is in force"
        );
        return Ok(0);
    }
    let progress = entry_status::compare(statuses, &wanted);
    Ok(print_progress(&progress, "the whole catalogue is in force"))
}

fn print_findings(findings: &[Finding], json: bool) -> Result<u8, Error> {
    if json {
        println!("{}", serde_json::to_string_pretty(findings)?);
    } else {
        findings.iter().for_each(|finding| println!("{finding}"));
    }
    Ok(if findings.is_empty() {
        0
    } else {
        EXIT_FINDINGS
    })
}

async fn put_all(
    client: &Client,
    files: &Files,
    author: &str,
    dry_run: bool,
    timeout: Duration,
    entries: &[SocketAddr],
) -> Result<u8, Error> {
    let mut catalogue = list(client).await?;
    let result = catalogue.check(files);
    if !result.findings.is_empty() {
        return print_findings(&result.findings, false);
    }
    let mut wanted = Revisions::new();
    let mut checked = result.entries;
    // Keys start with the kind, so classes are written before the services that refer to them, and services before
    // workspaces.
    checked.sort_by_key(|(_, entry)| entry.key());
    for (file, entry) in checked {
        let key = entry.key();
        if !files.iter().any(|(name, _)| *name == file) {
            continue;
        }
        let base = catalogue.entries.remove(&key);
        let changes = diff(base.as_ref().map(|(_, stored)| &stored.entry), &entry);
        println!("{key}: {} change(s)", changes.len());
        changes.iter().for_each(|change| println!("  {change}"));
        if changes.is_empty() || dry_run {
            wanted.extend(base.map(|(revision, _)| (key, revision)));
            continue;
        }
        let deadline = Instant::now() + timeout;
        match put::put(client, entry, base, author, deadline).await? {
            Outcome::Accepted(revision) => {
                println!("{key}: written as revision {revision}");
                wanted.insert(key, revision);
            }
            Outcome::Raced { author, revision } => {
                println!(
                    "{key}: not written: {author} was first, with revision {revision}; see `history {key}`"
                );
                return Ok(EXIT_RACED);
            }
        }
    }
    if dry_run || entries.is_empty() {
        return Ok(0);
    }
    let deadline = Instant::now() + timeout;
    let progress = entry_status::wait(entries, &wanted, deadline, |progress| {
        let in_force = progress.in_force.len();
        let all = in_force + progress.pending.len();
        println!("in force at {in_force} of {all} entries");
    });
    Ok(print_progress(&progress.await, "in force everywhere"))
}

/// Prints where the wanted revisions are not in force, or `success` if there is no such place; returns the exit code.
fn print_progress(progress: &Progress, success: &str) -> u8 {
    for (entry, reason) in &progress.pending {
        println!("not in force at {entry}: {reason}");
    }
    if progress.pending.is_empty() {
        println!("{success}: {} entries asked", progress.in_force.len());
        return 0;
    }
    EXIT_NOT_IN_FORCE
}

async fn read(client: &Client, key: &str) -> Result<(Revision, StoredEntry), Error> {
    match client.get(KIND, key).await? {
        Some(object) => Ok((object.revision.ordinal(), put::parse(&object)?)),
        None => {
            Err(format!("no entry {key}; a key is KIND/NAME, such as service/assistant").into())
        }
    }
}

async fn list(client: &Client) -> Result<Catalogue, Error> {
    Ok(Catalogue::new(&client.list(KIND).await?))
}
