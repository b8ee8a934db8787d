//! Loopback addresses that stand for the VMs of an experiment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port for callers of an entry VM, for calls of a target VM, and of the stand-ins.
pub const CALL_PORT: u16 = 7001;
/// Peer port of an entry VM, chunk port of a target VM.
pub const PEER_PORT: u16 = 7002;
/// Operator port, control port of the stand-ins.
pub const OPERATOR_PORT: u16 = 7003;
/// Port that an agent binds as its lock.
pub const ORDER_PORT: u16 = 7004;
/// Port of the engine or plain service beside an agent.
pub const BACKEND_PORT: u16 = 7005;
/// Control port of the engine or plain service beside an agent.
pub const BACKEND_CONTROL_PORT: u16 = 7006;

/// Addresses of one experiment: each VM has a loopback address of its own, all use the same ports.
///
/// The ports lie below the range that the system gives to outgoing connections.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    experiment: u8,
}

impl Network {
    /// Returns the network of the experiment that this process runs.
    ///
    /// Two experiments at the same time get different addresses unless their process ids are equal modulo 200.
    pub fn new(process_id: u32) -> Self {
        Self {
            experiment: 16 + (process_id % 200) as u8,
        }
    }

    /// Returns the address of `port` on VM `index` of group `group`.
    pub fn address(self, group: u8, index: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.experiment, group, index);
        SocketAddr::new(IpAddr::V4(ip), port)
    }
}
