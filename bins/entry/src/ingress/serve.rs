//! The ports of the ingress, and graceful shutdown.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatch::Config;
use node::event;
use node::http::{self, Limits, Metrics, Request, StatusCode, response};
use node::operator::{self, Operator};
use prometheus_client::registry::Registry;
use wire::DatagramSocket;

use super::gateway::Gateway;
use super::settings::CallerLimits;
use super::{Settings, exchange, loads, store};

/// Time from the stop signal until the balancer has detected that the entry is not ready.
///
/// It covers two failed checks one second apart, and up to one interval more if a check came just before the signal.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2600);
/// Part of the grace period that is reserved for process exit.
const EXIT_RESERVE: Duration = Duration::from_millis(700);
/// Interval between checks for requests in progress while draining.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time allowed for the last bytes of responses to reach callers.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of idle connections while there is no configuration.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(120);

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
    // Other entries know this one by the address of its load port, so the TCP port has the same number.
    let entries = node::listen(settings.load_listen)?;
    let mut registry = Registry::default();
    let metrics = Metrics::default();
    metrics.register(&mut registry);
    let caller_limits = settings.callers;
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
        compio::runtime::spawn(exchange::serve(
            entries,
            Rc::clone(&gateway.objects),
            metrics.clone(),
        )),
        compio::runtime::spawn(loads::run(Rc::clone(&gateway), loads)),
        compio::runtime::spawn(serve_ready(
            ready,
            Rc::clone(&gateway),
            Limits::internal("ready", &metrics),
        )),
        compio::runtime::spawn(operator::serve(operators, operator, std::future::pending())),
    ];
    let handler = |_, request| Rc::clone(&gateway).handle(request);
    let limits = || limits(gateway.config().as_deref(), caller_limits, &metrics);
    http::serve_with_dynamic_limits(callers, limits, handler, drain(&gateway, stop)).await;
    Ok(())
}

/// Returns the limits of the callers' port for `config`.
fn limits(config: Option<&Config>, callers: CallerLimits, metrics: &Metrics) -> Limits {
    let defaults = Limits {
        body_timeout: callers.body_timeout,
        body_memory: callers.body_memory,
        head_memory: callers.head_memory,
        max_connections: callers.connections,
        stall_timeout: callers.stall,
        port: "callers",
        metrics: metrics.clone(),
        header_timeout: DEFAULT_TIMEOUT,
        drain_timeout: FLUSH_TIMEOUT,
        linger: FLUSH_TIMEOUT,
        ..Limits::default()
    };
    let Some(config) = config else {
        return defaults;
    };
    Limits {
        max_head_bytes: config.limits.max_header_bytes,
        max_body_bytes: config.limits.max_body_bytes,
        // The header timeout starts at the end of the previous request, so it must also cover the idle time.
        header_timeout: config.limits.idle_timeout.max(config.limits.header_timeout),
        ..defaults
    }
}

async fn serve_ready(listener: compio::net::TcpListener, gateway: Rc<Gateway>, limits: Limits) {
    let handler = move |_, request: Request<Bytes>| {
        let status = match request.uri().path() {
            platform::READY_PATH if gateway.is_ready() => StatusCode::OK,
            platform::READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        async move { response(status, "") }
    };
    http::serve(listener, limits, handler, std::future::pending()).await;
}

/// Resolves once `stop` has resolved and all requests are finished or the grace period is over.
///
/// Requests that are still unanswered then get an answer that says so: a connection that is closed without one leaves
/// their callers to guess.
async fn drain(gateway: &Gateway, stop: impl Future<Output = ()>) {
    stop.await;
    let time = gateway.settings.bounds.grace.saturating_sub(EXIT_RESERVE);
    let end = Instant::now() + time;
    gateway.start_draining();
    let wait = BALANCER_DETECTION_TIME.min(time / 2);
    event!(event::DRAINING, wait_ms = wait.as_millis());
    compio::time::sleep(wait).await;
    gateway.start_refusing();
    event!(event::REFUSING, in_progress = gateway.in_progress());
    while gateway.in_progress() > 0 && Instant::now() < end {
        compio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    gateway.cut_off();
}
