//! Which outcomes spend the error budget.

/// How a request's end counts towards the objective `answered`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Answered in full.
    Good,
    /// Spends the budget.
    Bad,
    /// Not the system's doing: counts neither as a request nor against the budget.
    Excluded,
}

/// Refusals of a request that can't run as it is, or that exceeds a limit of its own workspace.
const CALLERS_OWN: [&str; 7] = [
    "malformed",
    "workspace",
    "service",
    "size",
    "rate",
    "concurrency",
    "rejected",
];

/// Returns the verdict on a cause, such as `answered` or `not-run/queue`.
///
/// A refusal with an unknown reason or without one spends the budget: a new reason must not hide failures.
///
/// ```
/// use burn::outcome::{Verdict, verdict};
///
/// assert_eq!(verdict("not-run/rate"), Verdict::Excluded);
/// assert_eq!(verdict("not-run/queue"), Verdict::Bad);
/// ```
pub fn verdict(cause: &str) -> Verdict {
    let (outcome, reason) = cause.split_once('/').unwrap_or((cause, ""));
    match outcome {
        "answered" => Verdict::Good,
        "gone" => Verdict::Excluded,
        "not-run" if CALLERS_OWN.contains(&reason) => Verdict::Excluded,
        _ => Verdict::Bad,
    }
}
