//! What a target's response proves about a request.

use dispatch::Failure;
use node::http::StatusCode;
use platform::response::{Head, may_declare_not_run, promises_not_run};

/// What a response proves about the request after which it arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is the target's own response to the request.
    Own,
    /// It is the target's own error, but its status would tell the caller that the request did not run, which the
    /// target has not declared.
    Withheld,
    /// The request has not run and never will.
    NotRun(Failure),
    /// It belongs to another request, names none, or contradicts itself; the request may have run.
    Foreign,
}

/// The request after which a response arrived.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    pub id: &'a str,
    /// Whether the request may run again.
    pub repeatable: bool,
    /// Whether no other request was sent on the connection before.
    pub first_on_connection: bool,
}

impl Verdict {
    /// Judges a response with `status` and `head` that arrived after the request `subject`.
    ///
    /// A response without an id can only belong to this request if it is the first one on its connection.
    pub fn new(subject: Subject<'_>, status: StatusCode, head: &Head) -> Self {
        let is_named = head.id.as_deref() == Some(subject.id);
        let is_first = head.id.is_none() && subject.first_on_connection;
        if !is_named && !is_first {
            return Self::Foreign;
        }
        // A signature without the mark shows that the target produced the response itself.
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected && (head.not_run || !head.sealed) {
            return Self::NotRun(Failure::Misdirected);
        }
        match head.not_run {
            true if may_declare_not_run(status) => Self::NotRun(Failure::Refused),
            true => Self::Foreign,
            false if !is_named || !head.sealed || head.encoded => Self::Foreign,
            false if promises_not_run(status) && !subject.repeatable => Self::Withheld,
            false => Self::Own,
        }
    }

    /// Returns the failure of the attempt, or `None` if the response is forwarded.
    pub fn failure(self) -> Option<Failure> {
        match self {
            Self::Own => None,
            Self::Withheld => Some(Failure::Error),
            Self::NotRun(failure) => Some(failure),
            Self::Foreign => Some(Failure::Broken),
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Withheld => "withheld",
            Self::NotRun(failure) => failure.name(),
            Self::Foreign => "foreign",
        }
    }
}
