//! The HTTP server of a stand-in and its simulated restarts.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use futures::FutureExt;
use futures::future::{Either, select};
use node::event;
use node::http::{Body, Limits, Request, Response, serve};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::Control;

/// Largest request body, sized for a chunk of weights.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Attempts to listen again after a restart; the old socket may take a moment to close.
const LISTEN_ATTEMPTS: u32 = 50;
/// Delay between attempts to listen.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Request handling and fault switches of a stand-in.
pub trait Standin: 'static {
    /// Faults and delays that can be changed at run time.
    type Switches: Serialize + DeserializeOwned;

    /// Returns the switches and counters.
    fn control(&self) -> &Control<Self::Switches>;

    /// Handles a request outside `/control`.
    async fn handle(self: Rc<Self>, request: Request<Bytes>) -> Response<Body>;

    /// Discards the state that a restarted process would lose.
    fn reset(&self);
}

/// Serves `standin` on `address` until SIGTERM or SIGINT.
pub async fn run<T: Standin>(mut address: SocketAddr, standin: T) -> io::Result<()> {
    let standin = Rc::new(standin);
    let shutdown = node::signal::shutdown().boxed_local().shared();
    let limits = Limits {
        max_body_bytes: MAX_BODY_BYTES,
        ..Limits::default()
    };
    loop {
        let listener = listen_with_retry(address).await?;
        address = listener.local_addr()?;
        let role = standin.control().role();
        node::event!(event::STANDIN_SERVING, role = role, address = address);
        let handler = |_: SocketAddr, request: Request<Bytes>| {
            let standin = standin.clone();
            async move {
                match standin.control().handle(&request) {
                    Some(response) => response,
                    None => standin.handle(request).await,
                }
            }
        };
        let restart = standin.control().restart_requested();
        let serving = serve(listener, limits.clone(), handler, shutdown.clone()).boxed_local();
        let downtime = match select(serving, restart).await {
            Either::Left(_) => return Ok(()),
            Either::Right((downtime, serving)) => {
                drop(serving);
                downtime.unwrap_or_default()
            }
        };
        standin.reset();
        node::event!(
            event::STANDIN_RESTARTED,
            role = role,
            down_ms = downtime.as_millis()
        );
        compio::time::sleep(downtime).await;
    }
}

async fn listen_with_retry(address: SocketAddr) -> io::Result<TcpListener> {
    let mut attempt = 1;
    loop {
        match node::listen(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempt < LISTEN_ATTEMPTS => {
                attempt += 1;
                compio::time::sleep(LISTEN_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}
