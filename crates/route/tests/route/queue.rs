//! Order, fairness and bounds of the queue.
use yare::parameterized;

use crate::common::{World, class, config, ms, workspace};
use proptest::collection::vec;
use proptest::prelude::*;
use route::{Outcome, Reason};

/// Returns the classes of the next `count` dispatches through a single place, as the queue is kept as `refill` says.
fn dispatched(world: &mut World, count: usize, refill: &[&str]) -> Vec<String> {
    let mut order = Vec::new();
    for _ in 0..count {
        for name in refill {
            while world
                .router
                .waiting("desk")
                .get(&name[..name.len() - 2])
                .is_none_or(|n| *n < 3)
            {
                world.submit(name).unwrap();
            }
        }
        let request = world.poll_one();
        order.push(request.admission().class.clone());
        world.answer(request);
    }
    order
}

fn share_of(order: &[String], class: &str) -> usize {
    order.iter().filter(|name| *name == class).count()
}

/// Guards against starvation: with urgent requests always waiting, every tenth dispatch goes to a lower rank, and every
/// tenth of those to the lowest.
#[test]
fn queue_floor_of_lower_ranks() {
    let mut world = World::new(r#"{"per_target":1}"#);
    world.targets(1);
    let order = dispatched(&mut world, 200, &["urgent-a", "standard-a", "bulk-a"]);
    assert_eq!(share_of(&order, "urgent"), 180, "{order:?}");
    assert_eq!(share_of(&order, "standard"), 18, "{order:?}");
    assert_eq!(share_of(&order, "bulk"), 2, "{order:?}");
}

/// Guards against a weight that has no effect between classes of equal rank.
#[test]
fn queue_weights_of_equal_rank() {
    let mut world = World::new(r#"{"per_target":1}"#);
    world.targets(1);
    let order = dispatched(&mut world, 100, &["standard-a", "relaxed-a"]);
    let standard = share_of(&order, "standard");
    assert!(
        (79..=81).contains(&standard),
        "{standard} of 100 with weights 8 and 2"
    );
}

/// Guards against a large workspace that delays a small one of its class.
#[test]
fn queue_workspaces_take_turns() {
    let mut world = World::new(r#"{"per_target":1}"#);
    world.targets(1);
    for _ in 0..20 {
        world.submit("urgent-a").unwrap();
    }
    let small = world.submit("urgent-b").unwrap();
    let order: Vec<_> = (0..3)
        .map(|_| {
            let request = world.poll_one();
            let id = request.id();
            world.answer(request);
            id
        })
        .collect();
    assert!(order.contains(&small), "{order:?} lacks {small}");
}

/// Guards against an urgent request refused for a queue that is full of lower classes.
#[test]
fn queue_full_displaces_lower_rank() {
    let mut world = World::new(r#"{"per_target":1,"queue":2}"#);
    world.targets(1);
    world.submit("bulk-a").unwrap();
    let busy = world.poll_one();
    world.submit("bulk-a").unwrap();
    let newest = world.submit("bulk-a").unwrap();
    world.submit("urgent-a").unwrap();
    let (_, done) = world.poll();
    assert_eq!(done.len(), 1);
    assert_eq!(done[0].0, newest);
    assert!(matches!(&done[0].1, Outcome::NotRun(why) if why.refusal().reason == Reason::Queue));
    assert_eq!(world.submit("bulk-a").unwrap_err().reason, Reason::Queue);
    drop(busy);
}

/// Guards against a refusal that is held back although the wait is known to exceed the deadline.
#[test]
fn queue_refuses_from_expected_wait() {
    let mut world = World::new(r#"{"per_target":1}"#);
    world.targets(1);
    world.submit("urgent-a").unwrap();
    let request = world.poll_one();
    world.now += ms(1000);
    world.report("t0", wire::Gate::Open, 1, 0);
    world.answer(request);
    let accepted = (0..20)
        .take_while(|_| world.submit("urgent-a").is_ok())
        .count();
    let refusal = world.submit("urgent-a").unwrap_err();
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

/// Guards against a waiting request that is refused only at its deadline when it can't be met any more.
#[test]
fn queue_gives_up_before_deadline() {
    let mut world = World::new(r#"{"per_target":1}"#);
    world.targets(1);
    world.submit("urgent-a").unwrap();
    let request = world.poll_one();
    world.now += ms(1000);
    world.report("t0", wire::Gate::Open, 1, 0);
    world.answer(request);
    world.submit("urgent-a").unwrap();
    let busy = world.poll_one();
    let waiting = world.submit("urgent-a").unwrap();
    for _ in 0..4 {
        world.now += ms(1000);
        world.report("t0", wire::Gate::Open, 1, 0);
    }
    assert!(world.poll().1.is_empty());
    world.now += ms(1);
    let (_, done) = world.poll();
    assert_eq!(done[0].0, waiting);
    assert!(matches!(&done[0].1, Outcome::NotRun(why) if why.refusal().reason == Reason::Deadline));
    drop(busy);
}

proptest! {
    #![proptest_config(config(200))]

    /// Guards against a rate limit that admits more than its burst and what the time adds.
    #[test]
    fn limit_rate_never_exceeded(
        gaps in vec(0..200u64, 1..200),
        rate in 1..40u32,
        entries in 1..9u32,
    ) {
        let mut world = World::new("{}");
        world.targets(1);
        world.router.set_entries(entries);
        world.apply(&workspace("limited", "urgent", &format!(r#"{{"rate_per_s":{rate}}}"#)));
        let start = world.now;
        let share = f64::from(rate) / f64::from(entries);
        let mut admitted = 0;
        for gap in gaps {
            world.now += ms(gap);
            world.report("t0", wire::Gate::Open, 0, 0);
            match world.submit("limited") {
                Ok(_) => admitted += 1,
                Err(refusal) => prop_assert!(refusal.reason != Reason::Rate || refusal.retry_after.is_some()),
            }
            let most = share.max(1.0) + share * (world.now - start).as_secs_f64() + 1e-6;
            prop_assert!(f64::from(admitted) <= most, "{} admitted, at most {}", admitted, most);
        }
    }

    /// Guards against a concurrency limit of a workspace that a burst exceeds or that isn't released.
    #[test]
    fn limit_concurrency_share(limit in 1..40u32, entries in 1..9u32, burst in 1..60usize) {
        let mut world = World::new("{}");
        world.targets(4);
        world.router.set_entries(entries);
        world.apply(&workspace("limited", "urgent", &format!(r#"{{"concurrent":{limit}}}"#)));
        let share = limit.div_ceil(entries) as usize;
        for _ in 0..2 {
            let admitted = (0..burst).filter(|_| world.submit("limited").is_ok()).count();
            prop_assert_eq!(admitted, burst.min(share));
            while let (sent, _) = world.poll() && !sent.is_empty() {
                for request in sent {
 world.answer(request);
}
            }
        }
    }
}

/// Guards against a lower rank that a queue full of higher ones shuts out, so that its floor stays unused.
#[test]
fn queue_full_keeps_floor_of_lower_rank() {
    let mut world = World::new(r#"{"per_target":1,"queue":20}"#);
    world.targets(1);
    let mut bulk = 0;
    for _ in 0..200 {
        for name in ["urgent-a", "urgent-b", "standard-a", "bulk-a"] {
            let _ = world.submit(name);
        }
        let (sent, _) = world.poll();
        for request in sent {
            bulk += usize::from(request.admission().class == "bulk");
            world.answer(request);
        }
    }
    assert!(bulk >= 2, "{bulk} of 200 dispatches");
}

/// Guards against a limit that callers share and that is reported as the caller's own, or the other way round.
#[parameterized(
    workspace_rate = { r#"{"rate_per_s":1}"#, "{}", "{}", Reason::Rate },
    workspace_concurrency = { r#"{"concurrent":1}"#, "{}", "{}", Reason::Concurrency },
    class_rate = { "{}", r#"{"rate_per_s":1}"#, "{}", Reason::SharedRate },
    class_concurrency = { "{}", r#"{"concurrent":1}"#, "{}", Reason::SharedConcurrency },
    service_rate = { "{}", "{}", r#"{"rate_per_s":1}"#, Reason::SharedRate },
)]
fn limit_reason_names_scope(own: &str, class_limits: &str, service_limits: &str, reason: Reason) {
    let mut world = World::new(service_limits);
    world.targets(1);
    world.apply(&workspace("caller", "urgent", own));
    let limits = format!(r#""limits":{class_limits},"rank""#);
    world.apply(&class("urgent", 0, 8).replace(r#""rank""#, &limits));
    world.submit("caller").unwrap();
    assert_eq!(world.submit("caller").unwrap_err().reason, reason);
}
