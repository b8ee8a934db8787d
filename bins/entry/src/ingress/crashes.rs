//! Targets that crashed while they served this entry's requests, and the parts of prompts that are blamed for it.
//!
//! A connection that breaks proves little: a link may have been cut, or the target may have closed it. The VM of a target
//! whose process has ended refuses new connections, so one is opened to find out.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use dispatch::{Placement, TargetId};
use node::{Notify, event};
use quarantine::{Changes, CrashId, Evidence, PartId, Prompt, Seat};

use super::call::Call;
use super::gateway::{CONNECT_TIMEOUT, Gateway};

/// Who reported what changed the blame for crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    Own,
    Others,
}

/// Parts of which other processes must be told.
#[derive(Default)]
pub(super) struct PendingEvidence {
    parts: RefCell<BTreeSet<PartId>>,
    added: Notify,
}

/// Requests whose connection broke before their response had lasted, by the target that is being checked.
#[derive(Debug, Default)]
pub(super) struct CrashChecks(RefCell<BTreeMap<TargetId, Vec<Suspect>>>);

/// A request that a target may have crashed on.
#[derive(Debug)]
struct Suspect {
    /// Id that the caller assigned.
    id: String,
    prompt: Prompt,
    /// The crash, if the target did crash.
    crash: CrashId,
}

impl CrashChecks {
    /// Adds a suspect for `place`; returns whether its target must be checked.
    fn add(&self, place: &Placement, crash: CrashId) -> bool {
        let suspect = Suspect {
            crash,
            id: place.work.id.clone(),
            prompt: place.work.prompt.clone(),
        };
        let mut checks = self.0.borrow_mut();
        let suspects = checks.entry(place.target.clone()).or_default();
        suspects.push(suspect);
        suspects.len() == 1
    }

    fn finish(&self, target: &str) -> Vec<Suspect> {
        self.0.borrow_mut().remove(target).unwrap_or_default()
    }
}

impl Gateway {
    /// Checks whether the target at `place` has crashed, after the connection of a request broke there before its
    /// response had lasted.
    pub(super) fn check_crash(self: &Rc<Self>, place: &Placement) {
        let crash = crash_id(&place.target, place.started_at_ms);
        if !self.crash_checks.add(place, crash) {
            return;
        }
        let gateway = Rc::clone(self);
        let (target, address) = (place.target.clone(), place.address);
        let check = async move {
            let crashed = refuses_connections(address).await;
            let suspects = gateway.crash_checks.finish(&target);
            if crashed {
                gateway.record_crash(&target, &suspects);
            }
        };
        compio::runtime::spawn(check).detach();
    }

    fn record_crash(&self, target: &str, suspects: &[Suspect]) {
        self.metrics.count_crash();
        for suspect in suspects {
            event!(
                event::TARGET_CRASHED,
                target = target,
                request = suspect.id,
                parts = format_parts(&suspect.prompt)
            );
            let changes = self.update(|scheduler, now| {
                scheduler.record_crash(now, suspect.crash, &suspect.prompt)
            });
            self.report_changes(&changes, Source::Own);
        }
    }

    /// Records that a target survived a request with `prompt`.
    pub(super) fn record_survival(&self, prompt: &Prompt) {
        if prompt.is_empty() {
            return;
        }
        let changes =
            self.update_without_poll(|scheduler, now| scheduler.record_survival(now, prompt));
        self.report_changes(&changes, Source::Own);
    }

    /// Applies what other entries know of crashes.
    pub(super) fn merge_evidence(&self, evidence: &[Evidence]) {
        let (merged, refuted) =
            self.update_without_poll(|scheduler, now| scheduler.merge_evidence(now, evidence));
        let others = Changes {
            parts: Vec::new(),
            ..merged
        };
        self.report_changes(&others, Source::Others);
        self.report_changes(&refuted, Source::Own);
    }

    /// Sets this entry's place in the order in which entries may try a quarantined part again.
    pub(super) fn update_quarantine_seat(&self) {
        let domains = &self.settings.regions;
        let rank = domains
            .keys()
            .position(|domain| *domain == self.settings.domain);
        let (entry, entries) = self.peers.borrow().rank();
        let seat = Seat {
            domain: rank.unwrap_or_default(),
            domains: domains.len(),
            entry,
            entries,
        };
        self.update_without_poll(|scheduler, _| scheduler.set_quarantine_seat(seat));
    }

    /// Waits until others must be told of evidence and returns it.
    pub(super) async fn next_evidence(&self) -> Vec<Evidence> {
        let pending = &self.pending_evidence;
        loop {
            let seen = pending.added.count();
            let parts = pending.parts.take();
            if !parts.is_empty() {
                let now = Instant::now();
                return self.view(|scheduler| scheduler.quarantine().evidence(now, parts));
            }
            pending.added.changed(seen).await;
        }
    }

    /// Logs the quarantined part of a request that is not served, if it has one.
    pub(super) fn log_quarantine(&self, call: &Call) {
        let prompt = &call.caller.prompt_parts;
        let now = Instant::now();
        let refusal = self.view(|scheduler| scheduler.quarantine().check(now, prompt));
        if let Some(refusal) = refusal {
            event!(
                event::REQUEST_QUARANTINED,
                request = call.caller.id,
                part = format_args!("{:x}", refusal.part),
                crashes = refusal.crashes,
                last_crash_ms = refusal.last_crash.as_millis(),
                retry_after_ms = refusal.retry_after.as_millis()
            );
        }
    }

    fn report_changes(&self, changes: &Changes, source: Source) {
        if !changes.parts.is_empty() {
            self.pending_evidence
                .parts
                .borrow_mut()
                .extend(&changes.parts);
            self.pending_evidence.added.notify();
        }
        let from = match source {
            Source::Own => "own",
            Source::Others => "others",
        };
        for part in &changes.quarantined {
            self.log_quarantined(*part, from);
        }
        for part in &changes.released {
            event!(
                event::PART_RELEASED,
                part = format_args!("{part:x}"),
                from = from
            );
        }
        if !changes.quarantined.is_empty() || !changes.released.is_empty() {
            let count = self.view(|scheduler| scheduler.quarantine().len());
            self.metrics.set_quarantined_parts(count);
        }
    }

    fn log_quarantined(&self, part: PartId, from: &str) {
        let prompt = Prompt::new(vec![part]);
        let now = Instant::now();
        if let Some(refusal) = self.view(|scheduler| scheduler.quarantine().check(now, &prompt)) {
            event!(
                event::PART_QUARANTINED,
                part = format_args!("{part:x}"),
                crashes = refusal.crashes,
                last_crash_ms = refusal.last_crash.as_millis(),
                until_ms = refusal.retry_after.as_millis(),
                from = from
            );
        }
    }
}

/// Returns the id of the crash of a start of `target`, which all entries derive alike.
fn crash_id(target: &str, started_at_ms: Option<u64>) -> CrashId {
    let mut hasher = DefaultHasher::new();
    (target, started_at_ms).hash(&mut hasher);
    hasher.finish()
}

/// Returns whether the VM at `address` refuses connections, which it does while no process listens there.
async fn refuses_connections(address: SocketAddr) -> bool {
    match compio::time::timeout(CONNECT_TIMEOUT, node::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        // Neither a connection nor a timeout tells that the process has ended.
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Formats the parts of a prompt for log events, at most the first 16.
fn format_parts(prompt: &Prompt) -> String {
    const MAX_LOGGED: usize = 16;
    let parts = prompt.parts().iter().take(MAX_LOGGED);
    let parts: Vec<String> = parts.map(|part| format!("{part:x}")).collect();
    parts.join(",")
}
