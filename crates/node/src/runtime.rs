//! The event loop of a process.

use std::io;
use std::net::SocketAddr;

use compio::driver::{DriverType, ProactorBuilder};
use compio::net::TcpListener;
use compio::runtime::RuntimeBuilder;

use crate::event;

/// Runs `future` on a compio event loop of this thread and returns its output.
///
/// The loop polls with epoll. A Tokio timer context is entered but not driven: tarpc's client needs one to exist, and
/// timers of Tokio never fire. Also starts the log under `name`.
///
/// # Errors
///
/// Fails when the event loop can't be created.
///
/// ```
/// let sum = node::run("example", async { 1 + 1 }).unwrap();
/// assert_eq!(sum, 2);
/// ```
pub fn run<F: Future>(name: &str, future: F) -> io::Result<F::Output> {
    crate::log::start(name);
    block_on(async {
        crate::event!(event::STARTED, name = name, pid = std::process::id());
        let output = future.await;
        crate::event!(event::STOPPED, name = name);
        output
    })
}

/// Runs `future` on the event loop of [`run`] without starting the log, for programs whose output is read by others.
///
/// # Errors
///
/// Fails when the event loop can't be created.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let tokio = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    let _context = tokio.enter();
    let mut proactor = ProactorBuilder::new();
    proactor.driver_type(DriverType::Poll);
    let runtime = RuntimeBuilder::new().with_proactor(proactor).build()?;
    Ok(runtime.block_on(future))
}

/// Opens a TCP port.
///
/// # Errors
///
/// Fails with the address in the message when the port can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    // The standard library binds without blocking; compio would hand the call to a pool of threads.
    std::net::TcpListener::bind(address)
        .and_then(|listener| {
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        })
        .map_err(|error| {
            io::Error::new(error.kind(), format!("can't listen on {address}: {error}"))
        })
}
