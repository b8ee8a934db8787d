//! RPC over TCP: limits, malformed frames and timeouts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use gossip::{Key, Record, Value, Version};
use tarpc::context::Context;
use wire::transport::{Error, MAX_FRAME};
use wire::{Delta, Digest, Peer, Reply, Report};

const TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Clone)]
struct Handler;

impl Peer for Handler {
    async fn report(self, _: Context, report: Report) -> Reply {
        compio::time::sleep(Duration::from_millis(report.sequence)).await;
        Reply {
            view: Some(report.view),
            ..Reply::default()
        }
    }

    async fn push(self, _: Context, _: Vec<Record>) -> Vec<Record> {
        Vec::new()
    }

    async fn exchange(self, _: Context, digest: Digest) -> Delta {
        Delta {
            root: digest.root,
            ..Delta::default()
        }
    }
}

fn report(wait_ms: u64, view: u64) -> Report {
    Report {
        target: "t".into(),
        incarnation: 1,
        sequence: wait_ms,
        gate: wire::Gate::Open,
        weights: None,
        chunks: 0,
        running: 0,
        waiting: 0,
        slots: 0,
        view,
        member: None,
    }
}

fn with_server<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr) -> F) {
    node::run("test", async {
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let server = compio::runtime::spawn(async move { wire::serve(&listener, Handler).await });
        test(address).await;
        server.cancel().await;
    })
    .unwrap();
}

// Guards against replies delivered to the wrong call when they arrive out of order.
#[test]
fn calls_crossed_answers() {
    with_server(|address| async move {
        let client = wire::connect(address, TIMEOUT).await.unwrap();
        let (slow, fast) =
            futures::join!(client.report(report(60, 1)), client.report(report(0, 2)));
        assert_eq!((slow.unwrap().view, fast.unwrap().view), (Some(1), Some(2)));
        assert_eq!(
            client
                .exchange(Digest {
                    root: 5,
                    ..Digest::default()
                })
                .await
                .unwrap()
                .root,
            5
        );
    });
}

// Guards against calls that never return: tarpc's own deadline doesn't fire on this runtime.
#[test]
fn calls_end_at_deadline() {
    with_server(|address| async move {
        let client = wire::connect(address, TIMEOUT).await.unwrap();
        let start = Instant::now();
        let error = client.report(report(5_000, 1)).await.unwrap_err();
        assert!(matches!(error, Error::Timeout { .. }), "{error}");
        assert!(start.elapsed() < 3 * TIMEOUT);
        assert_eq!(client.report(report(0, 7)).await.unwrap().view, Some(7));
    });
}

// Guards against allocations sized by an untrusted length field, and against connections that stay open after a
// malformed message.
#[test]
fn server_malformed_frame_closes() {
    let oversized = (MAX_FRAME as u32 + 1).to_be_bytes().to_vec();
    let huge = vec![0xff; 4];
    let garbage = [&8_u32.to_be_bytes()[..], &[0xff; 8]].concat();
    let empty = vec![0; 4];
    for bytes in [oversized, huge, garbage, empty] {
        with_server(|address| async move {
            let mut stream = node::connect(address).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            let read = stream.read(Vec::with_capacity(16));
            let compio::BufResult(read, _) = compio::time::timeout(TIMEOUT, read).await.unwrap();
            // Both the end of the stream and a reset mean that the server closed the connection.
            assert!(!matches!(read, Ok(1..)));
            let client = wire::connect(address, TIMEOUT).await.unwrap();
            client.push(vec![]).await.unwrap();
        });
    }
}

// Guards against messages above the frame limit that are sent and make the peer close the connection.
#[test]
fn client_oversized_message_fails() {
    with_server(|address| async move {
        let client = wire::connect(address, TIMEOUT).await.unwrap();
        let record = Record {
            key: Key::Catalog("service/x".into()),
            version: Version::default(),
            value: Value::Catalog("x".repeat(MAX_FRAME)),
        };
        assert!(client.push(vec![record]).await.is_err());
    });
}

// Guards against a connection error that doesn't contain the peer's address.
#[test]
fn connect_refused_names_address() {
    with_server(|_| async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let error = wire::connect(address, TIMEOUT).await.err().unwrap();
        assert!(error.to_string().contains(&address.to_string()), "{error}");
    });
}
