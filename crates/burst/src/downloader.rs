//! State machine of a transfer to one agent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use catalog::Plan;
use weights::{Chunk, ChunkIndex, Digest};

use crate::scheduler::{InFlight, RequestKind, Scheduler};
use crate::{
    Action, Answer, Complete, Grant, Members, Peer, RequestId, Source, StripeIndex, Version,
};

/// Time without progress after which a request to a peer is cancelled.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A call of [`Downloader::tick`] that is late by this much means that this process was paused, not that its peers
/// stalled.
const MIN_PROCESS_PAUSE: Duration = Duration::from_secs(1);

/// Number of missing chunks below which slow requests are duplicated.
const ENDGAME_CHUNKS: usize = 8;

/// Age from which a request counts as slow while few chunks are missing.
const SLOW_REQUEST_AGE: Duration = Duration::from_millis(500);

/// Configuration of a transfer.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The local agent.
    pub local: Peer,
    /// Prefix of the holder names in permit objects. It must be unique per transfer: a second transfer with the same
    /// prefix would reuse the grants of the first.
    pub holder_prefix: String,
    /// What the transfer optimizes for.
    pub plan: Plan,
    /// Maximum number of requests in progress, not counting duplicates.
    pub max_requests: usize,
    /// Maximum number of requests in progress that fetch chunks from outside the domain; see
    /// [`MAX_UPSTREAM_REQUESTS`](crate::MAX_UPSTREAM_REQUESTS).
    pub max_upstream_requests: usize,
    /// Maximum delay before a failed call to the origin is retried; see [`MAX_RETRY_DELAY`](crate::MAX_RETRY_DELAY).
    pub max_retry_delay: Duration,
    /// Time that the origin's link takes to carry one chunk, or zero if unknown.
    pub origin_chunk_time: Duration,
    /// Seed of the request order of stripes that other agents own; agents should use different seeds.
    pub seed: u64,
}

/// Counters of a transfer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Chunks received from other agents.
    pub from_peers: u32,
    /// Chunks received from the origin.
    pub from_origin: u32,
    /// Chunks whose digest didn't match the manifest.
    pub corrupted: u32,
    /// Requests cancelled after a stall.
    pub stalled: u32,
    /// Requests that failed.
    pub failed: u32,
}

/// Decides how one agent gets all chunks of a version.
///
/// Its methods take an event and the current time and return the actions to perform. [`Downloader::tick`] must be
/// called at [`Downloader::deadline`] or earlier.
///
/// ```
/// use std::time::Instant;
/// use burst::{Action, Answer, Downloader, Grant, Members, Peer, Setup, Source, Version};
///
/// let manifest = weights::Manifest::build(b"0123", 4);
/// let version = Version::check(manifest.digest(), manifest).unwrap();
/// let me = Peer {
///     name: "vm-1".into(),
///     domain: "levis".into(),
///     region: "levis".into(),
///     address: ([127, 0, 0, 1], 1).into(),
/// };
/// let setup = Setup {
///     local: me,
///     holder_prefix: "vm-1/5/0".into(),
///     plan: catalog::Plan::OriginBytes,
///     max_requests: 8,
///     max_upstream_requests: burst::MAX_UPSTREAM_REQUESTS,
///     max_retry_delay: burst::MAX_RETRY_DELAY,
///     origin_chunk_time: std::time::Duration::ZERO,
///     seed: 1,
/// };
/// let now = Instant::now();
/// let (mut downloader, actions) = Downloader::start(setup, version, &Members::default(), |_| false, now);
/// assert!(matches!(&actions[..], [Action::RequestPermit { stripe: 0, .. }]));
/// let actions = downloader.handle_grant(0, Grant::Granted, now);
/// let [Action::Fetch { request, from: Source::Origin, .. }] = actions[..] else { panic!() };
/// let actions = downloader.handle_answer(request, Answer::Bytes("0123".into()), now);
/// assert!(matches!(&actions[..], [Action::Stage { .. }, Action::Complete(_)]));
/// ```
#[derive(Debug)]
pub struct Downloader {
    setup: Setup,
    version: Version,
    scheduler: Scheduler,
    requests: BTreeMap<RequestId, Request>,
    next_request: RequestId,
    missing: usize,
    stats: Stats,
}

#[derive(Debug)]
struct Request {
    chunk: ChunkIndex,
    from: Source,
    kind: RequestKind,
    started: Instant,
    last_progress: Instant,
    duplicated: bool,
}

impl Downloader {
    /// Starts the transfer of `version`; `held` returns whether the agent already holds a verified chunk.
    pub fn start(
        setup: Setup,
        version: Version,
        members: &Members,
        held: impl Fn(&Digest) -> bool,
        now: Instant,
    ) -> (Self, Vec<Action>) {
        let missing = |chunk: &ChunkIndex| !held(&version.chunk_digest(*chunk));
        let missing: Vec<ChunkIndex> = (0..version.chunk_count()).filter(missing).collect();
        let mut downloader = Self {
            scheduler: Scheduler::new(&setup, &version, members, &missing),
            missing: missing.len(),
            setup,
            version,
            requests: BTreeMap::new(),
            next_request: 0,
            stats: Stats::default(),
        };
        let mut actions = Vec::new();
        if downloader.missing == 0 {
            actions.push(Action::Complete(Complete::new(downloader.version.digest())));
        }
        downloader.start_requests(now, &mut actions);
        (downloader, actions)
    }

    /// Cancels this transfer and starts one of `version` that keeps the list of avoided peers.
    ///
    /// Chunks for which `held` returns true are not requested again.
    pub fn replace(
        self,
        holder: String,
        plan: Plan,
        version: Version,
        held: impl Fn(&Digest) -> bool,
        now: Instant,
    ) -> (Self, Vec<Action>) {
        let setup = Setup {
            holder_prefix: holder,
            plan,
            ..self.setup.clone()
        };
        let first = self.next_request;
        let (mut actions, scheduler) = self.cancel_all();
        let missing: Vec<ChunkIndex> = (0..version.chunk_count())
            .filter(|chunk| !held(&version.chunk_digest(*chunk)))
            .collect();
        let mut downloader = Self {
            scheduler: scheduler.replace(&setup, &version, &missing),
            missing: missing.len(),
            setup,
            version,
            requests: BTreeMap::new(),
            // Request ids continue, so that a late answer to the cancelled transfer is recognized as such.
            next_request: first,
            stats: Stats::default(),
        };
        if downloader.missing == 0 {
            actions.push(Action::Complete(Complete::new(downloader.version.digest())));
        }
        downloader.start_requests(now, &mut actions);
        (downloader, actions)
    }

    /// Stops the transfer and returns the cancellations of its requests.
    pub fn stop(self) -> Vec<Action> {
        self.cancel_all().0
    }

    /// Returns the version being transferred.
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// Returns the number of chunks not verified yet.
    pub fn missing(&self) -> usize {
        self.missing
    }

    /// Returns the counters of the transfer.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns whether this agent must retain the chunks of `stripe`. The first two owners do, so that a domain holds
    /// two copies after the burst.
    pub fn must_keep(&self, stripe: StripeIndex) -> bool {
        self.scheduler
            .peers()
            .owner_rank(stripe)
            .is_some_and(|rank| rank < 2)
    }

    /// Returns when an agent, possibly this one, was last known to draw `stripe` from the origin.
    pub fn last_draw(&self, stripe: StripeIndex, now: Instant) -> Option<Instant> {
        self.scheduler.last_draw(stripe, now)
    }

    /// Returns when [`Downloader::tick`] must be called, or `None` when no timeout is pending.
    pub fn deadline(&self, now: Instant) -> Option<Instant> {
        let stalls = self.requests.values().map(|request| {
            let slow = request.started + SLOW_REQUEST_AGE;
            let stall = request.last_progress + self.stall_timeout(request.from);
            if self.missing < ENDGAME_CHUNKS && !request.duplicated && slow > now {
                slow.min(stall)
            } else {
                stall
            }
        });
        stalls.chain(self.scheduler.deadline()).min()
    }

    /// Records progress of `request`: bytes arrived, or this agent's own rate limit delays it.
    pub fn progress(&mut self, request: RequestId, now: Instant) {
        if let Some(request) = self.requests.get_mut(&request) {
            request.last_progress = now;
            if matches!(request.kind, RequestKind::Draw(_)) {
                self.scheduler.draw_progressed(now);
            }
        }
    }

    /// Returns whether the receiver of `request` should answer at once if it doesn't hold the chunk. Otherwise it may
    /// hold the request until the chunk arrives.
    pub fn expects_immediate_answer(&self, request: RequestId) -> bool {
        let request = self.requests.get(&request);
        request
            .is_some_and(|request| matches!(request.kind, RequestKind::Probe | RequestKind::Search))
    }

    /// Handles the answer to `request`; answers to unknown requests are ignored.
    pub fn handle_answer(
        &mut self,
        request: RequestId,
        answer: Answer,
        now: Instant,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(request) = self.requests.remove(&request) {
            self.apply_answer(&request, answer, now, &mut actions);
        }
        self.start_requests(now, &mut actions);
        actions
    }

    /// Handles the answer to [`Action::RequestPermit`].
    pub fn handle_grant(&mut self, stripe: StripeIndex, grant: Grant, now: Instant) -> Vec<Action> {
        self.scheduler.permit_answered(stripe, grant, now);
        let mut actions = Vec::new();
        self.start_requests(now, &mut actions);
        actions
    }

    /// Sets when the draws of all agents together began, if that was before the start of this transfer: an agent that
    /// starts late must not wait as if nothing had been drawn yet.
    pub fn set_draws_since(&mut self, since: Instant) {
        self.scheduler.set_draws_since(since);
    }

    /// Replaces the members.
    pub fn set_members(&mut self, members: &Members, now: Instant) -> Vec<Action> {
        self.scheduler.set_members(members);
        let mut actions = Vec::new();
        self.start_requests(now, &mut actions);
        actions
    }

    /// Cancels stalled requests and retries those whose delay has passed.
    ///
    /// After a pause of this process all requests look stalled, so their timeouts restart: an agent that avoided all
    /// its peers would receive nothing for 10 s.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let first = self
            .requests
            .values()
            .map(|request| request.last_progress)
            .min();
        if first.is_some_and(|first| first + STALL_TIMEOUT + MIN_PROCESS_PAUSE <= now) {
            for request in self.requests.values_mut() {
                request.last_progress = now;
            }
        }
        let stalled = |(id, request): (&RequestId, &Request)| {
            (request.last_progress + self.stall_timeout(request.from) <= now).then_some(*id)
        };
        let stalled: Vec<RequestId> = self.requests.iter().filter_map(stalled).collect();
        for id in stalled {
            if let Some(request) = self.requests.remove(&id) {
                self.stats.stalled += 1;
                self.scheduler.failed(request.kind, request.from, now);
                self.requeue(request.chunk);
                actions.push(Action::Cancel { request: id });
            }
        }
        self.start_requests(now, &mut actions);
        actions
    }

    /// Returns the time without progress after which a request is cancelled.
    ///
    /// When all agents draw at once, an agent's next byte arrives after the origin's link has carried a chunk for every
    /// other agent. If the request were cancelled earlier, that chunk would be carried for nothing.
    fn stall_timeout(&self, from: Source) -> Duration {
        match from {
            Source::Peer(_) => STALL_TIMEOUT,
            Source::Origin => STALL_TIMEOUT.max(self.scheduler.origin_round_time() * 2),
        }
    }

    fn apply_answer(
        &mut self,
        request: &Request,
        answer: Answer,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match answer {
            Answer::Bytes(bytes) => match self.version.verify_chunk(request.chunk, bytes) {
                Ok(content) => return self.accept_chunk(request, content, now, actions),
                Err(_) => {
                    self.stats.corrupted += 1;
                    self.scheduler
                        .corrupted(request.chunk, request.kind, request.from, now);
                }
            },
            Answer::Holders(holders) => self.scheduler.redirected_to(request.chunk, holders, now),
            Answer::NotYet(time) => self
                .scheduler
                .not_yet(request.chunk, request.kind, time, now),
            Answer::Drawing { wait, age } => {
                self.scheduler
                    .drawing(request.chunk, request.kind, (wait, age), now)
            }
            Answer::Unknown(time) => {
                self.scheduler
                    .version_unknown(request.chunk, request.kind, request.from, time, now)
            }
            Answer::Failed => {
                self.stats.failed += 1;
                self.scheduler.failed(request.kind, request.from, now);
            }
        }
        self.requeue(request.chunk);
    }

    fn accept_chunk(
        &mut self,
        request: &Request,
        content: Chunk,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match request.from {
            Source::Origin => self.stats.from_origin += 1,
            Source::Peer(_) => self.stats.from_peers += 1,
        }
        self.scheduler.received(request.chunk, request.kind, now);
        self.missing -= 1;
        self.cancel_chunk(request.chunk, actions);
        actions.push(Action::Stage {
            chunk: request.chunk,
            content,
            keep: self.must_keep(self.version.stripes().stripe_of(request.chunk)),
        });
        if self.missing == 0 {
            actions.push(Action::Complete(Complete::new(self.version.digest())));
        }
    }

    fn cancel_chunk(&mut self, chunk: ChunkIndex, actions: &mut Vec<Action>) {
        let others =
            |(id, request): (&RequestId, &Request)| (request.chunk == chunk).then_some(*id);
        let others: Vec<RequestId> = self.requests.iter().filter_map(others).collect();
        for id in others {
            self.requests.remove(&id);
            actions.push(Action::Cancel { request: id });
        }
    }

    fn cancel_all(self) -> (Vec<Action>, Scheduler) {
        let ids = self.requests.into_keys();
        (
            ids.map(|request| Action::Cancel { request }).collect(),
            self.scheduler,
        )
    }

    /// Puts a chunk back into the queue unless another request for it is in progress.
    fn requeue(&mut self, chunk: ChunkIndex) {
        if !self.requests.values().any(|request| request.chunk == chunk) {
            self.scheduler.requeue(chunk);
        }
    }

    fn start_requests(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.requests.len() < self.setup.max_requests {
            let in_flight = self.in_flight();
            let Some((chunk, from, kind)) = self.scheduler.next_request(in_flight, now, actions)
            else {
                break;
            };
            self.start_request(chunk, from, kind, now, actions);
        }
        if self.missing < ENDGAME_CHUNKS {
            self.duplicate_slow(now, actions);
        }
    }

    fn in_flight(&self) -> InFlight {
        let kinds = self.requests.values().map(|request| request.kind);
        InFlight {
            upstream: kinds.clone().filter(|kind| kind.is_upstream()).count(),
            draws: kinds
                .filter(|kind| matches!(kind, RequestKind::Draw(_)))
                .count(),
        }
    }

    /// Requests slow chunks from a second peer, never from the origin.
    fn duplicate_slow(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let slow = |(id, request): (&RequestId, &Request)| {
            (!request.duplicated && request.started + SLOW_REQUEST_AGE <= now).then_some((
                *id,
                request.chunk,
                request.from,
            ))
        };
        let slow: Vec<_> = self.requests.iter().filter_map(slow).collect();
        for (id, chunk, from) in slow {
            if let Some(request) = self.requests.get_mut(&id) {
                request.duplicated = true;
            }
            if let Some(peer) = self.scheduler.alternative_peer(chunk, from, now) {
                self.start_request(
                    chunk,
                    Source::Peer(peer),
                    RequestKind::Duplicate,
                    now,
                    actions,
                );
            }
        }
    }

    fn start_request(
        &mut self,
        chunk: ChunkIndex,
        from: Source,
        kind: RequestKind,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let request = self.next_request;
        self.next_request += 1;
        let record = Request {
            chunk,
            from,
            kind,
            started: now,
            last_progress: now,
            duplicated: kind == RequestKind::Duplicate,
        };
        self.requests.insert(request, record);
        actions.push(Action::Fetch {
            request,
            chunk,
            from,
        });
    }
}
