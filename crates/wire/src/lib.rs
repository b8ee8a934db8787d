//! Protocols between the system's own processes.
//!
//! Control messages are calls of the tarpc service [`Peer`] on an entry's peer port. Requests and chunks are sent over
//! HTTP with the header names in [`header`]. On the users' platform, agents report the load of their engines to entries
//! over UDP: a [`DatagramSocket`] sends and receives each [`Datagram`].

mod datagram;
pub mod header;
mod message;
mod peer;
mod report;
mod socket;
pub mod transport;

pub use datagram::{Datagram, Load, MAX_DATAGRAM, NamedVersion, PermitQuery, Subscription};
pub use gossip::{Delta, Digest};
pub use message::{Gate, REPORT_INTERVAL, Reply, Report};
pub use peer::{Peer, PeerClient, PeerRequest, PeerResponse};
pub use socket::DatagramSocket;
pub use transport::{Client, connect, serve};
