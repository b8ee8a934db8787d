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

/// Time between closing the target to new requests and sending the order, in which requests queued in the engine start.
const CLOSE_LEAD: Duration = Duration::from_millis(250);
/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum time between two checks of the rollout.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Loads versions when the engine's turn comes; never returns.
pub(super) async fn run(state: Rc<State>, holdings: Rc<Holdings>) {
    loop {
        let seen = state.changed.count();
        let now = Instant::now();
        let step = state.rollout.borrow().next_step(now);
        match step {
            Step::Load(version) => load_version(&state, &holdings, version).await,
            Step::Wait(until) => {
                let end = until.map_or(now + MAX_CHECK_INTERVAL, |until| {
                    until.min(now + MAX_CHECK_INTERVAL)
                });
                let _ = compio::time::timeout_at(end, state.changed.changed(seen)).await;
            }
        }
    }
}

async fn load_version(state: &State, holdings: &Holdings, number: u64) {
    let Some(model) = state.model() else {
        return;
    };
    let version = holdings.named_version(&model, &number.to_string());
    let Some(chunks) = version.and_then(|version| chunks_of(holdings, &version)) else {
        event!(event::WEIGHTS_MISSING, version = number);
        compio::time::sleep(RETRY_DELAY).await;
        return;
    };
    state.closing.set(true);
    state.changed.notify();
    let order_at = Instant::now() + CLOSE_LEAD;
    let result = stage_chunks(state, &model, chunks).await;
    compio::time::sleep(order_at.saturating_duration_since(Instant::now())).await;
    let result = match result {
        Ok(()) => state.engine.start(&model, number).await,
        Err(error) => Err(error),
    };
    state.closing.set(false);
    match result {
        Ok(accepted @ (OrderResult::Begun | OrderResult::Done)) => {
            event!(
                event::ORDERED,
                pin = format_args!("{model}@{number}"),
                number = 0,
                answer = format_args!("{accepted:?}")
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
            compio::time::sleep(RETRY_DELAY).await;
        }
        Err(error) => {
            event!(event::ORDER_FAILED, version = number, error = error);
            compio::time::sleep(RETRY_DELAY).await;
        }
    }
    state.changed.notify();
}

/// Returns all chunks of `version`, or `None` if one is no longer held.
///
/// In place of a missing chunk the engine would load the one staged before, which belongs to another version.
fn chunks_of(holdings: &Holdings, version: &Version) -> Option<Vec<Bytes>> {
    let digests = (0..version.chunk_count()).map(|chunk| version.chunk_digest(chunk));
    digests.map(|digest| holdings.chunk(&digest)).collect()
}

/// Stages all chunks in the engine.
///
/// This runs just before the order, because staged chunks may become corrupt over time.
async fn stage_chunks(state: &State, model: &str, chunks: Vec<Bytes>) -> Result<(), Error> {
    for (index, bytes) in (0..).zip(chunks) {
        state.engine.stage(model, index, bytes).await?;
    }
    Ok(())
}
