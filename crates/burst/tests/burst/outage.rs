//! Simulates a burst during which the origin is unavailable for a while.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use burst::{
    Action, Answer, Downloader, Grant, Members, Requester, Response, Setup, Source, UploadSlot,
    Uploader,
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
/// Time that an agent's link takes to carry a chunk.
const PEER_CHUNK_TIME: Duration = Duration::from_millis(32);
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
    /// When the agent's link has carried all chunks that it sends, and all that it receives.
    sent_at: Instant,
    received_at: Instant,
    /// When the agent stops responding.
    hangs_at: Option<Instant>,
}

/// A simulated event.
enum Event {
    Tick,
    /// A request reaches its destination.
    Arrive(u64, u32, Source),
    Answer(u64, Answer, Option<UploadSlot>),
    /// The origin's link has carried a chunk, unless the draws in progress have changed since.
    Carried(u64),
    /// The origin becomes unavailable.
    OriginLost,
}

/// A draw in progress at the origin's link.
struct Draw {
    agent: usize,
    request: u64,
    chunk: u32,
    /// Time for which the link has yet to carry the chunk, if it carries nothing else.
    remaining: Duration,
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
    /// Draws among which the origin's link is divided equally.
    draws: Vec<Draw>,
    /// Number of times that the draws have changed, and the last time.
    draw_changes: u64,
    draws_changed_at: Instant,
    chunk_time: Duration,
    /// Time for which the origin's link has carried chunks.
    carried: Duration,
}

impl World {
    /// Starts `per_domain` agents in each of three regions; the origin's link carries a copy in `copy_time`.
    fn new(per_domain: usize, copy_time: Duration, outage: std::ops::Range<Duration>) -> Self {
        Self::with_start_spread(per_domain, copy_time, outage, Duration::ZERO)
    }

    /// Like [`World::new`], with the starts of the agents spread over `spread`.
    fn with_start_spread(
        per_domain: usize,
        copy_time: Duration,
        outage: std::ops::Range<Duration>,
        spread: Duration,
    ) -> Self {
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
            draws: Vec::new(),
            draw_changes: 0,
            draws_changed_at: start,
            chunk_time: copy_time / CHUNKS as u32,
            carried: Duration::ZERO,
        };
        let lost_at = world.outage.start;
        world.schedule(lost_at, 0, Event::OriginLost);
        let count = peers.len();
        for (index, me) in peers.into_iter().enumerate() {
            let setup = Setup {
                max_requests: 16,
                max_upstream_requests: 12,
                max_retry_delay: MAX_RETRY_DELAY,
                origin_chunk_time: copy_time / CHUNKS as u32,
                seed: index as u64 * 7919,
                ..setup(me.clone(), Plan::OriginBytes)
            };
            // Neighbours in this order start at different times.
            let fraction = (index * 7919 % count) as f64 / count as f64;
            world.now = start + spread.mul_f64(fraction);
            let (downloader, actions) =
                Downloader::start(setup, version.clone(), &members, |_| false, world.now);
            world.agents.push(Agent {
                downloader,
                uploader: Uploader::new(4),
                store: ChunkStore::new(1 << 20),
                address: me.address,
                region: me.region,
                complete: None,
                sent_at: start,
                received_at: start,
                hangs_at: None,
            });
            world.perform(index, actions);
            world.schedule(ms(50), index, Event::Tick);
        }
        world.now = start;
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
        while self.complete().is_none() {
            let next = self.events.first_entry();
            let Some(next) = next.filter(|next| next.key().0 <= self.start + end) else {
                return;
            };
            let ((at, _), (index, event)) = next.remove_entry();
            self.now = at;
            if self.is_hung(index) && !matches!(event, Event::Carried(_) | Event::OriginLost) {
                continue;
            }
            match event {
                Event::Tick => {
                    let draws = self.draws.iter().filter(|draw| draw.agent == index);
                    for draw in draws {
                        let downloader = &mut self.agents[index].downloader;
                        downloader.progress(draw.request, at);
                    }
                    self.update(index, Downloader::tick);
                    self.schedule(ms(50), index, Event::Tick);
                }
                Event::Arrive(request, chunk, from) => self.arrive(index, request, chunk, from),
                Event::Answer(request, answer, slot) => {
                    if let Some(slot) = slot {
                        slot.finish(self.now);
                    }
                    self.update(index, |downloader, now| {
                        downloader.handle_answer(request, answer, now)
                    });
                }
                Event::Carried(change) if change == self.draw_changes => self.deliver_chunks(),
                Event::Carried(_) => {}
                Event::OriginLost => self.lose_draws(),
            }
        }
    }

    fn arrive(&mut self, index: usize, request: u64, chunk: u32, from: Source) {
        match from {
            Source::Peer(peer) => self.request_from_peer(index, request, peer, chunk),
            Source::Origin
                if self.outage.contains(&(self.now - self.start))
                    || self.draws.len() >= CONNECTIONS =>
            {
                self.answer_draw(index, request, Answer::Failed);
            }
            Source::Origin => {
                self.divide_link();
                self.draws.push(Draw {
                    agent: index,
                    request,
                    chunk,
                    remaining: self.chunk_time,
                });
                self.schedule_next_chunk();
            }
        }
    }

    fn answer_draw(&mut self, index: usize, request: u64, answer: Answer) {
        self.schedule(ORIGIN_DELAY, index, Event::Answer(request, answer, None));
    }

    /// Divides what the origin's link has carried since the last change among the draws.
    fn divide_link(&mut self) {
        let elapsed = self.now - self.draws_changed_at;
        self.draws_changed_at = self.now;
        self.draw_changes += 1;
        if !self.draws.is_empty() {
            self.carried += elapsed;
        }
        let share = elapsed / self.draws.len().max(1) as u32;
        for draw in &mut self.draws {
            draw.remaining = draw.remaining.saturating_sub(share);
        }
    }

    fn schedule_next_chunk(&mut self) {
        let next = self.draws.iter().map(|draw| draw.remaining).min();
        if let Some(next) = next {
            let time = next * self.draws.len() as u32;
            self.schedule(time, 0, Event::Carried(self.draw_changes));
        }
    }

    /// Delivers the chunks that the link has carried. The chunk of a cancelled draw is carried and then discarded.
    fn deliver_chunks(&mut self) {
        self.divide_link();
        let carried = |draw: &mut Draw| draw.remaining < Duration::from_micros(1);
        let delivered: Vec<Draw> = self.draws.extract_if(.., carried).collect();
        for draw in delivered {
            let bytes = self.bytes(draw.chunk);
            self.answer_draw(draw.agent, draw.request, Answer::Bytes(bytes));
        }
        self.schedule_next_chunk();
    }

    /// Breaks off the draws in progress.
    fn lose_draws(&mut self) {
        self.divide_link();
        for draw in std::mem::take(&mut self.draws) {
            self.answer_draw(draw.agent, draw.request, Answer::Failed);
        }
    }

    fn bytes(&self, chunk: u32) -> Bytes {
        let start = chunk as usize * 4;
        Bytes::from(self.data[start..start + 4].to_vec())
    }

    fn request_from_peer(&mut self, index: usize, request: u64, peer: SocketAddr, chunk: u32) {
        let now = self.now;
        let requester = &self.agents[index];
        let owner = self.agents.iter().position(|agent| agent.address == peer);
        let Some(owner) = owner.filter(|owner| !self.is_hung(*owner)) else {
            return;
        };
        let sender = &self.agents[owner];
        let digest = sender.downloader.version().chunk_digest(chunk);
        let requester = Requester {
            address: requester.address,
            same_region: requester.region == sender.region,
        };
        let held = sender.store.contains(&digest);
        let (mut received_at, mut slot) = (now, None);
        let sent_at;
        let answer = match sender.uploader.answer(digest, held, requester, now) {
            Response::Send(used) => {
                // The sender doesn't wait for a receiver whose link is busy with other chunks.
                sent_at = sender.sent_at.max(now) + PEER_CHUNK_TIME;
                let receiver = &mut self.agents[index];
                received_at = receiver.received_at.max(sent_at - PEER_CHUNK_TIME) + PEER_CHUNK_TIME;
                receiver.received_at = received_at;
                self.agents[owner].sent_at = sent_at;
                slot = Some(used);
                Answer::Bytes(self.bytes(chunk))
            }
            Response::Redirect(holders) => Answer::Holders(holders),
            Response::Wait(time) => not_yet(sender, chunk, time, now),
        };
        let time = received_at - now + PEER_ROUND_TRIP;
        self.schedule(time, index, Event::Answer(request, answer, slot));
    }

    /// Returns the number of copies that the origin's link has carried.
    fn copies_sent(&self) -> f64 {
        self.carried.as_secs_f64() / (self.chunk_time * CHUNKS as u32).as_secs_f64()
    }

    /// Returns the number of chunks that at least one live agent holds.
    fn held_chunks(&self) -> usize {
        let live = (0..self.agents.len()).filter(|index| !self.is_hung(*index));
        let live: Vec<&Agent> = live.map(|index| &self.agents[index]).collect();
        let version = self.agents[0].downloader.version();
        let held = |chunk: &u32| {
            let digest = version.chunk_digest(*chunk);
            live.iter().any(|agent| agent.store.contains(&digest))
        };
        (0..CHUNKS as u32).filter(held).count()
    }

    /// Returns the time from the start until the first agent had all chunks.
    fn first_complete(&self) -> Option<Duration> {
        let times = self.agents.iter().filter_map(|agent| agent.complete);
        Some(times.min()? - self.start)
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

/// Time in which agents learn of a version and read its manifest.
const START_SPREAD: Duration = Duration::from_millis(150);

/// Time that the origin's link takes to carry a copy in the grown deployments.
const GROWN_COPY_TIME: Duration = Duration::from_millis(2_800);

/// Time from the start of the transfers until the origin becomes unavailable, and until it returns.
const GROWN_OUTAGE: std::ops::Range<u64> = 2_100..8_100;

// Guards against draws that share the origin's link until it becomes unavailable and then are all lost: 26 draws of 26
// agents broke off at once, and the version was late in every engine.
#[parameterized(
    small = { 5 },
    medium = { 12 },
    large = { 50 },
)]
fn held_before_outage(per_domain: usize) {
    let outage = ms(GROWN_OUTAGE.start)..ms(GROWN_OUTAGE.end);
    let mut world = World::with_start_spread(per_domain, GROWN_COPY_TIME, outage, START_SPREAD);
    world.run(ms(GROWN_OUTAGE.start));
    // The link carries 72 chunks until then; some of the time passes before the first and during the last draws.
    let held = world.held_chunks();
    world.run(ms(GROWN_OUTAGE.end + 3_000));
    let (first, last) = (world.first_complete(), world.complete());
    let state = format!(
        "{held} held, {first:?}, {last:?}, {:.2} copies",
        world.copies_sent()
    );
    println!("{state}");
    assert!(held >= 62, "{state}");
    assert!(
        first.is_some_and(|first| first <= ms(GROWN_OUTAGE.end + 2_000)),
        "{state}"
    );
    assert!(last.is_some() && world.copies_sent() <= 1.5, "{state}");
}

// Guards against an agent that hangs during a draw and on which all others wait, and against draws that others start in
// place of owners whose draws are only slow.
#[parameterized(
    early = { 300 },
    midway = { 1_400 },
    late = { 2_600 },
)]
fn owner_hangs_drawing(since: u64) {
    let mut world = World::new(12, GROWN_COPY_TIME, ms(0)..ms(0));
    world.run(ms(since));
    let owner = world.draws[0].agent;
    world.hang(BTreeSet::from([owner]), ms(since));
    world.run(ms(since + 8_000));
    let state = format!("{:?}, {:.2} copies", world.complete(), world.copies_sent());
    println!("{state}");
    assert!(
        world.complete().is_some() && world.copies_sent() <= 1.2,
        "{state}"
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
