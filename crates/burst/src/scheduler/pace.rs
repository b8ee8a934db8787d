//! Order and pace of the draws of a version.

use std::time::{Duration, Instant};

use crate::{StripeIndex, Stripes};

/// Number of missing stripes, first in the order of draws, that may be drawn before they are due. The next draw starts
/// while the one before still uses the link.
const DRAW_WINDOW: usize = 3;

/// The order in which all agents together draw the stripes of a version, and the time at which each draw is due.
///
/// All agents compute the same order. Draws that start one after the other, as fast as the origin's link carries them,
/// end one after the other. If all agents drew at once, no stripe would be complete when the origin becomes
/// unavailable.
#[derive(Debug)]
pub(super) struct Pace {
    /// Time that the origin's link takes to carry one stripe, or zero if unknown.
    stripe_time: Duration,
    started: Option<Instant>,
    /// Position of each stripe in the order of draws.
    slots: Vec<u32>,
    /// Missing chunks of each stripe.
    missing: Vec<u32>,
    /// Number of missing stripes that may be requested from other agents before they are due.
    request_window: usize,
    /// Slot of the first stripe after the window of draws.
    draw_end: u32,
    /// Slot of the first stripe after the window of requests.
    request_end: u32,
}

impl Pace {
    /// Returns the pace of a transfer in which the origin's link takes `chunk_time` for each chunk, and in which
    /// `missing` are the numbers of missing chunks of each stripe.
    pub(super) fn new(
        stripes: &Stripes,
        chunk_time: Duration,
        missing: Vec<u32>,
        request_window: usize,
    ) -> Self {
        let mut order: Vec<StripeIndex> = (0..stripes.count()).collect();
        order.sort_by_key(|stripe| stripes.key(*stripe));
        let mut slots = vec![0; order.len()];
        for (slot, stripe) in (0..).zip(order) {
            slots[stripe as usize] = slot;
        }
        let mut pace = Self {
            stripe_time: chunk_time * stripes.chunk_range(0).len() as u32,
            started: None,
            slots,
            missing,
            request_window,
            draw_end: 0,
            request_end: 0,
        };
        pace.update_windows();
        pace
    }

    /// Sets the start of the draws unless an earlier one is set.
    pub(super) fn start(&mut self, at: Instant) {
        self.started = Some(self.started.map_or(at, |started| started.min(at)));
    }

    /// Returns the position of `stripe` in the order of draws.
    pub(super) fn slot(&self, stripe: StripeIndex) -> u32 {
        self.slots[stripe as usize]
    }

    /// Returns when the origin's link has carried all stripes before `stripe`, or `None` before the start.
    pub(super) fn due(&self, stripe: StripeIndex) -> Option<Instant> {
        let started = self.started?;
        Some(started + self.stripe_time * self.slot(stripe))
    }

    /// Returns when `stripe` may be drawn, or `None` if it may be drawn now.
    pub(super) fn draw_blocked(&self, stripe: StripeIndex, now: Instant) -> Option<Instant> {
        match self.slot(stripe) < self.draw_end {
            true => None,
            false => self.due(stripe).filter(|due| *due > now),
        }
    }

    /// Returns when `stripe` may be requested from another agent, or `None` if it may be requested now.
    ///
    /// Requests for stripes that nobody has drawn yet would occupy the agent's parallel requests.
    pub(super) fn request_blocked(&self, stripe: StripeIndex, now: Instant) -> Option<Instant> {
        match self.slot(stripe) < self.request_end {
            true => None,
            false => self.due(stripe).filter(|due| *due > now),
        }
    }

    /// Returns the time after which a stripe that must wait is checked again: the windows move before it is due.
    pub(super) fn check_interval(&self) -> Duration {
        self.stripe_time
    }

    /// Records that a chunk of `stripe` was received.
    pub(super) fn chunk_received(&mut self, stripe: StripeIndex) {
        let missing = &mut self.missing[stripe as usize];
        *missing = missing.saturating_sub(1);
        if *missing == 0 {
            self.update_windows();
        }
    }

    /// Returns half of the time that the origin's link takes for the stripes that this agent doesn't hold.
    ///
    /// If agents retry their draws at this interval, the link is in use throughout once the origin is available again,
    /// and the draws of few stripes share it.
    pub(super) fn retry_interval(&self) -> Duration {
        let missing = self.missing.iter().filter(|missing| **missing > 0);
        self.stripe_time * missing.count() as u32 / 2
    }

    fn update_windows(&mut self) {
        let missing = (0..)
            .zip(&self.missing)
            .filter(|(_, missing)| **missing > 0);
        let mut slots: Vec<u32> = missing.map(|(stripe, _)| self.slot(stripe)).collect();
        slots.sort_unstable();
        let end = |window: usize| slots.get(window).copied().unwrap_or(u32::MAX);
        self.draw_end = end(DRAW_WINDOW);
        self.request_end = end(self.request_window);
    }
}
