//! The RPC service of an entry's peer port.

use gossip::{Delta, Digest, Record};

use crate::message::{Reply, Report};

/// Calls that entries and agents make to an entry.
#[tarpc::service]
pub trait Peer {
    /// Takes a target's report and returns the records that the target lacks.
    async fn report(report: Report) -> Reply;

    /// Takes records that changed at the sender and returns newer ones of members that are down.
    async fn push(records: Vec<Record>) -> Vec<Record>;

    /// Compares hashes and returns what differs.
    async fn exchange(digest: Digest) -> Delta;
}
