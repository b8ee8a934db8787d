//! Tests of requests that are restricted to the targets of some regions.

use std::rc::Rc;
use std::time::Instant;

use dispatch::{
    Decision, Failure, Homes, Load, Outcome, Reason, RegionMap, RequestContext, RequestKind,
    Scheduler,
};
use yare::parameterized;

use crate::support::{
    SLOTS, fill_budget, fill_engines, idle_load, ms, places, plain, scheduler, streaming, submit,
    target,
};

/// Returns a scheduler in the domain `north`, which is in the region `n`; `south` is in `s` and `other` in no region.
fn with_regions() -> Scheduler {
    let mut scheduler = scheduler();
    let regions = [("north", "n"), ("south", "s")];
    scheduler.set_regions(RegionMap::from(
        regions.map(|(domain, region)| (domain.to_owned(), region.to_owned())),
    ));
    scheduler
}

fn homes(regions: &[&str]) -> Option<Rc<Homes>> {
    let regions = regions.iter().map(|region| (*region).to_owned());
    Some(Rc::new(Homes::new(regions)))
}

fn at_home(work: RequestContext, regions: &[&str]) -> RequestContext {
    RequestContext {
        homes: homes(regions),
        ..work
    }
}

// Guards against requests that are sent to a target outside of their regions because it is nearer or the only one.
#[parameterized(
    far = { &["s"], Some("b") },
    near = { &["n"], Some("a") },
    elsewhere = { &["e"], None },
    none = { &[], None },
)]
fn choose_home(regions: &[&str], expected: Option<&str>) {
    let now = Instant::now();
    for base in [streaming(now), plain(now, RequestKind::NonIdempotent, 2)] {
        let mut scheduler = with_regions();
        scheduler.put_target(target("a", &base.service, "north"));
        scheduler.put_target(target("b", &base.service, "south"));
        scheduler.put_target(target("c", &base.service, "other"));
        let place = submit(&mut scheduler, now, at_home(base, regions));
        assert_eq!(place.map(|place| place.target).as_deref(), expected);
    }
}

// Guards against requests that wait until their deadline for a region without targets.
#[test]
fn no_home_rejected() {
    let now = Instant::now();
    let mut scheduler = with_regions();
    scheduler.put_target(target("a", "desk", "north"));
    let work = at_home(plain(now, RequestKind::Idempotent, 2), &["s"]);
    scheduler.submit(now, work);
    let decisions = scheduler.poll(now);
    let [
        Decision::Reject {
            reason,
            retry_after,
            ..
        },
    ] = decisions[..]
    else {
        panic!("{decisions:?}");
    };
    assert_eq!(reason, Reason::NoHome);
    assert!(retry_after > ms(0));
}

// Guards against retries and second attempts outside of a request's regions.
#[test]
fn retry_at_home() {
    let now = Instant::now();
    let mut scheduler = with_regions();
    for (id, domain) in [("a", "north"), ("b", "south"), ("c", "south")] {
        scheduler.put_target(target(id, "drafts", domain));
    }
    fill_budget(&mut scheduler, now);
    let work = at_home(streaming(now), &["s"]);
    let first = submit(&mut scheduler, now, work).unwrap();
    let mut again = first.work.clone();
    again.attempts_left = 3;
    let second = scheduler.place_concurrent(now, again).unwrap();
    let mut targets = [first.target.as_str(), second.target.as_str()];
    targets.sort_unstable();
    assert_eq!(targets, ["b", "c"]);
    assert!(
        scheduler
            .place_concurrent(now, second.work.clone())
            .is_none()
    );
    for place in [&first, &second] {
        let failed = Outcome::Failed(Failure::Refused);
        scheduler.record_end(now, place.request, failed);
    }
    scheduler
        .retry(now, second.work, Failure::Refused)
        .expect("an attempt is left");
    assert_eq!(places(scheduler.poll(now)), []);
}

// Guards against streams that are moved out of their regions, when their target is about to change its weights.
#[parameterized(
    home = { &["n", "s"], true },
    elsewhere = { &["n"], false },
)]
fn move_stays_home(regions: &[&str], moved: bool) {
    let start = Instant::now();
    let mut scheduler = with_regions();
    scheduler.put_target(target("a", "drafts", "north"));
    fill_budget(&mut scheduler, start);
    let work = at_home(streaming(start), regions);
    let place = submit(&mut scheduler, start, work).unwrap();
    scheduler.record_first_event(start, place.request, Some(1));
    scheduler.put_target(target("b", "drafts", "south"));
    let closed = Load {
        accepting: false,
        ..idle_load()
    };
    scheduler.report_answer_load(start, "a", closed);
    let decisions = scheduler.poll(start + ms(300));
    let is_move = |decision: &Decision| matches!(decision, Decision::Move { .. });
    assert_eq!(decisions.iter().any(is_move), moved);
}

// Guards against a busy region whose waiting requests keep those of another region from its free targets, by taking
// their place in the queue or by their forecast.
#[test]
fn busy_region_apart() {
    let start = Instant::now();
    let mut scheduler = with_regions();
    scheduler.put_target(target("a", "drafts", "north"));
    let placed = fill_engines(&mut scheduler, start);
    assert!(placed.len() >= SLOTS as usize);
    let northern = |now| at_home(streaming(now), &["n"]);
    for _ in 0..100 {
        scheduler.submit(start, northern(start));
    }
    scheduler.poll(start);
    // Two placements of requests that waited make a forecast for their region.
    let mut now = start;
    for place in placed.iter().take(2) {
        now += ms(60);
        scheduler.record_end(now, place.request, Outcome::Answered);
        assert_eq!(places(scheduler.poll(now)).len(), 1);
    }
    scheduler.put_target(target("b", "drafts", "south"));
    let late = scheduler.submit(now, northern(now));
    let southern = scheduler.submit(now, at_home(streaming(now), &["s"]));
    let decisions = scheduler.poll(now);
    let rejected = |decision: &Decision| matches!(decision, Decision::Reject { request, .. } if *request == late);
    assert!(decisions.iter().any(rejected), "{decisions:?}");
    let placed = places(decisions);
    let found: Vec<_> = placed
        .iter()
        .map(|place| (place.request, &*place.target))
        .collect();
    assert_eq!(found, [(southern, "b")]);
}
