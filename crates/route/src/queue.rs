//! The bounded queue of one service.
//!
//! Ranks are served strictly, except that every tenth dispatch at the latest goes to a lower rank that has requests
//! waiting. Classes of equal rank share dispatches by weight (stride scheduling), and the workspaces of a class take
//! turns. A request that can't be placed at present is passed over without losing its turn.

use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeBounds;
use std::time::{Duration, Instant};

use catalog::Name;

use crate::request::{RequestId, Waiting};

/// Dispatches of a rank between two of lower ranks that have requests waiting: a floor of 10%.
const FLOOR: u32 = 9;

/// Waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    ranks: BTreeMap<u8, Rank>,
    len: usize,
    earliest: Option<Instant>,
}

#[derive(Debug, Default)]
struct Rank {
    classes: BTreeMap<Name, Class>,
    pass: f64,
    since_lower: u32,
}

#[derive(Debug, Default)]
struct Class {
    weight: u32,
    pass: f64,
    workspaces: VecDeque<Turn>,
}

/// The requests of one workspace; never empty while listed.
#[derive(Debug)]
struct Turn {
    workspace: Name,
    requests: VecDeque<Waiting>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns a time before which no waiting request's deadline passes.
    pub(crate) fn earliest_deadline(&self) -> Option<Instant> {
        self.earliest
    }

    /// Returns the number of requests waiting, by class.
    pub(crate) fn waiting(&self) -> BTreeMap<Name, usize> {
        let classes = self.ranks.values().flat_map(|rank| &rank.classes);
        classes
            .map(|(name, class)| (name.clone(), class.len()))
            .collect()
    }

    /// Returns how many waiting requests of more urgent and of equal rank are served before a new one.
    ///
    /// Within the class, every other workspace is served at most once for each request of this one.
    pub(crate) fn ahead(&self, rank: u8, class: &str, workspace: &str) -> (usize, usize) {
        let classes = self
            .ranks
            .get(&rank)
            .into_iter()
            .flat_map(|rank| &rank.classes);
        let equal = classes
            .map(|(name, other)| {
                if name != class {
                    return other.len();
                }
                let own = other.turn(workspace).map_or(0, |turn| turn.requests.len());
                let turns = other.workspaces.iter();
                turns.map(|turn| turn.requests.len().min(own + 1)).sum()
            })
            .sum();
        (self.len_of(..rank), equal)
    }

    /// Tells whether a queue of at most `bound` requests has no place for another of `rank`.
    ///
    /// A tenth of the places is kept for lower ranks: without waiting requests these couldn't use their floor.
    pub(crate) fn is_full(&self, rank: u8, bound: usize) -> bool {
        let has_lower = self.ranks.range(rank + 1..).next().is_some();
        let reserve = if has_lower { reserve(bound) } else { 0 };
        self.len >= bound || self.len_of(..=rank) >= bound - reserve
    }

    /// Adds a request, at the head of its workspace's requests when it has been sent before.
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let core = waiting.core();
        let again = core.attempts > 0;
        self.earliest = Some(
            self.earliest
                .map_or(core.deadline, |time| time.min(core.deadline)),
        );
        self.len += 1;
        let admission = std::rc::Rc::clone(&core.admission);
        let rank = self.ranks.entry(admission.rank).or_default();
        let pass = rank.pass;
        let class = rank.classes.entry(admission.class.clone()).or_default();
        if class.workspaces.is_empty() {
            class.pass = class.pass.max(pass);
        }
        class.weight = admission.weight;
        let turn = match class
            .workspaces
            .iter_mut()
            .find(|turn| turn.workspace == admission.workspace)
        {
            Some(turn) => turn,
            None => {
                class.workspaces.push_back(Turn {
                    workspace: admission.workspace.clone(),
                    requests: VecDeque::new(),
                });
                class.workspaces.back_mut().expect("a turn was just added")
            }
        };
        if again {
            turn.requests.push_front(waiting);
        } else {
            turn.requests.push_back(waiting);
        }
    }

    /// Takes the next request for which `place` finds a place, and that place.
    pub(crate) fn pop<P>(
        &mut self,
        place: &mut impl FnMut(&Waiting) -> Option<P>,
    ) -> Option<(Waiting, P)> {
        let order = self.order();
        let (served, taken) = order.into_iter().find_map(|number| {
            let rank = self.ranks.get_mut(&number)?;
            rank.pop(place).map(|taken| (number, taken))
        })?;
        self.len -= 1;
        let lower = self
            .ranks
            .range(served + 1..)
            .any(|(_, rank)| rank.len() > 0);
        for rank in self.ranks.range_mut(..served).map(|(_, rank)| rank) {
            rank.since_lower = 0;
        }
        if lower && let Some(rank) = self.ranks.get_mut(&served) {
            rank.since_lower += 1;
        }
        Some(taken)
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        self.drain(|waiting| waiting.core().id == id).pop()
    }

    /// Removes all requests that `unwanted` names, oldest of each workspace first.
    pub(crate) fn drain(&mut self, mut unwanted: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut removed = Vec::new();
        let mut earliest: Option<Instant> = None;
        let classes = self
            .ranks
            .values_mut()
            .flat_map(|rank| rank.classes.values_mut());
        for class in classes {
            for turn in &mut class.workspaces {
                let requests = std::mem::take(&mut turn.requests).into_iter();
                let (out, kept) = split(requests, &mut unwanted);
                removed.extend(out);
                turn.requests = kept;
                let deadlines = turn.requests.iter().map(|waiting| waiting.core().deadline);
                earliest = deadlines.chain(earliest).min();
            }
            class.workspaces.retain(|turn| !turn.requests.is_empty());
        }
        self.len -= removed.len();
        self.earliest = earliest;
        removed
    }

    /// Removes all requests with less than `needed` left until their deadline.
    pub(crate) fn expire(&mut self, now: Instant, needed: Duration) -> Vec<Waiting> {
        if self
            .earliest
            .is_none_or(|earliest| earliest >= now + needed)
        {
            return Vec::new();
        }
        self.drain(|waiting| waiting.core().deadline < now + needed)
    }

    /// Removes a request to make room for one of the given rank, class and workspace in a queue of at most `bound`.
    ///
    /// The newest request of the longest workspace gives way: of the least urgent rank below this one whose reserve is
    /// exceeded, or of the same class when that workspace has at least two more requests waiting. Requests that may
    /// have run keep their place.
    pub(crate) fn displace(
        &mut self,
        rank: u8,
        class: &str,
        workspace: &str,
        bound: usize,
    ) -> Option<Waiting> {
        let lower: Vec<u8> = self
            .ranks
            .range(rank + 1..)
            .rev()
            .map(|(rank, _)| *rank)
            .collect();
        let exceeds = lower
            .into_iter()
            .find(|rank| self.len_of(*rank..) > reserve(bound));
        let from_lower = exceeds.filter(|_| self.len >= bound).and_then(|rank| {
            let classes = self.ranks.get_mut(&rank)?.classes.values_mut();
            classes.max_by_key(|class| class.len())?.take_newest(0)
        });
        let taken = from_lower.or_else(|| {
            let class = self.ranks.get_mut(&rank)?.classes.get_mut(class)?;
            let own = class.turn(workspace).map_or(0, |turn| turn.requests.len());
            class.take_newest(own + 1)
        })?;
        self.len -= 1;
        Some(taken)
    }

    fn len_of(&self, ranks: impl RangeBounds<u8>) -> usize {
        self.ranks.range(ranks).map(|(_, rank)| rank.len()).sum()
    }

    /// Returns the ranks with waiting requests in the order in which they are tried.
    fn order(&self) -> Vec<u8> {
        let mut order = Vec::new();
        let mut deferred = Vec::new();
        for (number, rank) in self.ranks.iter().filter(|(_, rank)| rank.len() > 0) {
            if rank.since_lower >= FLOOR {
                deferred.push(*number);
            } else {
                order.push(*number);
            }
        }
        // A deferred rank is tried again after the lower ranks, the most urgent one last.
        order.extend(deferred.into_iter().rev());
        order
    }
}

impl Rank {
    fn len(&self) -> usize {
        self.classes.values().map(Class::len).sum()
    }

    fn pop<P>(&mut self, place: &mut impl FnMut(&Waiting) -> Option<P>) -> Option<(Waiting, P)> {
        let mut classes: Vec<&mut Class> = self
            .classes
            .values_mut()
            .filter(|class| class.len() > 0)
            .collect();
        classes.sort_by(|one, other| one.pass.total_cmp(&other.pass));
        for class in classes {
            if let Some(taken) = class.pop(place) {
                self.pass = self.pass.max(class.pass);
                class.pass += 1.0 / f64::from(class.weight.max(1));
                return Some(taken);
            }
        }
        None
    }
}

impl Class {
    fn len(&self) -> usize {
        self.workspaces.iter().map(|turn| turn.requests.len()).sum()
    }

    fn turn(&self, workspace: &str) -> Option<&Turn> {
        self.workspaces
            .iter()
            .find(|turn| turn.workspace == workspace)
    }

    fn pop<P>(&mut self, place: &mut impl FnMut(&Waiting) -> Option<P>) -> Option<(Waiting, P)> {
        let turns = self.workspaces.iter().enumerate();
        let (turn, position, found) = turns.into_iter().find_map(|(index, turn)| {
            let mut requests = turn.requests.iter().enumerate();
            requests.find_map(|(position, waiting)| Some((index, position, place(waiting)?)))
        })?;
        let mut turn = self.workspaces.remove(turn)?;
        let waiting = turn.requests.remove(position)?;
        if !turn.requests.is_empty() {
            self.workspaces.push_back(turn);
        }
        Some((waiting, found))
    }

    /// Takes the newest request that never ran from the longest workspace with more than `more` requests.
    fn take_newest(&mut self, more: usize) -> Option<Waiting> {
        let turns = self.workspaces.iter().enumerate();
        let longest = turns.max_by_key(|(_, turn)| turn.requests.len())?.0;
        let turn = &mut self.workspaces[longest];
        if turn.requests.len() <= more {
            return None;
        }
        let fresh = |waiting: &Waiting| matches!(waiting, Waiting::Fresh(_));
        let taken = turn.requests.iter().rposition(fresh)?;
        let taken = turn.requests.remove(taken);
        self.workspaces.retain(|turn| !turn.requests.is_empty());
        taken
    }
}

/// Splits requests into those that `unwanted` names and the others, each in order.
fn split(
    requests: impl Iterator<Item = Waiting>,
    unwanted: &mut impl FnMut(&Waiting) -> bool,
) -> (Vec<Waiting>, VecDeque<Waiting>) {
    let (mut out, mut kept) = (Vec::new(), VecDeque::new());
    for waiting in requests {
        if unwanted(&waiting) {
            out.push(waiting);
        } else {
            kept.push_back(waiting);
        }
    }
    (out, kept)
}

/// Returns the places of a queue that are kept for lower ranks.
fn reserve(bound: usize) -> usize {
    bound / 10
}
