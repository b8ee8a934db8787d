//! Upload slots, redirects and token buckets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use burst::{Requester, Response, TokenBucket, Uploader};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use weights::Digest;

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number + 1).into()
}

fn requester(number: u16) -> Requester {
    Requester {
        address: address(number),
        same_region: number < 1000,
    }
}

fn redirect(response: Response) -> Vec<SocketAddr> {
    match response {
        Response::Redirect(holders) => holders,
        other => panic!("{other:?}"),
    }
}

// Guards against a slot that stays in use after its connection broke, and against redirects to an agent that received
// nothing.
#[test]
fn slot_dropped() {
    let (uploader, now, chunk) = (Uploader::new(1), Instant::now(), Digest::of(b"c"));
    let response = uploader.answer(chunk, true, requester(0), now);
    assert!(matches!(
        uploader.answer(chunk, true, requester(1), now),
        Response::Wait(_)
    ));
    drop(response);
    assert_eq!(uploader.slots_in_use(), 0);
    assert!(matches!(
        uploader.answer(chunk, false, requester(1), now),
        Response::Wait(_)
    ));
}

// Guards against redirects that always name the same holders, the requester itself or a dead agent.
#[test]
fn redirect_spreads() {
    let (uploader, now, chunk) = (Uploader::new(1), Instant::now(), Digest::of(b"c"));
    for number in 0..8 {
        if let Response::Send(slot) = uploader.answer(chunk, true, requester(number), now) {
            slot.finish(now);
        }
    }
    let _busy = uploader.answer(chunk, true, requester(100), now);
    let mut named = redirect(uploader.answer(chunk, true, requester(101), now));
    named.extend(redirect(uploader.answer(chunk, true, requester(102), now)));
    named.sort();
    named.dedup();
    assert_eq!(named.len(), 8);
    uploader.retain_receivers(|peer| *peer == address(3) || *peer == address(4));
    assert_eq!(
        redirect(uploader.answer(chunk, true, requester(3), now)),
        [address(4)]
    );
}

// Guards against slow transfers to other regions that occupy all slots, and against redirecting a requester of the own
// region to another one.
#[test]
fn answer_far() {
    let (uploader, now, chunk) = (Uploader::new(2), Instant::now(), Digest::of(b"c"));
    let Response::Send(slot) = uploader.answer(chunk, true, requester(1000), now) else {
        panic!("no slot");
    };
    assert!(matches!(
        uploader.answer(chunk, true, requester(1001), now),
        Response::Wait(_)
    ));
    let _same_region = uploader.answer(chunk, true, requester(0), now);
    slot.finish(now);
    let _second = uploader.answer(chunk, true, requester(1), now);
    assert_eq!(uploader.slots_in_use(), 2);
    assert!(matches!(
        uploader.answer(chunk, true, requester(2), now),
        Response::Wait(_)
    ));
    assert_eq!(
        redirect(uploader.answer(chunk, true, requester(1001), now)),
        [address(1000)]
    );
}

/// Returns the bytes that one burst sends per second, in pieces of 100.
fn bytes_per_second(bucket: &TokenBucket, now: Instant) -> u64 {
    let (version, mut at, mut sent) = (Digest::of(b"a"), now, 0);
    while at < now + Duration::from_secs(1) {
        let ticket = bucket.enqueue(version, 100);
        while let Err(wait) = ticket.try_take(at) {
            at += wait;
        }
        sent += 100;
    }
    sent
}

// Guards against chunk traffic that keeps its full rate while live requests need the link.
#[test]
fn bucket_live() {
    let now = Instant::now();
    let bucket = TokenBucket::new(10_000.0, 100.0, now);
    assert!((9_900..=10_300).contains(&bytes_per_second(&bucket, now)));
    let now = now + Duration::from_secs(2);
    bucket.set_live_traffic(true, now);
    assert!((4_900..=5_300).contains(&bytes_per_second(&bucket, now)));
}

// Guards against a burst that waits for all sends of another one, and against a queue blocked by a cancelled send.
#[test]
fn bucket_turns() {
    let now = Instant::now();
    let bucket = TokenBucket::new(1000.0, 1000.0, now);
    let (a, b) = (Digest::of(b"a"), Digest::of(b"b"));
    let first = [
        bucket.enqueue(a, 10),
        bucket.enqueue(a, 10),
        bucket.enqueue(a, 10),
    ];
    let second = [bucket.enqueue(b, 10), bucket.enqueue(b, 10)];
    assert!(second[0].try_take(now).is_err());
    assert!(first[0].try_take(now).is_ok());
    assert!(first[1].try_take(now).is_err());
    assert!(second[0].try_take(now).is_ok());
    let [_, cancelled, third] = first;
    drop(cancelled);
    assert!(third.try_take(now).is_ok());
    assert!(second[1].try_take(now).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(64)
    })]

    // Guards against a link that idles while many transfers wait for it, for example because only the first ticket in a
    // queue can be served and each is polled late, and against a transfer that others starve.
    #[test]
    fn bucket_whole_rate(
        readers in 1..24usize,
        late_us in prop::collection::vec(0..2000u64, 97),
    ) {
        const PIECE: u64 = 16 << 10;
        const RATE: f64 = 8_388_608.0;
        let (start, version) = (Instant::now(), Digest::of(b"a"));
        let end = start + Duration::from_secs(4);
        let bucket = TokenBucket::new(RATE, RATE / 10.0, start);
        let mut tickets: Vec<_> = (0..readers)
            .map(|_| (start, start, bucket.enqueue(version, PIECE)))
            .collect();
        let (mut sent, mut longest) = (0, Duration::ZERO);
        for step in 0.. {
            let next = (0..readers).min_by_key(|reader| tickets[*reader].0).unwrap();
            let (now, since, ticket) = &mut tickets[next];
            if *now >= end {
                break;
            }
            let late = Duration::from_micros(late_us[step % late_us.len()]);
            match ticket.try_take(*now) {
                Ok(()) => {
                    sent += PIECE;
                    longest = longest.max(*now - *since);
                    *ticket = bucket.enqueue(version, PIECE);
                    *now += Duration::from_micros(100);
                    *since = *now;
                }
                Err(wait) => *now += wait + late,
            }
        }
        prop_assert!(sent as f64 >= 3.9 * RATE, "{sent} bytes");
        prop_assert!(longest < Duration::from_millis(500), "{longest:?}");
    }
}
