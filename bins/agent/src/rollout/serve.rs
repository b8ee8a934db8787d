//! The ports and tasks of the agent.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

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

/// Time for which the link may be full of parts without a pause: an event of a stream waits as long.
const BURST: Duration = Duration::from_millis(10);
/// Time that a piece of a part takes on the link.
const PIECE: Duration = Duration::from_millis(5);
/// Uploads begun at once; more would only share the same link.
const UPLOADS: usize = 3;
/// Parts received at once. Parts of many senders that come together queue in front of the own link, with the requests
/// behind them.
const RECEIVED: usize = 4;
/// Parts drawn from the origin at once.
const DRAWN: usize = 2;
/// Bytes of a part that are requested at once: a link that is squeezed to 45 KB/s carries four of them in half a second.
const SLICE: usize = 5_120;
/// Time for which a request for a part that is on its way waits.
const HOLD: Duration = Duration::from_millis(400);

/// Runs the agent until `stop` resolves.
///
/// # Errors
///
/// Fails when a port can't be opened.
pub async fn serve(settings: Settings, stop: impl Future<Output = ()>) -> io::Result<()> {
    let chunks = node::listen(settings.chunk_listen)?;
    let operators = node::listen(settings.operator_listen)?;
    let load_port = DatagramSocket::bind(settings.load_listen)?;
    let (rate, cache) = (settings.link_rate(), settings.chunk_cache);
    let rates = Rates {
        uplink: rate,
        downlink: rate,
        inter_region: rate,
        burst_time: BURST,
        piece_bytes: (rate as f64 * PIECE.as_secs_f64()) as usize,
    };
    let mut registry = Registry::default();
    let state = State::new(settings);
    let me = state.me();
    let transfers = TransferMetrics::default();
    transfers.register(&mut registry);
    let holdings = Holdings::new(&me.domain, &me.region, &rates, cache, UPLOADS);
    let receiving = ReceiveSlots::new(ReceiveLimiter::new(RECEIVED), SLICE);
    let drawing = ReceiveSlots::new(ReceiveLimiter::new(DRAWN), SLICE);
    let holdings = holdings
        .with_metrics(transfers)
        .with_long_poll(HOLD)
        .with_receive_slots(receiving, drawing);
    let holdings = Rc::new(holdings);
    let origin = Rc::new(PartOrigin {
        // Set to the origin's address before anything is drawn.
        address: Cell::new(state.settings.engine),
        not_before: Cell::new(Instant::now()),
    });
    let (transfer, worker) = weights::transfer(&state, Rc::clone(&holdings), Rc::clone(&origin));
    let status = Rc::clone(&state);
    let operator = Operator {
        registry,
        status: move || {
            serde_json::json!({
                "name": status.settings.name,
                "wanted": status.wanted(),
            })
        },
        healthy: || true,
    };
    let _tasks = [
        spawn(node::signal::log_hangups()),
        spawn(watch::run(Rc::clone(&state))),
        spawn(loads::run(Rc::clone(&state), load_port)),
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
