//! Which chunk to request next, and where.

mod owner;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalog::Plan;
use weights::ChunkIndex;

use crate::draw::{Backoff, Permit};
use crate::hash::Sequence;
use crate::peers::{Owner, Peers};
use crate::{Action, Grant, Members, Setup, Source, StripeIndex, Stripes, Version};

/// Permits asked for, or granted and not drawn yet; with more, the writes of a burst would come all at its start.
const ASKING: usize = 4;

/// Redirects and refusals in a row after which a chunk's stripe pauses.
const MAX_HOPS: u8 = 4;

/// Pause after [`MAX_HOPS`].
const HOP_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of the time to wait that a peer may ask for.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(5));

/// First pause of a stripe whose owner has nothing yet; it doubles up to [`MISS_SPACING`] times the number of stripes.
const MISS_PAUSE: Duration = Duration::from_millis(20);

/// Least mean time between the polls of an agent that waits for all stripes. Longer ones leave links idle: in a trial
/// with 96 stripes, pauses of up to 1 s took 6.1 s where 0.2 s took 5.3 s.
const MISS_SPACING: Duration = Duration::from_millis(2);

/// Most requests in progress that bring chunks into the domain; with more, the origin's link is divided among so many
/// chunks that the first one comes late.
pub const UPSTREAM: usize = 4;

/// Least time between requests to the peers of a stripe that can't be drawn.
const SEARCH_PAUSE: Duration = Duration::from_millis(200);

/// Time after which a stripe whose owners are all avoided is looked at again.
const NOBODY_PAUSE: Duration = Duration::from_secs(1);

/// Time for which an owner may not know the version before the next one takes over. Agents learn of a version within
/// moments of each other, but one that restarted may bring in an older version first.
const UNAWARE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why a source was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// The owner within the domain.
    Owner,
    /// Named by a redirect.
    Holder,
    /// The next owner of an own stripe, which may hold it from before this agent came.
    Probe,
    /// The owner in another domain.
    Upstream,
    /// Any peer, because the stripe can't be drawn now.
    Search,
    /// A second holder in the endgame.
    Duplicate,
    /// The origin, under the permit of an attempt.
    Draw(u32),
}

impl Kind {
    /// Tells whether the request brings a chunk into the domain.
    pub(crate) fn is_upstream(self) -> bool {
        matches!(
            self,
            Self::Probe | Self::Upstream | Self::Search | Self::Draw(_)
        )
    }
}

/// Requests in progress that bring chunks into the domain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Busy {
    /// All of them.
    pub(crate) upstream: usize,
    /// Those to the origin.
    pub(crate) draws: usize,
}

/// Queues and permits of the stripes.
#[derive(Debug)]
pub(crate) struct Chooser {
    plan: Plan,
    holder: String,
    upstream_limit: usize,
    draw_limit: usize,
    seed: u64,
    random: Sequence,
    stripes: Stripes,
    peers: Peers,
    lanes: Vec<Lane>,
    /// Stripes to look at: owned ones first, then the others in random order.
    order: Vec<StripeIndex>,
    owned: usize,
    cursor: usize,
    holders: HashMap<ChunkIndex, Holders>,
    /// Stripes of chunks that were redirected just now; they are looked at first.
    redirected: Vec<StripeIndex>,
    /// Peers that don't transfer the version, and since when that is known.
    unaware: HashMap<SocketAddr, Instant>,
    store: Backoff,
    /// Time in which the origin's link carries one chunk.
    chunk_time: Duration,
    /// Time of the last draw that brought a chunk, at first of the start.
    drew: Option<Instant>,
}

/// Holders that redirects named for a chunk and that weren't asked yet.
#[derive(Debug, Default)]
struct Holders {
    left: Vec<SocketAddr>,
    hops: u8,
}

/// State of a stripe.
#[derive(Debug)]
struct Lane {
    /// Missing chunks that aren't requested, in random order.
    pending: Vec<ChunkIndex>,
    wait: Option<Instant>,
    permit: Permit,
    probed: bool,
    turn: usize,
    /// "Not yet" answers since the last chunk.
    misses: u32,
    /// Time of the first of them, or of a later draw that showed that waiting goes on.
    missed: Option<Instant>,
    /// When an agent was last known to draw the stripe.
    drawn: Option<Instant>,
}

enum Choice {
    Ask(SocketAddr, Kind),
    Draw(u32),
    Blocked,
}

impl Chooser {
    pub(crate) fn new(
        setup: &Setup,
        version: &Version,
        members: &Members,
        missing: &[ChunkIndex],
    ) -> Self {
        let peers = Peers::new(members, setup.me.clone(), *version.stripes());
        Self::with_peers(setup, version, peers, missing)
    }

    /// Returns the state for another version, with the same members and avoided peers.
    pub(crate) fn replace(self, setup: &Setup, version: &Version, missing: &[ChunkIndex]) -> Self {
        let peers = self.peers.with_stripes(*version.stripes());
        Self::with_peers(setup, version, peers, missing)
    }

    fn with_peers(setup: &Setup, version: &Version, peers: Peers, missing: &[ChunkIndex]) -> Self {
        let stripes = *version.stripes();
        let mut random = Sequence::new(setup.seed);
        let lane = |_| Lane {
            pending: Vec::new(),
            wait: None,
            permit: Permit::NEW,
            probed: false,
            turn: 0,
            misses: 0,
            missed: None,
            drawn: None,
        };
        let mut lanes: Vec<Lane> = (0..stripes.count()).map(lane).collect();
        for chunk in missing {
            lanes[stripes.of(*chunk) as usize].pending.push(*chunk);
        }
        for lane in &mut lanes {
            random.shuffle(&mut lane.pending);
        }
        let mut chooser = Self {
            plan: setup.plan,
            holder: setup.holder.clone(),
            upstream_limit: (setup.parallel / 2).clamp(1, setup.upstream.max(1)),
            draw_limit: 1,
            seed: setup.seed,
            random,
            stripes,
            peers,
            lanes,
            order: Vec::new(),
            owned: 0,
            cursor: 0,
            holders: HashMap::new(),
            redirected: Vec::new(),
            unaware: HashMap::new(),
            store: Backoff::new(setup.longest_pause),
            chunk_time: setup.chunk_time,
            drew: None,
        };
        chooser.sort();
        chooser.share_draws();
        chooser
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    pub(crate) fn set_members(&mut self, members: &Members) {
        self.peers.set_members(members);
        for lane in &mut self.lanes {
            lane.probed = false;
        }
        self.sort();
        self.share_draws();
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        let waiting = self.lanes.iter().filter(|lane| !lane.pending.is_empty());
        waiting.filter_map(|lane| lane.wait).min()
    }

    /// Takes the next chunk to request off its queue, or adds a request for a permit to `actions`.
    ///
    /// At most half of the parallel requests, and at most [`Setup::upstream`], bring chunks into the domain, so that a slow
    /// origin doesn't keep the chunks that peers hold waiting.
    pub(crate) fn pick(
        &mut self,
        busy: Busy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Option<(ChunkIndex, Source, Kind)> {
        self.drew.get_or_insert(now);
        while let Some(stripe) = self.redirected.pop() {
            if let Some(picked) = self.pick_from(stripe, busy, now, actions) {
                return Some(picked);
            }
        }
        let others = self.order.len() - self.owned;
        for step in 0..self.order.len() {
            let place = if step < self.owned {
                step
            } else {
                self.owned + (self.cursor + step - self.owned) % others
            };
            let stripe = self.order[place];
            if let Some(picked) = self.pick_from(stripe, busy, now, actions) {
                if place >= self.owned {
                    self.cursor = place - self.owned + 1;
                }
                return Some(picked);
            }
        }
        None
    }

    /// Returns a peer that may hold `chunk`, other than `from`; with [`Plan::Direct`] there is none.
    pub(crate) fn second(
        &self,
        chunk: ChunkIndex,
        from: Source,
        now: Instant,
    ) -> Option<SocketAddr> {
        if self.plan == Plan::Direct {
            return None;
        }
        let not = match from {
            Source::Peer(peer) => Some(peer),
            Source::Origin => None,
        };
        self.peers.another(self.stripes.of(chunk), not, now)
    }

    pub(crate) fn requeue(&mut self, chunk: ChunkIndex) {
        self.lane(chunk).pending.push(chunk);
    }

    pub(crate) fn received(&mut self, chunk: ChunkIndex, kind: Kind, now: Instant) {
        self.holders.remove(&chunk);
        let lane = self.lane(chunk);
        lane.pending.retain(|pending| *pending != chunk);
        lane.misses = 0;
        lane.missed = None;
        if matches!(kind, Kind::Draw(_)) {
            self.store.reset();
            self.drew = Some(now);
        }
    }

    pub(crate) fn corrupted(&mut self, chunk: ChunkIndex, kind: Kind, from: Source, now: Instant) {
        if let Kind::Draw(attempt) = kind {
            self.lane(chunk).permit.spend(attempt);
        }
        self.failed(kind, from, now);
    }

    pub(crate) fn failed(&mut self, kind: Kind, from: Source, now: Instant) {
        match from {
            Source::Origin => {
                self.store.fail(now);
                self.wait_anew(now);
            }
            // The chooser of a duplicate expects no particular peer to hold the chunk, but an error is an error.
            Source::Peer(peer) => self.peers.avoid(peer, now),
        }
        debug_assert_eq!(from == Source::Origin, matches!(kind, Kind::Draw(_)));
    }

    pub(crate) fn holders(
        &mut self,
        chunk: ChunkIndex,
        mut holders: Vec<SocketAddr>,
        now: Instant,
    ) {
        self.random.shuffle(&mut holders);
        self.holders.entry(chunk).or_default().left = holders;
        self.redirected.push(self.stripes.of(chunk));
        self.hop(chunk, now);
    }

    pub(crate) fn not_yet(&mut self, chunk: ChunkIndex, kind: Kind, time: Duration, now: Instant) {
        let time = time.clamp(WAIT_BOUNDS.0, WAIT_BOUNDS.1);
        match kind {
            Kind::Owner | Kind::Upstream => {
                let longest = MISS_SPACING * self.stripes.count();
                let lane = self.lane(chunk);
                lane.missed.get_or_insert(now);
                let backoff = MISS_PAUSE * 2u32.pow(lane.misses.min(10));
                // Parallel requests that miss at the same time count once.
                lane.misses += u32::from(lane.wait.is_none_or(|wait| wait <= now));
                lane.wait = Some(now + time.max(backoff.min(longest)));
            }
            Kind::Holder => self.hop(chunk, now),
            Kind::Probe => self.lane(chunk).probed = true,
            Kind::Search => {
                let lane = self.lane(chunk);
                lane.turn += 1;
                lane.wait = Some(now + time.max(SEARCH_PAUSE));
            }
            Kind::Duplicate => {}
            Kind::Draw(_) => self.store.wait(time, now),
        }
    }

    /// Takes the answer of a peer that has nothing yet and knows that an agent drew the chunk `age` ago.
    pub(crate) fn drawing(
        &mut self,
        chunk: ChunkIndex,
        kind: Kind,
        (wait, age): (Duration, Duration),
        now: Instant,
    ) {
        self.not_yet(chunk, kind, wait, now);
        let lane = self.lane(chunk);
        lane.drawn = lane.drawn.max(now.checked_sub(age));
    }

    /// Takes the answer of a peer that doesn't transfer the version; it is avoided when that lasts.
    pub(crate) fn unknown(
        &mut self,
        chunk: ChunkIndex,
        kind: Kind,
        from: Source,
        time: Duration,
        now: Instant,
    ) {
        self.not_yet(chunk, kind, time, now);
        let Source::Peer(peer) = from else { return };
        let since = *self.unaware.entry(peer).or_insert(now);
        if now.saturating_duration_since(since) >= UNAWARE_TIMEOUT {
            self.unaware.remove(&peer);
            self.peers.avoid(peer, now);
        }
    }

    pub(crate) fn permit(&mut self, stripe: StripeIndex, grant: Grant, now: Instant) {
        if let Some(lane) = self.lanes.get_mut(stripe as usize) {
            lane.permit.take(grant, now);
        }
    }

    fn lane(&mut self, chunk: ChunkIndex) -> &mut Lane {
        &mut self.lanes[self.stripes.of(chunk) as usize]
    }

    /// Counts a request that led nowhere and pauses before a cycle of busy holders turns into a storm of requests.
    fn hop(&mut self, chunk: ChunkIndex, now: Instant) {
        let holders = self.holders.entry(chunk).or_default();
        holders.hops += 1;
        if holders.hops >= MAX_HOPS {
            holders.hops = 0;
            self.lane(chunk).wait = Some(now + HOP_PAUSE);
        }
    }

    fn sort(&mut self) {
        let (mut order, mut others): (Vec<_>, Vec<_>) =
            (0..self.stripes.count()).partition(|stripe| self.peers.rank(*stripe) == Some(0));
        let mut random = Sequence::new(self.seed);
        random.shuffle(&mut order);
        random.shuffle(&mut others);
        self.owned = order.len();
        order.append(&mut others);
        self.order = order;
        self.cursor = 0;
    }

    fn pick_from(
        &mut self,
        stripe: StripeIndex,
        busy: Busy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Option<(ChunkIndex, Source, Kind)> {
        let lane = &mut self.lanes[stripe as usize];
        if lane.wait.is_some_and(|wait| wait > now) {
            return None;
        }
        lane.wait = None;
        let chunk = *lane.pending.last()?;
        let (from, kind) = match self.choose(stripe, chunk, busy, now, actions) {
            Choice::Ask(peer, kind) => (Source::Peer(peer), kind),
            Choice::Draw(attempt) => (Source::Origin, Kind::Draw(attempt)),
            Choice::Blocked => return None,
        };
        self.lanes[stripe as usize].pending.pop();
        Some((chunk, from, kind))
    }

    fn choose(
        &mut self,
        stripe: StripeIndex,
        chunk: ChunkIndex,
        busy: Busy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Choice {
        if let Some(holder) = self.next_holder(chunk, now) {
            return Choice::Ask(holder, Kind::Holder);
        }
        if self.plan == Plan::Direct {
            return self.draw_direct(stripe, now);
        }
        match self.peers.owner(stripe, now) {
            Owner::Peer(peer) if !self.owner_is_late(stripe, now) => Choice::Ask(peer, Kind::Owner),
            Owner::Nobody => self.pause(stripe, now + NOBODY_PAUSE),
            _ if busy.upstream >= self.upstream_limit => Choice::Blocked,
            Owner::Own => self.bring_in(stripe, busy.draws, now, actions),
            Owner::Peer(_) => {
                let choice = self.bring_in(stripe, busy.draws, now, actions);
                if matches!(choice, Choice::Draw(_)) {
                    self.wait_anew(now);
                }
                choice
            }
        }
    }

    fn next_holder(&mut self, chunk: ChunkIndex, now: Instant) -> Option<SocketAddr> {
        let holders = self.holders.get_mut(&chunk)?;
        while let Some(holder) = holders.left.pop() {
            if self.peers.usable(holder, now) && !self.peers.is_me(holder) {
                return Some(holder);
            }
        }
        None
    }

    fn draw_direct(&mut self, stripe: StripeIndex, now: Instant) -> Choice {
        match self.store.blocked(now) {
            Some(until) => self.pause(stripe, until),
            None => Choice::Draw(0),
        }
    }

    /// Chooses the source of a stripe that this agent brings into its domain.
    fn bring_in(
        &mut self,
        stripe: StripeIndex,
        draws: usize,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Choice {
        if !self.lanes[stripe as usize].probed
            && let Some(peer) = self.peers.another(stripe, None, now)
        {
            return Choice::Ask(peer, Kind::Probe);
        }
        if let Some(peer) = self.upstream(stripe, now) {
            return Choice::Ask(peer, Kind::Upstream);
        }
        let store = self.store.blocked(now);
        let retry = match self.lanes[stripe as usize].permit {
            Permit::Asked { .. } => return Choice::Blocked,
            Permit::Granted { .. } if store.is_none() && draws >= self.draw_limit => {
                return Choice::Blocked;
            }
            Permit::Granted { attempt } if store.is_none() => return Choice::Draw(attempt),
            Permit::Granted { .. } => store,
            Permit::Refused => None,
            Permit::Wanted { at: Some(at), .. } if at > now => Some(at),
            Permit::Wanted { .. } if store.is_some() => store,
            Permit::Wanted { .. } if self.ahead(now) >= ASKING => return Choice::Blocked,
            Permit::Wanted { attempt, read, .. } => {
                let lane = &mut self.lanes[stripe as usize];
                lane.permit = Permit::Asked { attempt };
                let holder = format!("{}/{attempt}", self.holder);
                actions.push(Action::AskPermit {
                    stripe,
                    holder,
                    read,
                });
                return Choice::Blocked;
            }
        };
        match self
            .peers
            .any(stripe, self.lanes[stripe as usize].turn, now)
        {
            Some(peer) => Choice::Ask(peer, Kind::Search),
            None => self.pause(stripe, retry.unwrap_or(now + NOBODY_PAUSE)),
        }
    }

    /// Returns the number of permits that are asked for, or granted for chunks which this agent will draw itself.
    ///
    /// A granted stripe that other agents are asked for now doesn't count: two agents that wait for each other's stripes
    /// could otherwise both have too many permits to ask for their own.
    fn ahead(&self, now: Instant) -> usize {
        let lanes = (0..).zip(&self.lanes);
        lanes
            .filter(|(stripe, lane)| match lane.permit {
                Permit::Asked { .. } => true,
                Permit::Granted { .. } => {
                    !lane.pending.is_empty()
                        && self.peers.owner(*stripe, now) == Owner::Own
                        && self.upstream(*stripe, now).is_none()
                }
                Permit::Wanted { .. } | Permit::Refused => false,
            })
            .count()
    }

    fn pause(&mut self, stripe: StripeIndex, until: Instant) -> Choice {
        self.lanes[stripe as usize].wait = Some(until);
        Choice::Blocked
    }
}
