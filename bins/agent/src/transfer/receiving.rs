//! Turns of the chunks that an agent receives.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::Intake;
use burst::intake::{BodyId, Grant};

use crate::Notify;

/// Time between two signs of progress while a chunk waits for its turn.
const SIGN: Duration = Duration::from_millis(500);

/// Limits the chunks that come at once; clones share the limit.
#[derive(Clone)]
pub struct Receiving(Rc<Inner>);

struct Inner {
    intake: RefCell<Intake>,
    /// Raised by each body that ends.
    freed: Notify,
}

/// Turn of a chunk; dropping it lets the next one come.
pub(crate) struct Turn {
    receiving: Receiving,
    body: BodyId,
    /// Bytes a second to ask the sender for.
    pub(crate) rate: u64,
}

impl Receiving {
    /// Returns the limit of `intake`.
    pub fn new(intake: Intake) -> Self {
        Self(Rc::new(Inner {
            intake: RefCell::new(intake),
            freed: Notify::default(),
        }))
    }

    /// Waits until `from` may send a chunk; `progress` is called while it waits.
    pub(crate) async fn turn(&self, from: SocketAddr, progress: &impl Fn()) -> Turn {
        loop {
            let seen = self.0.freed.count();
            let grant = self.0.intake.borrow_mut().begin(Instant::now(), from);
            if let Some(Grant { body, rate }) = grant {
                return Turn {
                    receiving: self.clone(),
                    body,
                    rate,
                };
            }
            let _ = compio::time::timeout(SIGN, self.0.freed.changed(seen)).await;
            progress();
        }
    }
}

impl Turn {
    /// Notes that bytes of the chunk came.
    pub(crate) fn received(&self, bytes: usize) {
        let mut intake = self.receiving.0.intake.borrow_mut();
        intake.received(Instant::now(), self.body, bytes);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let inner = &self.receiving.0;
        inner.intake.borrow_mut().end(Instant::now(), self.body);
        inner.freed.notify();
    }
}
