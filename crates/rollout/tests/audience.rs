//! Who is told the load of an engine, and when.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rollout::{LoadChange, Subscribers};
use yare::parameterized;

const LOOK: Duration = Duration::from_millis(100);

fn entry(number: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + number as u16).into()
}

fn audience(now: Instant, near: usize, far: usize) -> Subscribers {
    let mut audience = Subscribers::default();
    for number in 0..near + far {
        audience.subscribe(now, entry(number), number < near);
    }
    audience
}

// Guards against loads that fill links: with 20 entries near and 79 far, each told every change, an engine's VM sent 990
// datagrams a second, and an eighth of its link's rate.
#[parameterized(
    six = { 2, 4, 60 },
    thirty_seven = { 10, 27, 300 },
    hundred = { 20, 79, 420 },
    six_hundred = { 67, 533, 1_400 },
)]
fn load_changes_all_the_time(near: usize, far: usize, most_per_s: usize) {
    let start = Instant::now();
    let mut audience = audience(start, near, far);
    let told: usize = (0..100)
        .map(|look| audience.due(start + LOOK * look, LoadChange::Load).len())
        .sum();
    assert!(told <= most_per_s * 10, "{told} in 10 s");
}

// Guards against entries that take the load for unknown, which they do after 2 s, or that hear late of a change.
#[parameterized(
    near = { 20, 79, 0, 1 },
    far = { 20, 79, 98, 5 },
    only_far = { 0, 600, 599, 9 },
)]
fn load_told_in_time(near: usize, far: usize, subscriber: usize, looks: u32) {
    let start = Instant::now();
    let mut audience = audience(start, near, far);
    let mut last = None;
    for look in 0..100 {
        let due = audience.due(start + LOOK * look, LoadChange::Load);
        if due.contains(&entry(subscriber)) {
            assert!(last.is_none_or(|last| look - last <= looks), "at {look}");
            last = Some(look);
        }
    }
    assert!(last.is_some_and(|last| 100 - last <= looks));
}

// Guards against requests in vain: all entries must hear at once that an engine takes no more.
#[test]
fn state_told_at_once() {
    let now = Instant::now();
    let mut audience = audience(now, 20, 79);
    assert_eq!(audience.due(now, LoadChange::None).len(), 99);
    assert_eq!(audience.due(now + LOOK, LoadChange::Load).len(), 20);
    assert_eq!(audience.due(now + LOOK, LoadChange::State).len(), 99);
}

// Guards against a change that is never told because nothing changed after it.
#[test]
fn change_told_later() {
    let now = Instant::now();
    let mut audience = audience(now, 0, 80);
    audience.due(now, LoadChange::None);
    assert_eq!(audience.due(now + LOOK, LoadChange::Load).len(), 0);
    assert_eq!(audience.due(now + LOOK * 5, LoadChange::None).len(), 80);
    assert_eq!(audience.due(now + LOOK * 6, LoadChange::None).len(), 0);
}

// Guards against datagrams to entries that are gone, and against one that is forgotten between two subscriptions.
#[test]
fn subscriptions_expire() {
    let now = Instant::now();
    let mut audience = audience(now, 1, 1);
    audience.expire(now + Duration::from_secs(6));
    assert_eq!(audience.len(), 2);
    audience.subscribe(now + Duration::from_secs(6), entry(0), true);
    audience.expire(now + Duration::from_secs(7));
    assert_eq!(audience.len(), 1);
    assert!(!audience.is_empty());
}
