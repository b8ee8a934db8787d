//! HTTP server and client, tested against each other and against raw TCP connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use futures::future::join_all;
use node::http::{Body, Client, Error, Limits, Request, Response, StatusCode, response, serve};
use yare::parameterized;

const SOON: Duration = Duration::from_millis(400);

fn limits() -> Limits {
    Limits {
        max_body_bytes: 1000,
        body_timeout: Duration::from_millis(150),
        header_timeout: Duration::from_millis(150),
        drain_timeout: Duration::from_secs(2),
        ..Limits::default()
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Responds to `/wait/MS` after that time, to `/cut` with a truncated body, to `/stream` with a streamed body, and to
/// any other path with the request body.
async fn handler(_: SocketAddr, request: Request<bytes::Bytes>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if let Some(ms) = path.strip_prefix("/wait/") {
        compio::time::sleep(Duration::from_millis(ms.parse().unwrap())).await;
        return response(StatusCode::OK, path);
    }
    if path == "/cut" || path == "/stream" {
        let (mut sender, body) = Body::channel(1);
        compio::runtime::spawn(async move {
            for piece in ["one ", "two"] {
                sender.send(piece).await.unwrap();
            }
            if path == "/stream" {
                sender.finish().await.unwrap();
            }
        })
        .detach();
        return response(StatusCode::OK, body);
    }
    response(StatusCode::OK, request.into_body())
}

fn with_server<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr) -> F) {
    with_limits(limits(), test);
}

fn with_limits<F: Future<Output = ()>>(limits: Limits, test: impl FnOnce(SocketAddr) -> F) {
    node::run("test", async {
        let listener = node::listen(loopback()).unwrap();
        let address = listener.local_addr().unwrap();
        let server = serve(listener, limits, handler, std::future::pending());
        let server = compio::runtime::spawn(server);
        test(address).await;
        server.cancel().await;
    })
    .unwrap();
}

fn get(path: &str) -> Request<Body> {
    Request::get(path).body(Body::empty()).unwrap()
}

async fn text(client: &Client, address: SocketAddr, path: &str) -> Result<String, Error> {
    let answer = client
        .send(address, get(path), Instant::now() + SOON)
        .await?;
    let bytes = answer.into_body().collect(1 << 20).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Sends raw bytes and returns everything received until the connection closes or stays silent.
async fn raw(address: SocketAddr, bytes: Vec<u8>) -> String {
    let mut stream = node::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut whole = Vec::new();
    while let Ok(compio::BufResult(Ok(1..), piece)) =
        compio::time::timeout(SOON, stream.read(Vec::with_capacity(4096))).await
    {
        whole.extend(piece);
    }
    String::from_utf8_lossy(&whole).into_owned()
}

// Guards against requests that bypass the limits, and against refusals that never reach the client.
#[parameterized(
    largest_body = { "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n", 1000, "200" },
    large_body = { "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1001\r\n\r\n", 1001, "413" },
    huge_body = { "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9000000\r\n\r\n", 0, "413" },
    chunked_body = { "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5dc\r\n", 1500, "413" },
    slow_body = { "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n", 5, "408" },
    unfinished_header = { "GET / HTTP/1.1\r\nhost: x\r\nunfinished: ", 33000, "431" },
    large_header = { "GET / HTTP/1.1\r\nhost: x\r\nlarge: ", 17000, "431" },
)]
fn serve_limits(head: &str, body: usize, status: &str) {
    let end = if head.contains("chunked") {
        "\r\n0\r\n\r\n"
    } else if head.contains("large: ") {
        "\r\n\r\n"
    } else {
        ""
    };
    let bytes = [head, &"x".repeat(body), end].concat().into_bytes();
    with_server(|address| async move {
        let answer = raw(address, bytes).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
    });
}

// Guards against an unfinished body that keeps the memory from others, and against a request that is refused for lack of memory
// without a promise and a time to come back.
#[parameterized(
    gives_way = { 200, "HTTP/1.1 408", "HTTP/1.1 200" },
    stays = { 60_000, "", "HTTP/1.1 503" },
)]
fn serve_body_memory(stall_ms: u64, unfinished: &'static str, next: &'static str) {
    const BODY: usize = 60_000;
    let limits = Limits {
        max_body_bytes: BODY,
        body_timeout: Duration::from_secs(60),
        body_memory: 65_536,
        stall_timeout: Duration::from_millis(stall_ms),
        ..limits()
    };
    with_limits(limits, |address| async move {
        let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY}\r\n\r\n");
        let [short, whole] = [BODY - 1, BODY].map(|length| head.clone() + &"x".repeat(length));
        let mut first = node::connect(address).await.unwrap();
        first.write_all(short.into_bytes()).await.unwrap();
        compio::time::sleep(Duration::from_millis(50)).await;
        let mut second = node::connect(address).await.unwrap();
        second.write_all(whole.into_bytes()).await.unwrap();
        let answer = first_bytes(&mut second).await;
        assert!(answer.starts_with(next), "{answer}");
        let refused = next.ends_with("503");
        assert_eq!(answer.contains("retry-after: 1"), refused, "{answer}");
        let answer = first_bytes(&mut first).await;
        assert!(answer.starts_with(unfinished), "{answer}");
        assert_eq!(answer.is_empty(), unfinished.is_empty(), "{answer}");
    });
}

/// Returns the first bytes that arrive, or an empty text if none do for 2 s.
async fn first_bytes(stream: &mut compio::net::TcpStream) -> String {
    let read = stream.read(Vec::with_capacity(4096));
    let read = compio::time::timeout(Duration::from_secs(2), read).await;
    let bytes = read.map_or_else(|_| Vec::new(), |read| read.1);
    String::from_utf8_lossy(&bytes).into_owned()
}

// Guards against clients that occupy a connection without ever completing the headers.
#[test]
fn serve_slow_header_closes() {
    with_server(|address| async move {
        let start = Instant::now();
        raw(address, b"GET / HT".to_vec()).await;
        assert!(start.elapsed() < SOON);
    });
}

// Guards against a shutdown that aborts requests in progress or keeps idle connections open.
#[test]
fn serve_shutdown_finishes_requests() {
    node::run("test", async {
        let listener = node::listen(loopback()).unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = futures::channel::oneshot::channel::<()>();
        let shutdown = async {
            let _ = stopped.await;
        };
        let server = compio::runtime::spawn(serve(listener, limits(), handler, shutdown));
        let (busy, idle) = (Client::new(), Client::new());
        text(&idle, address, "/wait/0").await.unwrap();
        let request = text(&busy, address, "/wait/150");
        let stop = async {
            compio::time::sleep(Duration::from_millis(50)).await;
            drop(stop);
        };
        assert_eq!(futures::join!(request, stop).0.unwrap(), "/wait/150");
        assert!(compio::time::timeout(SOON, server).await.is_ok());
        let error = text(&idle, address, "/wait/0").await.unwrap_err();
        assert!(matches!(error, Error::NotWritten { .. }), "{error}");
    })
    .unwrap();
}

// Guards against a planned shutdown that leaves the outcome of a request on an idle connection unknown.
#[test]
fn serve_shutdown_lingers() {
    node::run("test", async {
        let listener = node::listen(loopback()).unwrap();
        let address = listener.local_addr().unwrap();
        let limits = Limits {
            linger: Duration::from_millis(200),
            ..limits()
        };
        let (stop, stopped) = futures::channel::oneshot::channel::<()>();
        let shutdown = async {
            let _ = stopped.await;
        };
        let server = compio::runtime::spawn(serve(listener, limits, handler, shutdown));
        let client = Client::new();
        text(&client, address, "/wait/0").await.unwrap();
        drop(stop);
        compio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(text(&client, address, "/wait/1").await.unwrap(), "/wait/1");
        let error = text(&client, address, "/wait/2").await.unwrap_err();
        assert!(matches!(error, Error::NotWritten { .. }), "{error}");
        assert!(compio::time::timeout(SOON, server).await.is_ok());
    })
    .unwrap();
}

// Guards against a late response that is delivered to the next request on the same connection.
#[test]
fn client_timeout_not_reused() {
    with_server(|address| async move {
        let client = Client::new();
        for _ in 0..3 {
            let late = client
                .send(
                    address,
                    get("/wait/80"),
                    Instant::now() + Duration::from_millis(40),
                )
                .await;
            assert!(matches!(late, Err(Error::Unknown { .. })));
            compio::time::sleep(Duration::from_millis(60)).await;
            assert_eq!(text(&client, address, "/wait/1").await.unwrap(), "/wait/1");
        }
    });
}

// Guards against a request on a kept connection at the moment at which our own servers close it for having been idle: the
// request may then have run or not.
#[test]
fn client_idle_closed_by_server() {
    const CLIENTS: u64 = 200;
    let send = async |client: &Client, address| {
        let deadline = Instant::now() + Duration::from_secs(5);
        let answer = client.send(address, get("/wait/1"), deadline).await?;
        answer.into_body().collect(100).await
    };
    with_limits(Limits::default(), |address| async move {
        let idle = Limits::default().header_timeout - Duration::from_millis(60);
        let requests = (0..CLIENTS).map(|number| async move {
            let client = Client::new();
            send(&client, address).await.unwrap();
            compio::time::sleep(idle + Duration::from_micros(number * 600)).await;
            send(&client, address).await.err()
        });
        let lost: Vec<Error> = join_all(requests).await.into_iter().flatten().collect();
        assert!(lost.is_empty(), "{} of {CLIENTS}: {}", lost.len(), lost[0]);
    });
}

// Guards against reuse of a connection whose last response wasn't read to its end.
#[test]
fn client_unread_answer_not_reused() {
    with_server(|address| async move {
        let client = Client::new();
        let deadline = Instant::now() + SOON;
        let mut answer = client
            .send(address, get("/stream"), deadline)
            .await
            .unwrap();
        answer.body_mut().next().await.unwrap();
        drop(answer);
        assert_eq!(text(&client, address, "/wait/1").await.unwrap(), "/wait/1");
    });
}

// Guards against a truncated body that is accepted as complete.
#[test]
fn client_cut_body_is_error() {
    with_server(|address| async move {
        let client = Client::new();
        assert_eq!(text(&client, address, "/stream").await.unwrap(), "one two");
        let error = text(&client, address, "/cut").await.unwrap_err();
        assert!(matches!(error, Error::Unknown { .. }), "{error}");
    });
}

// Guards against a new connection per request: at 5,800 requests per second, local ports would run out.
#[test]
fn client_reuses_connections() {
    node::run("test", async {
        let listener = node::listen(loopback()).unwrap();
        let address = listener.local_addr().unwrap();
        let ports = Rc::new(Cell::new([0; 3]));
        let seen = ports.clone();
        let handler = move |peer: SocketAddr, _| {
            let [_, second, third] = seen.get();
            seen.set([second, third, peer.port()]);
            async { response(StatusCode::OK, "ok") }
        };
        let server = serve(listener, limits(), handler, std::future::pending());
        let _server = compio::runtime::spawn(server);
        let client = Client::new();
        for _ in 0..3 {
            text(&client, address, "/").await.unwrap();
        }
        let [first, second, third] = ports.get();
        assert!(first == second && second == third && first != 0);
    })
    .unwrap();
}

// Guards against `NotWritten` for a request that the peer read, and `Unknown` for one that it never received.
#[test]
fn client_tells_written_from_not() {
    node::run("test", async {
        let listener = node::listen(loopback()).unwrap();
        let address = listener.local_addr().unwrap();
        let server = compio::runtime::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read(Vec::with_capacity(4096)).await.unwrap();
        });
        let client = Client::new();
        let error = text(&client, address, "/").await.unwrap_err();
        assert!(matches!(error, Error::Unknown { .. }), "{error}");
        server.await.unwrap();
        let error = text(&client, address, "/").await.unwrap_err();
        assert!(matches!(error, Error::NotWritten { .. }), "{error}");
    })
    .unwrap();
}

// Guards against a response whose status is none, or that leaves the connection in another protocol, from any peer: the
// store, the origin, an engine or another process of the system.
#[parameterized(
    zero = { "000" },
    upgrade = { "101" },
    unassigned = { "600" },
    last = { "999" },
)]
fn client_status_not_final(status: &'static str) {
    let listener = std::net::TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        use std::io::{BufRead, BufReader, Write};
        let (mut stream, _) = listener.accept().unwrap();
        let lines = BufReader::new(stream.try_clone().unwrap()).lines();
        assert!(lines.map(Result::unwrap).any(|line| line.is_empty()));
        write!(
            stream,
            "HTTP/1.1 {status} Text\r\ncontent-length: 2\r\n\r\nok"
        )
        .unwrap();
    });
    node::run("test", async move {
        let error = text(&Client::new(), address, "/").await.unwrap_err();
        assert!(matches!(error, Error::Unknown { .. }), "{error}");
    })
    .unwrap();
}

// Guards against a deadline that never fires because the next piece of the body is always available.
#[test]
fn client_endless_body_ends_at_deadline() {
    const LIMIT: Duration = Duration::from_millis(300);
    let listener = std::net::TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        use std::io::{BufRead, BufReader, Write};
        let (mut stream, _) = listener.accept().unwrap();
        // An answer that comes before the request ends the connection.
        let lines = BufReader::new(stream.try_clone().unwrap()).lines();
        assert!(lines.map(Result::unwrap).any(|line| line.is_empty()));
        let mut written =
            stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let pieces = "8\r\nnonsense\r\n".repeat(4_000);
        while written.is_ok() {
            written = stream.write_all(pieces.as_bytes());
        }
    });
    node::run("test", async move {
        let start = Instant::now();
        let answer = Client::new().send(address, get("/"), start + LIMIT).await;
        let mut body = answer.unwrap().into_body();
        while let Ok(Some(_)) = body.next().await {}
        assert!(start.elapsed() < LIMIT * 2, "{:?}", start.elapsed());
    })
    .unwrap();
}
