//! Starts the agent, runs its tasks and shuts it down gracefully.

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

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a request's headers: the 16 KB that entries allow for the caller's headers, and as much for the
/// entry's own.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Time after the last call for which the call port still refuses calls, so that entries learn of the stop.
const LINGER: Duration = Duration::from_millis(500);

/// Runs the agent until it is asked to stop and its requests in progress are finished.
///
/// # Errors
///
/// Fails if a port can't be bound, with the address in the message.
pub async fn run(settings: Settings) -> io::Result<()> {
    // Bound for the lifetime of the process, so that no second agent can start and send orders.
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
    let (shared, actions) = Shared::new(settings, unix_millis());

    let mut tasks = vec![
        spawn(engine::run(shared.clone(), actions, http.clone())),
        spawn(fencing_number::acquire(
            shared.clone(),
            platform.clone(),
            http.clone(),
        )),
        spawn(turn::run(shared.clone(), http.clone())),
        spawn(leave_on_signal(shared.clone())),
        spawn(report::run(shared.clone())),
        spawn(claims::run(shared.clone(), platform.clone())),
        spawn(operator::run(
            shared.clone(),
            operators,
            finished(shared.clone()),
        )),
    ];
    let mut chunk_server = None;
    if let (Backend::Engine, Some(store)) = (shared.settings.backend, shared.settings.store) {
        let holdings = staging::holdings(&shared.settings, shared.metrics.transfers.clone());
        let (transfer, worker) = staging::transfer(&shared, holdings.clone(), platform, store);
        tasks.push(spawn(worker.run()));
        tasks.push(spawn(staging::run(
            shared.clone(),
            transfer,
            holdings.clone(),
        )));
        let server = chunk_server::serve(chunks, holdings, finished(shared.clone()));
        chunk_server = Some(spawn(server));
    }
    let proxy = call::Proxy::new(shared.clone(), http);
    let limits = Limits {
        max_head_bytes: MAX_HEAD_BYTES,
        linger: LINGER,
        ..Limits::default()
    };
    let handler = move |_, request| {
        let proxy = proxy.clone();
        async move { proxy.handle(request).await }
    };
    serve(calls, limits, handler, finished(shared.clone())).await;
    claims::wait_for_release(&shared).await;
    if let Some(server) = chunk_server {
        // The runtime reports a panic of the task.
        let _ = server.await;
    }
    drop(tasks);
    Ok(())
}

/// Waits for a stop signal, then makes the gate refuse new calls and the reports say that the target is leaving.
async fn leave_on_signal(shared: Rc<Shared>) {
    signal::shutdown().await;
    shared.handle(Event::Leave);
}

/// Resolves once the agent was asked to stop and no request is in progress.
async fn finished(shared: Rc<Shared>) {
    let mut seen = shared.changed.count();
    while !shared.finished.get() {
        seen = shared.changed.changed(seen).await;
    }
}

/// Returns the time since the Unix epoch in milliseconds.
fn unix_millis() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
