//! Idle connections, by address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use hyper::client::conn::http1::SendRequest;

use super::Body;

/// Most idle connections of one address.
const MAX_IDLE: usize = 32;
/// Age at which an idle connection is closed; below the usual keep-alive time of servers.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Time before the other end's idle limit at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);
/// Time that a connection gets to become ready after its last answer was read.
const READY_TIME: Duration = Duration::from_millis(100);

/// A connection; closed when dropped.
pub struct Connection {
    pub sender: SendRequest<Body>,
    _task: JoinHandle<()>,
}

impl Connection {
    /// Returns a connection that `task` drives; dropping the handle cancels the task and closes the socket.
    pub fn new(sender: SendRequest<Body>, task: JoinHandle<()>) -> Self {
        Self {
            sender,
            _task: task,
        }
    }
}

/// Idle connections; clones share them.
#[derive(Clone, Default)]
pub struct Pool(Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>);

/// A connection and the time until which it may be used again.
type Idle = (Instant, Connection);

impl Pool {
    /// Takes an idle connection to `address` that can send a request now.
    pub async fn take(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let (until, mut connection) = self.pop(address)?;
            if Instant::now() >= until || connection.sender.is_closed() {
                continue;
            }
            let ready = compio::time::timeout(READY_TIME, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    /// Gives back a connection whose last answer was read to its end.
    ///
    /// `idle` is the time after which the other end closes it, if it told. A request that meets the close has an
    /// unknown outcome, so the connection is used for a shorter time.
    pub fn put(&self, address: SocketAddr, connection: Connection, idle: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let time = idle.map_or(IDLE_TIME, |idle| idle.saturating_sub(IDLE_MARGIN));
        let mut pool = self.0.borrow_mut();
        let idle = pool.entry(address).or_default();
        idle.retain(|(until, connection)| now < *until && !connection.sender.is_closed());
        if idle.len() < MAX_IDLE {
            idle.push((now + time.min(IDLE_TIME), connection));
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<Idle> {
        let mut pool = self.0.borrow_mut();
        let idle = pool.get_mut(&address)?;
        let connection = idle.pop();
        if idle.is_empty() {
            pool.remove(&address);
        }
        connection
    }
}
