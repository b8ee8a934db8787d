//! Plans of experiments and their lower bounds.

use load::{Fault, Plan, burst};
use yare::parameterized;

const MIB: u64 = 1 << 20;

fn plan(transfer: &str, region_link: Option<u64>) -> Plan {
    Plan {
        domains: ["levis", "beauce", "bellechasse"].map(String::from).into(),
        engines: 4,
        transfer: transfer.into(),
        model_bytes: 48 * MIB,
        region_link_bytes_per_s: region_link,
        ..Plan::default()
    }
}

/// Guards against a bound that leaves out the link that limits the burst, which would hide a slow transfer.
#[parameterized(
    // 48 MiB at 8 MiB/s, and the pipeline: log2 12 of 192 chunks.
    links = { "origin_bytes", None, 6.11 },
    // Two thirds of 48 MiB at 1 MiB/s.
    region = { "origin_bytes", Some(MIB), 32.0 },
    // Three copies at 16 MiB/s; nothing crosses between the regions.
    origin = { "time_to_replicas", Some(MIB), 9.0 },
    // Twelve copies at 16 MiB/s.
    direct = { "direct", Some(MIB), 36.0 },
)]
fn bound_narrowest_link(transfer: &str, region_link: Option<u64>, seconds: f64) {
    let bound = burst::bound(&plan(transfer, region_link)).as_secs_f64();
    assert!((bound - seconds).abs() < 0.01, "{bound}");
}

/// Guards against regions whose agents together exceed the region's link.
#[test]
fn region_share_divides() {
    assert_eq!(plan("origin_bytes", Some(MIB)).region_share(), MIB / 4);
    assert_eq!(plan("origin_bytes", None).region_share(), 4 * MIB);
}

/// Guards against domains of one region that are started as regions of their own.
#[test]
fn region_shared() {
    let mut plan = plan("origin_bytes", Some(MIB));
    plan.regions = ["east", "east", "west"].map(String::from).into();
    assert_eq!(
        ["levis", "beauce", "bellechasse"].map(|name| plan.region(name)),
        ["east", "east", "west"]
    );
    assert_eq!(plan.region_share(), MIB / 8);
}

/// Guards against a scenario that a plan names and the tool doesn't give.
#[parameterized(
    domain = { "domain_lost", Fault::DomainLost },
    agents = { "agents_killed", Fault::AgentsKilled },
    rack = { "rack_lost", Fault::RackLost },
    cut = { "rack_cut", Fault::RackCut },
    owner = { "owner_stalled", Fault::OwnerStalled },
)]
fn fault_named(name: &str, fault: Fault) {
    let plan: Plan = serde_json::from_value(serde_json::json!({ "fault": name })).unwrap();
    assert_eq!(plan.fault, Some(fault));
}
