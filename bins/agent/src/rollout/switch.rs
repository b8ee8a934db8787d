//! Stages a version in the engine and orders the engine to load it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::Version;
use bytes::Bytes;
use node::event;
use platform::engine::OrderResult;
use rollout::Step;

use super::engine::Error;
use super::state::State;
use crate::transfer::Holdings;

/// Time from telling entries to send no more until the order: what waits in the engine's queue starts meanwhile.
const CLOSING: Duration = Duration::from_millis(250);
/// Pause after an attempt failed.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest time between two looks at the rollout.
const TICK: Duration = Duration::from_millis(200);

/// Loads versions when the engine's turn comes; never returns.
pub(super) async fn run(state: Rc<State>, holdings: Rc<Holdings>) {
    loop {
        let seen = state.changed.count();
        let now = Instant::now();
        let step = state.rollout.borrow().next_step(now);
        match step {
            Step::Load(version) => load(&state, &holdings, version).await,
            Step::Wait(until) => {
                let end = until.map_or(now + TICK, |until| until.min(now + TICK));
                let _ = compio::time::timeout_at(end, state.changed.changed(seen)).await;
            }
        }
    }
}

async fn load(state: &State, holdings: &Holdings, number: u64) {
    let Some(model) = state.model() else {
        return;
    };
    let version = holdings.named(&model, &number.to_string());
    let Some(parts) = version.and_then(|version| parts(holdings, &version)) else {
        event!(event::WEIGHTS_MISSING, version = number);
        compio::time::sleep(PAUSE).await;
        return;
    };
    state.closing.set(true);
    state.changed.notify();
    let closed = Instant::now() + CLOSING;
    let result = stage(state, &model, parts).await;
    compio::time::sleep(closed.saturating_duration_since(Instant::now())).await;
    let result = match result {
        Ok(()) => state.engine.start(&model, number).await,
        Err(error) => Err(error),
    };
    state.closing.set(false);
    match result {
        Ok(answer @ (OrderResult::Begun | OrderResult::Done)) => {
            event!(
                event::ORDERED,
                pin = format_args!("{model}@{number}"),
                number = 0,
                answer = format_args!("{answer:?}")
            );
            state
                .rollout
                .borrow_mut()
                .order_sent(Instant::now(), number);
        }
        Ok(refused) => {
            event!(
                event::ORDER_FAILED,
                version = number,
                error = format_args!("{refused:?}")
            );
            compio::time::sleep(PAUSE).await;
        }
        Err(error) => {
            event!(event::ORDER_FAILED, version = number, error = error);
            compio::time::sleep(PAUSE).await;
        }
    }
    state.changed.notify();
}

/// Returns all parts of `version`; `None` when one isn't held any more. The engine would load what was staged in its place
/// before, which belongs to another version.
fn parts(holdings: &Holdings, version: &Version) -> Option<Vec<Bytes>> {
    let digests = (0..version.chunk_count()).map(|chunk| version.chunk_digest(chunk));
    digests.map(|digest| holdings.chunk(&digest)).collect()
}

/// Puts every part into the engine, just before the order: what lies there for long may turn bad.
async fn stage(state: &State, model: &str, parts: Vec<Bytes>) -> Result<(), Error> {
    for (chunk, bytes) in (0..).zip(parts) {
        state.engine.stage(model, chunk, bytes).await?;
    }
    Ok(())
}
