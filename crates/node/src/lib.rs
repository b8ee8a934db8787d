//! Runtime, settings, logs and operator port of a process.
//!
//! A binary that serves passes its work to [`serve`], which loads the settings with [`settings::load`] and calls
//! [`run`]; that sets up the event loop and the log. Within the loop, [`listen`] and [`bind`] open ports, [`connect`]
//! reaches others, [`http`] serves and calls over HTTP/1.1, [`operator`] serves the operator port, and
//! [`signal::shutdown`] resolves when the process is asked to stop. [`Backoff`] gives the pauses between failed calls,
//! and [`time::show`] writes times.

pub mod arguments;
mod backoff;
pub mod event;
pub mod http;
pub mod log;
mod notify;
pub mod operator;
mod port;
mod runtime;
mod service;
pub mod settings;
pub mod signal;
pub mod time;

pub use backoff::Backoff;
pub use event::Event;
pub use notify::Notify;
pub use port::{bind, connect, listen, shut_down};
pub use runtime::{block_on, run};
pub use service::serve;
