//! Calls that end at a deadline.

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
/// After [`Error::Rpc`] the connection is dead and has to be replaced. A call that ended at its deadline may still be
/// carried out by the peer.
pub struct Client {
    peer: SocketAddr,
    timeout: Duration,
    calls: PeerClient,
    _dispatch: JoinHandle<()>,
}

/// A call or connection that failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// No connection was made.
    #[error("can't connect to {peer}: {source}")]
    Connect {
        /// Address that was tried.
        peer: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The deadline passed.
    #[error("no answer from {peer} within {timeout:?}")]
    Timeout {
        /// Address that was called.
        peer: SocketAddr,
        /// Time allowed.
        timeout: Duration,
    },
    /// The connection broke or the peer sent something malformed.
    #[error("call to {peer} failed: {source}")]
    Rpc {
        /// Address that was called.
        peer: SocketAddr,
        /// What tarpc reported.
        source: RpcError,
    },
}

/// Connects to the peer port at `peer`; the attempt and each later call take at most `timeout`.
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
        // The error of a broken connection also reaches the waiting calls.
        let _ = client.dispatch.await;
    });
    Ok(Client {
        peer,
        timeout,
        calls: client.client,
        _dispatch: dispatch,
    })
}

impl Client {
    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a target's report.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] or [`Error::Rpc`].
    pub async fn report(&self, report: Report) -> Result<Reply, Error> {
        self.ended(self.calls.report(context::current(), report))
            .await
    }

    /// Sends changed records and returns newer ones of members that are down.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] or [`Error::Rpc`].
    pub async fn push(&self, records: Vec<Record>) -> Result<Vec<Record>, Error> {
        self.ended(self.calls.push(context::current(), records))
            .await
    }

    /// Compares hashes with the peer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] or [`Error::Rpc`].
    pub async fn exchange(&self, digest: Digest) -> Result<Delta, Error> {
        self.ended(self.calls.exchange(context::current(), digest))
            .await
    }

    async fn ended<T>(&self, call: impl Future<Output = Result<T, RpcError>>) -> Result<T, Error> {
        let (peer, timeout) = (self.peer, self.timeout);
        compio::time::timeout(timeout, call)
            .await
            .map_err(|_| Error::Timeout { peer, timeout })?
            .map_err(|source| Error::Rpc { peer, source })
    }
}
