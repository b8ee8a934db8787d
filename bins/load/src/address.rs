//! Loopback addresses that stand for the VMs of an experiment.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

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

/// Numbers of experiments, from 16 on.
const EXPERIMENTS: u32 = 200;
/// Port whose binding reserves the addresses of an experiment.
const RESERVATION_PORT: u16 = 7000;

/// Addresses of one experiment: each VM has a loopback address of its own, all use the same ports.
///
/// The ports lie below the range that the system gives to outgoing connections. The addresses are free again when the
/// network is dropped.
#[derive(Debug)]
pub struct Network {
    experiment: u8,
    _reservation: TcpListener,
}

impl Network {
    /// Reserves addresses that no other experiment on this machine uses, the first from `process_id` on.
    ///
    /// Two experiments with the same addresses would each take the other's processes for their own.
    ///
    /// # Errors
    ///
    /// Returns the last error when all numbers are taken.
    pub fn reserve(process_id: u32) -> io::Result<Self> {
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for offset in 0..EXPERIMENTS {
            let number = (process_id % EXPERIMENTS + offset) % EXPERIMENTS;
            let experiment = 16 + number as u8;
            match TcpListener::bind((Ipv4Addr::new(127, experiment, 0, 254), RESERVATION_PORT)) {
                Ok(reservation) => {
                    return Ok(Self {
                        experiment,
                        _reservation: reservation,
                    });
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Returns the address of `port` on VM `index` of group `group`.
    pub fn address(&self, group: u8, index: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.experiment, group, index);
        SocketAddr::new(IpAddr::V4(ip), port)
    }
}
