//! A bound on the interim answers (1xx) before the final one.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use futures::channel::oneshot;
use hyper::Request;

use super::Body;

/// Interim answers after which a peer is taken to send nothing else; proper ones send one or two.
const MOST: usize = 16;

/// Returns a receiver that resolves once the answer to `request` has begun with too many interim ones.
///
/// hyper passes over them by itself, however many come.
pub fn too_many(request: &mut Request<Body>) -> oneshot::Receiver<()> {
    let (sender, receiver) = oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let count = AtomicUsize::new(0);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MOST {
            let mut sender = sender.lock().unwrap_or_else(PoisonError::into_inner);
            // Nobody waits any more once the request has ended otherwise.
            let _ = sender.take().map(|sender| sender.send(()));
        }
    });
    receiver
}
