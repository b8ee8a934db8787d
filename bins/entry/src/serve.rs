//! The entry's ports and its graceful shutdown.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use node::event;
use node::http::{self, Limits, StaticHeaders, StatusCode};
use node::operator::{self, Operator};
use prometheus_client::registry::Registry;

use wire::header as name;

use crate::Settings;
use crate::answer::NOT_RUN;
use crate::gateway::Gateway;
use crate::peer::Peering;
use crate::shared::Shared;

/// Time between two checks whether requests are still in progress.
const DRAIN_CHECK: Duration = Duration::from_millis(20);
/// Bytes of the head that an agent's port accepts which are kept for the entry's own headers: an agent that refused
/// the head as too large would answer without the request's id, and the outcome would be unknown.
const OWN_HEADERS: usize = 1024;
/// Time for the last bytes of answers to reach slow callers once no request is in progress.
const FLUSH: Duration = Duration::from_secs(5);
/// Time for which idle connections then stay open: a request that crosses the close would have an unknown outcome.
const LINGER: Duration = Duration::from_millis(500);
/// Headers that the entry adds at most, kept free for the same reason.
const OWN_HEADER_COUNT: usize = 20;

/// Serves callers and operators until `stop` resolves and the requests in progress are finished.
///
/// # Errors
///
/// Fails when a port can't be opened.
pub async fn serve(
    settings: Settings,
    shared: Shared,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let callers = node::listen(settings.caller_listen)?;
    let operators = node::listen(settings.operator_listen)?;
    let peers = node::listen(settings.peer_listen)?;
    let peering = Peering::new(&settings, shared.clone(), peers.local_addr()?);
    let _tasks = peering.start(peers);
    let stop = async {
        stop.await;
        peering.leave();
    };
    serve_on(callers, operators, settings, shared, stop).await;
    Ok(())
}

/// Serves callers and operators on open ports; see [`serve`].
pub async fn serve_on(
    callers: TcpListener,
    operators: TcpListener,
    settings: Settings,
    shared: Shared,
    stop: impl Future<Output = ()>,
) {
    let mut registry = Registry::default();
    let limits = Limits {
        max_head_bytes: Limits::default().max_head_bytes - OWN_HEADERS,
        drain_timeout: FLUSH,
        linger: LINGER,
        max_headers: Limits::default().max_headers - OWN_HEADER_COUNT,
        refusal_headers,
        ..Limits::default()
    };
    let gateway = Gateway::new(settings, shared, &mut registry);
    let changes = compio::runtime::spawn(Rc::clone(&gateway).follow_changes());
    let time = compio::runtime::spawn(Rc::clone(&gateway).keep_time());
    let (status, healthy) = (Rc::clone(&gateway), Rc::clone(&gateway));
    let operator = Operator {
        registry,
        status: move || status.status(),
        healthy: move || healthy.is_healthy(),
    };
    let operator = operator::serve(operators, operator, std::future::pending());
    let operator = compio::runtime::spawn(operator);
    let handler = |_, request| Rc::clone(&gateway).handle(request);
    http::serve(callers, limits, handler, drain(&gateway, stop)).await;
    for task in [changes, time] {
        task.cancel().await;
    }
    operator.cancel().await;
}

/// The port itself refuses too large heads and malformed, late and too large bodies before any of them runs.
fn refusal_headers(status: StatusCode) -> StaticHeaders {
    match status {
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => {
            &[(name::OUTCOME, NOT_RUN), (name::REASON, "head")]
        }
        _ => &[(name::OUTCOME, NOT_RUN), (name::REASON, "body")],
    }
}

/// Resolves once the entry was asked to stop and has nothing left to do, or its time to drain has passed.
///
/// The port stays open meanwhile: callers that the balancer still sends here get a refusal that says when to retry
/// instead of a closed port.
async fn drain(gateway: &Gateway, stop: impl Future<Output = ()>) {
    stop.await;
    let settings = &gateway.settings;
    gateway.start_draining();
    node::event!(
        event::DRAINING,
        wait_ms = settings.balancer_wait.as_millis()
    );
    compio::time::sleep(settings.balancer_wait).await;
    gateway.start_refusing();
    node::event!(event::REFUSING, in_progress = gateway.in_progress());
    let end = Instant::now() + settings.drain;
    while gateway.in_progress() > 0 && Instant::now() < end {
        compio::time::sleep(DRAIN_CHECK).await;
    }
}
