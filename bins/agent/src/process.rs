//! The life of the process: start, tasks and graceful shutdown.

use std::io;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use compio::runtime::spawn;
use gate::{Backend, Event};
use node::http::{Client, Limits, serve};
use node::{event, listen, signal};

use crate::{
    Settings, Shared, call, chunk_server, claims, engine, fencing_number, operator, report,
    staging, turn,
};

/// Time allowed for a call of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit of a request's headers: the entry's 16 KB for the caller's, and as much again for its own.
const HEADER_LIMIT: usize = 32 << 10;

/// Time for which the call port still refuses calls after the last one ended: entries learn of the stop within it.
const LINGER: Duration = Duration::from_millis(500);

/// Runs the agent until it was asked to stop and its requests in progress are finished.
///
/// # Errors
///
/// Fails when a port can't be bound, with the address in the message.
pub async fn run(settings: Settings) -> io::Result<()> {
    // Held for the life of the process: while it is bound, no second agent can start and give orders.
    let _order_lock = listen(settings.order_listen).inspect_err(|error| {
        node::event!(event::ORDER_PORT_HELD, error = error);
    })?;
    let calls = listen(settings.call_listen)?;
    let chunks = listen(settings.chunk_listen)?;
    let operators = listen(settings.operator_listen)?;
    node::event!(
        event::AGENT_SERVING,
        call = settings.call_listen,
        chunk = settings.chunk_listen,
        operator = settings.operator_listen,
    );
    let platform = platform::Client::new(settings.platform, PLATFORM_TIMEOUT);
    let http = Client::new();
    let (shared, actions) = Shared::new(settings, milliseconds());

    let mut tasks = vec![
        spawn(engine::run(shared.clone(), actions, http.clone())),
        spawn(fencing_number::acquire(
            shared.clone(),
            platform.clone(),
            http.clone(),
        )),
        spawn(turn::run(shared.clone(), http.clone())),
        spawn(leave(shared.clone())),
        spawn(report::run(shared.clone())),
        spawn(claims::run(shared.clone(), platform.clone())),
        spawn(operator::run(
            shared.clone(),
            operators,
            finished(shared.clone()),
        )),
    ];
    let mut chunk_port = None;
    if let (Backend::Engine, Some(store)) = (shared.settings.backend, shared.settings.store) {
        let holdings = staging::holdings(&shared.settings, shared.metrics.transfers.clone());
        let (transfer, worker) = staging::transfer(&shared, holdings.clone(), platform, store);
        tasks.push(spawn(worker.run()));
        tasks.push(spawn(staging::run(
            shared.clone(),
            transfer,
            holdings.clone(),
        )));
        let port = chunk_server::serve(chunks, holdings, finished(shared.clone()));
        chunk_port = Some(spawn(port));
    }
    let port = call::Port::new(shared.clone(), http);
    let limits = Limits {
        max_head_bytes: HEADER_LIMIT,
        linger: LINGER,
        ..Limits::default()
    };
    let handler = move |_, request| {
        let port = port.clone();
        async move { port.answer(request).await }
    };
    serve(calls, limits, handler, finished(shared.clone())).await;
    claims::released(&shared).await;
    if let Some(port) = chunk_port {
        // A task that panicked has been reported by the runtime.
        let _ = port.await;
    }
    drop(tasks);
    Ok(())
}

/// Waits for the signal to stop, then refuses new calls and reports that the target leaves.
async fn leave(shared: Rc<Shared>) {
    signal::shutdown().await;
    shared.handle(Event::Leave);
}

/// Resolves when the agent was asked to stop and no request is in progress.
async fn finished(shared: Rc<Shared>) {
    let mut seen = shared.changed.count();
    while !shared.finished.get() {
        seen = shared.changed.changed(seen).await;
    }
}

/// Returns the time since 1970 in milliseconds.
fn milliseconds() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
