//! What an entry knows of all kinds, and how recent it is.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use node::time::Uptime;
use platform::{Listing, Revision, Update};

use crate::message::{HeardAge, Known, News, millis};
use crate::{Answer, Kind, Mirror, Query};

/// Time by which the store must have been heard later than the asking entry knows for an answer without changes.
const MIN_GAIN: Duration = Duration::from_millis(300);
/// Time without hearing the store after which an entry doesn't let others wait for its news.
pub(crate) const MAX_SILENCE: Duration = Duration::from_millis(900);

/// Time after which it is forgotten that another entry heard the store.
const MAX_KNOWN_SILENCE: Duration = Duration::from_secs(10);

/// The objects of all kinds that an entry holds, and when the store was last heard for each.
#[derive(Debug)]
pub struct Replica {
    own_address: SocketAddr,
    kinds: [State; Kind::ALL.len()],
    /// When this entry last learned that the store was heard, and since when it has without a longer silence.
    told: Option<Told>,
}

/// A time in which the store was heard again and again.
#[derive(Clone, Copy, Debug)]
struct Told {
    since: Uptime,
    last: Uptime,
}

/// What is known of a kind.
#[derive(Debug, Default)]
struct State {
    mirror: Mirror,
    heard: Option<Heard>,
    /// When each other entry that reads the store last heard it.
    others_heard_at: BTreeMap<SocketAddr, Uptime>,
    /// When the objects, as far as this entry has them, were last known to be all that the store has.
    complete_at: Option<Uptime>,
    /// When another entry than this one last knew that.
    others_complete_at: Option<Uptime>,
    /// Whether the last changes did not fit, so that all objects are needed.
    is_broken: bool,
}

/// The last sign that an entry which follows a kind at the store is connected to it.
///
/// It may still be receiving a change, which takes as long as the link needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heard {
    /// Entry that reads the store.
    pub origin: SocketAddr,
    /// When the store sent it something.
    pub at: Uptime,
    /// Since when the store has answered it without a failure, if known.
    pub reached_since: Option<Uptime>,
}

/// The effect of an [`Answer`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Merge {
    /// Kinds of which objects changed.
    pub changed: Vec<Kind>,
    /// Whether the store was heard later than this entry knew.
    pub is_later: bool,
    /// Why changes of a kind were dropped; all objects of the kind are asked for next.
    pub errors: Vec<(Kind, Error)>,
}

/// Changes that can't be applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The version to which the changes are to be applied is not held.
    #[error("the changes are based on a version that isn't held")]
    Base,
    /// A difference doesn't fit.
    #[error("malformed difference: {0}")]
    Delta(#[from] delta::Error),
    /// The result is not the object that the sender holds.
    #[error("the result has another digest")]
    Digest,
    /// An object is no JSON text.
    #[error("the object is no JSON text")]
    Text,
}

impl Replica {
    /// Returns a replica of the entry at `own_address` that holds nothing.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            kinds: Default::default(),
            told: None,
        }
    }

    /// Returns the newest revision that the objects of `kind` reflect.
    pub fn revision(&self, kind: Kind) -> Option<Revision> {
        self.state(kind).mirror.revision()
    }

    /// Returns whether an object with this name is held.
    pub fn holds(&self, kind: Kind, name: &str) -> bool {
        self.state(kind).mirror.holds(name)
    }

    /// Returns the newest era of the store of which objects are held.
    pub fn era(&self) -> Option<u64> {
        let revisions = Kind::ALL.into_iter().filter_map(|kind| self.revision(kind));
        revisions.map(|revision| revision.era).max()
    }

    /// Returns the changes of `kind` after `after`, or all objects if they aren't known or `after` is `None`.
    pub fn update_after(&self, kind: Kind, after: Option<Revision>) -> Option<Update> {
        self.state(kind).mirror.update_after(after)
    }

    /// Returns the time before which the current version of an object was not written yet, if known.
    pub fn written_after(&self, kind: Kind, name: &str) -> Option<Uptime> {
        self.state(kind).mirror.written_after(name)
    }

    /// Returns when the store was last heard for `kind`.
    pub fn heard(&self, kind: Kind) -> Option<Heard> {
        self.state(kind).heard
    }

    /// Returns for how long other entries, as far as `counts` returns true for them, have not heard the store for `kind`; `None`
    /// if they never have.
    pub fn silence_of_others(
        &self,
        now: Uptime,
        kind: Kind,
        counts: impl Fn(SocketAddr) -> bool,
    ) -> Option<Duration> {
        let heard_at = self.state(kind).others_heard_at.iter();
        let heard_at = heard_at.filter(|(origin, _)| counts(**origin));
        let latest = heard_at.map(|(_, at)| *at).max()?;
        Some(now.saturating_sub(latest))
    }

    /// Returns for how long other entries have not known all objects of `kind`; `None` if they never have.
    pub fn lag_of_others(&self, now: Uptime, kind: Kind) -> Option<Duration> {
        let complete_at = self.state(kind).others_complete_at;
        complete_at.map(|at| now.saturating_sub(at))
    }

    /// Returns when the objects of `kind` were last known to be all that the store has.
    pub fn complete_at(&self, kind: Kind) -> Option<Uptime> {
        self.state(kind).complete_at
    }

    /// Returns for how long the store has been heard by some entry without a longer silence, as far as this one was told.
    pub fn heard_for(&self, now: Uptime) -> Option<Duration> {
        let told = self.told.filter(|told| told.lasts(now))?;
        Some(now.saturating_sub(told.since))
    }

    /// Returns all objects of `kind` if the store was heard recently enough to pass them on.
    pub fn list(&self, now: Uptime, kind: Kind) -> Option<Listing> {
        let state = self.state(kind);
        state.mirror.list().filter(|_| state.is_recent(now))
    }

    /// Records that the store sent this entry something at `now` while it follows `kind` there.
    pub fn record_heard(&mut self, now: Uptime, kind: Kind, reached_since: Option<Uptime>) {
        self.record_told(now);
        self.state_mut(kind).heard = Some(Heard {
            origin: self.own_address,
            at: now,
            reached_since,
        });
    }

    /// Records that this entry has read all objects of `kind` that the store had at `now`.
    pub fn record_complete(&mut self, now: Uptime, kind: Kind) {
        self.state_mut(kind).complete_at = Some(now);
    }

    /// Applies an update that this entry read from the store; returns whether objects changed.
    ///
    /// `written_after` is a time before which the changed objects were not written yet, if known.
    pub fn apply(&mut self, kind: Kind, update: &Update, written_after: Option<Uptime>) -> bool {
        self.state_mut(kind).mirror.apply(update, written_after)
    }

    /// Returns the query for what another entry knows beyond this one. The answer may wait for news for `wait`.
    pub fn query(&self, now: Uptime, wait: Duration) -> Query {
        let known = |kind| {
            let state = self.state(kind);
            let heard = state.heard.map(|heard| now.saturating_sub(heard.at));
            Known {
                kind,
                revision: state.mirror.revision().filter(|_| !state.is_broken),
                heard_ms: heard.map(millis),
            }
        };
        Query {
            known: Kind::ALL.map(known).to_vec(),
            wait_ms: millis(wait),
        }
    }

    /// Returns the answer at `now` to a query that arrived at `arrived`, or `None` as long as it waits for news.
    ///
    /// An entry that hasn't heard the store for a while answers at once, so that the other one asks elsewhere.
    pub fn answer(&self, arrived: Uptime, now: Uptime, query: &Query) -> Option<Answer> {
        let waited = now.saturating_sub(arrived);
        let is_due = waited >= query.wait() || !self.is_recent(now);
        let has_news = |known: &Known| self.has_news(arrived, known);
        if !is_due && !query.known.iter().any(has_news) {
            return None;
        }
        let kinds = query.known.iter().map(|known| self.news(now, known));
        let answer = Answer {
            kinds: kinds.collect(),
            ..Answer::default()
        };
        Some(answer.held_for(waited))
    }

    /// Returns whether the store was heard recently for any kind.
    pub fn is_recent(&self, now: Uptime) -> bool {
        self.kinds.iter().any(|state| state.is_recent(now))
    }

    /// Merges the answer that arrived at `now` to a query that was sent at `called`.
    pub fn merge(&mut self, called: Uptime, now: Uptime, answer: &Answer) -> Merge {
        let held = Duration::from_millis(answer.held_ms.into());
        let transit = now.saturating_sub(called).saturating_sub(held);
        let mut merge = Merge::default();
        for news in &answer.kinds {
            let state = self.state_mut(news.kind);
            if let Some(changes) = &news.changes {
                let merged = state.mirror.merge(now, transit, changes);
                state.is_broken = merged.is_err();
                match merged {
                    Ok(true) => merge.changed.push(news.kind),
                    Ok(false) => {}
                    Err(error) => {
                        merge.errors.push((news.kind, error));
                        continue;
                    }
                }
            }
            if let Some(heard) = &news.heard {
                merge.is_later |= self.merge_heard(now, transit, news.kind, heard);
            }
        }
        merge
    }

    /// Merges when the store was heard; returns whether this is later than known.
    fn merge_heard(
        &mut self,
        now: Uptime,
        transit: Duration,
        kind: Kind,
        heard: &HeardAge,
    ) -> bool {
        if heard.origin == self.own_address {
            return false;
        }
        let before = |ms: u32| now.saturating_sub(transit + Duration::from_millis(ms.into()));
        let at = before(heard.age_ms);
        let complete_at = heard.complete_ms.map(before);
        let state = self.state_mut(kind);
        state.record_other(now, heard.origin, at);
        state.others_complete_at = state.others_complete_at.max(complete_at);
        state.complete_at = state.complete_at.max(complete_at);
        if state.heard.is_some_and(|known| known.at >= at) {
            return false;
        }
        state.heard = Some(Heard {
            origin: heard.origin,
            at,
            reached_since: heard.reached_ms.map(before),
        });
        if now.saturating_sub(at) < MAX_SILENCE {
            self.record_told(now);
        }
        true
    }

    fn record_told(&mut self, now: Uptime) {
        let told = self.told.filter(|told| told.lasts(now));
        let since = told.map_or(now, |told| told.since);
        self.told = Some(Told { since, last: now });
    }

    fn has_news(&self, arrived: Uptime, known: &Known) -> bool {
        let state = self.state(known.kind);
        let known_heard = known.heard_ms.map(|ms| Duration::from_millis(ms.into()));
        let known_heard = known_heard.map(|age| arrived.saturating_sub(age));
        let is_later = state
            .heard
            .is_some_and(|heard| known_heard.is_none_or(|known| heard.at >= known + MIN_GAIN));
        is_later || state.mirror.has_news_after(known.revision)
    }

    fn news(&self, now: Uptime, known: &Known) -> News {
        let state = self.state(known.kind);
        let age = |at: Uptime| millis(now.saturating_sub(at));
        News {
            kind: known.kind,
            heard: state.heard.map(|heard| HeardAge {
                origin: heard.origin,
                age_ms: age(heard.at),
                complete_ms: state.complete_at.map(age),
                reached_ms: heard.reached_since.map(age),
            }),
            changes: state.mirror.changes_after(now, known.revision),
        }
    }

    fn state(&self, kind: Kind) -> &State {
        &self.kinds[kind.index()]
    }

    fn state_mut(&mut self, kind: Kind) -> &mut State {
        &mut self.kinds[kind.index()]
    }
}

impl Told {
    fn lasts(&self, now: Uptime) -> bool {
        now.saturating_sub(self.last) < MAX_SILENCE
    }
}

impl State {
    /// Records that another entry heard the store at `at`.
    fn record_other(&mut self, now: Uptime, origin: SocketAddr, at: Uptime) {
        let is_kept = |at: Uptime| now.saturating_sub(at) < MAX_KNOWN_SILENCE;
        self.others_heard_at.retain(|_, at| is_kept(*at));
        let known = self.others_heard_at.entry(origin).or_insert(at);
        *known = at.max(*known);
    }

    fn is_recent(&self, now: Uptime) -> bool {
        let heard = self.heard.as_ref();
        heard.is_some_and(|heard| now.saturating_sub(heard.at) < MAX_SILENCE)
    }
}
