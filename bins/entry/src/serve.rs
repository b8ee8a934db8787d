//! Listening ports and graceful shutdown of the entry.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use node::event;
use node::http::{self, Limits, StaticHeaders, StatusCode};
use node::operator::{self, Operator};
use prometheus_client::registry::Registry;
use wire::header as wire_header;

use crate::Settings;
use crate::gateway::Gateway;
use crate::peer::Peering;
use crate::response::NOT_RUN;
use crate::shared::SharedState;

/// Interval between checks whether requests are still in progress.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes of the request head reserved for the headers that the entry adds.
///
/// Without this margin a head that the entry accepts could exceed the agent's limit. The agent would then refuse it
/// without echoing the request id, which makes the outcome unknown.
const RESERVED_HEAD_BYTES: usize = 1024;
/// Time for buffered response data to reach slow callers once no request is in progress.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which idle connections stay open after the drain.
///
/// A request that arrives while its connection is being closed would have an unknown outcome.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of headers reserved for those that the entry adds, for the same reason as [`RESERVED_HEAD_BYTES`].
const RESERVED_HEADERS: usize = 20;

/// Serves callers and operators until `stop` resolves and the requests in progress are finished.
///
/// # Errors
///
/// Fails if a port can't be opened.
pub async fn serve(
    settings: Settings,
    shared: SharedState,
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

/// Serves callers and operators on the given listeners, without a peer port; see [`serve`].
pub async fn serve_on(
    callers: TcpListener,
    operators: TcpListener,
    settings: Settings,
    shared: SharedState,
    stop: impl Future<Output = ()>,
) {
    let mut registry = Registry::default();
    let limits = Limits {
        max_head_bytes: Limits::default().max_head_bytes - RESERVED_HEAD_BYTES,
        drain_timeout: FLUSH_TIMEOUT,
        linger: LINGER_TIMEOUT,
        max_headers: Limits::default().max_headers - RESERVED_HEADERS,
        refusal_headers,
        ..Limits::default()
    };
    let gateway = Gateway::new(settings, shared, &mut registry);
    let changes = compio::runtime::spawn(Rc::clone(&gateway).apply_changes());
    let polling = compio::runtime::spawn(Rc::clone(&gateway).poll_periodically());
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
    for task in [changes, polling] {
        task.cancel().await;
    }
    operator.cancel().await;
}

/// Returns the headers of responses in which the HTTP server itself refuses a request.
///
/// It refuses oversized heads, and bodies that are malformed, late or oversized; none of these requests has run.
fn refusal_headers(status: StatusCode) -> StaticHeaders {
    match status {
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => &[
            (wire_header::OUTCOME, NOT_RUN),
            (wire_header::REASON, "head"),
        ],
        _ => &[
            (wire_header::OUTCOME, NOT_RUN),
            (wire_header::REASON, "body"),
        ],
    }
}

/// Resolves after `stop` once no request is in progress or the drain timeout has passed; requests without an outcome get
/// one then.
///
/// The port stays open until then, so that callers that the balancer still sends here get a refusal with a retry time
/// instead of a refused connection.
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
    let end = Instant::now() + settings.drain_timeout;
    while gateway.in_progress() > 0 && Instant::now() < end {
        compio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    gateway.cut_off();
}
