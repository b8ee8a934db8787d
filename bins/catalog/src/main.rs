//! The binary `carobport-catalog`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use carobport_catalog::catalogue::Catalogue;
use carobport_catalog::files::{self, Files};
use carobport_catalog::force::{self, Answers, Progress, Revisions};
use carobport_catalog::options::{Options, options};
use carobport_catalog::put::{self, Written};
use carobport_catalog::{KIND, show, targets};
use catalog::{Finding, Revision, StoredEntry, diff};
use platform::Client;

const FAILED: u8 = 1;
const FINDINGS: u8 = 2;
const RACED: u8 = 3;
const NOT_IN_FORCE: u8 = 4;

/// Time for one call to the platform.
const CALL: Duration = Duration::from_secs(5);

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
    ExitCode::from(FAILED)
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
            report(&result.findings, json)
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
            let client = Client::new(platform, CALL.min(timeout));
            let files = files::read(&paths)?;
            put_all(&client, &files, &author, dry_run, timeout, &entries).await
        }
        Options::Get { platform, key } => {
            let (revision, stored) = read(&Client::new(platform, CALL), &key).await?;
            eprintln!(
                "{key} at revision {revision} by {} at {}",
                stored.author,
                node::time::format_utc(stored.time_ms)
            );
            for pin in stored.entry.pins().skip(1) {
                eprintln!("replaced {pin}");
            }
            println!("{}", show::entry(&stored.entry));
            Ok(0)
        }
        Options::History { platform, key } => {
            let (revision, stored) = read(&Client::new(platform, CALL), &key).await?;
            print!("{}", show::history(revision, &stored));
            Ok(0)
        }
        Options::Status { platform, entries } => {
            let listed = list(&Client::new(platform, CALL)).await;
            let answers = force::ask(&node::http::Client::new(), &entries).await;
            show_status(listed, &answers)
        }
    }
}

/// Prints the catalogue and what the entry VMs answered; during an outage of the platform, the latter alone.
fn show_status(listed: Result<Catalogue, Error>, answers: &Answers) -> Result<u8, Error> {
    let wanted = match &listed {
        Ok(catalogue) => catalogue.revisions(),
        Err(_) => force::latest(answers),
    };
    if let Ok(catalogue) = &listed {
        let malformed = catalogue.malformed.values();
        malformed.for_each(|finding| println!("{finding}"));
        for (key, revision) in &wanted {
            println!("{key} at revision {revision}");
        }
    }
    print!("{}", targets::text(answers));
    if let Err(error) = listed {
        conclude(
            &force::compare(answers, &wanted),
            "the latest versions that the entries asked hold are in force",
        );
        return Err(error);
    }
    if answers.is_empty() {
        println!(
            "no entry VM was asked; name operator ports with --entry to see where this is in force"
        );
        return Ok(0);
    }
    let progress = force::compare(answers, &wanted);
    Ok(conclude(&progress, "the whole catalogue is in force"))
}

fn report(findings: &[Finding], json: bool) -> Result<u8, Error> {
    if json {
        println!("{}", serde_json::to_string_pretty(findings)?);
    } else {
        findings.iter().for_each(|finding| println!("{finding}"));
    }
    Ok(if findings.is_empty() { 0 } else { FINDINGS })
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
        return report(&result.findings, false);
    }
    let mut wanted = Revisions::new();
    let mut checked = result.entries;
    // Classes come before the services that name them, and those before workspaces.
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
            Written::Accepted(revision) => {
                println!("{key}: written as revision {revision}");
                wanted.insert(key, revision);
            }
            Written::Raced { author, revision } => {
                println!(
                    "{key}: not written: {author} was first, with revision {revision}; see `history {key}`"
                );
                return Ok(RACED);
            }
        }
    }
    if dry_run || entries.is_empty() {
        return Ok(0);
    }
    let deadline = Instant::now() + timeout;
    let progress = force::wait(entries, &wanted, deadline, |progress| {
        let all = progress.done.len() + progress.missing.len();
        println!("in force at {} of {all} entries", progress.done.len());
    });
    Ok(conclude(&progress.await, "in force everywhere"))
}

fn conclude(progress: &Progress, done: &str) -> u8 {
    for (entry, lack) in &progress.missing {
        println!("not in force at {entry}: {lack}");
    }
    if progress.missing.is_empty() {
        println!("{done}: {} entries asked", progress.done.len());
        return 0;
    }
    NOT_IN_FORCE
}

async fn read(client: &Client, key: &str) -> Result<(Revision, StoredEntry), Error> {
    match client.get(KIND, key).await? {
        Some(object) => Ok((object.revision, put::parse(&object)?)),
        None => {
            Err(format!("no entry {key}; a key is KIND/NAME, such as service/assistant").into())
        }
    }
}

async fn list(client: &Client) -> Result<Catalogue, Error> {
    Ok(Catalogue::new(&client.list(KIND).await?))
}
