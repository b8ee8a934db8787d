//! What the HTTP client says of requests that failed, against raw peers that end connections at any point.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use node::http::{Body, Client, Error, Request};
use yare::parameterized;

/// Requests per test.
const REQUESTS: usize = 120;
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(300);
/// Size of a request body that doesn't fit the buffers of a socket.
const LARGE_BODY: usize = 8 << 20;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// What a peer does with each connection after it has answered the first request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Peer {
    /// Closes the connection at once.
    ClosesIdle,
    /// Closes the connection after a time that differs between connections.
    ClosesLater,
    /// Sends a response that nobody asked for, and then reads on.
    AnswersUnasked,
    /// Reads the next request and closes the connection.
    ClosesAfterRequest,
    /// Reads a few bytes of the next request and closes the connection, which resets it.
    ResetsWithinRequest,
    /// Reads the next request, sends an informational response and closes the connection.
    ClosesAfterInterim,
    /// Reads the next request and answers it in part.
    ClosesWithinHead,
    /// Reads all requests and answers no other.
    Silent,
}

impl Peer {
    fn serve(self, stream: &mut TcpStream, number: u64, received: &Mutex<Vec<u8>>) -> Option<()> {
        let read = |stream: &mut TcpStream, size: usize| {
            let mut bytes = vec![0; size];
            let count = stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
            received.lock().unwrap().extend(&bytes[..count]);
            Some(())
        };
        read(stream, 4096)?;
        stream.write_all(RESPONSE).ok()?;
        match self {
            Self::ClosesIdle => return None,
            Self::ClosesLater => {
                let time = Duration::from_micros(number * 137 % 3_000);
                stream
                    .set_read_timeout(Some(time.max(Duration::from_micros(1))))
                    .ok()?;
                return read(stream, 16);
            }
            Self::AnswersUnasked => stream.write_all(REFUSAL).ok()?,
            Self::ResetsWithinRequest => return read(stream, 24),
            Self::ClosesAfterRequest => return read(stream, 4096),
            Self::ClosesAfterInterim => {
                read(stream, 4096)?;
                return stream.write_all(b"HTTP/1.1 102 Processing\r\n\r\n").ok();
            }
            Self::ClosesWithinHead => {
                read(stream, 4096)?;
                return stream.write_all(&RESPONSE[..number as usize % 20]).ok();
            }
            Self::Silent => {}
        }
        loop {
            read(stream, 4096)?;
        }
    }

    /// Starts a peer and returns its address and all bytes that it reads.
    fn start(self) -> (SocketAddr, Arc<Mutex<Vec<u8>>>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::default());
        let receiving = Arc::clone(&received);
        std::thread::spawn(move || {
            for (number, stream) in (0..).zip(listener.incoming()) {
                let (mut stream, received) = (stream.unwrap(), Arc::clone(&receiving));
                std::thread::spawn(move || self.serve(&mut stream, number, &received));
            }
        });
        (address, received)
    }
}

fn request(number: usize, body: Body) -> Request<Body> {
    let path = format!("/r{number}-");
    Request::post(path).body(body).unwrap()
}

fn count(received: &[u8], number: usize) -> usize {
    let path = format!("/r{number}- ");
    let windows = received.windows(path.len());
    windows.filter(|window| *window == path.as_bytes()).count()
}

// Guards against `NotWritten` for a request of which the peer has read anything, and against writing a request twice
// because the first connection broke.
#[parameterized(
    closes_idle = { Peer::ClosesIdle },
    closes_later = { Peer::ClosesLater },
    answers_unasked = { Peer::AnswersUnasked },
    closes_after_request = { Peer::ClosesAfterRequest },
    resets_within_request = { Peer::ResetsWithinRequest },
    closes_after_interim = { Peer::ClosesAfterInterim },
    closes_within_head = { Peer::ClosesWithinHead },
)]
fn not_written_never_read(peer: Peer) {
    let (address, received) = peer.start();
    let mut unwritten = Vec::new();
    node::run("test", async {
        let client = Client::new();
        for number in 0..REQUESTS {
            let request = request(number, Body::from("body"));
            let deadline = Instant::now() + DEADLINE;
            match client.send(address, request, deadline).await {
                Ok(response) => drop(response.into_body().collect(100).await),
                Err(Error::NotWritten { .. }) => unwritten.push(number),
                Err(Error::Unknown { .. }) => {}
            }
            compio::time::sleep(Duration::from_micros(number as u64 * 211 % 2_500)).await;
        }
    })
    .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    let received = received.lock().unwrap();
    for number in 0..REQUESTS {
        let copies = count(&received, number);
        assert!(copies <= 1, "request {number} was read {copies} times");
        assert!(
            copies == 0 || !unwritten.contains(&number),
            "request {number}"
        );
    }
}

/// A request body that can't be sent in one piece.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Upload {
    /// Larger than the buffers of a socket.
    Large,
    /// A stream that fails before its first piece.
    FailsAtOnce,
    /// A stream that fails after its first piece.
    Fails,
}

impl Upload {
    fn body(self) -> Body {
        let error = || Err(std::io::ErrorKind::UnexpectedEof.into());
        match self {
            Self::Large => Body::from(vec![0; LARGE_BODY]),
            Self::FailsAtOnce => Body::stream(futures::stream::iter([error()])),
            Self::Fails => Body::stream(futures::stream::iter([Ok("piece".into()), error()])),
        }
    }
}

// Guards against `NotWritten` for a request whose body was sent in part, on a new and on a kept connection.
#[parameterized(
    large = { Peer::ResetsWithinRequest, Upload::Large, 0 },
    large_kept = { Peer::ResetsWithinRequest, Upload::Large, 1 },
    large_paused = { Peer::Silent, Upload::Large, 1 },
    fails_at_once = { Peer::Silent, Upload::FailsAtOnce, 0 },
    fails_at_once_kept = { Peer::Silent, Upload::FailsAtOnce, 1 },
    fails = { Peer::Silent, Upload::Fails, 0 },
    fails_kept = { Peer::Silent, Upload::Fails, 1 },
)]
fn partial_body_unknown(peer: Peer, upload: Upload, preceding: usize) {
    let (address, received) = peer.start();
    node::run("test", async {
        let client = Client::new();
        for number in 0..preceding {
            let request = request(number, Body::from("body"));
            let response = client
                .send(address, request, Instant::now() + DEADLINE)
                .await;
            response.unwrap().into_body().collect(100).await.unwrap();
        }
        let sent = client.send(
            address,
            request(100, upload.body()),
            Instant::now() + DEADLINE,
        );
        if let Err(Error::NotWritten { reason, .. }) = sent.await {
            std::thread::sleep(Duration::from_millis(50));
            let copies = count(&received.lock().unwrap(), 100);
            assert_eq!(copies, 0, "{reason}");
        }
    })
    .unwrap();
}

// Guards against `NotWritten` for a request that lies in the socket of a paused peer, which may run it later.
#[test]
fn paused_peer_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    node::run("test", async {
        let client = Client::new().with_connect_timeout(DEADLINE / 3);
        let sent = client.send(
            address,
            request(0, Body::from("body")),
            Instant::now() + DEADLINE,
        );
        let error = sent.await.err().unwrap();
        assert!(matches!(error, Error::Unknown { .. }), "{error}");
    })
    .unwrap();
    let (mut stream, _) = listener.accept().unwrap();
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    assert_eq!(count(&received, 0), 1);
}
