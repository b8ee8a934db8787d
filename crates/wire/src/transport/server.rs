//! RPC server of the peer port.

use std::io;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt, select_biased};
use tarpc::server::{BaseChannel, Channel};

use super::transport;
use crate::peer::Peer;

/// Maximum number of concurrent calls per connection; further calls wait in the connection.
const MAX_CALLS: usize = 64;
/// Maximum number of connections; at the planned size about 33 targets and 66 entries connect.
const MAX_CONNECTIONS: usize = 1024;
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections on `listener` and serves their calls with `handler` until the future is dropped.
///
/// Dropping the future closes all connections.
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
                    connections.push(serve_connection(stream, handler.clone()));
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
            Err(_) => compio::time::sleep(ACCEPT_ERROR_DELAY).await,
        }
    }
}

async fn serve_connection<H>(stream: TcpStream, handler: H) -> io::Result<()>
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
