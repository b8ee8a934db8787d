//! Simulations of load patterns: which requests wait, which are rejected, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use dispatch::{Decision, Load, Outcome, Reason, RequestContext, RequestId, Scheduler};

use crate::support::{OBJECTIVE, SLOTS, fill_engines, idle_load, ms, scheduler, streaming, target};

const STEP: Duration = Duration::from_millis(5);

/// Outcomes of the requests of a simulation.
#[derive(Debug, Default)]
struct Counts {
    in_time: usize,
    late: usize,
    refused: usize,
    /// Longest time that a request waited before it was rejected.
    held: Duration,
}

/// Simulates engines that take `service` for each request and report their load every 100 ms, while `rate` requests per
/// second arrive for `time`. If `return_once` is set, rejected callers come back once, after the time they were given.
fn simulate(
    scheduler: &mut Scheduler,
    rate: impl Fn(Duration) -> f64,
    time: Duration,
    service: Duration,
    return_once: bool,
) -> Counts {
    let start = Instant::now();
    let mut result = Counts::default();
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
            let id = scheduler.submit(now, streaming(now));
            arrived.insert(id, now);
        }
        let (due, later): (Vec<_>, Vec<_>) = returning.into_iter().partition(|(at, _)| *at <= now);
        returning = later;
        for (_, first) in due {
            let work = RequestContext {
                prior_wait: now - first,
                deadline: streaming(first).deadline,
                ..streaming(now)
            };
            let id = scheduler.submit(now, work);
            arrived.insert(id, now);
            returned.insert(id);
        }
        let (done, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = rest;
        for (_, id, _) in done {
            scheduler.record_end(now, id, Outcome::Answered);
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
                    ..idle_load()
                };
                scheduler.report_answer_load(now, &id, load);
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

// Guards against a queue in which all requests become late. 14 engines serve 56 requests per second, and 1.7 times as
// many arrive for 3 s. As many as the engines can serve must be on time; the others must be rejected soon.
#[test]
fn burst_served_in_time() {
    let mut scheduler = with_engines(14);
    let rate = |at: Duration| match at.as_millis() {
        4_000..7_000 => 95.0,
        _ => 40.0,
    };
    let result = simulate(
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

// Guards against serving nothing on time under sustained overload, here with half of the engines gone.
#[test]
fn overload_keeps_serving() {
    let mut scheduler = with_engines(7);
    let result = simulate(
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

// Guards against placing returning callers that can no longer be on time before new ones that could, which then become
// late as well. With demand 40% above capacity, two in five answers were late.
#[test]
fn overload_new_before_returned() {
    let mut scheduler = with_engines(7);
    let time = Duration::from_secs(20);
    let result = simulate(&mut scheduler, |_| 56.0, time, ms(1_000), true);
    let capacity = 7 * SLOTS as usize * 19;
    assert!(result.in_time * 10 >= capacity * 8, "{result:?}");
    assert!(result.held <= OBJECTIVE, "{result:?}");
}

// Guards against a queue at the engines in addition to the entry's own. Under sustained overload, the median answer
// came after 350 ms, with objectives of 300 or 400 ms, although each request was placed within 160 ms.
#[test]
fn submit_no_backlog_while_others_wait() {
    let now = Instant::now();
    let mut scheduler = with_engines(1);
    for _ in 0..SLOTS {
        scheduler.submit(now, streaming(now));
        assert_eq!(scheduler.poll(now).len(), 1);
    }
    // The engine's own queue would serve both within their objective of 2 s.
    let patient = RequestContext {
        objective: Duration::from_secs(2),
        ..streaming(now)
    };
    for _ in 0..2 {
        scheduler.submit(now, patient.clone());
    }
    assert!(scheduler.poll(now).is_empty());
    assert_eq!(scheduler.waiting_count(), 2);
    let mut scheduler = with_engines(1);
    for _ in 0..=SLOTS {
        scheduler.submit(now, patient.clone());
        assert_eq!(scheduler.poll(now).len(), 1);
    }
}

// Guards against rejecting returning callers although there are free places.
#[test]
fn burst_returned_are_served() {
    let mut scheduler = with_engines(14);
    let rate = |at: Duration| match at.as_millis() {
        2_000..4_000 => 80.0,
        _ => 35.0,
    };
    let result = simulate(
        &mut scheduler,
        rate,
        Duration::from_secs(9),
        ms(1_000),
        true,
    );
    let refused_twice = result.refused.saturating_sub(result.late);
    assert!(result.late * 2 >= refused_twice, "{result:?}");
}

// Guards against rejections while engines are idle.
#[test]
fn calm_refuses_nobody() {
    let mut scheduler = with_engines(14);
    let result = simulate(
        &mut scheduler,
        |_| 40.0,
        Duration::from_secs(5),
        ms(1_000),
        false,
    );
    assert_eq!((result.refused, result.late), (0, 0), "{result:?}");
}

// Guards against queueing a request that cannot be served on time: it must be rejected on arrival.
#[test]
fn submit_hopeless_refused_at_once() {
    let mut now = Instant::now();
    let mut scheduler = with_engines(1);
    let mut running: Vec<_> = fill_engines(&mut scheduler, now)
        .iter()
        .map(|place| place.request)
        .collect();
    // With one place every 150 ms, two waiting requests cannot both be placed within 240 ms.
    for _ in 0..8 {
        scheduler.submit(now, streaming(now));
        now += ms(150);
        scheduler.record_end(now, running.remove(0), Outcome::Answered);
        for decision in scheduler.poll(now) {
            if let Decision::Send(place) = decision {
                running.push(place.request);
            }
        }
    }
    for _ in 0..3 {
        scheduler.submit(now, streaming(now));
    }
    let refused = scheduler
        .poll(now)
        .iter()
        .filter(|decision| matches!(decision, Decision::Reject { .. }))
        .count();
    assert!(refused >= 1);
}

// Guards against callers that are rejected together and return together.
#[test]
fn retry_after_spread() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    let times: Vec<Duration> = (0..200)
        .map(|_| {
            let RequestContext { deadline, .. } = streaming(now);
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

// Guards against urgent requests that wait behind less urgent ones.
#[test]
fn queue_urgent_first() {
    let now = Instant::now();
    let mut scheduler = with_engines(1);
    let full = fill_engines(&mut scheduler, now);
    scheduler.submit(now, streaming(now));
    let mut urgent = streaming(now);
    urgent.priority = 0;
    let urgent = scheduler.submit(now, urgent);
    assert!(scheduler.poll(now).is_empty());
    scheduler.record_end(now, full[0].request, Outcome::Answered);
    let decisions = scheduler.poll(now);
    assert!(matches!(&decisions[..], [Decision::Send(place)] if place.request == urgent));
}

// Guards against sending a request after its caller has given up. An entry that was suspended for some seconds would
// find its targets idle and act on outdated decisions.
#[test]
fn paused_entry_sends_nothing_late() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.put_target(target("a", "drafts", "north"));
    let full = fill_engines(&mut scheduler, now);
    let waiting = scheduler.submit(now, streaming(now));
    assert!(scheduler.poll(now).is_empty());
    let woken = now + Duration::from_secs(6);
    for place in full {
        scheduler.record_end(woken, place.request, Outcome::Abandoned);
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
