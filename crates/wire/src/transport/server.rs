//! The listening side of the peer port.

use std::io;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt, select_biased};
use tarpc::server::{BaseChannel, Channel};

use super::transport;
use crate::peer::Peer;

/// Most calls of one connection in progress; further ones wait in the connection.
const MAX_CALLS: usize = 64;
/// Most connections; at target size about 33 targets and 66 entries connect.
const MAX_CONNECTIONS: usize = 1024;
/// Wait after a failed accept, for example when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the calls of all connections to `listener` with `handler` until the future is dropped.
///
/// Dropping the future closes the connections.
pub async fn serve<H>(listener: &TcpListener, handler: H)
where
    H: Peer + Clone + 'static,
{
    let mut connections = FuturesUnordered::new();
    loop {
        if connections.len() >= MAX_CONNECTIONS {
            connections.next().await;
            continue;
        }
        let accept = accept(listener).fuse();
        futures::pin_mut!(accept);
        loop {
            select_biased! {
                _ = connections.select_next_some() => {}
                stream = accept => {
                    connections.push(connection(stream, handler.clone()));
                    break;
                }
            }
        }
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => compio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<H>(stream: TcpStream, handler: H) -> io::Result<()>
where
    H: Peer + Clone + 'static,
{
    let channel = BaseChannel::with_defaults(transport(stream)?);
    channel
        .execute(handler.serve())
        .for_each_concurrent(MAX_CALLS, |call| call)
        .await;
    Ok(())
}
