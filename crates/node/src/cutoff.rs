//! The end of the time that a stopping process has for the work in progress.

use std::cell::RefCell;
use std::pin::pin;

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::{Either, Shared, select};

/// A signal that ends the work in progress, so that callers get an answer before the process stops.
///
/// ```
/// let cutoff = node::Cutoff::default();
/// futures::executor::block_on(async {
///     assert_eq!(cutoff.limit(async { 7 }).await, Some(7));
///     cutoff.reach();
///     assert_eq!(cutoff.limit(std::future::pending::<u32>()).await, None);
/// });
/// ```
#[derive(Debug)]
pub struct Cutoff {
    sender: RefCell<Option<oneshot::Sender<()>>>,
    reached: Shared<oneshot::Receiver<()>>,
}

impl Default for Cutoff {
    /// Returns a signal that has not been given.
    fn default() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            sender: RefCell::new(Some(sender)),
            reached: receiver.shared(),
        }
    }
}

impl Cutoff {
    /// Ends all work.
    pub fn reach(&self) {
        // Dropping the sender resolves the receiver.
        self.sender.take();
    }

    /// Returns the result of `work`, or `None` if the work ends first; it is dropped then.
    pub async fn limit<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        // The signal goes first: work that another one's end makes possible must not begin any more.
        match select(self.reached.clone(), pin!(work)).await {
            Either::Left(_) => None,
            Either::Right((result, _)) => Some(result),
        }
    }
}
