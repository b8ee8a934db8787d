//! Runtime, settings, logging, HTTP and operator port of a process.
//!
//! The `main` function of a service calls [`run_service`], which loads the settings with [`settings::load`] and calls
//! [`run`] to set up the event loop and the log. Inside the event loop, [`listen`] and [`bind_udp`] open ports,
//! [`connect`] opens connections, [`http`] provides an HTTP/1.1 server and client, [`operator`] serves the operator
//! port, and [`signal::shutdown`] resolves when the process is asked to stop. [`Cutoff`] ends the work
//! in progress when it stops. [`Backoff`] computes the delays between retries, [`time::uptime`] is a clock that goes on in
//! suspension, [`Stalls`] detects times in which the process did not run, and [`time::format_utc`] formats timestamps.

pub mod arguments;
mod backoff;
mod cutoff;
pub mod event;
pub mod http;
pub mod log;
mod notify;
pub mod operator;
mod runtime;
mod service;
pub mod settings;
pub mod signal;
mod socket;
mod stall;
pub mod time;

pub use backoff::Backoff;
pub use cutoff::Cutoff;
pub use event::Event;
pub use notify::Notify;
pub use runtime::{block_on, run};
pub use service::run_service;
pub use socket::{bind_udp, connect, listen, shutdown_write};
pub use stall::Stalls;
