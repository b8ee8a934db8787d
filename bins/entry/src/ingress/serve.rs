//! The ports of the ingress and its graceful shutdown.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatch::Config;
use node::event;
use node::http::{self, Limits, Request, StatusCode, response};
use node::operator::{self, Operator};
use prometheus_client::registry::Registry;
use wire::DatagramSocket;

use super::gateway::Gateway;
use super::{Settings, loads, relay, store};

/// Time from the signal to stop in which the balancer notices that the entry isn't ready: two questions, a second
/// apart, and the time that the first one may have just missed.
const BALANCER_TIME: Duration = Duration::from_millis(2600);
/// Part of the grace period that is kept for the end of the process.
const END_TIME: Duration = Duration::from_millis(700);
/// Time between two checks whether requests are still in progress.
const DRAIN_CHECK: Duration = Duration::from_millis(20);
/// Time for the last bytes of answers to reach callers.
const FLUSH: Duration = Duration::from_millis(300);
/// Time for which idle connections of callers stay open, and in which a body must arrive, while no configuration says.
const IDLE_TIME: Duration = Duration::from_secs(120);

/// Serves callers until `stop` resolves and the requests in progress are finished.
///
/// # Errors
///
/// Fails when a port can't be opened.
pub async fn serve(settings: Settings, stop: impl Future<Output = ()>) -> io::Result<()> {
    let callers = node::listen(settings.caller_listen)?;
    let ready = node::listen(settings.ready_listen)?;
    let operators = node::listen(settings.operator_listen)?;
    let loads = DatagramSocket::bind(settings.load_listen)?;
    // Entries know each other by the address of this port, so both have the same number.
    let entries = node::listen(settings.load_listen)?;
    let mut registry = Registry::default();
    let gateway = Gateway::new(settings, &mut registry);
    let (status, healthy) = (Rc::clone(&gateway), Rc::clone(&gateway));
    let operator = Operator {
        registry,
        status: move || status.status(),
        healthy: move || healthy.is_ready(),
    };
    let _tasks = [
        compio::runtime::spawn(node::signal::log_hangups()),
        compio::runtime::spawn(Rc::clone(&gateway).poll_periodically()),
        compio::runtime::spawn(store::run(Rc::clone(&gateway))),
        compio::runtime::spawn(relay::serve(entries, Rc::clone(&gateway.relay))),
        compio::runtime::spawn(loads::run(Rc::clone(&gateway), loads)),
        compio::runtime::spawn(serve_ready(ready, Rc::clone(&gateway))),
        compio::runtime::spawn(operator::serve(operators, operator, std::future::pending())),
    ];
    let handler = |_, request| Rc::clone(&gateway).handle(request);
    let limits = || limits(gateway.config().as_deref());
    http::serve_with_dynamic_limits(callers, limits, handler, drain(&gateway, stop)).await;
    Ok(())
}

/// Returns the limits of the callers' port under `config`.
fn limits(config: Option<&Config>) -> Limits {
    let ports_own = Limits {
        body_timeout: IDLE_TIME,
        header_timeout: IDLE_TIME,
        drain_timeout: FLUSH,
        linger: FLUSH,
        ..Limits::default()
    };
    let Some(config) = config else {
        return ports_own;
    };
    Limits {
        max_head_bytes: config.limits.max_header_bytes,
        max_body_bytes: config.limits.max_body_bytes,
        // A connection waits for the next request from the end of the last one on, so its time covers both.
        header_timeout: config.limits.idle_timeout.max(config.limits.header_timeout),
        ..ports_own
    }
}

async fn serve_ready(listener: compio::net::TcpListener, gateway: Rc<Gateway>) {
    let handler = move |_, request: Request<Bytes>| {
        let status = match request.uri().path() {
            platform::READY_PATH if gateway.is_ready() => StatusCode::OK,
            platform::READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        async move { response(status, "") }
    };
    http::serve(listener, Limits::default(), handler, std::future::pending()).await;
}

/// Resolves once the entry was asked to stop and has nothing left to do, or its time is over.
async fn drain(gateway: &Gateway, stop: impl Future<Output = ()>) {
    stop.await;
    let end = Instant::now() + gateway.settings.bounds.grace.saturating_sub(END_TIME);
    gateway.start_draining();
    event!(event::DRAINING, wait_ms = BALANCER_TIME.as_millis());
    compio::time::sleep(BALANCER_TIME).await;
    gateway.start_refusing();
    event!(event::REFUSING, in_progress = gateway.in_progress());
    while gateway.in_progress() > 0 && Instant::now() < end {
        compio::time::sleep(DRAIN_CHECK).await;
    }
}
