//! Targets of the services, merged from the statuses of several entry VMs.
//!
//! A target reports only to a few entry VMs of its failure domain; the others know no more than its member record. If
//! several entry VMs list a target, [`render`] uses the status with its latest report.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt::Write;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::entry_status::{Status, Statuses};

/// Maximum number of targets listed by name for each failure domain; the rest are only counted.
const MAX_LISTED: usize = 20;

/// State of a target that takes requests.
const STATE_OPEN: &str = "open";

/// A service in the status of one entry VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Service {
    /// Pin (`MODEL@VERSION#DIGEST`) of the model version that the catalogue assigns; absent for plain services.
    #[serde(default)]
    pub wanted: Option<String>,
    /// Targets by name.
    #[serde(default)]
    pub targets: BTreeMap<String, Target>,
}

/// A target in the status of one entry VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Target {
    /// State; only targets in the state `open` take requests.
    pub state: String,
    /// Failure domain; absent until the member record is known.
    #[serde(default)]
    pub domain: Option<String>,
    /// Address that accepts calls.
    #[serde(default)]
    pub call: Option<SocketAddr>,
    /// Milliseconds since its last report to this entry VM; absent for targets that report to others.
    #[serde(default)]
    pub reported_ms_ago: Option<u64>,
    /// Pin of the model version in service.
    #[serde(default)]
    pub weights: Option<String>,
    /// Number of chunks of the wanted version that it stores.
    #[serde(default)]
    pub chunks: u32,
}

/// Returns one line for each entry VM whose status is known, then each service's targets by failure domain.
///
/// Targets that are open and serve the catalogue's pin, if the service has one, are only counted.
pub fn render(statuses: &Statuses) -> String {
    let mut text = String::new();
    let known = statuses
        .iter()
        .filter_map(|(address, status)| Some((address, status.as_ref().ok()?)));
    let mut services = BTreeMap::new();
    for (address, status) in known {
        let _ = writeln!(text, "{}", entry_line(*address, status));
        for (name, service) in &status.services {
            merge(services.entry(name).or_default(), status, service);
        }
    }
    for (name, service) in &services {
        let wanted = service.wanted.map(|(_, pin)| pin);
        let wants = wanted.map_or_else(String::new, |pin| format!(" wants {pin}"));
        let _ = writeln!(text, "service {name}{wants}");
        if service.targets.is_empty() {
            let _ = writeln!(text, "  no target is known to the entries asked");
        }
        write_domains(&mut text, wanted, &service.targets);
    }
    text
}

/// A service merged from the statuses of several entry VMs.
#[derive(Default)]
struct MergedService<'a> {
    /// Pin according to the entry VM with the highest catalogue revision, and that revision.
    wanted: Option<(u64, &'a str)>,
    /// Targets by name, each from the entry VM with its latest report.
    targets: BTreeMap<&'a str, &'a Target>,
}

/// Adds a service in the status of one entry VM to the merged one.
fn merge<'a>(merged: &mut MergedService<'a>, status: &'a Status, service: &'a Service) {
    let newest = status.catalogue.values().copied().max().unwrap_or(0);
    if let Some(pin) = &service.wanted
        && merged.wanted.is_none_or(|(revision, _)| revision < newest)
    {
        merged.wanted = Some((newest, pin));
    }
    for (name, target) in &service.targets {
        match merged.targets.entry(name) {
            Entry::Vacant(vacant) => {
                vacant.insert(target);
            }
            Entry::Occupied(mut occupied) => {
                if report_age_ms(target) < report_age_ms(occupied.get()) {
                    occupied.insert(target);
                }
            }
        }
    }
}

/// Returns the age of the target's last report, or the maximum if it reports to other entry VMs.
fn report_age_ms(target: &Target) -> u64 {
    target.reported_ms_ago.unwrap_or(u64::MAX)
}

fn entry_line(address: SocketAddr, status: &Status) -> String {
    let draining = if status.draining { ", draining" } else { "" };
    format!(
        "entry {} in {} at {address}: sees {} live entries{draining}",
        status.name, status.domain, status.live_entries
    )
}

fn write_domains(text: &mut String, wanted: Option<&str>, targets: &BTreeMap<&str, &Target>) {
    let mut domains: BTreeMap<&str, Vec<(&str, &Target)>> = BTreeMap::new();
    for (name, target) in targets {
        let domain = target.domain.as_deref().unwrap_or("unknown domain");
        domains.entry(domain).or_default().push((name, target));
    }
    for (domain, targets) in domains {
        let is_ready = |target: &Target| {
            target.state == STATE_OPEN && (wanted.is_none() || target.weights.as_deref() == wanted)
        };
        let all = targets.len();
        let not_ready: Vec<_> = targets
            .into_iter()
            .filter(|(_, target)| !is_ready(target))
            .collect();
        let ready = all - not_ready.len();
        let condition = wanted.map_or("open", |_| "open with these weights");
        let _ = writeln!(text, "  {domain}: {ready} of {all} targets {condition}");
        for (name, target) in not_ready.iter().take(MAX_LISTED) {
            let _ = writeln!(text, "    {name}{}", describe(target, wanted));
        }
        if not_ready.len() > MAX_LISTED {
            let _ = writeln!(text, "    and {} more", not_ready.len() - MAX_LISTED);
        }
    }
}

/// Shortens the digest of a pin to 8 digits, enough to compare the pin with those in log events.
fn shorten_pin(pin: &str) -> &str {
    pin.find('#')
        .and_then(|at| pin.get(..at + 9))
        .unwrap_or(pin)
}

/// Describes the address, state, weights and last report of a target that isn't ready.
fn describe(target: &Target, wanted: Option<&str>) -> String {
    let call = target
        .call
        .map_or_else(String::new, |call| format!(" at {call}"));
    let state = &target.state;
    let mut line = format!("{call}: {state}");
    if let (Some(wanted), Some(_)) = (wanted, target.reported_ms_ago) {
        let serves = match target.weights.as_deref() {
            Some(pin) if pin == wanted => "these weights",
            Some(pin) => shorten_pin(pin),
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
