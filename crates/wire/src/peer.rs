//! The RPC service of an entry's peer port.

use gossip::{Delta, Digest, Record};

use crate::message::{Reply, Report};

/// RPCs that entries and agents call on an entry.
#[tarpc::service]
pub trait Peer {
    /// Accepts a target's report and returns the records that the target lacks.
    async fn report(report: Report) -> Reply;

    /// Accepts records that changed at the sender and returns newer records of members that are down.
    async fn push(records: Vec<Record>) -> Vec<Record>;

    /// Compares the hashes in a digest and returns the buckets and records that differ.
    async fn exchange(digest: Digest) -> Delta;
}
