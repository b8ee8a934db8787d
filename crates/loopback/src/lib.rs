//! Addresses on loopback that no other test process uses.
//!
//! A port that was only tried out can be taken by another test, or by an outgoing connection, before its process binds
//! it. Here the IP address follows from the process id, and each port is given once.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Hosts of a test process.
const HOSTS: u8 = 8;
/// Values of the second byte of an address for one host.
const PER_HOST: u8 = 16;
/// First port that is given; the system takes those of outgoing connections from 32,768 on.
const FIRST_PORT: u16 = 10_000;

/// Returns the IP address of `host`, a number below 8.
///
/// # Panics
///
/// Panics when there is no such host.
///
/// ```
/// assert!(loopback::ip(1).is_loopback());
/// assert_ne!(loopback::ip(0), loopback::ip(1));
/// ```
pub fn ip(host: u8) -> IpAddr {
    assert!(host < HOSTS, "host {host} of {HOSTS}");
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    [127, 100 + host * PER_HOST + high % PER_HOST, middle, low].into()
}

/// Returns an address of host 0 with a port that was not given before.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    SocketAddr::new(ip(0), NEXT.fetch_add(1, Ordering::Relaxed))
}
