//! A UDP port for datagrams.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use node::event;

use crate::datagram::{Datagram, MAX_DATAGRAM};

/// Pause after the port failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Sends and receives datagrams between entries and agents.
///
/// A datagram that can't be sent or read is logged and lost; the sender's next one makes up for it.
pub struct Port {
    socket: UdpSocket,
    buffer: Cell<Vec<u8>>,
}

impl Port {
    /// Opens a port.
    ///
    /// # Errors
    ///
    /// Fails with the address in the message when the port can't be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: node::bind(address)?,
            buffer: Cell::default(),
        })
    }

    /// Returns the next datagram and its sender.
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
                    compio::time::sleep(PAUSE).await;
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
