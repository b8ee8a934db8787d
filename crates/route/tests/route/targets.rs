//! Tests of target choice, retries and calls with idempotency keys.

use crate::common::{Setup, config, ms};
use gossip::Phase;
use proptest::prelude::*;
use route::{Concurrency, Failure, Outcome, Reason, State, Submission, Unknown};
use wire::Gate;
use yare::parameterized;

/// Guards against requests to a target that has stopped reporting, or is closed, draining, leaving or down.
#[parameterized(
    suspect = { 2000, Gate::Open, Phase::Live, State::Suspect },
    long_silent = { 7999, Gate::Open, Phase::Live, State::Suspect },
    closed = { 0, Gate::Closed, Phase::Live, State::Closed },
    draining = { 0, Gate::Draining, Phase::Live, State::Closed },
    leaving = { 0, Gate::Open, Phase::Leaving, State::Leaving },
    down_and_silent = { 2000, Gate::Open, Phase::Down, State::Down },
    down_and_closed = { 0, Gate::Closed, Phase::Down, State::Down },
)]
fn target_state_gets_no_work(silent: u64, gate: Gate, phase: Phase, expected: State) {
    let mut setup = Setup::new("{}");
    setup.add_open_targets(1);
    setup.report("t0", gate, 0, 0);
    setup.put_member("t0", "desk", "levis", phase);
    setup.now += ms(silent);
    let state = setup
        .router
        .pool("desk")
        .unwrap()
        .get("t0")
        .unwrap()
        .state(setup.now);
    assert_eq!(state, expected);
    assert_eq!(setup.submit("urgent-a").unwrap_err().reason, Reason::Target);
}

/// Guards against refusals after a network partition, while the other side still marks the targets here as down.
#[test]
fn target_state_reports_while_down() {
    let mut setup = Setup::new("{}");
    setup.add_open_targets(1);
    setup.report("t0", Gate::Open, 0, 0);
    setup.put_member("t0", "desk", "levis", Phase::Down);
    setup.now += ms(1999);
    setup.submit("urgent-a").unwrap();
    assert_eq!(setup.poll().0.len(), 1);
}

/// Guards against never using a target again because it now reports to other entries.
#[test]
fn target_state_reports_elsewhere() {
    let mut setup = Setup::new("{}");
    setup.add_open_targets(1);
    setup.report("t0", Gate::Closed, 0, 0);
    setup.now += ms(8000);
    setup.submit("urgent-a").unwrap();
    assert_eq!(setup.poll().0.len(), 1);
}

/// Guards against refusing calls with keys for seconds because their live owner now reports to other entries.
#[test]
fn target_state_turned_elsewhere() {
    let mut setup = Setup::new("{}");
    setup.add_open_targets(2);
    for target in ["t0", "t1"] {
        setup.report(target, Gate::Open, 0, 0);
    }
    setup.router.set_expected_reporters(["t1".into()].into());
    setup.now += ms(2000);
    let states = ["t0", "t1"].map(|name| {
        let pool = setup.router.pool("desk").unwrap();
        pool.get(name).unwrap().state(setup.now)
    });
    assert_eq!(states, [State::Unreported, State::Suspect]);
}

/// Guards against refusing a call with a key because its owner once reported here and now reports to other entries.
#[parameterized(
    elsewhere = { &[], true },
    due = { &["b1"], false },
)]
fn keyed_owner_reports_elsewhere(reporters: &[&str], sent: bool) {
    let mut setup = Setup::new("{}");
    for name in ["b0", "b1"] {
        setup.put_member(name, "bookings", "levis", Phase::Live);
        setup.report(name, Gate::Open, 0, 0);
    }
    let names = reporters.iter().copied().chain(["b0"]);
    setup
        .router
        .set_expected_reporters(names.map(String::from).collect());
    setup.now += ms(3000);
    setup.report("b0", Gate::Open, 0, 0);
    setup.submit_keyed(3);
    let request = setup.poll_one();
    assert_eq!(request.target(), "b0");
    setup.fail(request, Failure::OwnedElsewhere("b1".into()));
    let (placed, refused) = setup.poll();
    assert_eq!(
        (placed.len(), refused.len()),
        if sent { (1, 0) } else { (0, 1) }
    );
}

/// Guards against requests to other failure domains while the entry's own has an open target, even a busy one.
#[test]
fn target_own_domain_first() {
    let mut setup = Setup::new(r#"{"per_target":2}"#);
    setup.add_open_targets(1);
    setup.put_member("far", "desk", "beauce", Phase::Live);
    setup.report("far", Gate::Open, 0, 0);
    for _ in 0..4 {
        setup.submit("urgent-a").unwrap();
    }
    let (sent, _) = setup.poll();
    assert_eq!(
        sent.iter()
            .map(|request| request.target())
            .collect::<Vec<_>>(),
        ["t0", "t0"]
    );
    setup.report("t0", Gate::Closed, 0, 0);
    let (sent, _) = setup.poll();
    assert_eq!(
        sent.iter()
            .map(|request| request.target())
            .collect::<Vec<_>>(),
        ["far", "far"]
    );
}

/// Guards against a thundering herd: requests sent since a target's last report must count towards its load.
#[test]
fn target_lagging_reports_count_own() {
    let mut setup = Setup::new(r#"{"per_target":10}"#);
    setup.add_open_targets(2);
    setup.report("t0", Gate::Open, 4, 0);
    for _ in 0..12 {
        setup.submit("urgent-a").unwrap();
    }
    let (sent, _) = setup.poll();
    let on_t0 = sent
        .iter()
        .filter(|request| request.target() == "t0")
        .count();
    assert_eq!(on_t0, 4, "both targets must end with a load of 8");
}

/// Guards against starvation of an entry while other entries keep a target full: it may always use its share.
#[test]
fn target_full_by_others_leaves_share() {
    let mut setup = Setup::new(r#"{"per_target":8}"#);
    setup.add_open_targets(1);
    setup.router.set_entries(4);
    setup.report("t0", Gate::Open, 8, 0);
    for _ in 0..5 {
        setup.submit("urgent-a").unwrap();
    }
    assert_eq!(setup.poll().0.len(), 2, "a quarter of the limit of 8");
}

/// Guards against prefix affinity that overloads one target while others are idle.
#[test]
fn target_affinity_yields_under_load() {
    let mut setup = Setup::new(r#"{"per_target":10}"#);
    setup.add_open_targets(4);
    let submission = Submission {
        workspace: "urgent-a",
        service: "desk",
        prefix_hash: Some(42),
        ..Submission::default()
    };
    let mut names = Vec::new();
    for _ in 0..5 {
        setup.router.submit(setup.now, &submission).unwrap();
        let request = setup.poll_one();
        names.push(request.target().to_owned());
        setup.answer(request);
    }
    names.dedup();
    assert_eq!(
        names.len(),
        1,
        "a prefix must keep its target while all are idle, got {names:?}"
    );
    let mut held = Vec::new();
    for _ in 0..16 {
        setup.router.submit(setup.now, &submission).unwrap();
        held.push(setup.poll_one());
    }
    let preferred = held
        .iter()
        .filter(|request| request.target() == names[0])
        .count();
    assert!(
        (4..=6).contains(&preferred),
        "{preferred} of 16 on one of 4 targets"
    );
}

/// Guards against a limit that collapses after one burst of refusals or leaves its bounds.
#[test]
fn concurrency_adapts_within_bounds() {
    let now = std::time::Instant::now();
    let mut limit = Concurrency::new(Some(10));
    limit.record_overload(now + ms(10), now);
    limit.record_overload(now + ms(11), now);
    assert_eq!(
        limit.limit(),
        7,
        "requests sent before the last decrease must not lower the limit again"
    );
    for round in 2..50 {
        limit.record_overload(now + ms(20 * round), now + ms(20 * round - 1));
    }
    assert_eq!(limit.limit(), 1);
    (0..200).for_each(|_| limit.record_in_time());
    assert_eq!(limit.limit(), 10);
}

/// Guards against a limit that keeps its initial value because the target was known before its service.
#[test]
fn concurrency_follows_catalogue() {
    let now = std::time::Instant::now();
    let mut limit = Concurrency::new(None);
    limit.set_ceiling(Some(300));
    assert_eq!(limit.limit(), 300);
    limit.set_ceiling(Some(100));
    assert_eq!(limit.limit(), 100);
    limit.record_overload(now + ms(10), now);
    limit.set_ceiling(Some(300));
    assert_eq!(
        limit.limit(),
        70,
        "the decrease after an overload must be kept"
    );
}

/// Guards against requests that wait for seconds for an idle target because its limit rises by one per window.
#[test]
fn concurrency_rises_fast_until_overloaded() {
    let now = std::time::Instant::now();
    let mut limit = Concurrency::new(None);
    let first = limit.limit();
    (0..first).for_each(|_| limit.record_in_time());
    assert_eq!(limit.limit(), 2 * first);
    limit.record_overload(now + ms(10), now);
    let cut = limit.limit();
    (0..cut).for_each(|_| limit.record_in_time());
    assert_eq!(limit.limit(), cut + 1);
}

/// Guards against sending a model request to other weights, and against an outage of a service while its targets
/// switch: the replaced pin is accepted until three quarters have switched.
#[parameterized(
    none_switched = { 0, &["old"] },
    half_switched = { 2, &["old", "new"] },
    most_switched = { 3, &["new"] },
)]
fn target_pin_during_switch(switched: usize, expected: &[&str]) {
    let mut setup = Setup::new("{}");
    let (old, new) = (weights::Digest::of(b"old"), weights::Digest::of(b"new"));
    for digest in [old, new] {
        setup.apply(&model(digest, "[]"));
    }
    expect_sent(setup, switched, expected);
}

/// Guards against an entry that starts during a switch and refuses requests that the old weights could serve.
#[parameterized(
    none_switched = { 0, &["old"] },
    half_switched = { 2, &["old", "new"] },
    most_switched = { 3, &["new"] },
)]
fn target_pin_started_during_switch(switched: usize, expected: &[&str]) {
    let mut setup = Setup::new("{}");
    let (old, new) = (weights::Digest::of(b"old"), weights::Digest::of(b"new"));
    setup.apply(&model(new, &replaced_by(old)));
    assert!(!setup.router.has_weight_reports(setup.now));
    setup.put_member("t0", "desk", "levis", Phase::Live);
    assert!(
        !setup.router.has_weight_reports(setup.now),
        "a target without a report"
    );
    expect_sent(setup, switched, expected);
}

fn model(digest: weights::Digest, replaced: &str) -> String {
    format!(
        r#"{{"kind":"service","name":"desk","owner":"ops","class":"urgent","backend":"model",
        "repeatable":true,"deadline_ms":5000,"limits":{{"per_target":5}},
        "model":{{"name":"m","version":"v","digest":"{digest}","plan":"direct","replaced":{replaced}}}}}"#
    )
}

/// Guards against errors when a target that reports to other entries serves a replaced pin: a retry that costs budget,
/// a target that gets no more requests, and an assumed pin that is refused repeatedly.
#[test]
fn target_unreported_pin_is_learnt() {
    let mut setup = Setup::new("{}");
    let (old, new) = (weights::Digest::of(b"old"), weights::Digest::of(b"new"));
    setup.apply(&model(old, "[]"));
    setup.put_member("t0", "desk", "levis", Phase::Live);
    setup.submit("urgent-a").unwrap();
    let request = setup.poll_one();
    setup.answer(request);
    setup.apply(&model(new, &replaced_by(old)));
    for (served, attempts) in [(old, 1), (new, 2), (new, 1)] {
        setup.submit("urgent-a").unwrap();
        let mut request = setup.poll_one();
        while request.pin().unwrap().digest != served {
            setup.fail(request, Failure::WeightsMismatch(served.prefix()));
            request = setup.poll_one();
        }
        assert_eq!(request.attempts(), attempts);
        setup.answer(request);
    }
}

/// Guards against sending a pin that isn't accepted because a refusal names it.
#[test]
fn target_unreported_pin_unknown() {
    let mut setup = Setup::new("{}");
    setup.apply(&model(weights::Digest::of(b"new"), "[]"));
    setup.put_member("t0", "desk", "levis", Phase::Live);
    setup.submit("urgent-a").unwrap();
    let request = setup.poll_one();
    let other = weights::Digest::of(b"other").prefix();
    setup.fail(request, Failure::WeightsMismatch(other));
    assert!(matches!(&setup.poll().1[..], [(_, Outcome::NotRun(_))]));
    assert_eq!(setup.submit("urgent-a").unwrap_err().reason, Reason::Target);
}

proptest! {
    #![proptest_config(config(200))]

    /// Guards against requests with pins that are no longer accepted, against more than one refusal per switch of a
    /// target that doesn't report here, and against refusals that the caller sees.
    #[test]
    fn target_unreported_switches(
        steps in proptest::collection::vec((0..4usize, proptest::bool::weighted(0.2), 0..400u64), 1..80),
    ) {
        let mut setup = Setup::new("{}");
        let digests = [b"old", b"new"].map(|name| weights::Digest::of(name));
        setup.apply(&model(digests[1], &replaced_by(digests[0])));
        (0..4).for_each(|index| setup.put_member(&format!("t{index}"), "desk", "levis", Phase::Live));
        let (mut serves, mut refused) = ([0usize; 4], [0u32; 4]);
        for (index, switches, gap) in steps {
            setup.now += ms(gap);
            if switches {
                serves[index] = 1;
            }
            setup.submit("urgent-a").unwrap();
            loop {
                let request = setup.poll_one();
                let target: usize = request.target()[1..].parse().unwrap();
                let digest = request.pin().unwrap().digest;
                prop_assert!(digests.contains(&digest));
                if digest == digests[serves[target]] {
                    setup.answer(request);
                    break;
                }
                refused[target] += 1;
                setup.fail(request, Failure::WeightsMismatch(digests[serves[target]].prefix()));
            }
        }
        for index in 0..4 {
            // The first guess is the current pin of the catalogue, which a target with the old weights refuses once.
            prop_assert!(refused[index] <= 1 + serves[index] as u32, "refused {:?}", refused);
        }
    }
}

fn replaced_by(digest: weights::Digest) -> String {
    format!(r#"[{{"model":"m","version":"v","digest":"{digest}"}}]"#)
}

/// Asserts that requests use the `expected` pins when the first `switched` of four open targets serve the new weights.
fn expect_sent(mut setup: Setup, switched: usize, expected: &[&str]) {
    let (old, new) = (weights::Digest::of(b"old"), weights::Digest::of(b"new"));
    for index in 0..5 {
        let name = format!("t{index}");
        setup.put_member(&name, "desk", "levis", Phase::Live);
        let weights = match index {
            4 => weights::Digest::of(b"other"),
            _ if index < switched => new,
            _ => old,
        };
        let gate = if index == 4 { Gate::Closed } else { Gate::Open };
        setup.report_weights(&name, gate, 0, 0, Some(weights.prefix()));
    }
    assert!(setup.router.has_weight_reports(setup.now));
    for _ in 0..20 {
        setup.submit("urgent-a").unwrap();
    }
    let (sent, _) = setup.poll();
    let mut seen: Vec<_> = sent
        .iter()
        .map(|request| {
            let index: usize = request.target()[1..].parse().unwrap();
            let digest = request.pin().unwrap().digest;
            assert_eq!(digest, if index < switched { new } else { old });
            if digest == old { "old" } else { "new" }
        })
        .collect();
    seen.sort_by(|one, other| other.cmp(one));
    seen.dedup();
    assert_eq!(seen, expected);
}

/// Guards against running a call twice: a call with a key whose connection broke goes to the same owner once more. Its
/// outcome is then unknown, even if that owner reports it as not run.
#[test]
fn keyed_lost_asks_same_owner_once() {
    let mut setup = Setup::new("{}");
    for name in ["b0", "b1"] {
        setup.put_member(name, "bookings", "levis", Phase::Live);
    }
    setup.report("b0", Gate::Open, 0, 0b10);
    setup.report("b1", Gate::Open, 0, 0b01);
    for last in [
        Failure::ConnectionLost,
        Failure::Overloaded,
        Failure::Closed,
    ] {
        let id = setup.submit_keyed(1);
        let request = setup.poll_one();
        assert_eq!(request.target(), "b0");
        setup.fail(request, Failure::ConnectionLost);
        let again = setup.poll_one();
        assert_eq!(again.target(), "b0");
        setup.fail(again, last);
        assert_eq!(setup.poll().1, [(id, Outcome::Unknown(Unknown::Lost))]);
        setup.report("b0", Gate::Open, 0, 0b10);
    }
}

/// Guards against redirect loops between agents: a call with a key is redirected to the named owner only once.
#[test]
fn keyed_follows_owner_once() {
    let mut setup = Setup::new("{}");
    for name in ["b0", "b1"] {
        setup.put_member(name, "bookings", "levis", Phase::Live);
        setup.report(name, Gate::Open, 0, 0);
    }
    setup.submit_keyed(1);
    let request = setup.poll_one();
    let owner = if request.target() == "b0" { "b1" } else { "b0" };
    setup.fail(request, Failure::OwnedElsewhere(owner.into()));
    let request = setup.poll_one();
    assert_eq!(request.target(), owner);
    let other = if owner == "b0" { "b1" } else { "b0" };
    setup.fail(request, Failure::OwnedElsewhere(other.into()));
    let (sent, done) = setup.poll();
    assert!(sent.iter().all(|request| request.target() == owner));
    assert!(
        done.iter()
            .all(|(_, outcome)| matches!(outcome, Outcome::NotRun(_)))
    );
}

/// Guards against reporting a repeatable call as not run after one of its attempts may have run.
#[test]
fn repeatable_retry_after_lost_stays_unknown() {
    let mut setup = Setup::new("{}");
    setup.add_open_targets(3);
    let id = setup.submit("urgent-a").unwrap();
    let request = setup.poll_one();
    setup.fail(request, Failure::ConnectionLost);
    let request = setup.poll_one();
    setup.fail(request, Failure::Overloaded);
    assert_eq!(setup.poll().1, [(id, Outcome::Unknown(Unknown::Lost))]);
}

proptest! {
    #![proptest_config(config(100))]

    /// Guards against retry storms: when all targets refuse, retries stay within the budget.
    #[test]
    fn retries_within_budget_when_all_refuse(
        answered in 0..200u32,
        gaps in proptest::collection::vec(0..50u64, 1..300),
    ) {
        let mut setup = Setup::new("{}");
        setup.add_open_targets(5);
        let start = setup.now;
        for _ in 0..answered {
            setup.submit("urgent-a").unwrap();
            let request = setup.poll_one();
            setup.answer(request);
        }
        let mut retries = 0;
        for gap in gaps {
            setup.now += ms(gap);
            (0..5).for_each(|index| setup.report(&format!("t{index}"), Gate::Open, 0, 0));
            setup.submit("urgent-a").unwrap();
            while let (sent, _) = setup.poll() && !sent.is_empty() {
                for request in sent {
                    retries += u32::from(request.attempts() > 1);
                    prop_assert!(request.attempts() <= 3);
                    setup.fail(request, Failure::Overloaded);
                }
            }
        }
        let passed = (setup.now - start).as_secs_f64();
        let most = 1.0 + 0.1 * f64::from(answered) + passed + 1e-6;
        prop_assert!(f64::from(retries) <= most, "{} retries, at most {}", retries, most);
    }
}

/// Guards against a caller that lowers a target's limit for all others by setting deadlines that no target can meet.
#[parameterized(
    short_deadline = { 10, 10 },
    late = { 3000, 7 },
)]
fn target_limit_after_timeout(waited: u64, limit: u32) {
    let mut setup = Setup::new(r#"{"per_target":10}"#);
    setup.add_open_targets(1);
    setup.submit("urgent-a").unwrap();
    let request = setup.poll_one();
    setup.now += ms(waited);
    setup.fail(request, Failure::TimedOut);
    setup.report("t0", Gate::Open, 0, 0);
    let mut sent = Vec::new();
    while let Ok(_) = setup.submit("urgent-a")
        && let (mut placed, _) = setup.poll()
        && !placed.is_empty()
    {
        sent.append(&mut placed);
    }
    assert_eq!(sent.len() as u32, limit);
}

/// Guards against an entry that keeps sending to a target that refuses and reports only to other entries.
#[test]
fn target_unreported_is_left_alone_after_refusal() {
    let mut setup = Setup::new("{}");
    setup.put_member("far", "desk", "beauce", Phase::Live);
    let id = setup.submit("urgent-a").unwrap();
    let request = setup.poll_one();
    setup.fail(request, Failure::Closed);
    assert!(matches!(&setup.poll().1[..], [(done, Outcome::NotRun(_))] if *done == id));
    assert_eq!(setup.submit("urgent-a").unwrap_err().reason, Reason::Target);
    setup.now += ms(2000);
    assert!(setup.submit("urgent-a").is_ok());
}

/// Guards against requests to a target without a member record, and against one in progress on it that never ends.
#[test]
fn remove_target_in_progress() {
    let mut setup = Setup::new("{}");
    setup.add_open_targets(1);
    setup.submit("urgent-a").unwrap();
    let request = setup.poll_one();
    setup.router.remove_target("t0");
    assert!(setup.router.pool("desk").unwrap().get("t0").is_none());
    assert_eq!(setup.answer(request), Outcome::Answered);
    setup.report("t0", Gate::Open, 0, 0);
    assert_eq!(setup.submit("urgent-a").unwrap_err().reason, Reason::Target);
    setup.add_open_targets(1);
    setup.submit("urgent-a").unwrap();
    setup.poll_one();
}

/// Guards against a refusal while live targets are left: after the loss of a rack, more of its targets may be chosen
/// than attempts are allowed before they are known to be down.
#[test]
fn unreached_targets_cost_no_attempt() {
    let mut setup = Setup::new("{}");
    setup.add_open_targets(6);
    setup.submit("urgent-a").unwrap();
    let first = setup.poll_one();
    setup.answer(first);
    // The time refills the retry budget.
    setup.now += ms(9000);
    setup.add_open_targets(6);
    setup.submit("urgent-a").unwrap();
    for _ in 0..5 {
        let request = setup.poll_one();
        setup.fail(request, Failure::NotConnected);
    }
    let last = setup.poll_one();
    assert!(matches!(setup.answer(last), Outcome::Answered));
}

/// Guards against endless retries: the retry budget also applies to targets that can't be reached.
#[test]
fn unreached_targets_cost_budget() {
    let mut setup = Setup::new("{}");
    setup.add_open_targets(6);
    setup.submit("urgent-a").unwrap();
    for _ in 0..2 {
        let request = setup.poll_one();
        setup.fail(request, Failure::NotConnected);
    }
    let (sent, done) = setup.poll();
    assert_eq!((sent.len(), done.len()), (0, 1));
}
