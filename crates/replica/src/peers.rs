//! Which entries of a failure domain read the store, and whom the others ask.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of live entries of a domain up to which all of them read the store.
const MAX_DIRECT_READERS: usize = 5;
/// Number of entries that ask the same ones.
const FANOUT: usize = 8;
/// Time for which no other entry has heard the store after which the second entry reads it too.
const TAKEOVER: Duration = Duration::from_millis(900);
/// Time by which each further entry waits longer than the one before it, up to [`MAX_PACE`]. It lets the news of an
/// entry that has taken over reach those behind it.
const TAKEOVER_STEP: Duration = Duration::from_millis(100);
/// Number of entries that read the store at the same time while one of them is receiving objects for long. More of them
/// would fill a link that is the reason.
const MAX_RECEIVING: usize = 3;
/// Time by which each of these waits longer than the one before it.
const RECEIVING_STEP: Duration = Duration::from_millis(300);
/// Longest time by which an entry waits for those before it.
const MAX_PACE: Duration = Duration::from_millis(1000);
/// Time for which an entry that did not answer is not asked again.
const FAILURE_BACKOFF: Duration = Duration::from_secs(3);
/// Time for which an entry that has not heard the store recently is not asked again.
const SILENCE_BACKOFF: Duration = Duration::from_millis(200);
/// Time for which an entry that has begun to hear the store is asked first.
const READER_TIME: Duration = Duration::from_secs(2);
/// Time after which an entry that agents no longer report, while they report others, is considered gone.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(6);

/// Place of an entry in the order of its domain: a hash of its address, and the address.
type Place = (u64, SocketAddr);

/// The live entries of a failure domain, as agents report them, and those that are not asked for a while.
///
/// All entries have the same order, by a hash of their addresses. The first one reads the store; every entry asks two
/// others, which are close to the beginning, so that news has few hops and no entry has more than some 20 that ask it.
#[derive(Clone, Debug)]
pub struct Peers {
    own: Place,
    /// When each other live entry was last reported.
    last_seen: BTreeMap<Place, Instant>,
    /// Until when entries that did not answer are not asked.
    failed: BTreeMap<SocketAddr, Instant>,
    /// Until when entries that had nothing recent are not asked.
    silent: BTreeMap<SocketAddr, Instant>,
    /// Until when entries are asked first, because they have begun to hear the store.
    readers: BTreeMap<SocketAddr, Instant>,
}

impl Peers {
    /// Returns the view of the entry at `own_address`, which knows no other entries yet.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own: place(own_address),
            last_seen: BTreeMap::new(),
            failed: BTreeMap::new(),
            silent: BTreeMap::new(),
            readers: BTreeMap::new(),
        }
    }

    /// Records the entries of the domain that an agent reports as live.
    ///
    /// Without any reports the entries known last count as live; those that don't answer are passed over.
    pub fn record_live(&mut self, now: Instant, entries: &[SocketAddr]) {
        self.last_seen
            .retain(|_, at| now.saturating_duration_since(*at) < ENTRY_TIMEOUT);
        let others = entries.iter().map(|entry| place(*entry));
        let others = others.filter(|other| *other != self.own);
        self.last_seen.extend(others.map(|other| (other, now)));
    }

    /// Records that an entry did not answer; it is not asked for a while.
    pub fn record_failure(&mut self, now: Instant, entry: SocketAddr) {
        self.failed.retain(|_, until| *until > now);
        self.failed.insert(entry, now + FAILURE_BACKOFF);
    }

    /// Records that an entry has not heard the store recently; it is not asked for a short while.
    pub fn record_silence(&mut self, now: Instant, entry: SocketAddr) {
        self.silent.retain(|_, until| *until > now);
        self.silent.insert(entry, now + SILENCE_BACKOFF);
    }

    /// Records that an entry has begun to hear the store; it is asked first for a while.
    pub fn record_reader(&mut self, now: Instant, entry: SocketAddr) {
        self.failed.remove(&entry);
        self.silent.remove(&entry);
        self.readers.retain(|_, until| *until > now);
        self.readers.insert(entry, now + READER_TIME);
    }

    /// Returns the other live entries of the domain, in their order.
    pub fn others(&self) -> Vec<SocketAddr> {
        self.last_seen.keys().map(|(_, entry)| *entry).collect()
    }

    /// Returns whether agents have reported other entries of the domain.
    pub fn has_others(&self) -> bool {
        !self.last_seen.is_empty()
    }

    /// Returns whether the domain has so many live entries that not all of them read the store.
    pub fn are_many(&self) -> bool {
        self.rank().1 > MAX_DIRECT_READERS
    }

    /// Returns the rank of this entry among the live entries of its domain, and their number.
    pub fn rank(&self) -> (usize, usize) {
        let rank = self.last_seen.range(..self.own).count();
        (rank, self.last_seen.len() + 1)
    }

    /// Returns whether this entry reads the store when other entries have not heard it for `silence`, and have not read all
    /// that it has for `lag`.
    pub fn reads_store(&self, silence: Duration, lag: Duration) -> bool {
        let (rank, count) = self.rank();
        let Some(further) = rank.checked_sub(1).filter(|_| count > MAX_DIRECT_READERS) else {
            return true;
        };
        let is_receiving =
            rank < MAX_RECEIVING && lag >= TAKEOVER + RECEIVING_STEP * further as u32;
        is_receiving || silence >= TAKEOVER + self.pace()
    }

    /// Returns whether `entry` comes before this one in the domain's order, so that this one need not read the store beside it.
    pub fn is_preceded_by(&self, entry: SocketAddr) -> bool {
        place(entry) < self.own
    }

    /// Returns the pause by which this entry spaces its reads of the store, so that entries which read it in the place of
    /// others don't fill the link to it with a large configuration.
    pub fn pace(&self) -> Duration {
        let (rank, count) = self.rank();
        let further = rank.saturating_sub(1) as u32;
        match count > MAX_DIRECT_READERS {
            true => (TAKEOVER_STEP * further).min(MAX_PACE),
            false => Duration::ZERO,
        }
    }

    /// Returns the entry to ask, another one than `taken`; `None` if there is none at present.
    pub fn next(&self, now: Instant, taken: Option<SocketAddr>) -> Option<SocketAddr> {
        let (rank, count) = self.rank();
        if count <= MAX_DIRECT_READERS {
            return None;
        }
        let is_until = |times: &BTreeMap<SocketAddr, Instant>, entry: &SocketAddr| {
            let until = times.get(entry);
            until.is_some_and(|until| *until > now)
        };
        let is_asked = |entry: &SocketAddr| {
            let is_skipped = is_until(&self.failed, entry) || is_until(&self.silent, entry);
            Some(*entry) != taken && !is_skipped
        };
        let mut others = self.others();
        others.rotate_left(rank / FANOUT);
        others.retain(is_asked);
        let reader = others.iter().find(|entry| is_until(&self.readers, entry));
        reader.or(others.first()).copied()
    }
}

fn place(entry: SocketAddr) -> Place {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    (hasher.finish(), entry)
}
