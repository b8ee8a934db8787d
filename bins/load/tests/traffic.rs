//! Live requests of experiments.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use load::Load;
use node::http::{Limits, Request, StatusCode, response, serve};

fn load(entry: SocketAddr, seconds: u64) -> Load {
    Load {
        entries: vec![entry],
        removed: Rc::new(RefCell::default()),
        path: "/v1/assistant/v1/chat/completions".into(),
        workspace: "secretaries".into(),
        rate_per_s: 50.0,
        duration: Duration::from_secs(seconds),
        deadline: Duration::from_secs(5),
        keyed: false,
    }
}

/// Guards against a report that names other requests than the slowest ones, or those outside of the burst.
#[test]
fn slowest_between_in_order() {
    let (tally, start) = node::block_on(async {
        let listener = node::listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let served = Cell::new(0);
        let handler = move |_: SocketAddr, _: Request<_>| {
            served.set(served.get() + 1);
            let wait = Duration::from_millis(if served.get() % 10 == 0 { 400 } else { 0 });
            async move {
                compio::time::sleep(wait).await;
                let mut answer = response(StatusCode::OK, "");
                let outcome = "answered".parse().unwrap();
                answer.headers_mut().insert(wire::header::OUTCOME, outcome);
                answer
            }
        };
        let server = serve(listener, Limits::default(), handler, std::future::pending());
        let _server = compio::runtime::spawn(server);
        let start = Instant::now();
        (load(address, 1).run().await, start)
    })
    .unwrap();
    assert_eq!(tally.outcome("answered"), 50);
    let slowest = tally.slowest_between(start, Instant::now(), 3);
    assert!(
        slowest
            .iter()
            .all(|[after, ms]| *after < 5.0 && *ms >= 400.0)
    );
    assert!(slowest.len() == 3 && slowest.is_sorted_by(|one, next| one[1] >= next[1]));
    assert!(
        tally
            .slowest_between(Instant::now(), Instant::now(), 3)
            .is_empty()
    );
}

/// Guards against a burst that is reported only after a fixed time of live requests, which looks like a burst that
/// doesn't end.
#[test]
fn run_while_ends_early() {
    // Nothing listens there: each request fails at once.
    let load = load(([127, 0, 0, 1], 1).into(), 30);
    let start = Instant::now();
    let tally = node::block_on(async {
        let wanted = Cell::new(true);
        let stop = async {
            compio::time::sleep(Duration::from_millis(200)).await;
            wanted.set(false);
        };
        futures::join!(load.run_while(&wanted), stop).0
    });
    let tally = tally.unwrap();
    assert!(
        start.elapsed() < Duration::from_secs(15),
        "{:?}",
        start.elapsed()
    );
    assert!((1..500).contains(&tally.sent), "{}", tally.sent);
    assert_eq!(tally.outcome("failed"), tally.sent);
}
