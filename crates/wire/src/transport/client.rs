//! RPC client whose calls time out.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compio::runtime::JoinHandle;
use tarpc::client::{Config, RpcError};
use tarpc::context;

use super::transport;
use gossip::{Delta, Digest, Record};

use crate::message::{Reply, Report};
use crate::peer::PeerClient;

/// A connection to an entry's peer port; closed when dropped.
///
/// After [`Error::Rpc`] the connection is unusable and must be replaced. The peer may still execute a call that timed
/// out.
pub struct Client {
    peer: SocketAddr,
    timeout: Duration,
    rpc: PeerClient,
    _dispatch: JoinHandle<()>,
}

/// Error of a call or a connection attempt.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The connection could not be established.
    #[error("can't connect to {peer}: {source}")]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection attempt or call timed out.
    #[error("no response from {peer} within {timeout:?}")]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
        /// Timeout of the connection.
        timeout: Duration,
    },
    /// The connection broke or the peer sent a malformed message.
    #[error("call to {peer} failed: {source}")]
    Rpc {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error reported by tarpc.
        source: RpcError,
    },
}

/// Connects to the peer port at `peer`; `timeout` applies to the attempt and to each later call.
///
/// # Errors
///
/// Returns [`Error::Connect`] or [`Error::Timeout`].
pub async fn connect(peer: SocketAddr, timeout: Duration) -> Result<Client, Error> {
    let stream = compio::time::timeout(timeout, node::connect(peer))
        .await
        .map_err(|_| Error::Timeout { peer, timeout })?
        .map_err(|source| Error::Connect { peer, source })?;
    let transport = transport(stream).map_err(|source| Error::Connect { peer, source })?;
    let client = PeerClient::new(Config::default(), transport);
    let dispatch = compio::runtime::spawn(async move {
        // Pending calls also receive the error of a broken connection.
        let _ = client.dispatch.await;
    });
    Ok(Client {
        peer,
        timeout,
        rpc: client.client,
        _dispatch: dispatch,
    })
}

impl Client {
    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a target's report and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] or [`Error::Rpc`].
    pub async fn report(&self, report: Report) -> Result<Reply, Error> {
        self.with_timeout(self.rpc.report(context::current(), report))
            .await
    }

    /// Sends changed records and returns newer records of members that are down.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] or [`Error::Rpc`].
    pub async fn push(&self, records: Vec<Record>) -> Result<Vec<Record>, Error> {
        self.with_timeout(self.rpc.push(context::current(), records))
            .await
    }

    /// Sends a digest of hashes and returns the differences that the peer finds.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] or [`Error::Rpc`].
    pub async fn exchange(&self, digest: Digest) -> Result<Delta, Error> {
        self.with_timeout(self.rpc.exchange(context::current(), digest))
            .await
    }

    async fn with_timeout<T>(
        &self,
        call: impl Future<Output = Result<T, RpcError>>,
    ) -> Result<T, Error> {
        let (peer, timeout) = (self.peer, self.timeout);
        compio::time::timeout(timeout, call)
            .await
            .map_err(|_| Error::Timeout { peer, timeout })?
            .map_err(|source| Error::Rpc { peer, source })
    }
}
