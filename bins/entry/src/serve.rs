//! The entry's ports and its graceful shutdown.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use node::event;
use node::http::{self, Limits};
use node::operator::{self, Operator};
use prometheus_client::registry::Registry;

use crate::Settings;
use crate::gateway::Gateway;
use crate::shared::Shared;

/// Time between two checks whether requests are still in progress.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

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
        drain: settings.drain,
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
