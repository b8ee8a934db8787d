//! Live requests of experiments.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use load::Load;

/// Guards against a burst that is reported only after a fixed time of live requests, which looks like a burst that
/// doesn't end.
#[test]
fn run_while_ends_early() {
    let load = Load {
        // Nothing listens there: each request fails at once.
        entries: vec![([127, 0, 0, 1], 1).into()],
        removed: Rc::new(RefCell::default()),
        path: "/v1/assistant/v1/chat/completions".into(),
        workspace: "secretaries".into(),
        rate_per_s: 50.0,
        duration: Duration::from_secs(30),
        deadline: Duration::from_secs(1),
        keyed: false,
    };
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
