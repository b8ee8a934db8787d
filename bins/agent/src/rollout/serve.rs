//! Opens the ports and runs the tasks of the agent.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use burst::ReceiveLimiter;
use compio::runtime::spawn;
use node::operator::{self, Operator};
use prometheus_client::registry::Registry;
use wire::DatagramSocket;

use super::state::State;
use super::{Settings, loads, switch, watch, weights};
use crate::chunk_server;
use crate::metrics::TransferMetrics;
use crate::transfer::{Holdings, PartOrigin, Rates, ReceiveSlots};

/// Time for which chunks may fill the link without a pause; an event of a stream may be delayed by as much.
const LINK_BURST: Duration = Duration::from_millis(10);
/// Time that one piece of a chunk takes on the link.
const PIECE_TIME: Duration = Duration::from_millis(5);
/// Maximum concurrent uploads; more would only share the same link.
const UPLOAD_SLOTS: usize = 3;
/// Maximum chunks received from agents at once. Chunks that arrive from many senders at once queue at the VM's link and
/// delay the requests behind them.
const MAX_FROM_PEERS: usize = 4;
/// Maximum chunks drawn from the origin at once.
const MAX_FROM_ORIGIN: usize = 2;
/// Bytes of a chunk that one request asks for; a link reduced to 45 KB/s carries four such slices in half a second.
const SLICE_BYTES: usize = 5_120;
/// Maximum time for which a request is held until its chunk arrives.
const HOLD_TIMEOUT: Duration = Duration::from_millis(400);

/// Runs the agent until `stop` resolves.
///
/// # Errors
///
/// Fails if a port can't be opened.
pub async fn serve(settings: Settings, stop: impl Future<Output = ()>) -> io::Result<()> {
    let chunks = node::listen(settings.chunk_listen)?;
    let operators = node::listen(settings.operator_listen)?;
    let load_socket = DatagramSocket::bind(settings.load_listen)?;
    let (rate, cache) = (settings.link_rate(), settings.chunk_cache);
    let rates = Rates {
        uplink: rate,
        downlink: rate,
        inter_region: rate,
        burst_time: LINK_BURST,
        piece_bytes: (rate as f64 * PIECE_TIME.as_secs_f64()) as usize,
    };
    let mut registry = Registry::default();
    let state = State::new(settings);
    let local = state.local_peer();
    let transfers = TransferMetrics::default();
    transfers.register(&mut registry);
    state.metrics.register(&mut registry);
    let holdings = Holdings::new(&local.domain, &local.region, &rates, cache, UPLOAD_SLOTS);
    let from_peers = ReceiveSlots::new(ReceiveLimiter::new(MAX_FROM_PEERS), SLICE_BYTES);
    let from_origin = ReceiveSlots::new(ReceiveLimiter::new(MAX_FROM_ORIGIN), SLICE_BYTES);
    let holdings = holdings
        .with_metrics(transfers)
        .with_long_poll(HOLD_TIMEOUT)
        .with_receive_slots(from_peers, from_origin);
    let holdings = Rc::new(holdings);
    let origin = Rc::new(PartOrigin {
        // Placeholder; set to the origin's address before anything is drawn.
        address: Cell::new(state.settings.engine),
    });
    let (transfer, worker) = weights::transfer(&state, Rc::clone(&holdings), Rc::clone(&origin));
    let status_state = Rc::clone(&state);
    let operator = Operator {
        registry,
        status: move || {
            serde_json::json!({
                "name": status_state.settings.name,
                "wanted": status_state.wanted_version(),
            })
        },
        healthy: || true,
    };
    let _tasks = [
        spawn(node::signal::log_hangups()),
        spawn(watch::run(Rc::clone(&state))),
        spawn(loads::run(Rc::clone(&state), load_socket)),
        spawn(worker.run()),
        spawn(weights::run(
            Rc::clone(&state),
            Rc::clone(&holdings),
            transfer,
            origin,
        )),
        spawn(switch::run(state, Rc::clone(&holdings))),
        spawn(operator::serve(operators, operator, std::future::pending())),
    ];
    chunk_server::serve(chunks, holdings, stop).await;
    Ok(())
}
