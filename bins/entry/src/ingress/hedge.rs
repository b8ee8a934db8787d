//! Hedged attempts: a second attempt at another target when the first one is late.
//!
//! The late attempt continues until the other target has answered. Under overload there may be no other target with
//! room, and a cancelled attempt may have been the next one in its target's queue.

use std::cell::OnceCell;
use std::future::pending;
use std::pin::pin;
use std::time::{Duration, Instant};

use dispatch::{Failure, RequestContext};
use futures::future::{Fuse, LocalBoxFuture};
use futures::{FutureExt, select_biased};

use super::placed::PlacedRequest;

/// Interval at which to look again for a target that has room for a second attempt.
pub(super) const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The failure of an attempt, and the request to submit for a retry.
pub(super) type FailedAttempt = (Failure, RequestContext);

/// The result of the attempt that was answered first.
enum Winner<T> {
    /// The attempt at the first target.
    Primary(T),
    /// The second attempt.
    Hedge(T),
}

/// Makes `attempt` at `placed`, and a concurrent one at a second target if there is no response after `hedge_delay`.
///
/// The first response cancels the other attempt. While no target has room for a second attempt, the search is repeated
/// every [`HEDGE_RETRY_INTERVAL`].
///
/// # Errors
///
/// Returns the failure of the attempts. If the request may have run in one of them, it is a failure that says so.
pub(super) async fn attempt<T>(
    placed: PlacedRequest,
    hedge_delay: Duration,
    attempt: impl AsyncFn(&PlacedRequest) -> Result<T, Failure>,
) -> Result<(PlacedRequest, T), FailedAttempt> {
    let second_place = OnceCell::new();
    let winner = race(&placed, &second_place, hedge_delay, attempt).await;
    match (winner, second_place.into_inner()) {
        (Ok(Winner::Primary(answer)), _) => Ok((placed, answer)),
        (Ok(Winner::Hedge(answer)), Some(second_place)) => Ok((second_place, answer)),
        (Ok(Winner::Hedge(_)), None) => {
            unreachable!("the second attempt was answered without a place")
        }
        (Err(failure), second_place) => {
            let last = second_place.as_ref().unwrap_or(&placed);
            Err((failure, last.place().work.clone()))
        }
    }
}

async fn race<T>(
    placed: &PlacedRequest,
    second_place: &OnceCell<PlacedRequest>,
    hedge_delay: Duration,
    attempt: impl AsyncFn(&PlacedRequest) -> Result<T, Failure>,
) -> Result<Winner<T>, Failure> {
    let start = Instant::now();
    let mut first_attempt = pin!(attempt(placed).fuse());
    let mut second_attempt: Fuse<LocalBoxFuture<'_, Result<T, Failure>>> = Fuse::terminated();
    let mut failed: Option<Failure> = None;
    let mut running = 1;
    let may_repeat = placed.place().work.may_repeat();
    let mut hedge_at = start + hedge_delay;
    loop {
        let late =
            sleep_until((may_repeat && second_place.get().is_none()).then_some(hedge_at)).fuse();
        let failure = select_biased! {
            result = first_attempt => match result {
                Ok(answer) => return Ok(Winner::Primary(answer)),
                Err(failure) => {
                    placed.fail(failure);
                    failure
                }
            },
            result = second_attempt => match result {
                Ok(answer) => return Ok(Winner::Hedge(answer)),
                Err(failure) => {
                    second_place.get().inspect(|second_place| second_place.fail(failure));
                    failure
                }
            },
            () = pin!(late) => {
                hedge_at = Instant::now() + HEDGE_RETRY_INTERVAL;
                if let Some(place) = placed.hedge(placed.place().work.clone(), start.elapsed()) {
                    let place = second_place.get_or_init(|| place);
                    second_attempt = attempt(place).boxed_local().fuse();
                    running += 1;
                }
                continue;
            }
        };
        running -= 1;
        // A failure after which the request may have run takes precedence, whatever the order of the failures.
        failed = failed
            .filter(|failed| !failed.is_not_run())
            .or(Some(failure));
        if running == 0 {
            return Err(failed.unwrap_or(failure));
        }
    }
}

async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => compio::time::sleep_until(time).await,
        None => pending().await,
    }
}
