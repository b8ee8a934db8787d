//! Connections at one port: which of them gives way when there are too many, or too many with an unfinished head.
//!
//! Decides without I/O and without a clock of its own; [`super::admission`] carries the decisions out.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Number of a connection, unique within one [`Connections`].
pub type ConnectionId = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Between requests; no byte of the next one has been seen.
    Idle,
    /// Part of a head has arrived.
    Head,
    /// The head has arrived, the body hasn't.
    Body,
    /// A request is in progress.
    Busy,
    /// Chosen to be closed.
    Closing,
}

/// The open connections of a port.
#[derive(Debug)]
pub struct Connections {
    open: BTreeMap<ConnectionId, (Phase, Instant)>,
    next: ConnectionId,
    heads: usize,
    stall: Duration,
}

impl Phase {
    /// Returns the name used in events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Busy => "busy",
            Self::Closing => "closing",
        }
    }
}

impl Connections {
    /// Returns an empty set, in which a connection gives way once it has made no progress for `stall`.
    pub fn new(stall: Duration) -> Self {
        Self {
            open: BTreeMap::new(),
            next: 0,
            heads: 0,
            stall,
        }
    }

    /// Adds a new connection.
    pub fn open(&mut self, now: Instant) -> ConnectionId {
        let id = self.next;
        self.next += 1;
        self.open.insert(id, (Phase::Idle, now));
        id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some((Phase::Head, _)) = self.open.remove(&id) {
            self.heads -= 1;
        }
    }

    /// Records that bytes have arrived; on an idle connection they begin a head.
    pub fn receive(&mut self, id: ConnectionId, now: Instant) {
        if let Some((Phase::Idle, _)) = self.open.get(&id) {
            self.enter(id, Phase::Head, now);
        }
    }

    /// Records the phase of a connection, or progress within it, unless it is about to be closed.
    pub fn enter(&mut self, id: ConnectionId, phase: Phase, now: Instant) {
        let Some((current, since)) = self.open.get_mut(&id) else {
            return;
        };
        if *current == Phase::Closing {
            return;
        }
        self.heads -= usize::from(*current == Phase::Head);
        self.heads += usize::from(phase == Phase::Head);
        (*current, *since) = (phase, now);
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of unfinished heads.
    pub fn heads(&self) -> usize {
        self.heads
    }

    /// Returns the connection to close so that another one can be accepted, and its phase: an unfinished request that has
    /// stood still longest, else the connection that has been idle longest. Requests in progress are never cut off.
    pub fn stalled(&mut self, now: Instant) -> Option<(ConnectionId, Phase)> {
        self.choose(now, |phase| {
            matches!(phase, Phase::Idle | Phase::Head | Phase::Body)
        })
    }

    /// Returns the connection to close so that unfinished heads take less memory, as [`Connections::stalled`].
    pub fn stalled_head(&mut self, now: Instant) -> Option<(ConnectionId, Phase)> {
        self.choose(now, |phase| phase == Phase::Head)
    }

    fn choose(
        &mut self,
        now: Instant,
        may_close: impl Fn(Phase) -> bool,
    ) -> Option<(ConnectionId, Phase)> {
        let candidates = self.open.iter().filter(|(_, (phase, since))| {
            may_close(*phase) && now.saturating_duration_since(*since) >= self.stall
        });
        let (&id, &(phase, _)) =
            candidates.min_by_key(|(_, (phase, since))| (*phase == Phase::Idle, *since))?;
        self.enter(id, Phase::Closing, now);
        Some((id, phase))
    }
}
