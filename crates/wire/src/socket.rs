//! UDP socket for [`Datagram`]s.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use node::event;

use crate::datagram::{Datagram, MAX_DATAGRAM};

/// Delay after a receive error, so that a persistent error doesn't cause a busy loop.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(100);

/// Sends and receives datagrams between entries and agents.
///
/// A datagram that can't be sent or decoded is logged and dropped; the sender's next one replaces it.
pub struct DatagramSocket {
    socket: UdpSocket,
    buffer: Cell<Vec<u8>>,
}

impl DatagramSocket {
    /// Binds a UDP socket to `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound; the message contains the address.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: node::bind_udp(address)?,
            buffer: Cell::default(),
        })
    }

    /// Receives the next valid datagram and returns it with the sender's address.
    pub async fn receive(&self) -> (SocketAddr, Datagram) {
        loop {
            let mut buffer = self.buffer.take();
            buffer.clear();
            buffer.reserve(MAX_DATAGRAM);
            let BufResult(received, mut bytes) = self.socket.recv_from(buffer).await;
            let read = received.map(|(length, peer)| {
                bytes.truncate(length);
                (peer, Datagram::decode(&bytes))
            });
            self.buffer.set(bytes);
            match read {
                Ok((peer, Ok(datagram))) => return (peer, datagram),
                Ok((peer, Err(error))) => {
                    event!(event::DATAGRAM_FAILED, peer = peer, error = error);
                }
                Err(error) => {
                    event!(event::DATAGRAM_FAILED, peer = "any", error = error);
                    compio::time::sleep(RECEIVE_ERROR_DELAY).await;
                }
            }
        }
    }

    /// Sends a datagram to each of `peers`.
    pub async fn send(&self, datagram: &Datagram, peers: &[SocketAddr]) {
        let mut bytes = match datagram.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                event!(event::DATAGRAM_FAILED, peer = "all", error = error);
                return;
            }
        };
        for peer in peers {
            let BufResult(sent, sent_bytes) = self.socket.send_to(bytes, *peer).await;
            bytes = sent_bytes;
            if let Err(error) = sent {
                event!(event::DATAGRAM_FAILED, peer = peer, error = error);
            }
        }
    }
}
