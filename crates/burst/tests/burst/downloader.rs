//! A single downloader with scripted events.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::support::{peer, setup, version};
use burst::{Action, Answer, Downloader, Grant, Members, Peer, Source};
use catalog::Plan;
use weights::Digest;

type Fetch = (u64, u32, Source);

fn fetches(actions: &[Action]) -> Vec<Fetch> {
    let fetch = |action: &Action| match action {
        Action::Fetch {
            request,
            chunk,
            from,
        } => Some((*request, *chunk, *from)),
        _ => None,
    };
    actions.iter().filter_map(fetch).collect()
}

/// Starts a transfer of 10 chunks to agent 0 of `agents` agents.
fn start(agents: usize) -> (Downloader, Vec<Fetch>, Instant) {
    let now = Instant::now();
    let data: Vec<u8> = (0..10).collect();
    let members = Members::new((0..agents).map(|number| peer("a", number)));
    let setup = setup(peer("a", 0), Plan::OriginBytes);
    let (downloader, actions) =
        Downloader::start(setup, version(&data, 1), &members, |_| false, now);
    (downloader, fetches(&actions), now)
}

fn address(fetch: &Fetch) -> SocketAddr {
    match fetch.2 {
        Source::Peer(peer) => peer,
        Source::Origin => panic!("{fetch:?} goes to the origin"),
    }
}

/// Returns a request for a chunk that the local agent needn't retain.
fn from_other_owner(downloader: &Downloader, all: &[Fetch]) -> Fetch {
    let foreign =
        |fetch: &&Fetch| !downloader.must_keep(downloader.version().stripes().stripe_of(fetch.1));
    *all.iter().find(foreign).unwrap()
}

// Guards against further requests to a stalled peer, and against avoiding it forever.
#[test]
fn tick_stalled() {
    let (mut downloader, first, now) = start(6);
    let fetch = from_other_owner(&downloader, &first);
    let later = now + Duration::from_secs(2);
    for other in first.iter().filter(|other| other.0 != fetch.0) {
        downloader.progress(other.0, later);
    }
    let actions = downloader.tick(later);
    assert!(matches!(actions[0], Action::Cancel { request } if request == fetch.0));
    let again = fetches(&actions);
    assert!(
        again
            .iter()
            .all(|fetch_again| address(fetch_again) != address(&fetch))
    );
    assert_eq!(downloader.stats().stalled, 1);
    let answer = Answer::NotYet(Duration::from_millis(10));
    downloader.handle_answer(again[0].0, answer, later);
    let mut seen = false;
    for step in 1..60 {
        let now = later + Duration::from_millis(250 * step);
        let actions = downloader.tick(now);
        let asked = fetches(&actions).iter().any(|again| again.2 == fetch.2);
        assert!(!asked || step >= 40, "asked again after {} ms", 250 * step);
        seen |= asked;
    }
    assert!(seen);
}

// Guards against an agent that avoids all its peers after its own process was paused, and against requests that never
// time out.
#[test]
fn tick_after_own_pause() {
    let (mut downloader, first, now) = start(6);
    let resumed = now + Duration::from_secs(5);
    assert_eq!(fetches(&downloader.tick(resumed)), []);
    assert_eq!(downloader.stats().stalled, 0);
    let later = resumed + Duration::from_secs(2);
    assert_eq!(downloader.deadline(resumed), Some(later));
    downloader.tick(later);
    assert_eq!(downloader.stats().stalled as usize, first.len());
}

// Guards against storing a corrupted chunk and against requesting from its sender again.
#[test]
fn answer_corrupted() {
    let (mut downloader, first, now) = start(6);
    let fetch = from_other_owner(&downloader, &first);
    let actions = downloader.handle_answer(fetch.0, Answer::Bytes("wrong".into()), now);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Stage { .. }))
    );
    assert_eq!(
        (downloader.missing(), downloader.stats().corrupted),
        (10, 1)
    );
    assert!(fetches(&actions).iter().all(|again| again.2 != fetch.2));
}

// Guards against an ignored redirect, and against accepting an answer to a request that has already been answered.
#[test]
fn answer_redirect() {
    let (mut downloader, first, now) = start(6);
    let fetch = from_other_owner(&downloader, &first);
    let holder: SocketAddr = ([127, 9, 9, 9], 9).into();
    let actions = downloader.handle_answer(fetch.0, Answer::Holders(vec![holder]), now);
    assert!(
        fetches(&actions)
            .iter()
            .any(|again| again.1 == fetch.1 && again.2 == Source::Peer(holder))
    );
    let late = Answer::Bytes(vec![fetch.1 as u8].into());
    assert!(downloader.handle_answer(fetch.0, late, now).is_empty());
}

// Guards against a slow last chunk that is requested from only one peer.
#[test]
fn tick_endgame() {
    let (mut downloader, mut open, now) = start(6);
    let mut taken = 0;
    while taken < 4 {
        let fetch = open.remove(0);
        let answer = Answer::Bytes(vec![fetch.1 as u8].into());
        open.extend(fetches(&downloader.handle_answer(fetch.0, answer, now)));
        taken += 1;
    }
    let second = fetches(&downloader.tick(now + Duration::from_millis(500)));
    let doubled = |again: &Fetch| {
        open.iter()
            .any(|fetch| fetch.1 == again.1 && fetch.2 != again.2)
    };
    assert!(!second.is_empty() && second.iter().all(doubled));
    let answer = Answer::Bytes(vec![second[0].1 as u8].into());
    let actions = downloader.handle_answer(second[0].0, answer, now);
    let original = open.iter().find(|fetch| fetch.1 == second[0].1).unwrap().0;
    assert!(matches!(actions[0], Action::Cancel { request } if request == original));
}

// Guards against mixed versions, and against requesting equal chunks again after a change of the version.
#[test]
fn replace_keeps_equal() {
    let (mut downloader, first, now) = start(6);
    let fetch = first[0];
    downloader.handle_answer(fetch.0, Answer::Bytes(vec![fetch.1 as u8].into()), now);
    let kept = Digest::of(&[fetch.1 as u8]);
    let data: Vec<u8> = (0..12).collect();
    let held = |digest: &Digest| *digest == kept;
    let holder = "a-0/1/1".into();
    let (mut downloader, actions) =
        downloader.replace(holder, Plan::OriginBytes, version(&data, 1), held, now);
    assert_eq!(downloader.missing(), 11);
    assert!(fetches(&actions).iter().all(|again| again.1 != fetch.1));
    let cancelled = actions
        .iter()
        .filter(|action| matches!(action, Action::Cancel { .. }));
    assert!(cancelled.count() >= first.len() - 1);
    downloader.handle_answer(
        first[1].0,
        Answer::Bytes(vec![first[1].1 as u8].into()),
        now,
    );
    assert_eq!(
        downloader.missing(),
        11,
        "an answer to the old transfer counted for the new one"
    );
}

// Guards against draws with an already used grant or without one, and against requests without backoff to an origin
// that is down.
#[test]
fn permit_life() {
    let me: Peer = peer("a", 0);
    let now = Instant::now();
    let setup = setup(me, Plan::OriginBytes);
    let (mut downloader, actions) =
        Downloader::start(setup, version(b"x", 1), &Members::default(), |_| false, now);
    assert!(
        matches!(&actions[..], [Action::RequestPermit { read_first: false, holder, .. }] if holder == "a-0/1/0/0")
    );
    assert!(downloader.handle_grant(0, Grant::Lost, now).is_empty());
    let now = downloader.deadline(now).unwrap();
    assert!(
        matches!(&downloader.tick(now)[..], [Action::RequestPermit { read_first: true, holder, .. }]
            if holder == "a-0/1/0/0")
    );
    let draw = fetches(&downloader.handle_grant(0, Grant::Granted, now));
    assert!(
        downloader
            .handle_answer(draw[0].0, Answer::Failed, now)
            .is_empty()
    );
    let now = downloader.deadline(now).unwrap();
    let draw = fetches(&downloader.tick(now));
    assert_eq!(draw[0].2, Source::Origin);
    assert!(
        downloader
            .handle_answer(draw[0].0, Answer::Bytes("y".into()), now)
            .is_empty()
    );
    let now = downloader.deadline(now).unwrap();
    assert!(
        matches!(&downloader.tick(now)[..], [Action::RequestPermit { holder, .. }] if holder == "a-0/1/0/1")
    );
    assert!(downloader.handle_grant(0, Grant::Refused, now).is_empty());
    let now = downloader.deadline(now).unwrap();
    assert!(downloader.tick(now).is_empty());
}
