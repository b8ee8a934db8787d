//! Pool of idle connections, by address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use hyper::client::conn::http1::SendRequest;

use super::Body;

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Time after which an idle connection is no longer reused; shorter than the header timeout of this crate's server, which
/// closes idle connections without having announced it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// Safety margin: a connection is no longer reused this long before the peer's idle timeout.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);
/// Timeout for a connection to become ready after its last response was read.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection; closed when dropped.
pub struct Connection {
    pub sender: SendRequest<Body>,
    _task: JoinHandle<()>,
}

impl Connection {
    /// Returns a connection driven by `task`; dropping the handle cancels the task and closes the socket.
    pub fn new(sender: SendRequest<Body>, task: JoinHandle<()>) -> Self {
        Self {
            sender,
            _task: task,
        }
    }
}

/// Pool of idle connections; clones share it.
#[derive(Clone, Default)]
pub struct Pool(Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>);

/// An idle connection and the time until which it may be reused.
type IdleConnection = (Instant, Connection);

impl Pool {
    /// Takes an idle connection to `address` that can send a request now.
    pub async fn take(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let (expiry, mut connection) = self.pop(address)?;
            if Instant::now() >= expiry || connection.sender.is_closed() {
                continue;
            }
            let ready = compio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool after its last response was read to the end.
    ///
    /// `idle` is the idle timeout that the peer announced, if any. A request sent while the peer closes the connection
    /// has an unknown outcome, so the connection is reused for a shorter time only.
    pub fn put(&self, address: SocketAddr, connection: Connection, idle: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let time = idle.map_or(MAX_IDLE_TIME, |idle| idle.saturating_sub(IDLE_MARGIN));
        let mut pool = self.0.borrow_mut();
        let idle = pool.entry(address).or_default();
        idle.retain(|(expiry, connection)| now < *expiry && !connection.sender.is_closed());
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push((now + time.min(MAX_IDLE_TIME), connection));
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<IdleConnection> {
        let mut pool = self.0.borrow_mut();
        let idle = pool.get_mut(&address)?;
        let connection = idle.pop();
        if idle.is_empty() {
            pool.remove(&address);
        }
        connection
    }
}
