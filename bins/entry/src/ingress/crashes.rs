//! Detection of targets that crashed while they served this entry's requests.
//!
//! A connection that breaks proves little: a link may have been cut, or the target may have closed it. The VM of a target
//! whose process has ended refuses new connections, so one is opened to find out.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use dispatch::{Placement, TargetId};
use node::event;
use quarantine::Prompt;

use super::gateway::{CONNECT_TIMEOUT, Gateway};

/// Requests whose connection broke before their response had lasted, by the target that is being checked.
#[derive(Debug, Default)]
pub(super) struct CrashChecks(RefCell<BTreeMap<TargetId, Vec<Suspect>>>);

/// A request that a target may have crashed on.
#[derive(Debug)]
struct Suspect {
    /// Id that the caller assigned.
    id: String,
    prompt: Prompt,
}

impl CrashChecks {
    /// Adds a suspect for `place`; returns whether its target must be checked.
    fn add(&self, place: &Placement) -> bool {
        let suspect = Suspect {
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
        if !self.crash_checks.add(place) {
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
        }
    }
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
