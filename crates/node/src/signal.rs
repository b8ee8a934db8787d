//! Handling of SIGTERM, SIGINT and SIGHUP.

use std::mem;
use std::task::Poll;

use futures::FutureExt;
use futures::future::{Either, select};

use crate::event;

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Resolves when the process receives SIGTERM or SIGINT.
///
/// Further SIGTERMs have no effect, since the process is already stopping. A SIGINT after the first signal ends it at once,
/// so that a person at a terminal need not wait. If a handler can't be installed, the signal keeps its default action,
/// which terminates the process.
pub async fn shutdown() {
    keep_handler(SIGTERM).await;
    let term = wait_for(SIGTERM).boxed_local();
    let int = wait_for(SIGINT).boxed_local();
    let name = match select(term, int).await {
        Either::Left(_) => "SIGTERM",
        Either::Right(_) => "SIGINT",
    };
    crate::event!(event::STOP_REQUESTED, signal = name);
}

/// Logs each SIGHUP, which announces a change of the settings file; never returns.
///
/// Without this handler, the signal's default action would terminate the process. Settings are only read at startup, so
/// a change takes effect at the next start.
pub async fn log_hangups() {
    keep_handler(SIGHUP).await;
    loop {
        wait_for(SIGHUP).await;
        crate::event!(event::SETTINGS_CHANGED, signal = "SIGHUP");
    }
}

/// Keeps the handler of `signal` installed until the process ends.
///
/// A future that waits for a signal restores the default action when it is dropped, unless another one waits for the
/// same signal. So this starts one and never drops it.
async fn keep_handler(signal: i32) {
    let mut waiting = compio::signal::unix::signal(signal).boxed_local();
    match futures::poll!(&mut waiting) {
        Poll::Ready(Err(error)) => {
            crate::event!(event::NO_SIGNAL_HANDLER, signal = signal, error = error);
        }
        Poll::Ready(Ok(())) | Poll::Pending => mem::forget(waiting),
    }
}

async fn wait_for(signal: i32) {
    if let Err(error) = compio::signal::unix::signal(signal).await {
        crate::event!(event::NO_SIGNAL_HANDLER, signal = signal, error = error);
        std::future::pending::<()>().await;
    }
}
