//! TCP and UDP sockets without compio's thread pool.
//!
//! compio runs the calls that create, bind and shut down a socket on a thread pool. As these calls don't block, this
//! module makes them directly, and a process needs only one thread.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use compio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};

/// Listens for TCP connections on `address`.
///
/// # Errors
///
/// Fails when the address can't be bound; the message contains the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    std::net::TcpListener::bind(address)
        .and_then(|listener| {
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        })
        .map_err(|error| {
            io::Error::new(error.kind(), format!("can't listen on {address}: {error}"))
        })
}

/// Idle time before the first TCP keepalive probe, and time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum time that sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Connects to `peer`, with Nagle's algorithm disabled.
///
/// An established connection fails after about 3 s if the peer becomes unreachable without closing it, for example in a
/// network partition. The connection attempt has no timeout of its own.
///
/// # Errors
///
/// Fails when the connection is refused or no socket can be created.
pub async fn connect(peer: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(peer), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    // Messages are small and replied to at once; Nagle's algorithm would delay them by up to 40 ms.
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    TcpSocket::from_std_stream(socket.into())?
        .connect(peer)
        .await
}

/// Binds a UDP socket to `address`.
///
/// # Errors
///
/// Fails when the address can't be bound; the message contains the address.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    std::net::UdpSocket::bind(address)
        .and_then(|socket| {
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        })
        .map_err(|error| io::Error::new(error.kind(), format!("can't bind {address}: {error}")))
}

/// Shuts down the write half of `stream`.
///
/// # Errors
///
/// Fails when the peer has already reset the connection.
pub fn shutdown_write(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)
}
