//! Schedule of the entry's subscriptions to agents.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entry::ingress::Subscriptions;

fn agents(local: u16, remote: u16) -> BTreeMap<SocketAddr, bool> {
    let agent = |number| (([127, 0, 0, 1], 1000 + number).into(), number < local);
    (0..local + remote).map(agent).collect()
}

// Guards against subscribing to all agents whenever one is new: 97 new targets made 99 entries send 1.3 million
// datagrams.
#[test]
fn due_only_new() {
    let now = Instant::now();
    let mut subscriptions = Subscriptions::default();
    assert_eq!(subscriptions.due(now, &agents(28, 110)).len(), 138);
    assert_eq!(subscriptions.due(now, &agents(28, 111)).len(), 1);
    assert_eq!(subscriptions.due(now, &agents(28, 111)).len(), 0);
}

// Guards against agents that forget the entry, and against subscribing to agents of other domains as often as to those
// of the same domain.
#[test]
fn due_again() {
    let now = Instant::now();
    let mut subscriptions = Subscriptions::default();
    let agents = agents(28, 110);
    subscriptions.due(now, &agents);
    assert_eq!(
        subscriptions
            .due(now + Duration::from_secs(1), &agents)
            .len(),
        28
    );
    assert_eq!(
        subscriptions
            .due(now + Duration::from_secs(2), &agents)
            .len(),
        138
    );
}

// Guards against agents that learn of a newly named version late.
#[test]
fn due_after_version() {
    let now = Instant::now();
    let mut subscriptions = Subscriptions::default();
    let agents = agents(28, 110);
    subscriptions.due(now, &agents);
    subscriptions.set_versions(vec![("m".into(), 2)]);
    assert_eq!(subscriptions.due(now, &agents).len(), 138);
    subscriptions.set_versions(vec![("m".into(), 2)]);
    assert_eq!(subscriptions.due(now, &agents).len(), 0);
}
