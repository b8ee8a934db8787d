//! Simulates a burst during which the origin is unavailable for a while.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use burst::{
    Action, Answer, Downloader, Grant, Members, Requester, Response, Setup, Source, Uploader,
};
use bytes::Bytes;
use catalog::Plan;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use weights::ChunkStore;
use yare::parameterized;

use crate::support::{peer, setup, version};

/// Chunks of the version.
const CHUNKS: usize = 96;
/// Round-trip time of a request to another agent.
const PEER_ROUND_TRIP: Duration = Duration::from_millis(30);
/// Time until a request reaches the origin, or until its host refuses the connection.
const ORIGIN_DELAY: Duration = Duration::from_millis(3);
/// Connections that the origin accepts; it resets further ones.
const CONNECTIONS: usize = 48;
/// Maximum delay before a failed draw is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Agent {
    downloader: Downloader,
    uploader: Uploader,
    store: ChunkStore,
    address: SocketAddr,
    region: String,
    complete: Option<Instant>,
    /// When the agent stops responding.
    hangs_at: Option<Instant>,
}

/// A simulated event.
enum Event {
    Tick,
    /// A request reaches its destination.
    Arrive(u64, u32, Source),
    Answer(u64, Answer),
    /// The origin's link has carried a chunk.
    Carried,
}

/// A draw in progress at the origin's link.
struct Draw {
    agent: usize,
    request: u64,
    chunk: u32,
}

/// Agents, an origin with one link, and the pending events.
struct World {
    start: Instant,
    now: Instant,
    agents: Vec<Agent>,
    data: Vec<u8>,
    events: BTreeMap<(Instant, u64), (usize, Event)>,
    next_event: u64,
    cancelled: BTreeSet<(usize, u64)>,
    /// Period in which the origin is unavailable.
    outage: std::ops::Range<Duration>,
    /// Draws whose chunks the link carries one after the other.
    draws: VecDeque<Draw>,
    chunk_time: Duration,
    carried: usize,
}

impl World {
    /// Starts `per_domain` agents in each of three regions; the origin's link carries a copy in `copy_time`.
    fn new(per_domain: usize, copy_time: Duration, outage: std::ops::Range<Duration>) -> Self {
        let data: Vec<u8> = (0..CHUNKS as u32).flat_map(u32::to_be_bytes).collect();
        let version = version(&data, 4);
        let peers: Vec<_> = ["a", "bb", "ccc"]
            .iter()
            .flat_map(|domain| (0..per_domain).map(|number| peer(domain, number)))
            .collect();
        let members = Members::new(peers.clone());
        let start = Instant::now();
        let mut world = Self {
            start,
            now: start,
            agents: Vec::new(),
            data,
            events: BTreeMap::new(),
            next_event: 0,
            cancelled: BTreeSet::new(),
            outage,
            draws: VecDeque::new(),
            chunk_time: copy_time / CHUNKS as u32,
            carried: 0,
        };
        for (index, me) in peers.into_iter().enumerate() {
            let setup = Setup {
                max_requests: 16,
                max_upstream_requests: 12,
                max_retry_delay: MAX_RETRY_DELAY,
                origin_chunk_time: copy_time / CHUNKS as u32,
                seed: index as u64 * 7919,
                ..setup(me.clone(), Plan::OriginBytes)
            };
            let (downloader, actions) =
                Downloader::start(setup, version.clone(), &members, |_| false, start);
            world.agents.push(Agent {
                downloader,
                uploader: Uploader::new(4),
                store: ChunkStore::new(1 << 20),
                address: me.address,
                region: me.region,
                complete: None,
                hangs_at: None,
            });
            world.perform(index, actions);
            world.schedule(ms(50), index, Event::Tick);
        }
        world
    }

    /// Makes agents hang from `since` after the start.
    fn hang(&mut self, agents: BTreeSet<usize>, since: Duration) {
        for index in agents {
            self.agents[index].hangs_at = Some(self.start + since);
        }
    }

    fn is_hung(&self, index: usize) -> bool {
        self.agents[index].hangs_at.is_some_and(|at| at <= self.now)
    }

    fn schedule(&mut self, time: Duration, agent: usize, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + time, self.next_event), (agent, event));
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Fetch {
                    request,
                    chunk,
                    from,
                } => self.schedule(ORIGIN_DELAY, index, Event::Arrive(request, chunk, from)),
                Action::Cancel { request } => {
                    self.cancelled.insert((index, request));
                }
                Action::RequestPermit { stripe, .. } => {
                    let now = self.now;
                    let downloader = &mut self.agents[index].downloader;
                    actions.extend(downloader.handle_grant(stripe, Grant::Granted, now));
                }
                Action::Stage { content, .. } => self.agents[index].store.insert(content, true),
                Action::Complete(_) => self.agents[index].complete = Some(self.now),
            }
        }
    }

    fn update(
        &mut self,
        index: usize,
        event: impl FnOnce(&mut Downloader, Instant) -> Vec<Action>,
    ) {
        let now = self.now;
        let actions = event(&mut self.agents[index].downloader, now);
        self.perform(index, actions);
    }

    /// Runs until `end` after the start, or until all agents have all chunks.
    fn run(&mut self, end: Duration) {
        while let Some(((at, _), (index, event))) = self.events.pop_first() {
            if at > self.start + end || self.complete().is_some() {
                return;
            }
            self.now = at;
            if self.is_hung(index) && !matches!(event, Event::Carried) {
                continue;
            }
            match event {
                Event::Tick => {
                    self.update(index, Downloader::tick);
                    self.schedule(ms(50), index, Event::Tick);
                }
                Event::Arrive(request, chunk, from) => self.arrive(index, request, chunk, from),
                Event::Answer(request, answer) => self.update(index, |downloader, now| {
                    downloader.handle_answer(request, answer, now)
                }),
                Event::Carried => self.deliver_chunk(),
            }
        }
    }

    fn arrive(&mut self, index: usize, request: u64, chunk: u32, from: Source) {
        match from {
            Source::Peer(peer) => {
                if let Some(answer) = self.request_from_peer(index, peer, chunk) {
                    self.schedule(PEER_ROUND_TRIP, index, Event::Answer(request, answer));
                }
            }
            Source::Origin if self.outage.contains(&(self.now - self.start)) => {
                self.schedule(ORIGIN_DELAY, index, Event::Answer(request, Answer::Failed));
            }
            Source::Origin if self.draws.len() >= CONNECTIONS => {
                self.schedule(ORIGIN_DELAY, index, Event::Answer(request, Answer::Failed));
            }
            Source::Origin => {
                if self.draws.is_empty() {
                    self.schedule(self.chunk_time, 0, Event::Carried);
                }
                self.draws.push_back(Draw {
                    agent: index,
                    request,
                    chunk,
                });
            }
        }
    }

    /// Delivers the chunk that the link has carried and starts the next draw.
    ///
    /// The chunk of a cancelled draw is carried and then discarded.
    fn deliver_chunk(&mut self) {
        self.carried += 1;
        let Some(draw) = self.draws.pop_front() else {
            return;
        };
        if !self.cancelled.contains(&(draw.agent, draw.request)) {
            let answer = Answer::Bytes(self.bytes(draw.chunk));
            self.schedule(
                ORIGIN_DELAY,
                draw.agent,
                Event::Answer(draw.request, answer),
            );
        }
        if !self.draws.is_empty() {
            self.schedule(self.chunk_time, 0, Event::Carried);
        }
    }

    fn bytes(&self, chunk: u32) -> Bytes {
        let start = chunk as usize * 4;
        Bytes::from(self.data[start..start + 4].to_vec())
    }

    fn request_from_peer(&self, index: usize, peer: SocketAddr, chunk: u32) -> Option<Answer> {
        let requester = &self.agents[index];
        let owner = self.agents.iter().position(|agent| agent.address == peer)?;
        if self.is_hung(owner) {
            return None;
        }
        let owner = &self.agents[owner];
        let digest = owner.downloader.version().chunk_digest(chunk);
        let requester = Requester {
            address: requester.address,
            same_region: requester.region == owner.region,
        };
        let held = owner.store.contains(&digest);
        let answer = match owner.uploader.answer(digest, held, requester, self.now) {
            Response::Send(slot) => {
                slot.finish(self.now);
                Answer::Bytes(self.bytes(chunk))
            }
            Response::Redirect(holders) => Answer::Holders(holders),
            Response::Wait(time) => not_yet(owner, chunk, time, self.now),
        };
        Some(answer)
    }

    /// Returns the number of copies that the origin's link has carried.
    fn copies_sent(&self) -> f64 {
        self.carried as f64 / CHUNKS as f64
    }

    /// Returns the time from the start until the last agent that doesn't hang had all chunks.
    fn complete(&self) -> Option<Duration> {
        let live = self.agents.iter().filter(|agent| agent.hangs_at.is_none());
        let times = live.map(|agent| agent.complete);
        let last = times.collect::<Option<Vec<Instant>>>()?.into_iter().max()?;
        Some(last - self.start)
    }
}

fn not_yet(owner: &Agent, chunk: u32, wait: Duration, now: Instant) -> Answer {
    let downloader = &owner.downloader;
    let stripe = downloader.version().stripes().stripe_of(chunk);
    match downloader.last_draw(stripe, now) {
        Some(drawn) => Answer::Drawing {
            wait,
            age: now.saturating_duration_since(drawn),
        },
        None => Answer::NotYet(wait),
    }
}

/// Time that the origin's link takes to carry a copy in the larger deployments.
const COPY_TIME: Duration = Duration::from_millis(4_300);

/// Time after the origin's return within which every agent must have all chunks.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(8);

// Guards against a version that never arrives because all agents draw at once after an outage of the origin: with 88
// agents, the first engine had it 23 s after the origin's return, and 6.5 copies were sent.
#[parameterized(
    no_outage = { 0, 0, 1.1 },
    soon = { 1_000, 7_000, 2.0 },
    midway = { 2_500, 8_500, 2.0 },
    short = { 4_000, 6_000, 2.0 },
    long = { 500, 10_500, 2.0 },
    longest = { 200, 20_000, 2.0 },
)]
fn complete_after_outage(start: u64, end: u64, max_copies: f64) {
    let mut world = World::new(29, COPY_TIME, ms(start)..ms(end));
    world.run(ms(end) + MAX_RECOVERY_TIME);
    let complete = world.complete();
    assert!(complete.is_some(), "{:.2} copies", world.copies_sent());
    assert!(
        world.copies_sent() <= max_copies,
        "{:.2} copies",
        world.copies_sent()
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a transfer that depends on single agents: arbitrary agents hang while the origin is unavailable.
    #[test]
    fn complete_with_hung_agents(
        start in 0..6_000u64,
        time in 0..12_000u64,
        hung in prop::collection::btree_set(0..45usize, 0..8),
        since in 0..6_000u64,
    ) {
        let outage = ms(start)..ms(start + time);
        let mut world = World::new(15, COPY_TIME, outage.clone());
        world.hang(hung, ms(since));
        // Agents that hang don't answer: their peers notice by the stall timeout, several times over.
        let stalls = Duration::from_secs(12);
        world.run(outage.end.max(ms(since)) + MAX_RECOVERY_TIME + stalls);
        prop_assert!(world.complete().is_some(), "{:.2} copies", world.copies_sent());
        prop_assert!(world.copies_sent() <= 4.0, "{:.2} copies", world.copies_sent());
    }
}
