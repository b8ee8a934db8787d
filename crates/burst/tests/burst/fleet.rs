//! Invariants of several agents for arbitrary orders of events and faults.

use crate::support::{Fault, Fleet};
use burst::permit::{MAX_GRANTS, PermitObject};
use catalog::Plan;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn plans() -> impl Strategy<Value = Plan> {
    prop_oneof![Just(Plan::OriginBytes), Just(Plan::TimeToReplicas)]
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::None),
        1 => Just(Fault::Stall),
        1 => Just(Fault::Corrupt),
        1 => Just(Fault::Disconnect)
    ]
}

/// Checks the invariants that must hold after each event.
fn check(fleet: &Fleet) {
    for (chunk, drawn) in &fleet.drawn {
        let stripe = fleet.version.stripes().stripe_of(*chunk);
        let grants = PermitObject::read(&fleet.permits[&stripe])
            .unwrap()
            .holders()
            .len();
        assert!(
            grants <= MAX_GRANTS && *drawn <= grants,
            "chunk {chunk}: {drawn} draws, {grants} grants"
        );
    }
    // All agents together may have 16 draws in progress, or one each if there are more agents.
    let share = (16 / fleet.agents.len()).max(1);
    let max = (0..fleet.agents.len())
        .map(|number| fleet.draws_in_progress(number))
        .max();
    assert!(max <= Some(share), "{max:?} draws of one agent at once");
    for agent in fleet.agents.iter().flatten().filter(|agent| agent.complete) {
        let digests = &fleet.version.manifest().chunks;
        assert!(
            digests.iter().all(|digest| agent.store.contains(digest)),
            "complete without all chunks"
        );
    }
}

proptest! {
    #![proptest_config(config())]

    // Guards against a fifth draw, a draw without a grant and premature completion when requests are lost, retried or
    // taken over by another owner.
    #[test]
    fn grants_any_order(
        plan in plans(),
        steps in prop::collection::vec((any::<usize>(), faults()), 400..1200),
        dead in 0..9usize,
        when in 0..400usize,
    ) {
        let mut fleet = Fleet::new(&["a", "bb", "ccc"], 3, plan);
        for (number, (choice, fault)) in steps.into_iter().enumerate() {
            if number == when {
                fleet.kill(dead);
            }
            fleet.step(choice, fault);
            check(&fleet);
        }
    }

    // Guards against a transfer that hangs after an agent died at any time.
    #[test]
    fn completes_one_dead(
        plan in plans(),
        choices in prop::collection::vec(any::<usize>(), 64),
        dead in 0..9usize,
        when in 0..1500usize,
    ) {
        let mut fleet = Fleet::new(&["a", "bb", "ccc"], 3, plan);
        for number in 0..20_000 {
            if number == when {
                fleet.kill(dead);
            }
            fleet.step(choices[number % choices.len()], Fault::None);
            check(&fleet);
            if number > when && fleet.is_complete() {
                break;
            }
        }
        prop_assert!(fleet.is_complete());
    }

    // Guards against a transfer that hangs because an owner transfers another version: after a restart, six of 76
    // agents did so, and none of the others ever received all chunks.
    #[test]
    fn completes_one_elsewhere(
        plan in plans(),
        choices in prop::collection::vec(any::<usize>(), 64),
        elsewhere in 0..9usize,
        when in 0..600usize,
    ) {
        let mut fleet = Fleet::new(&["a", "bb", "ccc"], 3, plan);
        for number in 0..20_000 {
            if number == when {
                fleet.transfer_other_version(elsewhere);
            }
            fleet.step(choices[number % choices.len()], Fault::None);
            if number > when && fleet.is_complete() {
                break;
            }
        }
        prop_assert!(fleet.is_complete());
    }

    // Guards against agents that wait for each other because they see different members: while five of 20 agents left,
    // the others read the target list before or after the change, and eight chunks reached nobody.
    #[test]
    fn completes_different_views(
        plan in plans(),
        choices in prop::collection::vec(any::<usize>(), 64),
        views in prop::collection::vec(prop::collection::vec(0..9usize, 3..9), 9),
    ) {
        let mut fleet = Fleet::new(&["a", "bb", "ccc"], 3, plan);
        for (number, view) in views.iter().enumerate() {
            fleet.set_visible_members(number, view);
        }
        for number in 0..60_000 {
            fleet.step(choices[number % choices.len()], Fault::None);
            if fleet.is_complete() {
                break;
            }
        }
        prop_assert!(fleet.is_complete());
    }

    // Guards against more copies from the origin than the plan requires when nothing fails.
    #[test]
    fn draws_by_plan(plan in plans(), choices in prop::collection::vec(any::<usize>(), 64)) {
        let mut fleet = Fleet::new(&["a", "bb", "ccc", "dddd"], 3, plan);
        for number in 0..20_000 {
            fleet.step(choices[number % choices.len()], Fault::None);
            if fleet.is_complete() {
                break;
            }
        }
        prop_assert!(fleet.is_complete());
        let copies = if plan == Plan::OriginBytes { 1 } else { 3 };
        prop_assert_eq!(fleet.drawn.values().sum::<usize>(), copies * 40);
    }
}
