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
use crate::metrics::Change;
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
    let closed_at = Instant::now();
    let order_at = closed_at + CLOSE_LEAD;
    let result = stage_chunks(state, &model, chunks).await;
    if let Err(error) = &result {
        log_unknown(state, &model, number, Change::Upload, error);
    }
    compio::time::sleep(order_at.saturating_duration_since(Instant::now())).await;
    let result = match result {
        Ok(()) => order(state, &model, number, closed_at).await,
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

/// Orders the engine to load the staged chunks, of which the first was written at `staged_at`, when the target closed.
async fn order(
    state: &State,
    model: &str,
    number: u64,
    staged_at: Instant,
) -> Result<OrderResult, Error> {
    let result = state.engine.start(model, number).await;
    match &result {
        Ok(answer) => log_answer(state, model, number, *answer, staged_at.elapsed()),
        Err(error) => log_unknown(state, model, number, Change::Order, error),
    }
    result
}

/// Logs the engine's response to an order, with the engine's state when it last reported.
fn log_answer(state: &State, model: &str, number: u64, answer: OrderResult, age: Duration) {
    state.metrics.record_order(answer, age, age);
    let report = state.report.borrow();
    let report = report.as_ref().map(|(_, report)| report);
    event!(
        event::ORDER_ANSWERED,
        pin = format_args!("{model}@{number}"),
        answer = format_args!("{answer:?}"),
        chunk_age_ms = age.as_millis(),
        closed_ms = age.as_millis(),
        orders = report.map_or(0, |report| report.orders),
        born = report.and_then(|report| report.born).unwrap_or_default()
    );
}

/// Logs a failed request if it may have taken effect.
fn log_unknown(state: &State, model: &str, number: u64, change: Change, error: &Error) {
    if !error.is_unknown() {
        return;
    }
    event!(
        event::OUTCOME_UNKNOWN,
        pin = format_args!("{model}@{number}"),
        request = change.label(),
        error = error
    );
    state.metrics.record_unknown(change);
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
