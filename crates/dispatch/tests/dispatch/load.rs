//! Replays of load patterns: what waits, what is refused and when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use dispatch::{Decision, Load, Outcome, Reason, RequestId, Scheduler, Work};

use crate::support::{OBJECTIVE, SLOTS, draft, fill, idle, ms, scheduler, target};

const STEP: Duration = Duration::from_millis(5);

/// What became of the requests of a replay.
#[derive(Debug, Default)]
struct Result {
    in_time: usize,
    late: usize,
    refused: usize,
    /// Longest time that a request waited before it was refused.
    held: Duration,
}

/// Engines that serve each request for `service` and tell their load every 100 ms, and callers that arrive at `rate` a
/// second for `time`. Those who are refused once come back when they were told to if `return_once` is set.
fn replay(
    scheduler: &mut Scheduler,
    rate: impl Fn(Duration) -> f64,
    time: Duration,
    service: Duration,
    return_once: bool,
) -> Result {
    let start = Instant::now();
    let mut result = Result::default();
    let mut arrivals = 0.0;
    let mut arrived: BTreeMap<RequestId, Instant> = BTreeMap::new();
    let mut running: Vec<(Instant, RequestId, String)> = Vec::new();
    let mut returning: Vec<(Instant, Instant)> = Vec::new();
    let mut returned: BTreeSet<RequestId> = BTreeSet::new();
    let mut now = start;
    let mut reported = start;
    while now < start + time {
        arrivals += rate(now - start) * STEP.as_secs_f64();
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let id = scheduler.submit(now, draft(now));
            arrived.insert(id, now);
        }
        let (due, later): (Vec<_>, Vec<_>) = returning.into_iter().partition(|(at, _)| *at <= now);
        returning = later;
        for (_, first) in due {
            let work = Work {
                waited: now - first,
                deadline: draft(first).deadline,
                ..draft(now)
            };
            let id = scheduler.submit(now, work);
            arrived.insert(id, now);
            returned.insert(id);
        }
        let (done, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = rest;
        for (_, id, _) in done {
            scheduler.ended(now, id, Outcome::Answered);
        }
        for decision in scheduler.poll(now) {
            match decision {
                Decision::Send(place) => {
                    let ahead = place.load.saturating_sub(SLOTS - 1);
                    let wait = service.mul_f64(f64::from(ahead) / f64::from(SLOTS));
                    let first = now + wait + ms(80);
                    let in_time = first <= arrived[&place.request] + OBJECTIVE;
                    match in_time && !returned.contains(&place.request) {
                        true => result.in_time += 1,
                        false => result.late += 1,
                    }
                    running.push((now + wait + service, place.request, place.target));
                }
                Decision::Reject {
                    request,
                    retry_after,
                    ..
                } => {
                    result.refused += 1;
                    result.held = result.held.max(now - arrived[&request]);
                    if return_once && !returned.contains(&request) {
                        returning.push((now + retry_after, arrived[&request]));
                    }
                }
                Decision::Move { .. } => unreachable!("no engine closes"),
            }
        }
        if now - reported >= ms(100) {
            reported = now;
            let ids: Vec<String> = scheduler
                .targets()
                .map(|target| target.id.clone())
                .collect();
            for id in ids {
                let count = running
                    .iter()
                    .filter(|(_, _, target)| *target == id)
                    .count() as u32;
                let load = Load {
                    running: count.min(SLOTS),
                    waiting: count.saturating_sub(SLOTS),
                    ..idle()
                };
                scheduler.answer_load(now, &id, load);
            }
        }
        now += STEP;
    }
    result
}

fn with_engines(count: usize) -> Scheduler {
    let mut scheduler = scheduler();
    for number in 0..count {
        scheduler.put_target(target(&format!("engine-{number}"), "drafts", "north"));
    }
    scheduler
}

// Guards against a queue in which everybody becomes late: 14 engines serve 56 a second, and for 3 s 1.7 times as many
// come. As many as the engines can serve must be served in time, and the others be told soon.
#[test]
fn burst_served_in_time() {
    let mut scheduler = with_engines(14);
    let rate = |at: Duration| match at.as_millis() {
        4_000..7_000 => 95.0,
        _ => 40.0,
    };
    let result = replay(
        &mut scheduler,
        rate,
        Duration::from_secs(12),
        ms(1_000),
        false,
    );
    let asked = result.in_time + result.late + result.refused;
    assert!(result.late * 20 <= asked, "{result:?}");
    assert!(result.refused * 3 <= asked, "{result:?}");
    assert!(result.held <= OBJECTIVE, "{result:?}");
}

// Guards against an overload without end in which nothing is served in time: half of the engines are gone.
#[test]
fn overload_keeps_serving() {
    let mut scheduler = with_engines(7);
    let result = replay(
        &mut scheduler,
        |_| 56.0,
        Duration::from_secs(10),
        ms(1_000),
        false,
    );
    let capacity = 7 * SLOTS as usize * 9;
    assert!(result.in_time * 10 >= capacity * 8, "{result:?}");
    assert!(result.held <= OBJECTIVE, "{result:?}");
}

// Guards against places that go to callers who come back too late to be served in time, while new ones who could be wait
// and become late as well: with demand above capacity by two fifths, two in five answers were late.
#[test]
fn overload_new_before_returned() {
    let mut scheduler = with_engines(7);
    let time = Duration::from_secs(20);
    let result = replay(&mut scheduler, |_| 56.0, time, ms(1_000), true);
    let capacity = 7 * SLOTS as usize * 19;
    assert!(result.in_time * 10 >= capacity * 8, "{result:?}");
    assert!(result.held <= OBJECTIVE, "{result:?}");
}

// Guards against a queue at the engines beside the one here: under lasting overload, answers came after 350 ms of an
// objective of 300 or 400 ms in the median, though each was placed within 160 ms.
#[test]
fn submit_no_backlog_while_others_wait() {
    let now = Instant::now();
    let mut scheduler = with_engines(1);
    for _ in 0..SLOTS {
        scheduler.submit(now, draft(now));
        assert_eq!(scheduler.poll(now).len(), 1);
    }
    // Within 2 s the engine's own queue would serve both in time.
    let patient = Work {
        objective: Duration::from_secs(2),
        ..draft(now)
    };
    for _ in 0..2 {
        scheduler.submit(now, patient.clone());
    }
    assert!(scheduler.poll(now).is_empty());
    assert_eq!(scheduler.waiting(), 2);
    let mut scheduler = with_engines(1);
    for _ in 0..=SLOTS {
        scheduler.submit(now, patient.clone());
        assert_eq!(scheduler.poll(now).len(), 1);
    }
}

// Guards against callers who come back and are turned away although there are places.
#[test]
fn burst_returned_are_served() {
    let mut scheduler = with_engines(14);
    let rate = |at: Duration| match at.as_millis() {
        2_000..4_000 => 80.0,
        _ => 35.0,
    };
    let result = replay(
        &mut scheduler,
        rate,
        Duration::from_secs(9),
        ms(1_000),
        true,
    );
    let refused_twice = result.refused.saturating_sub(result.late);
    assert!(result.late * 2 >= refused_twice, "{result:?}");
}

// Guards against refusals while engines are idle.
#[test]
fn calm_refuses_nobody() {
    let mut scheduler = with_engines(14);
    let result = replay(
        &mut scheduler,
        |_| 40.0,
        Duration::from_secs(5),
        ms(1_000),
        false,
    );
    assert_eq!((result.refused, result.late), (0, 0), "{result:?}");
}

// Guards against a request that can't be served in time and waits all the same: it is refused when it arrives.
#[test]
fn submit_hopeless_refused_at_once() {
    let mut now = Instant::now();
    let mut scheduler = with_engines(1);
    let mut running: Vec<_> = fill(&mut scheduler, now)
        .iter()
        .map(|place| place.request)
        .collect();
    // One place every 150 ms: two waiting requests can't both be served within 240 ms.
    for _ in 0..8 {
        scheduler.submit(now, draft(now));
        now += ms(150);
        scheduler.ended(now, running.remove(0), Outcome::Answered);
        for decision in scheduler.poll(now) {
            if let Decision::Send(place) = decision {
                running.push(place.request);
            }
        }
    }
    for _ in 0..3 {
        scheduler.submit(now, draft(now));
    }
    let refused = scheduler
        .poll(now)
        .iter()
        .filter(|decision| matches!(decision, Decision::Reject { .. }))
        .count();
    assert!(refused >= 1);
}

// Guards against callers that are turned away together and return together.
#[test]
fn retry_after_spread() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    let times: Vec<Duration> = (0..200)
        .map(|_| {
            let Work { deadline, .. } = draft(now);
            scheduler.retry_after(now, deadline)
        })
        .collect();
    let (least, most) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(
        *most <= Duration::from_secs(2),
        "a caller waits a third of its 6 s at most"
    );
    assert!(*most - *least >= ms(700), "{least:?} to {most:?}");
}

// Guards against urgent requests that wait behind others.
#[test]
fn queue_urgent_first() {
    let now = Instant::now();
    let mut scheduler = with_engines(1);
    let full = fill(&mut scheduler, now);
    scheduler.submit(now, draft(now));
    let mut urgent = draft(now);
    urgent.priority = 0;
    let urgent = scheduler.submit(now, urgent);
    assert!(scheduler.poll(now).is_empty());
    scheduler.ended(now, full[0].request, Outcome::Answered);
    let decisions = scheduler.poll(now);
    assert!(matches!(&decisions[..], [Decision::Send(place)] if place.request == urgent));
}

// Guards against a request that is sent after its caller has given up: an entry that was paused for some seconds would find
// its targets idle and act on what it was allowed before.
#[test]
fn paused_entry_sends_nothing_late() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    let full = fill(&mut scheduler, now);
    let waiting = scheduler.submit(now, draft(now));
    assert!(scheduler.poll(now).is_empty());
    let woken = now + Duration::from_secs(6);
    for place in full {
        scheduler.ended(woken, place.request, Outcome::Abandoned);
    }
    let decisions = scheduler.poll(woken);
    assert!(
        matches!(
            decisions[..],
            [Decision::Reject {
                request,
                reason: Reason::Expired,
                ..
            }] if request == waiting
        ),
        "{decisions:?}"
    );
}
