//! Measures the time that a downloader takes per chunk to make its decisions, at the target size.
//!
//! Uses 1,900 agents in 9 failure domains and 16,384 chunks of 1 byte; answers arrive immediately. The measurement
//! includes the hash of each one-byte chunk. For comparison, the example also measures the hash of a chunk of 4 MiB.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use burst::{Action, Answer, Downloader, Grant, Members, Peer, Setup, Version};
use catalog::Plan;
use weights::Manifest;

fn main() {
    let peers: Vec<Peer> = (0..1900).map(peer).collect();
    let members = Members::new(peers.clone());
    let data: Vec<u8> = (0..16_384u32).map(|n| n as u8).collect();
    let manifest = Manifest::build(&data, 1);
    let version =
        Version::check(manifest.digest(), manifest).expect("the manifest was built from the data");
    let setup = Setup {
        local: peers[0].clone(),
        holder_prefix: "vm-0/1/0".into(),
        plan: Plan::OriginBytes,
        max_requests: 16,
        max_upstream_requests: burst::MAX_UPSTREAM_REQUESTS,
        max_retry_delay: burst::MAX_RETRY_DELAY,
        origin_chunk_time: Duration::ZERO,
        seed: 1,
    };
    let began = Instant::now();
    let (mut downloader, actions) = Downloader::start(setup, version, &members, |_| false, began);
    let started = began.elapsed();
    let mut queue = VecDeque::from(actions);
    let mut events = 0;
    while let Some(action) = queue.pop_front() {
        events += 1;
        let now = Instant::now();
        match action {
            Action::Fetch { request, chunk, .. } => {
                let bytes = vec![data[chunk as usize]].into();
                queue.extend(downloader.handle_answer(request, Answer::Bytes(bytes), now));
            }
            Action::RequestPermit { stripe, .. } => {
                queue.extend(downloader.handle_grant(stripe, Grant::Granted, now))
            }
            _ => {}
        }
    }
    let took = began.elapsed() - started;
    println!(
        "start {:.1} ms; {} chunks missing, {events} actions, {:.2} us per chunk",
        started.as_secs_f64() * 1e3,
        downloader.missing(),
        took.as_secs_f64() * 1e6 / data.len() as f64
    );
    let chunk = vec![7; 4 << 20];
    let began = Instant::now();
    std::hint::black_box(weights::Digest::of(&chunk));
    println!(
        "hash of 4 MB: {:.0} us",
        began.elapsed().as_secs_f64() * 1e6
    );
}

fn peer(number: u32) -> Peer {
    let domain = format!("domain-{}", number % 9);
    Peer {
        name: format!("vm-{number}"),
        region: domain.clone(),
        domain,
        address: (std::net::Ipv4Addr::from(0x7f00_0000 + number + 1), 1).into(),
    }
}
