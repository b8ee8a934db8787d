//! The bounded priority queue of one service.
//!
//! Ranks have strict priority, except that at least every tenth dispatch goes to a lower rank with waiting requests.
//! Classes of equal rank share dispatches by weight (stride scheduling), and the workspaces of a class are served
//! round-robin. A request that no target can take at present is skipped and keeps its position.

use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeBounds;
use std::time::{Duration, Instant};

use catalog::Name;

use crate::request::{RequestId, Waiting};

/// Maximum number of dispatches of a rank between two of lower ranks with waiting requests: it leaves these at least
/// 10%.
const MAX_CONSECUTIVE_DISPATCHES: u32 = 9;

/// The waiting requests of a service.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    ranks: BTreeMap<u8, RankQueue>,
    len: usize,
    earliest_deadline: Option<Instant>,
}

/// The waiting requests of one rank.
#[derive(Debug, Default)]
struct RankQueue {
    classes: BTreeMap<Name, ClassQueue>,
    /// Highest pass value at which a class was served; an idle class resumes at this value or a higher one.
    pass: f64,
    /// Dispatches since a lower rank was last served, counted while lower ranks have waiting requests.
    dispatches_since_lower: u32,
}

/// The waiting requests of one class.
#[derive(Debug, Default)]
struct ClassQueue {
    weight: u32,
    /// Pass value of stride scheduling: the class with the lowest one is served first.
    pass: f64,
    workspaces: VecDeque<WorkspaceQueue>,
}

/// The waiting requests of one workspace; never empty while it is part of a [`ClassQueue`].
#[derive(Debug)]
struct WorkspaceQueue {
    workspace: Name,
    requests: VecDeque<Waiting>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns a lower bound of the deadlines of all waiting requests.
    pub(crate) fn earliest_deadline(&self) -> Option<Instant> {
        self.earliest_deadline
    }

    /// Returns the number of waiting requests by class.
    pub(crate) fn waiting(&self) -> BTreeMap<Name, usize> {
        let classes = self.ranks.values().flat_map(|rank| &rank.classes);
        classes
            .map(|(name, class)| (name.clone(), class.len()))
            .collect()
    }

    /// Returns how many waiting requests of more urgent and of equal rank are served before a new one.
    ///
    /// Within the class, each other workspace is served at most once per request of this one.
    pub(crate) fn count_ahead(&self, rank: u8, class: &str, workspace: &str) -> (usize, usize) {
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
                let own_len = other
                    .workspace_queue(workspace)
                    .map_or(0, |queue| queue.requests.len());
                let queues = other.workspaces.iter();
                queues
                    .map(|queue| queue.requests.len().min(own_len + 1))
                    .sum()
            })
            .sum();
        (self.len_of_ranks(..rank), equal)
    }

    /// Returns whether a queue of at most `max_len` requests is full for another request of `rank`.
    ///
    /// A tenth of the places is reserved for lower ranks. Without waiting requests these couldn't use their minimum
    /// share of dispatches.
    pub(crate) fn is_full(&self, rank: u8, max_len: usize) -> bool {
        let has_lower = self.ranks.range(rank + 1..).next().is_some();
        let reserved_places = if has_lower {
            reserved_places(max_len)
        } else {
            0
        };
        self.len >= max_len || self.len_of_ranks(..=rank) >= max_len - reserved_places
    }

    /// Adds a request at the end of its workspace's queue, or at the front if it has been sent before.
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let context = waiting.context();
        let was_sent = context.attempts > 0;
        self.earliest_deadline = Some(
            self.earliest_deadline
                .map_or(context.deadline, |time| time.min(context.deadline)),
        );
        self.len += 1;
        let admission = std::rc::Rc::clone(&context.admission);
        let rank = self.ranks.entry(admission.rank).or_default();
        let pass = rank.pass;
        let class = rank.classes.entry(admission.class.clone()).or_default();
        if class.workspaces.is_empty() {
            class.pass = class.pass.max(pass);
        }
        class.weight = admission.weight;
        let queue = match class
            .workspaces
            .iter_mut()
            .find(|queue| queue.workspace == admission.workspace)
        {
            Some(queue) => queue,
            None => {
                class.workspaces.push_back(WorkspaceQueue {
                    workspace: admission.workspace.clone(),
                    requests: VecDeque::new(),
                });
                class.workspaces.back_mut().expect("a turn was just added")
            }
        };
        if was_sent {
            queue.requests.push_front(waiting);
        } else {
            queue.requests.push_back(waiting);
        }
    }

    /// Removes the next request for which `find_target` returns a target, and returns both.
    pub(crate) fn pop<T>(
        &mut self,
        find_target: &mut impl FnMut(&Waiting) -> Option<T>,
    ) -> Option<(Waiting, T)> {
        let dispatch_order = self.dispatch_order();
        let (served_rank, taken) = dispatch_order.into_iter().find_map(|number| {
            let rank = self.ranks.get_mut(&number)?;
            rank.pop(find_target).map(|taken| (number, taken))
        })?;
        self.len -= 1;
        let lower = self
            .ranks
            .range(served_rank + 1..)
            .any(|(_, rank)| rank.len() > 0);
        for rank in self.ranks.range_mut(..served_rank).map(|(_, rank)| rank) {
            rank.dispatches_since_lower = 0;
        }
        if lower && let Some(rank) = self.ranks.get_mut(&served_rank) {
            rank.dispatches_since_lower += 1;
        }
        Some(taken)
    }

    /// Removes the request with the given id, if it is waiting.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        self.remove_matching(|waiting| waiting.context().id == id)
            .pop()
    }

    /// Removes all requests that `predicate` selects, in the order of each workspace's queue.
    pub(crate) fn remove_matching(
        &mut self,
        mut predicate: impl FnMut(&Waiting) -> bool,
    ) -> Vec<Waiting> {
        let mut removed = Vec::new();
        let mut earliest_deadline: Option<Instant> = None;
        let classes = self
            .ranks
            .values_mut()
            .flat_map(|rank| rank.classes.values_mut());
        for class in classes {
            for queue in &mut class.workspaces {
                let requests = std::mem::take(&mut queue.requests).into_iter();
                let (matching, kept) = partition_requests(requests, &mut predicate);
                removed.extend(matching);
                queue.requests = kept;
                let deadlines = queue
                    .requests
                    .iter()
                    .map(|waiting| waiting.context().deadline);
                earliest_deadline = deadlines.chain(earliest_deadline).min();
            }
            class.workspaces.retain(|queue| !queue.requests.is_empty());
        }
        self.len -= removed.len();
        self.earliest_deadline = earliest_deadline;
        removed
    }

    /// Removes all requests with less than `needed` time left until their deadline.
    pub(crate) fn expire(&mut self, now: Instant, needed: Duration) -> Vec<Waiting> {
        if self
            .earliest_deadline
            .is_none_or(|earliest_deadline| earliest_deadline >= now + needed)
        {
            return Vec::new();
        }
        self.remove_matching(|waiting| waiting.context().deadline < now + needed)
    }

    /// Evicts a request to make room for one of the given rank, class and workspace in a queue of at most `max_len`.
    ///
    /// The victim is the newest request of the workspace with the longest queue: in the least urgent rank below this
    /// one that exceeds its reserve, or in the same class if that workspace has at least two more requests waiting.
    /// Requests that may have run are never evicted.
    pub(crate) fn evict(
        &mut self,
        rank: u8,
        class: &str,
        workspace: &str,
        max_len: usize,
    ) -> Option<Waiting> {
        let lower: Vec<u8> = self
            .ranks
            .range(rank + 1..)
            .rev()
            .map(|(rank, _)| *rank)
            .collect();
        let over_reserve = lower
            .into_iter()
            .find(|rank| self.len_of_ranks(*rank..) > reserved_places(max_len));
        let from_lower = over_reserve
            .filter(|_| self.len >= max_len)
            .and_then(|rank| {
                let classes = self.ranks.get_mut(&rank)?.classes.values_mut();
                classes.max_by_key(|class| class.len())?.take_newest(0)
            });
        let taken = from_lower.or_else(|| {
            let class = self.ranks.get_mut(&rank)?.classes.get_mut(class)?;
            let own_len = class
                .workspace_queue(workspace)
                .map_or(0, |queue| queue.requests.len());
            class.take_newest(own_len + 1)
        })?;
        self.len -= 1;
        Some(taken)
    }

    fn len_of_ranks(&self, ranks: impl RangeBounds<u8>) -> usize {
        self.ranks.range(ranks).map(|(_, rank)| rank.len()).sum()
    }

    /// Returns the ranks with waiting requests in the order in which they are served.
    fn dispatch_order(&self) -> Vec<u8> {
        let mut dispatch_order = Vec::new();
        let mut deferred = Vec::new();
        for (number, rank) in self.ranks.iter().filter(|(_, rank)| rank.len() > 0) {
            if rank.dispatches_since_lower >= MAX_CONSECUTIVE_DISPATCHES {
                deferred.push(*number);
            } else {
                dispatch_order.push(*number);
            }
        }
        // Ranks that have used up their consecutive dispatches come after the lower ranks, the most urgent one last.
        dispatch_order.extend(deferred.into_iter().rev());
        dispatch_order
    }
}

impl RankQueue {
    fn len(&self) -> usize {
        self.classes.values().map(ClassQueue::len).sum()
    }

    fn pop<T>(
        &mut self,
        find_target: &mut impl FnMut(&Waiting) -> Option<T>,
    ) -> Option<(Waiting, T)> {
        let mut classes: Vec<&mut ClassQueue> = self
            .classes
            .values_mut()
            .filter(|class| class.len() > 0)
            .collect();
        classes.sort_by(|one, other| one.pass.total_cmp(&other.pass));
        for class in classes {
            if let Some(taken) = class.pop(find_target) {
                self.pass = self.pass.max(class.pass);
                class.pass += 1.0 / f64::from(class.weight.max(1));
                return Some(taken);
            }
        }
        None
    }
}

impl ClassQueue {
    fn len(&self) -> usize {
        self.workspaces
            .iter()
            .map(|queue| queue.requests.len())
            .sum()
    }

    /// Returns the queue of `workspace`, if it has waiting requests.
    fn workspace_queue(&self, workspace: &str) -> Option<&WorkspaceQueue> {
        self.workspaces
            .iter()
            .find(|queue| queue.workspace == workspace)
    }

    fn pop<T>(
        &mut self,
        find_target: &mut impl FnMut(&Waiting) -> Option<T>,
    ) -> Option<(Waiting, T)> {
        let queues = self.workspaces.iter().enumerate();
        let (index, position, found) = queues.into_iter().find_map(|(index, queue)| {
            let mut requests = queue.requests.iter().enumerate();
            requests.find_map(|(position, waiting)| Some((index, position, find_target(waiting)?)))
        })?;
        let mut queue = self.workspaces.remove(index)?;
        let waiting = queue.requests.remove(position)?;
        if !queue.requests.is_empty() {
            self.workspaces.push_back(queue);
        }
        Some((waiting, found))
    }

    /// Removes the newest request that can't have run from the workspace with the longest queue, if that has more than
    /// `threshold` requests.
    fn take_newest(&mut self, threshold: usize) -> Option<Waiting> {
        let queues = self.workspaces.iter().enumerate();
        let longest = queues.max_by_key(|(_, queue)| queue.requests.len())?.0;
        let queue = &mut self.workspaces[longest];
        if queue.requests.len() <= threshold {
            return None;
        }
        let fresh = |waiting: &Waiting| matches!(waiting, Waiting::Queued(_));
        let taken = queue.requests.iter().rposition(fresh)?;
        let taken = queue.requests.remove(taken);
        self.workspaces.retain(|queue| !queue.requests.is_empty());
        taken
    }
}

/// Splits requests into those that `predicate` selects and the others, preserving their order.
fn partition_requests(
    requests: impl Iterator<Item = Waiting>,
    predicate: &mut impl FnMut(&Waiting) -> bool,
) -> (Vec<Waiting>, VecDeque<Waiting>) {
    let (mut matching, mut kept) = (Vec::new(), VecDeque::new());
    for waiting in requests {
        if predicate(&waiting) {
            matching.push(waiting);
        } else {
            kept.push_back(waiting);
        }
    }
    (matching, kept)
}

/// Returns the number of places that a queue of `max_len` reserves for lower ranks.
fn reserved_places(max_len: usize) -> usize {
    max_len / 10
}
