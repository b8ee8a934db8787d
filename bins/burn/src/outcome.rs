//! Classification of request outcomes for the error budget.

/// How the outcome of a request counts towards the objective `answered`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Answered completely; counts as a good request.
    Good,
    /// Consumes the error budget.
    Bad,
    /// Caused by the caller: counts neither as a request nor against the budget.
    Excluded,
}

/// Reasons for refusing requests that are invalid or exceed a limit of their own workspace.
const CALLER_REASONS: [&str; 7] = [
    "malformed",
    "workspace",
    "service",
    "size",
    "rate",
    "concurrency",
    "rejected",
];

/// Classifies a cause, such as `answered` or `not-run/queue`.
///
/// A refusal with an unknown or missing reason consumes the budget, so that new reasons can't hide failures.
///
/// ```
/// use burn::outcome::{Verdict, classify};
///
/// assert_eq!(classify("not-run/rate"), Verdict::Excluded);
/// assert_eq!(classify("not-run/queue"), Verdict::Bad);
/// ```
pub fn classify(cause: &str) -> Verdict {
    let (outcome, reason) = cause.split_once('/').unwrap_or((cause, ""));
    match outcome {
        "answered" => Verdict::Good,
        "gone" => Verdict::Excluded,
        "not-run" if CALLER_REASONS.contains(&reason) => Verdict::Excluded,
        _ => Verdict::Bad,
    }
}
