//! Loads a version into the engine when its turn comes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use burst::Version;
use bytes::Bytes;
use node::event;
use node::time::uptime;
use platform::engine::OrderResult;
use rollout::Step;

use super::staging::{Content, Error, Outcome, Session, Uploaded, Verification};
use super::state::State;
use crate::transfer::Holdings;

/// Time between closing the target to new requests and sending the order, in which requests queued in the engine start.
const CLOSE_LEAD: Duration = Duration::from_millis(250);
/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after finding that earlier requests may still take effect in the engine.
const SETTLE_DELAY: Duration = Duration::from_millis(50);
/// Maximum time between two checks of the rollout.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Verifications before the target opens again; one may expire because the process was paused.
const MAX_VERIFICATIONS: u32 = 2;
/// Delay after verifications that all expired: the engine is too slow, and the target should serve requests meanwhile.
const SLOW_ENGINE_DELAY: Duration = Duration::from_secs(3);

/// Closes the target to new requests until it is dropped.
struct Closing<'a> {
    state: &'a State,
    since: Instant,
}

impl<'a> Closing<'a> {
    fn start(state: &'a State, now: Instant) -> Self {
        state.closing.set(true);
        state.changed.notify();
        Self { state, since: now }
    }
}

impl Drop for Closing<'_> {
    fn drop(&mut self) {
        self.state.closing.set(false);
        self.state.changed.notify();
    }
}

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
    let content = version.and_then(|version| {
        let chunks = chunks_of(holdings, &version)?;
        Some(Content {
            model,
            number,
            version,
            chunks,
        })
    });
    let Some(content) = content else {
        event!(event::WEIGHTS_MISSING, version = number);
        compio::time::sleep(RETRY_DELAY).await;
        return;
    };
    if !may_load(state, &content) {
        compio::time::sleep(SETTLE_DELAY).await;
        return;
    }
    let result = stage_and_order(state, &content).await;
    if !apply_result(state, &content, &result) {
        let delay = match result {
            Err(Error::Expired(_)) => SLOW_ENGINE_DELAY,
            _ => RETRY_DELAY,
        };
        compio::time::sleep(delay).await;
    }
}

/// Returns whether nothing else changes what is staged: no late request of another version, and no later agent.
fn may_load(state: &State, content: &Content) -> bool {
    let manifest = content.version.digest();
    let report = state.report.borrow();
    let born = report.as_ref().and_then(|(_, report)| report.born);
    let superseded = state.superseded_at.get();
    let may_stage = state.settling.borrow().may_stage(manifest);
    may_stage && (superseded.is_none() || superseded != born)
}

/// Stages and verifies the chunks and orders the engine to load them. The target closes before the verification, so
/// that requests go to other targets until the engine has loaded.
async fn stage_and_order(state: &State, content: &Content) -> Result<OrderResult, Error> {
    let session = Session::open(state, content).await?;
    let mut session = session.upload().await?;
    let closing = Closing::start(state, Instant::now());
    for _ in 0..MAX_VERIFICATIONS {
        match verify_and_order(session, content, &closing).await? {
            Outcome::Answered(result) => return Ok(result),
            Outcome::Expired(expired) => session = expired,
        }
    }
    Err(Error::Expired(MAX_VERIFICATIONS))
}

async fn verify_and_order<'a>(
    session: Session<'a, Uploaded>,
    content: &Content,
    closing: &Closing<'_>,
) -> Result<Outcome<'a>, Error> {
    let verify_at = Instant::now();
    let session = match session.verify(uptime).await? {
        Verification::Verified(session) => session,
        Verification::Expired(session) => return Ok(Outcome::Expired(session)),
    };
    let verify_time = verify_at.elapsed();
    let order_at = closing.since + CLOSE_LEAD;
    compio::time::sleep(order_at.saturating_duration_since(Instant::now())).await;
    let since = session.verified_since();
    let (orders, born) = (session.report().orders, session.report().born);
    let outcome = session.order(uptime()).await?;
    if let Outcome::Answered(result) = &outcome {
        let (age, closed) = (uptime().saturating_sub(since), closing.since.elapsed());
        closing.state.metrics.record_order(*result, age, closed);
        event!(
            event::ORDER_ANSWERED,
            pin = content.pin(),
            answer = format_args!("{result:?}"),
            chunk_age_ms = age.as_millis(),
            verify_ms = verify_time.as_millis(),
            closed_ms = closed.as_millis(),
            orders = orders,
            born = born.unwrap_or_default()
        );
    }
    Ok(outcome)
}

/// Records the result of an attempt to load `content` and returns whether the engine loads or has loaded it.
fn apply_result(state: &State, content: &Content, result: &Result<OrderResult, Error>) -> bool {
    let now = Instant::now();
    // A status that reads may have, too, isn't certain to be the response to the order.
    if matches!(result, Ok(OrderResult::Done) | Err(_)) {
        let manifest = content.version.digest();
        state.settling.borrow_mut().response_lost(now, manifest);
    }
    match result {
        Ok(accepted @ (OrderResult::Begun | OrderResult::Done)) => {
            event!(
                event::ORDERED,
                pin = content.pin(),
                number = state.fencing_token,
                answer = format_args!("{accepted:?}")
            );
        }
        Ok(refused) => log_failed(content, &format!("{refused:?}")),
        Err(error) => log_failed(content, &error.to_string()),
    }
    if matches!(result, Ok(OrderResult::Fenced)) {
        let report = state.report.borrow();
        let born = report.as_ref().and_then(|(_, report)| report.born);
        state.superseded_at.set(born);
        event!(event::SUPERSEDED, number = state.fencing_token);
    }
    let may_have_begun = matches!(
        result,
        Ok(OrderResult::Begun | OrderResult::Done) | Err(Error::Order(_))
    );
    if may_have_begun {
        let mut rollout = state.rollout.borrow_mut();
        rollout.order_sent(now, content.number);
        state.changed.notify();
    }
    may_have_begun
}

fn log_failed(content: &Content, error: &str) {
    event!(event::ORDER_FAILED, version = content.number, error = error);
}

/// Returns all chunks of `version`, or `None` if one is no longer held.
///
/// In place of a missing chunk the engine would load the one staged before, which belongs to another version.
fn chunks_of(holdings: &Holdings, version: &Version) -> Option<Vec<Bytes>> {
    let digests = (0..version.chunk_count()).map(|chunk| version.chunk_digest(chunk));
    digests.map(|digest| holdings.chunk(&digest)).collect()
}
