//! Handling of SIGTERM, SIGINT and SIGHUP.

use futures::FutureExt;
use futures::future::{Either, select};

use crate::event;

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Resolves when the process receives SIGTERM or SIGINT.
///
/// If a handler can't be installed, the signal keeps its default action, which terminates the process.
pub async fn shutdown() {
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
    loop {
        wait_for(SIGHUP).await;
        crate::event!(event::SETTINGS_CHANGED, signal = "SIGHUP");
    }
}

async fn wait_for(signal: i32) {
    if let Err(error) = compio::signal::unix::signal(signal).await {
        crate::event!(event::NO_SIGNAL_HANDLER, signal = signal, error = error);
        std::future::pending::<()>().await;
    }
}
