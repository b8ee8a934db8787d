//! What the client makes of the platform's answers.

use std::net::SocketAddr;
use std::time::Duration;

use node::http::{Body, Limits, Request, Response, StatusCode, header, response, serve};
use objects::{Client, Condition, Error, Put};
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_millis(200);

/// Answers a write to the object `NAME` with the status `NAME`, and with revision 9 where one belongs.
async fn answer(_: SocketAddr, request: Request<bytes::Bytes>) -> Response<Body> {
    let path = request.uri().path();
    if path == "/objects/kind/late" {
        compio::time::sleep(2 * TIMEOUT).await;
    }
    if path == "/objects/kind/a%2Fb" {
        let mut found = response(StatusCode::OK, "{\"a\": 1}");
        found
            .headers_mut()
            .insert(header::ETAG, "\"9\"".parse().unwrap());
        return found;
    }
    let name = path.rsplit('/').next().unwrap();
    let status = name.parse().unwrap_or(StatusCode::OK);
    let mut answer = response(status, "");
    let with_tag = status.is_success() || request.headers().contains_key(header::IF_MATCH);
    if with_tag && name != "204" {
        answer
            .headers_mut()
            .insert(header::ETAG, "\"9\"".parse().unwrap());
    }
    answer
}

fn with_platform<F: Future<Output = ()>>(test: impl FnOnce(Client) -> F) {
    node::run("test", async {
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let client = Client::new(listener.local_addr().unwrap(), TIMEOUT);
        let server = serve(listener, Limits::default(), answer, std::future::pending());
        let server = compio::runtime::spawn(server);
        test(client).await;
        server.cancel().await;
    })
    .unwrap();
}

fn word(result: &Result<Put, Error>) -> String {
    match result {
        Ok(put) => format!("{put:?}"),
        Err(Error::Unavailable { .. }) => "unavailable".into(),
        Err(Error::Unknown { .. }) => "unknown".into(),
        Err(Error::Refused { .. }) => "refused".into(),
    }
}

// Guards against a write that is repeated although it may have taken effect, or held for lost although it hasn't.
#[parameterized(
    created = { "201", Condition::Absent, "Accepted(9)" },
    accepted = { "200", Condition::Revision(8), "Accepted(9)" },
    no_revision = { "204", Condition::Any, "unknown" },
    conflict = { "412", Condition::Revision(8), "Conflict(Some(9))" },
    conflict_absent = { "412", Condition::Absent, "Conflict(None)" },
    unavailable = { "503", Condition::Any, "unavailable" },
    failed = { "500", Condition::Any, "unknown" },
    refused = { "400", Condition::Any, "refused" },
    late = { "late", Condition::Any, "unknown" },
)]
fn put_outcome(name: &'static str, condition: Condition, expected: &'static str) {
    with_platform(|client| async move {
        let result = client.put("kind", name, &1, condition).await;
        assert_eq!(word(&result), expected, "{result:?}");
    });
}

// Guards against an outage that is taken for a lost answer.
#[test]
fn put_refused_connection_unavailable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = Client::new(listener.local_addr().unwrap(), TIMEOUT);
    drop(listener);
    let put = async { client.put("kind", "a", &1, Condition::Any).await };
    assert_eq!(word(&node::run("test", put).unwrap()), "unavailable");
}

// Guards against names with slashes that address another object, and against values that lose their text.
#[test]
fn get_name_encoded() {
    with_platform(|client| async move {
        let object = client.get("kind", "a/b").await.unwrap().unwrap();
        assert_eq!((object.revision, object.value.get()), (9, "{\"a\": 1}"));
        assert!(client.get("kind", "404").await.unwrap().is_none());
    });
}
