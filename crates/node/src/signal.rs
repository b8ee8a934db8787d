//! Signals that ask the process to stop.

use futures::FutureExt;
use futures::future::{Either, select};

use crate::event;

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Resolves when the process receives SIGTERM or SIGINT.
///
/// When a handler can't be installed, the signal keeps its default action and ends the process.
pub async fn shutdown() {
    let term = wait(SIGTERM).boxed_local();
    let int = wait(SIGINT).boxed_local();
    let name = match select(term, int).await {
        Either::Left(_) => "SIGTERM",
        Either::Right(_) => "SIGINT",
    };
    crate::event!(event::STOP_REQUESTED, signal = name);
}

/// Logs each SIGHUP, which tells that the settings file has changed; never returns.
///
/// Without this, the signal's default action would end the process. Settings are read at the start only; a change of them
/// is in force from the next start on.
pub async fn hangups() {
    loop {
        wait(SIGHUP).await;
        crate::event!(event::SETTINGS_CHANGED, signal = "SIGHUP");
    }
}

async fn wait(signal: i32) {
    if let Err(error) = compio::signal::unix::signal(signal).await {
        crate::event!(event::NO_SIGNAL_HANDLER, signal = signal, error = error);
        std::future::pending::<()>().await;
    }
}
