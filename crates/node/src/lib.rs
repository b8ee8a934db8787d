//! Runtime, settings, logging, HTTP and operator port of a process.
//!
//! The `main` function of a service calls [`serve`], which loads the settings with [`settings::load`] and calls [`run`]
//! to set up the event loop and the log. Inside the event loop, [`listen`] and [`bind`] open ports, [`connect`] opens
//! connections, [`http`] provides an HTTP/1.1 server and client, [`operator`] serves the operator port, and
//! [`signal::shutdown`] resolves when the process is asked to stop. [`Backoff`] computes the delays between retries,
//! and [`time::show`] formats timestamps.

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
