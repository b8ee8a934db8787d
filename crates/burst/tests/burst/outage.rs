//! A burst whose origin is away for a while, in simulated time.

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
use weights::Store;
use yare::parameterized;

use crate::support::{peer, setup, version};

/// Parts of the version.
const PARTS: usize = 96;
/// Time that a request to another agent and its answer take.
const PEER_TIME: Duration = Duration::from_millis(30);
/// Time until a request reaches the origin, or is refused by its machine.
const REACH: Duration = Duration::from_millis(3);
/// Connections that the origin takes; it resets further ones.
const CONNECTIONS: usize = 48;
/// Longest time before a failed draw is repeated.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Agent {
    downloader: Downloader,
    uploader: Uploader,
    store: Store,
    address: SocketAddr,
    region: String,
    complete: Option<Instant>,
    /// When it stops to do anything.
    hangs: Option<Instant>,
}

/// What happens at a time.
enum Event {
    Tick,
    /// A request reaches its destination.
    Reach(u64, u32, Source),
    Answer(u64, Answer),
    /// The origin's link has carried a part.
    Carried,
}

/// A draw that the origin's link carries.
struct Draw {
    agent: usize,
    request: u64,
    chunk: u32,
}

/// Agents, an origin with one link, and what happens next.
struct World {
    start: Instant,
    now: Instant,
    agents: Vec<Agent>,
    data: Vec<u8>,
    events: BTreeMap<(Instant, u64), (usize, Event)>,
    number: u64,
    cancelled: BTreeSet<(usize, u64)>,
    /// When the origin is away.
    away: std::ops::Range<Duration>,
    /// Draws whose parts the link carries one after the other.
    draws: VecDeque<Draw>,
    part_time: Duration,
    carried: usize,
}

impl World {
    /// Starts `per_domain` agents in each of three regions; the origin's link carries a copy in `copy_time`.
    fn new(per_domain: usize, copy_time: Duration, away: std::ops::Range<Duration>) -> Self {
        let data: Vec<u8> = (0..PARTS as u32).flat_map(u32::to_be_bytes).collect();
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
            number: 0,
            cancelled: BTreeSet::new(),
            away,
            draws: VecDeque::new(),
            part_time: copy_time / PARTS as u32,
            carried: 0,
        };
        for (place, me) in peers.into_iter().enumerate() {
            let setup = Setup {
                max_requests: 16,
                max_upstream_requests: 12,
                max_retry_delay: MAX_RETRY_DELAY,
                origin_chunk_time: copy_time / PARTS as u32,
                seed: place as u64 * 7919,
                ..setup(me.clone(), Plan::OriginBytes)
            };
            let (downloader, actions) =
                Downloader::start(setup, version.clone(), &members, |_| false, start);
            world.agents.push(Agent {
                downloader,
                uploader: Uploader::new(4),
                store: Store::new(1 << 20),
                address: me.address,
                region: me.region,
                complete: None,
                hangs: None,
            });
            world.take(place, actions);
            world.after(ms(50), place, Event::Tick);
        }
        world
    }

    /// Lets agents hang from `since` after the start on.
    fn hang(&mut self, agents: BTreeSet<usize>, since: Duration) {
        for place in agents {
            self.agents[place].hangs = Some(self.start + since);
        }
    }

    fn is_hung(&self, place: usize) -> bool {
        self.agents[place].hangs.is_some_and(|at| at <= self.now)
    }

    fn after(&mut self, time: Duration, agent: usize, event: Event) {
        self.number += 1;
        self.events
            .insert((self.now + time, self.number), (agent, event));
    }

    fn take(&mut self, place: usize, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Fetch {
                    request,
                    chunk,
                    from,
                } => self.after(REACH, place, Event::Reach(request, chunk, from)),
                Action::Cancel { request } => {
                    self.cancelled.insert((place, request));
                }
                Action::RequestPermit { stripe, .. } => {
                    let now = self.now;
                    let downloader = &mut self.agents[place].downloader;
                    actions.extend(downloader.handle_grant(stripe, Grant::Granted, now));
                }
                Action::Stage { content, .. } => self.agents[place].store.insert(content, true),
                Action::Complete(_) => self.agents[place].complete = Some(self.now),
            }
        }
    }

    fn update(
        &mut self,
        place: usize,
        event: impl FnOnce(&mut Downloader, Instant) -> Vec<Action>,
    ) {
        let now = self.now;
        let actions = event(&mut self.agents[place].downloader, now);
        self.take(place, actions);
    }

    /// Runs until `end` after the start, or until all agents have all parts.
    fn run(&mut self, end: Duration) {
        while let Some(((at, _), (place, event))) = self.events.pop_first() {
            if at > self.start + end || self.complete().is_some() {
                return;
            }
            self.now = at;
            if self.is_hung(place) && !matches!(event, Event::Carried) {
                continue;
            }
            match event {
                Event::Tick => {
                    self.update(place, Downloader::tick);
                    self.after(ms(50), place, Event::Tick);
                }
                Event::Reach(request, chunk, from) => self.reach(place, request, chunk, from),
                Event::Answer(request, answer) => self.update(place, |downloader, now| {
                    downloader.handle_answer(request, answer, now)
                }),
                Event::Carried => self.carry(),
            }
        }
    }

    fn reach(&mut self, place: usize, request: u64, chunk: u32, from: Source) {
        match from {
            Source::Peer(peer) => {
                if let Some(answer) = self.ask(place, peer, chunk) {
                    self.after(PEER_TIME, place, Event::Answer(request, answer));
                }
            }
            Source::Origin if self.away.contains(&(self.now - self.start)) => {
                self.after(REACH, place, Event::Answer(request, Answer::Failed));
            }
            Source::Origin if self.draws.len() >= CONNECTIONS => {
                self.after(REACH, place, Event::Answer(request, Answer::Failed));
            }
            Source::Origin => {
                if self.draws.is_empty() {
                    self.after(self.part_time, 0, Event::Carried);
                }
                self.draws.push_back(Draw {
                    agent: place,
                    request,
                    chunk,
                });
            }
        }
    }

    /// Takes the part that the link has carried to its agent; the next draw has its turn.
    ///
    /// The part of a draw that was given up is carried in vain.
    fn carry(&mut self) {
        self.carried += 1;
        let Some(draw) = self.draws.pop_front() else {
            return;
        };
        if !self.cancelled.contains(&(draw.agent, draw.request)) {
            let answer = Answer::Bytes(self.bytes(draw.chunk));
            self.after(REACH, draw.agent, Event::Answer(draw.request, answer));
        }
        if !self.draws.is_empty() {
            self.after(self.part_time, 0, Event::Carried);
        }
    }

    fn bytes(&self, chunk: u32) -> Bytes {
        let start = chunk as usize * 4;
        Bytes::from(self.data[start..start + 4].to_vec())
    }

    fn ask(&self, place: usize, peer: SocketAddr, chunk: u32) -> Option<Answer> {
        let asker = &self.agents[place];
        let owner = self.agents.iter().position(|agent| agent.address == peer)?;
        if self.is_hung(owner) {
            return None;
        }
        let owner = &self.agents[owner];
        let digest = owner.downloader.version().chunk_digest(chunk);
        let asker = Requester {
            address: asker.address,
            same_region: asker.region == owner.region,
        };
        let held = owner.store.contains(&digest);
        let answer = match owner.uploader.answer(digest, held, asker, self.now) {
            Response::Send(slot) => {
                slot.finish(self.now);
                Answer::Bytes(self.bytes(chunk))
            }
            Response::Redirect(holders) => Answer::Holders(holders),
            Response::Wait(time) => not_yet(owner, chunk, time, self.now),
        };
        Some(answer)
    }

    /// Returns the copies that the origin's link has carried.
    fn copies(&self) -> f64 {
        self.carried as f64 / PARTS as f64
    }

    /// Returns the time from the start until the last agent that doesn't hang had all parts.
    fn complete(&self) -> Option<Duration> {
        let live = self.agents.iter().filter(|agent| agent.hangs.is_none());
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

/// Time in which the origin's link carries a copy, on the grown deployments.
const COPY_TIME: Duration = Duration::from_millis(4_300);

/// Time after the origin's return in which every agent must have all parts.
const LATEST: Duration = Duration::from_secs(8);

// Guards against a version that never arrives because all agents draw at once after an outage of the origin: with 88 agents
// the first engine had it 23 s after the origin's return, and 6.5 copies were sent.
#[parameterized(
    no_outage = { 0, 0, 1.1 },
    soon = { 1_000, 7_000, 2.0 },
    midway = { 2_500, 8_500, 2.0 },
    short = { 4_000, 6_000, 2.0 },
    long = { 500, 10_500, 2.0 },
    longest = { 200, 20_000, 2.0 },
)]
fn complete_after_outage(start: u64, end: u64, most_copies: f64) {
    let mut world = World::new(29, COPY_TIME, ms(start)..ms(end));
    world.run(ms(end) + LATEST);
    let complete = world.complete();
    assert!(complete.is_some(), "{:.2} copies", world.copies());
    assert!(
        world.copies() <= most_copies,
        "{:.2} copies",
        world.copies()
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a transfer that depends on single agents: some hang while the origin is away, whichever they are.
    #[test]
    fn complete_with_hung_agents(
        start in 0..6_000u64,
        time in 0..12_000u64,
        hung in prop::collection::btree_set(0..45usize, 0..8),
        since in 0..6_000u64,
    ) {
        let away = ms(start)..ms(start + time);
        let mut world = World::new(15, COPY_TIME, away.clone());
        world.hang(hung, ms(since));
        // Agents that hang answer nothing: those that ask them learn so by the stall time, a few times over.
        let stalls = Duration::from_secs(12);
        world.run(away.end.max(ms(since)) + LATEST + stalls);
        prop_assert!(world.complete().is_some(), "{:.2} copies", world.copies());
        prop_assert!(world.copies() <= 4.0, "{:.2} copies", world.copies());
    }
}
