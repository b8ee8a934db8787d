//! Targets of the services, as the entry VMs see them together.
//!
//! A target reports to a few entries of its domain only; the others know no more than its member record. Of several
//! views of a target, [`text`] takes the one with the latest report.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt::Write;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::force::{Answers, Status};

/// Number of targets of a domain that are named; the others are counted.
const NAMED: usize = 20;

/// State of a target that takes requests.
const OPEN: &str = "open";

/// A service as one entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Service {
    /// Pin of the catalogue; absent for plain services.
    #[serde(default)]
    pub wanted: Option<String>,
    /// Targets by name.
    #[serde(default)]
    pub targets: BTreeMap<String, Target>,
}

/// A target as one entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Target {
    /// Whether it takes requests.
    pub state: String,
    /// Failure domain; absent until the member record is known.
    #[serde(default)]
    pub domain: Option<String>,
    /// Address for calls.
    #[serde(default)]
    pub call: Option<SocketAddr>,
    /// Time since its last report to this entry; absent for targets that report to others.
    #[serde(default)]
    pub reported_ms_ago: Option<u64>,
    /// Pin in service.
    #[serde(default)]
    pub weights: Option<String>,
    /// Chunks held of the wanted version.
    #[serde(default)]
    pub chunks: u32,
}

/// Returns one line for each entry VM that answered, then each service's targets by failure domain.
///
/// Targets that are open and serve the catalogue's pin are only counted.
pub fn text(answers: &Answers) -> String {
    let mut text = String::new();
    let answered = answers
        .iter()
        .filter_map(|(address, answer)| Some((address, answer.as_ref().ok()?)));
    let mut services = BTreeMap::new();
    for (address, status) in answered {
        let _ = writeln!(text, "{}", entry_line(*address, status));
        for (name, service) in &status.services {
            merge(services.entry(name).or_default(), status, service);
        }
    }
    for (name, seen) in &services {
        let wanted = seen.wanted.map(|(_, pin)| pin);
        let wants = wanted.map_or_else(String::new, |pin| format!(" wants {pin}"));
        let _ = writeln!(text, "service {name}{wants}");
        if seen.targets.is_empty() {
            let _ = writeln!(text, "  no target is known to the entries asked");
        }
        show_domains(&mut text, wanted, &seen.targets);
    }
    text
}

/// A service as all entries asked see it.
#[derive(Default)]
struct Seen<'a> {
    /// Revision and pin of the entry that holds the latest version of the service.
    wanted: Option<(u64, &'a str)>,
    targets: BTreeMap<&'a str, &'a Target>,
}

fn merge<'a>(seen: &mut Seen<'a>, status: &'a Status, service: &'a Service) {
    let newest = status.catalogue.values().copied().max().unwrap_or(0);
    if let Some(pin) = &service.wanted
        && seen.wanted.is_none_or(|(revision, _)| revision < newest)
    {
        seen.wanted = Some((newest, pin));
    }
    for (name, target) in &service.targets {
        match seen.targets.entry(name) {
            Entry::Vacant(vacant) => {
                vacant.insert(target);
            }
            Entry::Occupied(mut held) => {
                if age(target) < age(held.get()) {
                    held.insert(target);
                }
            }
        }
    }
}

fn age(target: &Target) -> u64 {
    target.reported_ms_ago.unwrap_or(u64::MAX)
}

fn entry_line(address: SocketAddr, status: &Status) -> String {
    let draining = if status.draining { ", draining" } else { "" };
    format!(
        "entry {} in {} at {address}: sees {} live entries{draining}",
        status.name, status.domain, status.live_entries
    )
}

fn show_domains(text: &mut String, wanted: Option<&str>, targets: &BTreeMap<&str, &Target>) {
    let mut domains: BTreeMap<&str, Vec<(&str, &Target)>> = BTreeMap::new();
    for (name, target) in targets {
        let domain = target.domain.as_deref().unwrap_or("unknown domain");
        domains.entry(domain).or_default().push((name, target));
    }
    for (domain, targets) in domains {
        let there = |target: &Target| {
            target.state == OPEN && (wanted.is_none() || target.weights.as_deref() == wanted)
        };
        let all = targets.len();
        let others: Vec<_> = targets
            .into_iter()
            .filter(|(_, target)| !there(target))
            .collect();
        let done = all - others.len();
        let what = wanted.map_or("open", |_| "open with these weights");
        let _ = writeln!(text, "  {domain}: {done} of {all} targets {what}");
        for (name, target) in others.iter().take(NAMED) {
            let _ = writeln!(text, "    {name}{}", describe(target, wanted));
        }
        if others.len() > NAMED {
            let _ = writeln!(text, "    and {} more", others.len() - NAMED);
        }
    }
}

/// Returns a pin with the first 8 digits of its digest, enough to compare it with the events and short in a line.
fn short(pin: &str) -> &str {
    pin.find('#')
        .and_then(|at| pin.get(..at + 9))
        .unwrap_or(pin)
}

fn describe(target: &Target, wanted: Option<&str>) -> String {
    let call = target
        .call
        .map_or_else(String::new, |call| format!(" at {call}"));
    let state = &target.state;
    let mut line = format!("{call}: {state}");
    if let (Some(wanted), Some(_)) = (wanted, target.reported_ms_ago) {
        let serves = match target.weights.as_deref() {
            Some(pin) if pin == wanted => "these weights",
            Some(pin) => short(pin),
            None => "no weights",
        };
        let _ = write!(
            line,
            ", serves {serves}, holds {} chunks of the wanted version",
            target.chunks
        );
    }
    match target.reported_ms_ago {
        Some(age) => _ = write!(line, ", reported {}.{} s ago", age / 1000, age % 1000 / 100),
        None => line.push_str(", reports to none of the entries asked"),
    }
    line
}
