//! Loopback addresses for tests, unique to each test process.
//!
//! A port that was probed and found free can be taken by another test, or by an outgoing connection, before the process
//! under test binds it. Therefore the IP address is derived from the process ID, and each port is only returned once.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Number of hosts per test process.
const HOSTS: u8 = 8;
/// Number of values of the second address byte reserved for each host.
const NETS_PER_HOST: u8 = 16;
/// First port that is returned; the operating system uses ports from 32,768 on for outgoing connections.
const FIRST_PORT: u16 = 10_000;

/// Returns the IP address of a host of this process, numbered from 0 to 7.
///
/// # Panics
///
/// Panics if `host` is 8 or more.
///
/// ```
/// assert!(loopback::host_ip(1).is_loopback());
/// assert_ne!(loopback::host_ip(0), loopback::host_ip(1));
/// ```
pub fn host_ip(host: u8) -> IpAddr {
    assert!(
        host < HOSTS,
        "host {host} out of range: there are {HOSTS} hosts"
    );
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    [
        127,
        100 + host * NETS_PER_HOST + high % NETS_PER_HOST,
        middle,
        low,
    ]
    .into()
}

/// Returns an address of host 0 with a port that hasn't been returned before.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    SocketAddr::new(host_ip(0), NEXT.fetch_add(1, Ordering::Relaxed))
}
