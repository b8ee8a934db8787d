//! An entry: its reads of the store, and its exchange with others.

use std::net::SocketAddr;
use std::time::Duration;

use platform::Update;
use replica::{Answer, Kind, Peers, Query, Replica};

use super::link::Link;
use super::{Clock, ENTRY_MBPS, Fault, Store};

/// Kinds that change.
const KINDS: [Kind; 2] = [Kind::Config, Kind::Evacuations];
/// Wait of a read of the store.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Time after this wait at which a read without an answer fails.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(800);
/// Wait of a query.
const QUERY_WAIT: Duration = Duration::from_millis(600);
/// Time after this wait at which a query without an answer fails.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before the next entry is asked after one that failed or had nothing recent.
const SWITCH_PAUSE: Duration = Duration::from_millis(50);
/// Time in which other entries can tell that they read the configuration.
const ASKING_TIME: Duration = Duration::from_millis(150);
/// Interval between checks whose turn it is.
const TICK: Duration = Duration::from_millis(100);
/// Delay of a message within the domain, and to the store.
const LOCAL_DELAY: Duration = Duration::from_millis(2);
const REGION_DELAY: Duration = Duration::from_millis(7);
/// Size of a message without objects, in bytes.
const HEADER_BYTES: usize = 300;

pub struct Node {
    address: SocketAddr,
    /// All entries of the domain.
    entries: Vec<SocketAddr>,
    replica: Replica,
    peers: Peers,
    link: Link,
    fault: Option<Fault>,
    reads: [Read; KINDS.len()],
    queries: [Option<Asked>; 2],
    /// When the next query may be sent.
    ask_at: [Duration; 2],
    started: Duration,
    /// Whether it has begun to hear the store, and has not told others yet.
    is_announcing: bool,
    /// Revisions of each kind, and when they were known.
    known: Vec<(Kind, u64, Duration)>,
}

#[derive(Default)]
struct Read {
    is_turn: bool,
    /// When the call was sent, if it has not returned.
    sent: Option<Duration>,
    /// Whether the last call succeeded; otherwise the next one returns at once.
    is_current: bool,
    /// Whether a call has failed since the turn began.
    has_failed: bool,
    /// What is arriving, and when it will have arrived.
    arriving: Option<(Duration, Update)>,
    retry_at: Duration,
}

struct Asked {
    entry: SocketAddr,
    sent: Duration,
    query: Query,
    /// The answer, and when it will have arrived.
    answer: Option<(Duration, Answer)>,
}

impl Node {
    pub fn new(clock: Clock, address: SocketAddr, entries: &[SocketAddr]) -> Self {
        let mut peers = Peers::new(address);
        peers.record_live(clock.instant(), entries);
        Self {
            address,
            entries: entries.to_vec(),
            replica: Replica::new(address),
            peers,
            link: Link::new(ENTRY_MBPS),
            fault: None,
            reads: Default::default(),
            queries: Default::default(),
            ask_at: Default::default(),
            started: clock.uptime(),
            is_announcing: false,
            known: Vec::new(),
        }
    }

    pub fn rank(&self) -> usize {
        self.peers.rank().0
    }

    pub fn set_fault(&mut self, fault: Option<Fault>) {
        self.fault = fault;
        let mbps = match fault {
            Some(Fault::Squeezed { mbps }) => mbps,
            _ => ENTRY_MBPS,
        };
        self.link.set_rate(mbps);
    }

    pub fn sent_bytes(&self) -> usize {
        self.link.bytes
    }

    /// Returns when the entry knew the objects of `kind` at `revision`, or the present time if it does not.
    pub fn known_at(&self, kind: Kind, revision: u64, clock: Clock) -> Duration {
        let known = self.known.iter();
        let mut known = known.filter(|(of, number, _)| *of == kind && *number >= revision);
        known.next().map_or(clock.elapsed, |(.., at)| *at)
    }

    /// Goes on with the reads of the store.
    pub fn read_store(&mut self, clock: Clock, store: &Store, region: &mut Link) {
        if self.fault == Some(Fault::Frozen) {
            return;
        }
        if clock.elapsed.as_millis().is_multiple_of(TICK.as_millis()) {
            self.peers.record_live(clock.instant(), &self.entries);
            for (read, kind) in self.reads.iter_mut().zip(KINDS) {
                let now = clock.uptime();
                let counts = |entry| !read.is_turn || self.peers.is_preceded_by(entry);
                let times = [
                    self.replica.silence_of_others(now, kind, counts),
                    self.replica.lag_of_others(now, kind),
                ];
                let [silence, lag] =
                    times.map(|time| time.unwrap_or(Duration::MAX).min(now - self.started));
                read.is_turn = self.peers.reads_store(silence, lag);
            }
        }
        for (place, kind) in KINDS.into_iter().enumerate() {
            self.read_kind(clock, store, region, place, kind);
        }
    }

    fn read_kind(
        &mut self,
        clock: Clock,
        store: &Store,
        region: &mut Link,
        place: usize,
        kind: Kind,
    ) {
        let (now, uptime) = (clock.elapsed, clock.uptime());
        let after = self.replica.revision(kind);
        let may_read_config = self.may_read_config(clock);
        let read = &mut self.reads[place];
        let Some(sent) = read.sent else {
            read.is_current &= read.is_turn;
            read.has_failed &= read.is_turn;
            let may_read = read.is_current || kind != Kind::Config || may_read_config;
            if read.is_turn && may_read && now >= read.retry_at {
                read.sent = Some(now);
            }
            return;
        };
        let failed = match self.fault {
            Some(Fault::TurnedAway) => now >= sent + REGION_DELAY,
            Some(Fault::CutFromStore) => now >= sent + READ_WAIT + READ_TIMEOUT,
            _ => false,
        };
        let wait = match read.is_current {
            true => READ_WAIT,
            false => Duration::ZERO,
        };
        if failed {
            read.sent = None;
            read.is_current = false;
            read.has_failed = true;
            read.retry_at = now + READ_PAUSE + self.peers.pace();
            return;
        }
        if matches!(self.fault, Some(Fault::TurnedAway | Fault::CutFromStore)) {
            return;
        }
        if let Some((at, update)) = read.arriving.take() {
            self.replica.record_heard(uptime, kind, None);
            if now < at {
                read.arriving = Some((at, update));
                return;
            }
            read.sent = None;
            self.is_announcing |= !read.is_current;
            read.is_current = true;
            self.replica.apply(kind, &update, Some(uptime));
            self.replica.record_complete(uptime, kind);
            self.record_known(kind, now);
            return;
        }
        if now < sent + REGION_DELAY {
            return;
        }
        let update = store.read(kind, after);
        if update.whole || !update.listing.objects.is_empty() {
            let bytes = update.listing.bytes + HEADER_BYTES;
            // The own link carries them too, in the other direction than what the entry sends.
            let own = Duration::from_secs_f64(bytes as f64 / self.link.rate());
            let at = region.send(now, bytes).max(now + own);
            read.arriving = Some((at, update));
        } else if now >= sent + wait {
            region.send(now, HEADER_BYTES);
            read.sent = None;
            self.is_announcing |= !read.is_current;
            read.is_current = true;
            self.replica.record_heard(uptime, kind, None);
            self.replica.record_complete(uptime, kind);
        }
    }

    /// Returns whether the entry may begin to read the configuration; the small kind is read first.
    fn may_read_config(&self, clock: Clock) -> bool {
        let has_failed = self.reads.iter().any(|read| read.has_failed);
        let pace = match has_failed {
            true => self.peers.pace(),
            false => Duration::ZERO,
        };
        let wait = ASKING_TIME + pace;
        let heard_for = self.replica.heard_for(clock.uptime());
        self.rank() == 0 || heard_for.is_some_and(|time| time >= wait)
    }

    /// Returns the address to tell the other entries if this one has begun to hear the store.
    pub fn take_announcement(&mut self) -> Option<SocketAddr> {
        let is_announcing = std::mem::take(&mut self.is_announcing);
        (is_announcing && self.is_connected()).then_some(self.address)
    }

    /// Learns that the entry at `reader` has begun to hear the store.
    pub fn find_reader(&mut self, clock: Clock, reader: SocketAddr) {
        if self.is_connected() && reader != self.address {
            self.peers.record_reader(clock.instant(), reader);
            self.queries = Default::default();
            self.ask_at = Default::default();
        }
    }

    fn is_connected(&self) -> bool {
        !matches!(self.fault, Some(Fault::Frozen | Fault::CutFromEntries))
    }

    /// Goes on with the queries to other entries.
    pub fn exchange(&mut self, clock: Clock, before: &mut [Self], after: &mut [Self]) {
        if self.fault == Some(Fault::Frozen) {
            return;
        }
        for place in 0..self.queries.len() {
            match self.queries[place].take() {
                None => self.ask(clock, place),
                Some(asked) => {
                    let others = before.iter_mut().chain(after.iter_mut());
                    let entry = others.into_iter().find(|node| node.address == asked.entry);
                    self.queries[place] = self.receive(clock, place, asked, entry.unwrap());
                }
            }
        }
    }

    fn ask(&mut self, clock: Clock, place: usize) {
        if clock.elapsed < self.ask_at[place] {
            return;
        }
        let taken = self.queries[1 - place].as_ref().map(|asked| asked.entry);
        if let Some(entry) = self.peers.next(clock.instant(), taken) {
            self.queries[place] = Some(Asked {
                entry,
                sent: clock.elapsed,
                query: self.replica.query(clock.uptime(), QUERY_WAIT),
                answer: None,
            });
        }
    }

    /// Goes on with a query; returns it if it has not ended.
    fn receive(
        &mut self,
        clock: Clock,
        place: usize,
        mut asked: Asked,
        entry: &mut Self,
    ) -> Option<Asked> {
        let now = clock.elapsed;
        if let Some((at, answer)) = &asked.answer {
            if now < *at {
                return Some(asked);
            }
            let offset = clock.uptime() - now;
            let merge = self
                .replica
                .merge(asked.sent + offset, clock.uptime(), answer);
            for kind in merge.changed {
                self.record_known(kind, now);
            }
            if !answer.is_recent() {
                self.peers.record_silence(clock.instant(), asked.entry);
                self.ask_at[place] = now + SWITCH_PAUSE;
            }
            return None;
        }
        if now >= asked.sent + QUERY_WAIT + QUERY_TIMEOUT {
            self.peers.record_failure(clock.instant(), asked.entry);
            self.ask_at[place] = now + SWITCH_PAUSE;
            return None;
        }
        let is_connected = entry.is_connected() && self.is_connected();
        let is_answered = is_connected && now >= asked.sent + LOCAL_DELAY;
        if is_answered {
            let offset = clock.uptime() - now;
            let arrived = asked.sent + LOCAL_DELAY + offset;
            if let Some(answer) = entry.replica.answer(arrived, clock.uptime(), &asked.query) {
                let bytes = answer.encode().unwrap().len() + HEADER_BYTES;
                let at = entry.link.send(now, bytes) + LOCAL_DELAY;
                asked.answer = Some((at, answer));
            }
        }
        Some(asked)
    }

    fn record_known(&mut self, kind: Kind, now: Duration) {
        if let Some(revision) = self.replica.revision(kind) {
            self.known.push((kind, revision.number, now));
        }
    }
}
