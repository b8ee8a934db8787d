//! What a target's response proves about a request.

use dispatch::Failure;
use entry::ingress::verdict::{Subject, Verdict};
use node::http::StatusCode;
use platform::response::Head;
use yare::parameterized;

const ID: &str = "r2";
const REFUSED: Verdict = Verdict::NotRun(Failure::Refused);
const MISDIRECTED: Verdict = Verdict::NotRun(Failure::Misdirected);

/// Id of the request that a response names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Named {
    /// The request after which it arrived.
    This,
    /// Another request.
    Other,
    /// None, as the first response on its connection.
    First,
    /// None, on a connection that has carried other requests.
    Nobody,
}

/// Whether a response bears the mark "not run" and a signature.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Form {
    Marked,
    Sealed,
    Both,
    Neither,
}

fn judge(status: u16, named: Named, form: Form, repeatable: bool) -> Verdict {
    let id = match named {
        Named::This => Some(ID.into()),
        Named::Other => Some("r1".into()),
        Named::First | Named::Nobody => None,
    };
    let head = Head {
        id,
        sealed: matches!(form, Form::Sealed | Form::Both),
        not_run: matches!(form, Form::Marked | Form::Both),
        ..Head::default()
    };
    let subject = Subject {
        id: ID,
        repeatable,
        first_on_connection: named != Named::Nobody,
    };
    Verdict::new(subject, StatusCode::from_u16(status).unwrap(), &head)
}

// Guards against a response that is taken to prove more about a request that may run once than it does.
#[parameterized(
    success = { 200, Named::This, Form::Sealed, Verdict::Own },
    success_other = { 200, Named::Other, Form::Sealed, Verdict::Foreign },
    success_nobody = { 200, Named::Nobody, Form::Sealed, Verdict::Foreign },
    success_first = { 200, Named::First, Form::Sealed, Verdict::Foreign },
    success_unsigned = { 200, Named::This, Form::Neither, Verdict::Foreign },
    success_marked = { 200, Named::This, Form::Both, Verdict::Foreign },
    error = { 500, Named::This, Form::Sealed, Verdict::Own },
    error_marked = { 500, Named::This, Form::Marked, Verdict::Foreign },
    late_marked = { 504, Named::This, Form::Marked, Verdict::Foreign },
    not_found = { 404, Named::This, Form::Sealed, Verdict::Own },
    not_found_marked = { 404, Named::This, Form::Marked, Verdict::Foreign },
    malformed = { 400, Named::This, Form::Sealed, Verdict::Own },
    malformed_marked = { 400, Named::This, Form::Marked, REFUSED },
    malformed_first = { 400, Named::First, Form::Marked, REFUSED },
    malformed_first_unmarked = { 400, Named::First, Form::Neither, Verdict::Foreign },
    malformed_nobody = { 400, Named::Nobody, Form::Marked, Verdict::Foreign },
    refused = { 503, Named::This, Form::Marked, REFUSED },
    refused_signed = { 503, Named::This, Form::Both, REFUSED },
    refused_other = { 503, Named::Other, Form::Marked, Verdict::Foreign },
    refused_first = { 503, Named::First, Form::Marked, REFUSED },
    refused_nobody = { 503, Named::Nobody, Form::Marked, Verdict::Foreign },
    unavailable = { 503, Named::This, Form::Sealed, Verdict::Withheld },
    unavailable_unsigned = { 503, Named::This, Form::Neither, Verdict::Foreign },
    unavailable_first = { 503, Named::First, Form::Neither, Verdict::Foreign },
    throttled = { 429, Named::This, Form::Sealed, Verdict::Withheld },
    throttled_marked = { 429, Named::This, Form::Marked, REFUSED },
    timeout = { 408, Named::This, Form::Sealed, Verdict::Withheld },
    timeout_marked = { 408, Named::This, Form::Marked, REFUSED },
    misdirected = { 421, Named::This, Form::Neither, MISDIRECTED },
    misdirected_marked = { 421, Named::This, Form::Both, MISDIRECTED },
    misdirected_signed = { 421, Named::This, Form::Sealed, Verdict::Withheld },
    misdirected_other = { 421, Named::Other, Form::Marked, Verdict::Foreign },
    misdirected_first = { 421, Named::First, Form::Neither, MISDIRECTED },
    misdirected_nobody = { 421, Named::Nobody, Form::Marked, Verdict::Foreign },
)]
fn verdict_once(status: u16, named: Named, form: Form, verdict: Verdict) {
    assert_eq!(judge(status, named, form, false), verdict);
}

// Guards against withholding the status that a target gave to a request that may run again.
#[parameterized(
    unavailable = { 503 },
    throttled = { 429 },
    timeout = { 408 },
    misdirected = { 421 },
    error = { 500 },
)]
fn verdict_repeatable(status: u16) {
    let verdict = judge(status, Named::This, Form::Sealed, true);
    assert_eq!(verdict, Verdict::Own);
}

// Guards against an attempt that counts as not run although the verdict doesn't say so.
#[parameterized(
    own = { Verdict::Own, None },
    withheld = { Verdict::Withheld, Some(false) },
    foreign = { Verdict::Foreign, Some(false) },
    refused = { REFUSED, Some(true) },
    misdirected = { MISDIRECTED, Some(true) },
)]
fn verdict_failure(verdict: Verdict, not_run: Option<bool>) {
    assert_eq!(verdict.failure().map(Failure::is_not_run), not_run);
}
