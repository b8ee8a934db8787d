//! A second attempt beside one that is late.
//!
//! An attempt whose target is silent goes on until another target has answered. Under overload no other one may have
//! room, and an attempt that was given up may have been the next one of its target.

use std::cell::OnceCell;
use std::future::pending;
use std::pin::pin;
use std::time::{Duration, Instant};

use dispatch::{Failure, RequestContext};
use futures::future::{Fuse, LocalBoxFuture};
use futures::{FutureExt, select_biased};

use super::placed::Placed;

/// Time between two looks for a target that has room for a second attempt.
pub(super) const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// An attempt that failed, and what is left to do.
pub(super) type Failed = (Failure, RequestContext);

/// The attempt that was answered first.
enum First<T> {
    /// The one at the first target.
    Early(T),
    /// The one that was made beside it.
    Beside(T),
}

/// Makes `attempt` at `placed`, and beside it at a second target when there is no answer after `patience`.
///
/// The first answer ends the other attempt. While no target has room for a second one, it is looked for again every
/// [`LOOK_AGAIN`].
///
/// # Errors
///
/// Returns how the attempts failed: as one that may have run, if one of them may.
pub(super) async fn attempt<T>(
    placed: Placed,
    patience: Duration,
    attempt: impl AsyncFn(&Placed) -> Result<T, Failure>,
) -> Result<(Placed, T), Failed> {
    let beside = OnceCell::new();
    let first = race(&placed, &beside, patience, attempt).await;
    match (first, beside.into_inner()) {
        (Ok(First::Early(answer)), _) => Ok((placed, answer)),
        (Ok(First::Beside(answer)), Some(beside)) => Ok((beside, answer)),
        (Ok(First::Beside(_)), None) => unreachable!("an attempt without a place was answered"),
        (Err(failure), beside) => {
            let last = beside.as_ref().unwrap_or(&placed);
            Err((failure, last.place().work.clone()))
        }
    }
}

async fn race<T>(
    placed: &Placed,
    beside: &OnceCell<Placed>,
    patience: Duration,
    attempt: impl AsyncFn(&Placed) -> Result<T, Failure>,
) -> Result<First<T>, Failure> {
    let start = Instant::now();
    let mut early = pin!(attempt(placed).fuse());
    let mut second: Fuse<LocalBoxFuture<'_, Result<T, Failure>>> = Fuse::terminated();
    let mut failed: Option<Failure> = None;
    let mut running = 1;
    let may_repeat = placed.place().work.may_repeat();
    let mut look = start + patience;
    loop {
        let late = late_at((may_repeat && beside.get().is_none()).then_some(look)).fuse();
        let failure = select_biased! {
            result = early => match result {
                Ok(answer) => return Ok(First::Early(answer)),
                Err(failure) => {
                    placed.fail(failure);
                    failure
                }
            },
            result = second => match result {
                Ok(answer) => return Ok(First::Beside(answer)),
                Err(failure) => {
                    beside.get().inspect(|beside| beside.fail(failure));
                    failure
                }
            },
            () = pin!(late) => {
                look = Instant::now() + LOOK_AGAIN;
                if let Some(place) = placed.beside(placed.place().work.clone(), start.elapsed()) {
                    let place = beside.get_or_init(|| place);
                    second = attempt(place).boxed_local().fuse();
                    running += 1;
                }
                continue;
            }
        };
        running -= 1;
        // A failure after which the request may have run counts, whichever came last.
        failed = failed
            .filter(|failed| !failed.is_not_run())
            .or(Some(failure));
        if running == 0 {
            return Err(failed.unwrap_or(failure));
        }
    }
}

async fn late_at(look: Option<Instant>) {
    match look {
        Some(look) => compio::time::sleep_until(look).await,
        None => pending().await,
    }
}
