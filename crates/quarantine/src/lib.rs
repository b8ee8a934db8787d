//! Quarantine of prompt parts that crash engines.
//!
//! A request may crash the engine that begins to write its answer, and so may every other request that shares the guilty
//! part of its prompt. Sent to one engine after the other, as retries do, such requests take down a whole fleet.
//!
//! Each entry reports to its [`Quarantine`] the prompts of the requests on which a target crashed, and the prompts of
//! those that targets have survived. A part is blamed for a crash if a request with it had not begun for long, and no
//! request with it was survived shortly before or since. [`Evidence`] carries what one process knows to the others:
//! merging it is commutative and idempotent, so it may arrive late, repeatedly or in any order. A part that is blamed for
//! several crashes is quarantined: requests with it are refused. A part is not blamed for crashes that a part with more of
//! them explains: requests that are beside a guilty one look like it.
//!
//! A quarantine ends on evidence alone. When its time is over, one entry at a time may send one request with the part, in
//! an order that all entries derive from the part and the time. If the target survives, the part is released; if it
//! crashes, the quarantine starts again and lasts twice as long.
//!
//! Memory is bounded: callers choose the parts, but only crashes add records.

mod evidence;
mod prompt;
mod record;
mod seat;
mod survivors;
mod table;

pub use evidence::{CrashReport, Evidence};
pub use prompt::{PartId, Prompt, part_id};
pub use record::CrashId;
pub use seat::Seat;
pub use table::{Changes, Quarantine, Refusal};
