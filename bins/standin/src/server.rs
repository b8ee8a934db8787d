//! The port of a stand-in and its restarts.

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

/// Largest body: a chunk of weights.
const MAX_BODY: usize = 64 << 20;
/// Attempts to open the port again after a restart, 20 ms apart; the old socket may take a moment to close.
const LISTEN_ATTEMPTS: u32 = 50;

/// What a stand-in answers.
pub trait Standin: 'static {
    /// Its switches.
    type Switches: Serialize + DeserializeOwned;

    /// Returns its switches and counts.
    fn control(&self) -> &Control<Self::Switches>;

    /// Answers a request that isn't for its control.
    async fn answer(self: Rc<Self>, request: Request<Bytes>) -> Response<Body>;

    /// Forgets what a restarted process doesn't know.
    fn forget(&self);
}

/// Serves `standin` on `address` until SIGTERM or SIGINT.
pub async fn run<T: Standin>(mut address: SocketAddr, standin: T) -> io::Result<()> {
    let standin = Rc::new(standin);
    let shutdown = node::signal::shutdown().boxed_local().shared();
    let limits = Limits {
        max_body_bytes: MAX_BODY,
        ..Limits::default()
    };
    loop {
        let listener = listen(address).await?;
        address = listener.local_addr()?;
        let role = standin.control().role();
        node::event!(event::STANDIN_SERVING, role = role, address = address);
        let handler = |_: SocketAddr, request: Request<Bytes>| {
            let standin = standin.clone();
            async move {
                match standin.control().answer(&request) {
                    Some(response) => response,
                    None => standin.answer(request).await,
                }
            }
        };
        let restart = standin.control().restart();
        let serving = serve(listener, limits.clone(), handler, shutdown.clone()).boxed_local();
        let down = match select(serving, restart).await {
            Either::Left(_) => return Ok(()),
            Either::Right((down, serving)) => {
                drop(serving);
                down.unwrap_or_default()
            }
        };
        standin.forget();
        node::event!(
            event::STANDIN_RESTARTED,
            role = role,
            down_ms = down.as_millis()
        );
        compio::time::sleep(down).await;
    }
}

async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let mut attempt = 1;
    loop {
        match node::listen(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempt < LISTEN_ATTEMPTS => {
                attempt += 1;
                compio::time::sleep(Duration::from_millis(20)).await;
            }
            result => return result,
        }
    }
}
