//! Bursts in which a part of the system fails.

use load::{Fault, Plan, burst};
use yare::parameterized;

use crate::support::{LIMIT, machine, small};

/// Guards against a burst that doesn't reach the survivors of a fault, that draws more than four copies, or in which
/// calls of the survivors are lost.
#[parameterized(
    domain = { Fault::DomainLost, 3 },
    agents = { Fault::AgentsKilled, 1 },
    rack = { Fault::RackLost, 1 },
    owner = { Fault::OwnerStalled, 0 },
)]
fn run_fault(fault: Fault, lost: usize) {
    let _machine = machine();
    let plan = Plan {
        engines: 3,
        fault: Some(fault),
        ..small()
    };
    let report = node::block_on(burst::run(plan, LIMIT)).unwrap().unwrap();
    assert_eq!((report.replicas, report.lost), (6 - lost, lost));
    assert!(report.origin_copies <= 4.0, "{}", report.origin_copies);
    assert!(report.model.outcome("answered") > 0);
    assert_eq!(report.model.outcome("missing"), 0);
}
