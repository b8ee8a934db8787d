//! TCP ports and connections without helper threads.
//!
//! compio hands the calls that create, bind and shut down a socket to a pool of threads. They don't block, so they are made here
//! directly, and a process stays on one thread.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use compio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};

/// Opens a TCP port.
///
/// # Errors
///
/// Fails with the address in the message when the port can't be bound.
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

/// Time without traffic after which a connection is probed, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as dead.
const PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Connects to `peer`, with Nagle's algorithm off.
///
/// A connection whose other end falls silent without closing it, as behind a partition, fails after about 3 s.
///
/// The attempt has no time limit of its own.
///
/// # Errors
///
/// Fails when the connection is refused or the system is out of sockets.
pub async fn connect(peer: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(peer), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    // Messages are small and answered at once; Nagle's algorithm would delay them by up to 40 ms.
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    TcpSocket::from_std_stream(socket.into())?
        .connect(peer)
        .await
}

/// Opens a UDP port.
///
/// # Errors
///
/// Fails with the address in the message when the port can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    std::net::UdpSocket::bind(address)
        .and_then(|socket| {
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        })
        .map_err(|error| io::Error::new(error.kind(), format!("can't bind {address}: {error}")))
}

/// Ends the sending direction of `stream`.
///
/// # Errors
///
/// Fails when the peer has already reset the connection.
pub fn shut_down(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)
}
