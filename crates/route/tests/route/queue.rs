//! Tests of the queue: order, fairness and limits.
use yare::parameterized;

use crate::common::{Setup, class, config, ms, workspace};
use proptest::collection::vec;
use proptest::prelude::*;
use route::{Outcome, Reason};

/// Returns the classes of the next `count` dispatches, one at a time, while three requests of each workspace in
/// `refill` are kept waiting.
fn dispatch_classes(setup: &mut Setup, count: usize, refill: &[&str]) -> Vec<String> {
    let mut order = Vec::new();
    for _ in 0..count {
        for name in refill {
            while setup
                .router
                .waiting("desk")
                .get(&name[..name.len() - 2])
                .is_none_or(|n| *n < 3)
            {
                setup.submit(name).unwrap();
            }
        }
        let request = setup.poll_one();
        order.push(request.admission().class.clone());
        setup.answer(request);
    }
    order
}

fn count_class(order: &[String], class: &str) -> usize {
    order.iter().filter(|name| *name == class).count()
}

/// Guards against starvation of lower ranks: with urgent requests always waiting, every tenth dispatch goes to a lower
/// rank, and every tenth of those to the lowest.
#[test]
fn queue_floor_of_lower_ranks() {
    let mut setup = Setup::new(r#"{"per_target":1}"#);
    setup.add_open_targets(1);
    let order = dispatch_classes(&mut setup, 200, &["urgent-a", "standard-a", "bulk-a"]);
    assert_eq!(count_class(&order, "urgent"), 180, "{order:?}");
    assert_eq!(count_class(&order, "standard"), 18, "{order:?}");
    assert_eq!(count_class(&order, "bulk"), 2, "{order:?}");
}

/// Guards against weights that have no effect between classes of equal rank.
#[test]
fn queue_weights_of_equal_rank() {
    let mut setup = Setup::new(r#"{"per_target":1}"#);
    setup.add_open_targets(1);
    let order = dispatch_classes(&mut setup, 100, &["standard-a", "relaxed-a"]);
    let standard = count_class(&order, "standard");
    assert!(
        (79..=81).contains(&standard),
        "{standard} of 100 with weights 8 and 2"
    );
}

/// Guards against a workspace with many requests that delays another one of its class.
#[test]
fn queue_workspaces_take_turns() {
    let mut setup = Setup::new(r#"{"per_target":1}"#);
    setup.add_open_targets(1);
    for _ in 0..20 {
        setup.submit("urgent-a").unwrap();
    }
    let small = setup.submit("urgent-b").unwrap();
    let order: Vec<_> = (0..3)
        .map(|_| {
            let request = setup.poll_one();
            let id = request.id();
            setup.answer(request);
            id
        })
        .collect();
    assert!(order.contains(&small), "{order:?} lacks {small}");
}

/// Guards against refusing an urgent request because the queue is full of requests of lower ranks.
#[test]
fn queue_full_displaces_lower_rank() {
    let mut setup = Setup::new(r#"{"per_target":1,"queue":2}"#);
    setup.add_open_targets(1);
    setup.submit("bulk-a").unwrap();
    let busy = setup.poll_one();
    setup.submit("bulk-a").unwrap();
    let newest = setup.submit("bulk-a").unwrap();
    setup.submit("urgent-a").unwrap();
    let (_, done) = setup.poll();
    assert_eq!(done.len(), 1);
    assert_eq!(done[0].0, newest);
    assert!(matches!(&done[0].1, Outcome::NotRun(why) if why.refusal().reason == Reason::Queue));
    assert_eq!(setup.submit("bulk-a").unwrap_err().reason, Reason::Queue);
    drop(busy);
}

/// Guards against queueing a request whose expected wait already exceeds its deadline.
#[test]
fn queue_refuses_from_expected_wait() {
    let mut setup = Setup::new(r#"{"per_target":1}"#);
    setup.add_open_targets(1);
    setup.submit("urgent-a").unwrap();
    let request = setup.poll_one();
    setup.now += ms(1000);
    setup.report("t0", wire::Gate::Open, 1, 0);
    setup.answer(request);
    let accepted = (0..20)
        .take_while(|_| setup.submit("urgent-a").is_ok())
        .count();
    let refusal = setup.submit("urgent-a").unwrap_err();
    assert_eq!(refusal.reason, Reason::Wait);
    assert!(
        refusal.retry_after.is_some_and(|wait| wait >= ms(1000)),
        "{refusal:?}"
    );
    assert!(
        (4..=6).contains(&accepted),
        "{accepted} of 1 s each were accepted with 5 s to go"
    );
}

/// Guards against refusing a waiting request only at its deadline, when it could no longer be met before.
#[test]
fn queue_gives_up_before_deadline() {
    let mut setup = Setup::new(r#"{"per_target":1}"#);
    setup.add_open_targets(1);
    setup.submit("urgent-a").unwrap();
    let request = setup.poll_one();
    setup.now += ms(1000);
    setup.report("t0", wire::Gate::Open, 1, 0);
    setup.answer(request);
    setup.submit("urgent-a").unwrap();
    let busy = setup.poll_one();
    let waiting = setup.submit("urgent-a").unwrap();
    for _ in 0..4 {
        setup.now += ms(1000);
        setup.report("t0", wire::Gate::Open, 1, 0);
    }
    assert!(setup.poll().1.is_empty());
    setup.now += ms(1);
    let (_, done) = setup.poll();
    assert_eq!(done[0].0, waiting);
    assert!(matches!(&done[0].1, Outcome::NotRun(why) if why.refusal().reason == Reason::Deadline));
    drop(busy);
}

proptest! {
    #![proptest_config(config(200))]

    /// Guards against a rate limit that admits more than its burst and the tokens added since.
    #[test]
    fn limit_rate_never_exceeded(
        gaps in vec(0..200u64, 1..200),
        rate in 1..40u32,
        entries in 1..9u32,
    ) {
        let mut setup = Setup::new("{}");
        setup.add_open_targets(1);
        setup.router.set_entries(entries);
        setup.apply(&workspace("limited", "urgent", &format!(r#"{{"rate_per_s":{rate}}}"#)));
        let start = setup.now;
        let share = f64::from(rate) / f64::from(entries);
        let mut admitted = 0;
        for gap in gaps {
            setup.now += ms(gap);
            setup.report("t0", wire::Gate::Open, 0, 0);
            match setup.submit("limited") {
                Ok(_) => admitted += 1,
                Err(refusal) => prop_assert!(refusal.reason != Reason::Rate || refusal.retry_after.is_some()),
            }
            let most = share.max(1.0) + share * (setup.now - start).as_secs_f64() + 1e-6;
            prop_assert!(f64::from(admitted) <= most, "{} admitted, at most {}", admitted, most);
        }
    }

    /// Guards against a concurrency limit of a workspace that a burst exceeds or that isn't released.
    #[test]
    fn limit_concurrency_share(limit in 1..40u32, entries in 1..9u32, burst in 1..60usize) {
        let mut setup = Setup::new("{}");
        setup.add_open_targets(4);
        setup.router.set_entries(entries);
        setup.apply(&workspace("limited", "urgent", &format!(r#"{{"concurrent":{limit}}}"#)));
        let share = limit.div_ceil(entries) as usize;
        for _ in 0..2 {
            let admitted = (0..burst).filter(|_| setup.submit("limited").is_ok()).count();
            prop_assert_eq!(admitted, burst.min(share));
            while let (sent, _) = setup.poll() && !sent.is_empty() {
                for request in sent {
 setup.answer(request);
}
            }
        }
    }
}

/// Guards against a queue full of higher ranks that admits no requests of a lower one, whose minimum share of
/// dispatches would then go unused.
#[test]
fn queue_full_keeps_floor_of_lower_rank() {
    let mut setup = Setup::new(r#"{"per_target":1,"queue":20}"#);
    setup.add_open_targets(1);
    let mut bulk = 0;
    for _ in 0..200 {
        for name in ["urgent-a", "urgent-b", "standard-a", "bulk-a"] {
            let _ = setup.submit(name);
        }
        let (sent, _) = setup.poll();
        for request in sent {
            bulk += usize::from(request.admission().class == "bulk");
            setup.answer(request);
        }
    }
    assert!(bulk >= 2, "{bulk} of 200 dispatches");
}

/// Guards against refusals that report a shared limit as the caller's own, or the other way round.
#[parameterized(
    workspace_rate = { r#"{"rate_per_s":1}"#, "{}", "{}", Reason::Rate },
    workspace_concurrency = { r#"{"concurrent":1}"#, "{}", "{}", Reason::Concurrency },
    class_rate = { "{}", r#"{"rate_per_s":1}"#, "{}", Reason::SharedRate },
    class_concurrency = { "{}", r#"{"concurrent":1}"#, "{}", Reason::SharedConcurrency },
    service_rate = { "{}", "{}", r#"{"rate_per_s":1}"#, Reason::SharedRate },
)]
fn limit_reason_names_scope(own: &str, class_limits: &str, service_limits: &str, reason: Reason) {
    let mut setup = Setup::new(service_limits);
    setup.add_open_targets(1);
    setup.apply(&workspace("caller", "urgent", own));
    let limits = format!(r#""limits":{class_limits},"rank""#);
    setup.apply(&class("urgent", 0, 8).replace(r#""rank""#, &limits));
    setup.submit("caller").unwrap();
    assert_eq!(setup.submit("caller").unwrap_err().reason, reason);
}
