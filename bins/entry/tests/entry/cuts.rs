//! Responses of agents that are truncated after every byte.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use node::http::{Body, Request};
use yare::parameterized;

use crate::common::{Fixture, Step, with_entry};

/// Head of a response up to the headers that frame its body; `ID` stands for the id of the request.
const HEAD: &str = "HTTP/1.1 200 OK\r\ncarobport-request: ID\r\ncarobport-outcome: answered\r\n";
const BODY: &str = "answer to a call";

/// Sends a call and returns the body of its response if it is complete and answered.
async fn answer(fixture: &Fixture) -> Option<String> {
    let request = Request::post("/v1/desk/x")
        .header("carobport-workspace", "clerks")
        .body(Body::from("{}"))
        .unwrap();
    let deadline = Instant::now() + Duration::from_secs(4);
    // If the agent breaks off at once, the connection may end before the head is written.
    let response = fixture
        .client
        .send(fixture.callers, request, deadline)
        .await;
    let response = response.ok()?;
    let answered = response.headers()["carobport-outcome"] == "answered";
    let body = response.into_body().collect(1 << 20).await.ok()?;
    answered.then(|| String::from_utf8(body.to_vec()).unwrap())
}

// Guards against relaying a truncated response of an agent as a complete one, for truncation after every byte.
#[parameterized(
    length = { format!("{HEAD}content-length: 16\r\n\r\n{BODY}") },
    chunked = { format!("{HEAD}transfer-encoding: chunked\r\n\r\n7\r\nanswer \r\n9\r\nto a call\r\n0\r\n\r\n") },
)]
fn answer_broken_off(whole: String) {
    with_entry(|fixture| async move {
        let length = Rc::new(Cell::new(0));
        let (cut, text) = (Rc::clone(&length), whole.clone());
        let received = fixture.agent("t0", "desk", 0, move |_| {
            vec![Step::Send(text[..cut.get()].into()), Step::Close]
        });
        for cut in 0..=whole.len() {
            length.set(cut);
            let before = received.borrow().len();
            // A failed call closes the target until its next report.
            fixture.report("t0", 0);
            compio::time::sleep(Duration::from_millis(5)).await;
            let expected = (cut == whole.len()).then_some(BODY);
            let found = answer(&fixture).await;
            assert_eq!(found.as_deref(), expected, "after {cut} bytes");
            assert!(received.borrow().len() > before, "after {cut} bytes");
        }
    });
}
