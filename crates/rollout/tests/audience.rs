//! Which entries are sent the load of an engine, and when.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rollout::{LoadChange, Subscribers};
use yare::parameterized;

const INTERVAL: Duration = Duration::from_millis(100);

fn entry(number: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + number as u16).into()
}

fn subscribers(now: Instant, near: usize, far: usize) -> Subscribers {
    let mut subscribers = Subscribers::default();
    for number in 0..near + far {
        subscribers.subscribe(now, entry(number), number < near);
    }
    subscribers
}

// Guards against loads that saturate links: with 20 entries in the domain and 79 in others, all of which got every
// change, an engine's VM sent 990 datagrams per second, an eighth of its link's rate.
#[parameterized(
    six = { 2, 4, 60 },
    thirty_seven = { 10, 27, 300 },
    hundred = { 20, 79, 420 },
    six_hundred = { 67, 533, 1_400 },
)]
fn load_changes_all_the_time(near: usize, far: usize, max_per_s: usize) {
    let start = Instant::now();
    let mut subscribers = subscribers(start, near, far);
    let told: usize = (0..100)
        .map(|look| {
            subscribers
                .due(start + INTERVAL * look, LoadChange::Load)
                .len()
        })
        .sum();
    assert!(told <= max_per_s * 10, "{told} in 10 s");
}

// Guards against entries that treat the load as unknown, which they do after 2 s, or that learn of a change late.
#[parameterized(
    near = { 20, 79, 0, 1 },
    far = { 20, 79, 98, 5 },
    only_far = { 0, 600, 599, 9 },
)]
fn load_told_in_time(near: usize, far: usize, subscriber: usize, looks: u32) {
    let start = Instant::now();
    let mut subscribers = subscribers(start, near, far);
    let mut last = None;
    for look in 0..100 {
        let due = subscribers.due(start + INTERVAL * look, LoadChange::Load);
        if due.contains(&entry(subscriber)) {
            assert!(last.is_none_or(|last| look - last <= looks), "at {look}");
            last = Some(look);
        }
    }
    assert!(last.is_some_and(|last| 100 - last <= looks));
}

// Guards against requests that fail: all entries must learn at once that an engine accepts no more work.
#[test]
fn state_told_at_once() {
    let now = Instant::now();
    let mut subscribers = subscribers(now, 20, 79);
    assert_eq!(subscribers.due(now, LoadChange::None).len(), 99);
    assert_eq!(subscribers.due(now + INTERVAL, LoadChange::Load).len(), 20);
    assert_eq!(subscribers.due(now + INTERVAL, LoadChange::State).len(), 99);
}

// Guards against a change that is never sent because nothing changes after it.
#[test]
fn change_told_later() {
    let now = Instant::now();
    let mut subscribers = subscribers(now, 0, 80);
    subscribers.due(now, LoadChange::None);
    assert_eq!(subscribers.due(now + INTERVAL, LoadChange::Load).len(), 0);
    assert_eq!(
        subscribers.due(now + INTERVAL * 5, LoadChange::None).len(),
        80
    );
    assert_eq!(
        subscribers.due(now + INTERVAL * 6, LoadChange::None).len(),
        0
    );
}

// Guards against datagrams to entries that are gone, and against removing one between two subscriptions.
#[test]
fn subscriptions_expire() {
    let now = Instant::now();
    let mut subscribers = subscribers(now, 1, 1);
    subscribers.expire(now + Duration::from_secs(6));
    assert_eq!(subscribers.len(), 2);
    subscribers.subscribe(now + Duration::from_secs(6), entry(0), true);
    subscribers.expire(now + Duration::from_secs(7));
    assert_eq!(subscribers.len(), 1);
    assert!(!subscribers.is_empty());
}
