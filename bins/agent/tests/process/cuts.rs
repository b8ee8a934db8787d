//! Responses of a plain service that are truncated after every byte.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use node::http::StatusCode;
use serde_json::json;
use uuid::Uuid;
use yare::parameterized;

use crate::support::{Process, TestEnv, wait_until, with_env};

/// Body of a complete response.
const BODY: &str = "answer to a call";

/// How the service marks the end of its response body, and how it ends the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunked,
    /// The body ends with the connection, which is reset.
    Reset,
}

/// Returns a complete response.
fn complete(framing: Framing) -> String {
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n";
    match framing {
        Framing::Length => format!("{head}content-length: {}\r\n\r\n{BODY}", BODY.len()),
        Framing::Chunked => {
            let (first, second) = BODY.split_at(7);
            let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
            let chunks = chunk(first) + &chunk(second) + "0\r\n\r\n";
            format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}")
        }
        Framing::Reset => format!("{head}\r\n{BODY}"),
    }
}

/// A service whose responses are truncated to a length that may change.
struct Service {
    address: SocketAddr,
    length: Arc<AtomicUsize>,
    /// Number of responses.
    runs: Arc<AtomicUsize>,
}

impl Service {
    fn start(framing: Framing) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let service = Self {
            address: listener.local_addr().unwrap(),
            length: Arc::new(AtomicUsize::new(usize::MAX)),
            runs: Arc::default(),
        };
        let (length, runs) = (Arc::clone(&service.length), Arc::clone(&service.runs));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                // The agent also connects without a request, to check that the service is up.
                if read_request(&mut stream, framing).is_none() {
                    continue;
                }
                runs.fetch_add(1, Ordering::Relaxed);
                let response = complete(framing);
                let length = response.len().min(length.load(Ordering::Relaxed));
                // The agent may have closed the connection.
                let _ = stream.write_all(&response.as_bytes()[..length]);
            }
        });
        service
    }
}

/// Reads a request; one byte of its body stays unread if the connection is to be reset.
fn read_request(stream: &mut TcpStream, framing: Framing) -> Option<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1)?.lines().next()?;
    let unread = usize::from(framing == Framing::Reset);
    let mut body = vec![0; length.parse::<usize>().unwrap() - unread];
    stream.read_exact(&mut body).ok()
}

/// Sends a call and returns whether its response is complete and answered; panics on another body than the service's.
async fn is_answered(env: &TestEnv, keyed: bool) -> bool {
    if keyed {
        let (outcome, body) = env.keyed_call(Uuid::now_v7()).await;
        assert!(outcome != "answered" || body == BODY, "{body:?}");
        return outcome == "answered";
    }
    // If the service breaks off at once, the connection may end before the head is written.
    let Ok(response) = env.call(None, json!({})).await else {
        return false;
    };
    let answered = response.headers()[wire::header::OUTCOME] == "answered";
    assert_eq!(answered, response.status() == StatusCode::OK);
    let body = response.into_body().collect(1 << 20).await;
    assert!(
        !answered || body.as_ref().is_ok_and(|body| body == BODY) || body.is_err(),
        "{body:?}"
    );
    answered && body.is_ok()
}

// Guards against a truncated response of the service that the agent forwards, or stores for a key, as a complete one.
#[parameterized(
    length = { Framing::Length, false },
    chunked = { Framing::Chunked, false },
    reset = { Framing::Reset, false },
    keyed_length = { Framing::Length, true },
    keyed_chunked = { Framing::Chunked, true },
    keyed_reset = { Framing::Reset, true },
)]
fn response_broken_off(framing: Framing, keyed: bool) {
    with_env("plain", json!({}), |mut env| async move {
        let service = Service::start(framing);
        env.settings["backend_address"] = json!(service.address);
        env.publish(1, !keyed, None);
        let _agent = Process::agent(&env.settings);
        let runs = || service.runs.load(Ordering::Relaxed);
        wait_until("the open gate", async || {
            is_answered(&env, keyed).await;
            runs() > 0
        })
        .await;
        let whole = complete(framing).len();
        for length in 0..=whole {
            service.length.store(length, Ordering::Relaxed);
            let before = runs();
            let expected = length == whole && framing != Framing::Reset;
            assert_eq!(
                is_answered(&env, keyed).await,
                expected,
                "after {length} of {whole} bytes"
            );
            assert_eq!(runs(), before + 1, "after {length} of {whole} bytes");
        }
    });
}
