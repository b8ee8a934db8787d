//! Limit on the informational responses (1xx) before the final response.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use futures::channel::oneshot;
use hyper::Request;

use super::Body;

/// Maximum number of informational responses to a request; a peer that sends more is assumed never to send a final
/// response. Well-behaved peers send one or two.
const MAX_RESPONSES: usize = 16;

/// Returns a receiver that resolves when `request` gets more than 16 informational responses.
///
/// hyper itself skips any number of them.
pub fn limit_reached(request: &mut Request<Body>) -> oneshot::Receiver<()> {
    let (sender, receiver) = oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let count = AtomicUsize::new(0);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_RESPONSES {
            let mut sender = sender.lock().unwrap_or_else(PoisonError::into_inner);
            // The receiver is already dropped if the request has ended for another reason.
            let _ = sender.take().map(|sender| sender.send(()));
        }
    });
    receiver
}
