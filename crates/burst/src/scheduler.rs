//! Selects the chunk to request next and its source.

mod owner;
mod pace;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalog::Plan;
use weights::ChunkIndex;

use self::pace::Pace;

use crate::draw::{Backoff, Permit};
use crate::hash::Rng;
use crate::peers::{Peers, StripeOwner};
use crate::{Action, Grant, Members, Setup, Source, StripeIndex, Stripes, Version};

/// Maximum number of permits requested, or granted and not used yet; with more, all writes of a burst would come at its
/// start.
const MAX_PENDING_PERMITS: usize = 4;

/// Number of consecutive redirects and refusals after which a chunk's stripe is paused.
const MAX_REDIRECTS: u8 = 4;

/// Duration of the pause after [`MAX_REDIRECTS`].
const REDIRECT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of the retry delay that a peer may request.
const PEER_WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(5));

/// First pause of a stripe whose owner doesn't hold the chunk yet; it doubles up to [`MIN_POLL_SPACING`] times the
/// number of stripes.
const INITIAL_MISS_PAUSE: Duration = Duration::from_millis(20);

/// Minimum mean interval between polls of an agent that waits for all stripes. Longer intervals leave links idle: in a
/// trial with 96 stripes, a transfer took 6.1 s with pauses of up to 1 s and 5.3 s with pauses of up to 0.2 s.
const MIN_POLL_SPACING: Duration = Duration::from_millis(2);

/// Maximum number of requests in progress that fetch chunks from outside the domain. With more, the origin's link is
/// divided among so many chunks that the first one arrives late.
pub const MAX_UPSTREAM_REQUESTS: usize = 4;

/// Minimum interval between requests to the peers of a stripe that can't be drawn.
const SEARCH_PAUSE: Duration = Duration::from_millis(200);

/// Delay before a stripe whose owners are all avoided is tried again.
const NO_OWNER_PAUSE: Duration = Duration::from_secs(1);

/// Time for which an owner may not know the version before the next one takes over. Agents learn of a version almost
/// simultaneously, but one that restarted may fetch an older version first.
const UNKNOWN_VERSION_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why a source was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    /// The owner within the domain.
    Owner,
    /// Named by a redirect.
    Holder,
    /// The next owner of a stripe that the local agent owns; it may hold the chunk from before the local agent joined.
    Probe,
    /// The owner in another domain.
    Upstream,
    /// Any peer, because the stripe can't be drawn now.
    Search,
    /// A second holder, because the first request is slow and few chunks are missing.
    Duplicate,
    /// The origin, with the permit of the given attempt.
    Draw(u32),
}

impl RequestKind {
    /// Returns whether the request fetches a chunk from outside the domain.
    pub(crate) fn is_upstream(self) -> bool {
        matches!(
            self,
            Self::Probe | Self::Upstream | Self::Search | Self::Draw(_)
        )
    }
}

/// Counts of requests in progress that fetch chunks from outside the domain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InFlight {
    /// All such requests.
    pub(crate) upstream: usize,
    /// Requests to the origin.
    pub(crate) draws: usize,
}

/// Queues and permits of the stripes.
#[derive(Debug)]
pub(crate) struct Scheduler {
    plan: Plan,
    holder_prefix: String,
    max_upstream: usize,
    max_draws: usize,
    seed: u64,
    rng: Rng,
    stripes: Stripes,
    peers: Peers,
    stripe_states: Vec<StripeState>,
    /// Order in which stripes are tried: owned ones first, in the order of draws, then the others, shuffled.
    stripe_order: Vec<StripeIndex>,
    owned_count: usize,
    next_foreign: usize,
    redirects_by_chunk: HashMap<ChunkIndex, RedirectTargets>,
    /// Stripes of chunks that were just redirected; they are tried first.
    redirected: Vec<StripeIndex>,
    /// Peers that don't know the version, with the time at which that was first observed.
    unknown_since: HashMap<SocketAddr, Instant>,
    origin_backoff: Backoff,
    pace: Pace,
    /// Time that the origin's link takes to carry one chunk.
    origin_chunk_time: Duration,
    /// Time at which a draw last made progress, initially the start of the transfer.
    last_own_draw: Option<Instant>,
}

/// Holders that redirects named for a chunk and that weren't asked yet.
#[derive(Debug, Default)]
struct RedirectTargets {
    untried: Vec<SocketAddr>,
    redirects: u8,
}

/// State of a stripe.
#[derive(Debug)]
struct StripeState {
    /// Missing chunks that aren't requested, shuffled.
    pending: Vec<ChunkIndex>,
    paused_until: Option<Instant>,
    permit: Permit,
    probed: bool,
    search_index: usize,
    /// "Not yet" answers since the last chunk was received.
    misses: u32,
    /// Time of the first such answer, or of a later draw that restarted the timeout.
    waiting_since: Option<Instant>,
    /// Time at which an agent was last known to draw the stripe.
    last_draw: Option<Instant>,
}

enum Selection {
    Ask(SocketAddr, RequestKind),
    Draw(u32),
    Blocked,
}

impl Scheduler {
    pub(crate) fn new(
        setup: &Setup,
        version: &Version,
        members: &Members,
        missing: &[ChunkIndex],
    ) -> Self {
        let peers = Peers::new(members, setup.local.clone(), *version.stripes());
        Self::with_peers(setup, version, peers, missing)
    }

    /// Returns a scheduler for another version with the same members and avoided peers.
    pub(crate) fn replace(self, setup: &Setup, version: &Version, missing: &[ChunkIndex]) -> Self {
        let peers = self.peers.with_stripes(*version.stripes());
        Self::with_peers(setup, version, peers, missing)
    }

    fn with_peers(setup: &Setup, version: &Version, peers: Peers, missing: &[ChunkIndex]) -> Self {
        let stripes = *version.stripes();
        let mut rng = Rng::new(setup.seed);
        let state = |_| StripeState {
            pending: Vec::new(),
            paused_until: None,
            permit: Permit::NEW,
            probed: false,
            search_index: 0,
            misses: 0,
            waiting_since: None,
            last_draw: None,
        };
        let mut stripe_states: Vec<StripeState> = (0..stripes.count()).map(state).collect();
        for chunk in missing {
            stripe_states[stripes.stripe_of(*chunk) as usize]
                .pending
                .push(*chunk);
        }
        for state in &mut stripe_states {
            rng.shuffle(&mut state.pending);
        }
        let missing = stripe_states.iter().map(|state| state.pending.len() as u32);
        let pace = Pace::new(
            &stripes,
            setup.origin_chunk_time,
            missing.collect(),
            setup.max_requests,
        );
        let mut scheduler = Self {
            plan: setup.plan,
            holder_prefix: setup.holder_prefix.clone(),
            max_upstream: (setup.max_requests / 2).clamp(1, setup.max_upstream_requests.max(1)),
            max_draws: 1,
            seed: setup.seed,
            rng,
            stripes,
            peers,
            stripe_states,
            stripe_order: Vec::new(),
            owned_count: 0,
            next_foreign: 0,
            redirects_by_chunk: HashMap::new(),
            redirected: Vec::new(),
            unknown_since: HashMap::new(),
            origin_backoff: Backoff::new(setup.max_retry_delay),
            pace,
            origin_chunk_time: setup.origin_chunk_time,
            last_own_draw: None,
        };
        scheduler.sort_stripes();
        scheduler.update_draw_limit();
        scheduler
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    pub(crate) fn set_members(&mut self, members: &Members) {
        self.peers.set_members(members);
        for state in &mut self.stripe_states {
            state.probed = false;
        }
        self.sort_stripes();
        self.update_draw_limit();
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        let waiting = self
            .stripe_states
            .iter()
            .filter(|state| !state.pending.is_empty());
        waiting.filter_map(|state| state.paused_until).min()
    }

    /// Removes the next chunk to request from its queue, or adds a permit request to `actions`.
    ///
    /// At most half of the parallel requests, and at most [`Setup::max_upstream_requests`], fetch chunks from outside
    /// the domain, so that a slow origin doesn't delay chunks that peers hold.
    pub(crate) fn next_request(
        &mut self,
        in_flight: InFlight,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Option<(ChunkIndex, Source, RequestKind)> {
        self.last_own_draw.get_or_insert(now);
        self.pace.start(now);
        while let Some(stripe) = self.redirected.pop() {
            if let Some(picked) = self.next_from_stripe(stripe, in_flight, now, actions) {
                return Some(picked);
            }
        }
        let others = self.stripe_order.len() - self.owned_count;
        for step in 0..self.stripe_order.len() {
            let place = if step < self.owned_count {
                step
            } else {
                self.owned_count + (self.next_foreign + step - self.owned_count) % others
            };
            let stripe = self.stripe_order[place];
            if let Some(picked) = self.next_from_stripe(stripe, in_flight, now, actions) {
                if place >= self.owned_count {
                    self.next_foreign = place - self.owned_count + 1;
                }
                return Some(picked);
            }
        }
        None
    }

    /// Returns a peer that may hold `chunk`, other than `from`; with [`Plan::Direct`] there is none.
    pub(crate) fn alternative_peer(
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
        self.peers
            .other_owner(self.stripes.stripe_of(chunk), not, now)
    }

    pub(crate) fn requeue(&mut self, chunk: ChunkIndex) {
        self.stripe_state(chunk).pending.push(chunk);
    }

    pub(crate) fn received(&mut self, chunk: ChunkIndex, kind: RequestKind, now: Instant) {
        self.redirects_by_chunk.remove(&chunk);
        self.pace.chunk_received(self.stripes.stripe_of(chunk));
        let state = self.stripe_state(chunk);
        state.pending.retain(|pending| *pending != chunk);
        state.misses = 0;
        state.waiting_since = None;
        if matches!(kind, RequestKind::Draw(_)) {
            self.origin_backoff.reset();
            self.last_own_draw = Some(now);
        }
    }

    pub(crate) fn corrupted(
        &mut self,
        chunk: ChunkIndex,
        kind: RequestKind,
        from: Source,
        now: Instant,
    ) {
        if let RequestKind::Draw(attempt) = kind {
            self.stripe_state(chunk).permit.end_attempt(attempt);
        }
        self.failed(kind, from, now);
    }

    pub(crate) fn failed(&mut self, kind: RequestKind, from: Source, now: Instant) {
        match from {
            Source::Origin => {
                self.origin_backoff.fail(self.pace.retry_interval(), now);
                self.restart_owner_timeouts(now);
            }
            // A duplicate is sent to a peer that isn't known to hold the chunk, but an error still counts against that
            // peer.
            Source::Peer(peer) => self.peers.avoid(peer, now),
        }
        debug_assert_eq!(from == Source::Origin, matches!(kind, RequestKind::Draw(_)));
    }

    pub(crate) fn redirected_to(
        &mut self,
        chunk: ChunkIndex,
        mut holders: Vec<SocketAddr>,
        now: Instant,
    ) {
        self.rng.shuffle(&mut holders);
        self.redirects_by_chunk.entry(chunk).or_default().untried = holders;
        self.redirected.push(self.stripes.stripe_of(chunk));
        self.count_redirect(chunk, now);
    }

    pub(crate) fn not_yet(
        &mut self,
        chunk: ChunkIndex,
        kind: RequestKind,
        time: Duration,
        now: Instant,
    ) {
        let time = time.clamp(PEER_WAIT_BOUNDS.0, PEER_WAIT_BOUNDS.1);
        match kind {
            RequestKind::Owner | RequestKind::Upstream => {
                let longest = MIN_POLL_SPACING * self.stripes.count();
                let state = self.stripe_state(chunk);
                state.waiting_since.get_or_insert(now);
                let backoff = INITIAL_MISS_PAUSE * 2u32.pow(state.misses.min(10));
                // Parallel requests that miss at the same time count once.
                state.misses += u32::from(state.paused_until.is_none_or(|until| until <= now));
                state.paused_until = Some(now + time.max(backoff.min(longest)));
            }
            RequestKind::Holder => self.count_redirect(chunk, now),
            RequestKind::Probe => self.stripe_state(chunk).probed = true,
            RequestKind::Search => {
                let until = now + time.max(SEARCH_PAUSE);
                let retry = self.origin_backoff.blocked(now);
                let state = self.stripe_state(chunk);
                state.search_index += 1;
                // A search must not delay the draw.
                state.paused_until = Some(retry.map_or(until, |retry| retry.min(until)));
            }
            RequestKind::Duplicate => {}
            RequestKind::Draw(_) => self.origin_backoff.wait_for(time, now),
        }
    }

    /// Handles the answer of a peer that doesn't hold the chunk but knows that an agent drew it `age` ago.
    pub(crate) fn drawing(
        &mut self,
        chunk: ChunkIndex,
        kind: RequestKind,
        (wait, age): (Duration, Duration),
        now: Instant,
    ) {
        self.not_yet(chunk, kind, wait, now);
        let state = self.stripe_state(chunk);
        state.last_draw = state.last_draw.max(now.checked_sub(age));
    }

    /// Handles the answer of a peer that doesn't know the version; if that persists, the peer is avoided.
    pub(crate) fn version_unknown(
        &mut self,
        chunk: ChunkIndex,
        kind: RequestKind,
        from: Source,
        time: Duration,
        now: Instant,
    ) {
        self.not_yet(chunk, kind, time, now);
        let Source::Peer(peer) = from else { return };
        let since = *self.unknown_since.entry(peer).or_insert(now);
        if now.saturating_duration_since(since) >= UNKNOWN_VERSION_TIMEOUT {
            self.unknown_since.remove(&peer);
            self.peers.avoid(peer, now);
        }
    }

    pub(crate) fn permit_answered(&mut self, stripe: StripeIndex, grant: Grant, now: Instant) {
        if let Some(state) = self.stripe_states.get_mut(stripe as usize) {
            state.permit.handle_grant(grant, now);
        }
    }

    fn stripe_state(&mut self, chunk: ChunkIndex) -> &mut StripeState {
        &mut self.stripe_states[self.stripes.stripe_of(chunk) as usize]
    }

    /// Counts a request without a result and pauses the stripe after several, so that holders which redirect to each
    /// other don't cause a request storm.
    fn count_redirect(&mut self, chunk: ChunkIndex, now: Instant) {
        let holders = self.redirects_by_chunk.entry(chunk).or_default();
        holders.redirects += 1;
        if holders.redirects >= MAX_REDIRECTS {
            holders.redirects = 0;
            self.stripe_state(chunk).paused_until = Some(now + REDIRECT_PAUSE);
        }
    }

    fn sort_stripes(&mut self) {
        let (mut order, mut others): (Vec<_>, Vec<_>) =
            (0..self.stripes.count()).partition(|stripe| self.peers.owner_rank(*stripe) == Some(0));
        order.sort_by_key(|stripe| self.pace.slot(*stripe));
        Rng::new(self.seed).shuffle(&mut others);
        self.owned_count = order.len();
        order.append(&mut others);
        self.stripe_order = order;
        self.next_foreign = 0;
    }

    fn next_from_stripe(
        &mut self,
        stripe: StripeIndex,
        in_flight: InFlight,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Option<(ChunkIndex, Source, RequestKind)> {
        let state = &mut self.stripe_states[stripe as usize];
        if state.paused_until.is_some_and(|until| until > now) {
            return None;
        }
        state.paused_until = None;
        let chunk = *state.pending.last()?;
        let (from, kind) = match self.select(stripe, chunk, in_flight, now, actions) {
            Selection::Ask(peer, kind) => (Source::Peer(peer), kind),
            Selection::Draw(attempt) => (Source::Origin, RequestKind::Draw(attempt)),
            Selection::Blocked => return None,
        };
        self.stripe_states[stripe as usize].pending.pop();
        Some((chunk, from, kind))
    }

    fn select(
        &mut self,
        stripe: StripeIndex,
        chunk: ChunkIndex,
        in_flight: InFlight,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Selection {
        if let Some(holder) = self.next_redirect_target(chunk, now) {
            return Selection::Ask(holder, RequestKind::Holder);
        }
        if self.plan == Plan::Direct {
            return self.select_direct_draw(stripe, now);
        }
        match self.peers.owner(stripe, now) {
            StripeOwner::Peer(peer) if !self.owner_timed_out(stripe, now) => {
                match self.pace.request_blocked(stripe, now) {
                    None => Selection::Ask(peer, RequestKind::Owner),
                    Some(due) => self.wait_for_pace(stripe, due, now),
                }
            }
            StripeOwner::Unavailable => self.pause(stripe, now + NO_OWNER_PAUSE),
            _ if in_flight.upstream >= self.max_upstream => Selection::Blocked,
            StripeOwner::Local => self.select_upstream(stripe, in_flight.draws, now, actions),
            StripeOwner::Peer(_) => {
                let choice = self.select_upstream(stripe, in_flight.draws, now, actions);
                if matches!(choice, Selection::Draw(_)) {
                    self.restart_owner_timeouts(now);
                }
                choice
            }
        }
    }

    fn next_redirect_target(&mut self, chunk: ChunkIndex, now: Instant) -> Option<SocketAddr> {
        let holders = self.redirects_by_chunk.get_mut(&chunk)?;
        while let Some(holder) = holders.untried.pop() {
            if self.peers.is_usable(holder, now) && !self.peers.is_local(holder) {
                return Some(holder);
            }
        }
        None
    }

    fn select_direct_draw(&mut self, stripe: StripeIndex, now: Instant) -> Selection {
        match self.origin_backoff.blocked(now) {
            Some(until) => self.pause(stripe, until),
            None => Selection::Draw(0),
        }
    }

    /// Selects the source of a stripe that the local agent fetches into its domain.
    fn select_upstream(
        &mut self,
        stripe: StripeIndex,
        draws: usize,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Selection {
        if !self.stripe_states[stripe as usize].probed
            && let Some(peer) = self.peers.other_owner(stripe, None, now)
        {
            return Selection::Ask(peer, RequestKind::Probe);
        }
        if let Some(peer) = self.upstream_owner(stripe, now) {
            return Selection::Ask(peer, RequestKind::Upstream);
        }
        if let Some(due) = self.pace.draw_blocked(stripe, now) {
            return self.wait_for_pace(stripe, due, now);
        }
        let store = self.origin_backoff.blocked(now);
        let retry = match self.stripe_states[stripe as usize].permit {
            Permit::Asked { .. } => return Selection::Blocked,
            Permit::Granted { .. } if store.is_none() && draws >= self.max_draws => {
                return Selection::Blocked;
            }
            Permit::Granted { attempt } if store.is_none() => return Selection::Draw(attempt),
            Permit::Granted { .. } => store,
            Permit::Refused => None,
            Permit::Wanted {
                not_before: Some(not_before),
                ..
            } if not_before > now => Some(not_before),
            Permit::Wanted { .. } if store.is_some() => store,
            Permit::Wanted { .. } if self.pending_permits(now) >= MAX_PENDING_PERMITS => {
                return Selection::Blocked;
            }
            Permit::Wanted {
                attempt,
                read_first,
                ..
            } => {
                let state = &mut self.stripe_states[stripe as usize];
                state.permit = Permit::Asked { attempt };
                let holder = format!("{}/{attempt}", self.holder_prefix);
                actions.push(Action::RequestPermit {
                    stripe,
                    holder,
                    read_first,
                });
                return Selection::Blocked;
            }
        };
        match self.peers.nth_peer(
            stripe,
            self.stripe_states[stripe as usize].search_index,
            now,
        ) {
            Some(peer) => Selection::Ask(peer, RequestKind::Search),
            None => self.pause(stripe, retry.unwrap_or(now + NO_OWNER_PAUSE)),
        }
    }

    fn pause(&mut self, stripe: StripeIndex, until: Instant) -> Selection {
        self.stripe_states[stripe as usize].paused_until = Some(until);
        Selection::Blocked
    }
}
