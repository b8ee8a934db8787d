//! Event loop of a process.

use std::io;
use std::time::Duration;

use compio::driver::{DriverType, ProactorBuilder};
use compio::runtime::RuntimeBuilder;

use crate::event;

/// Maximum number of threads in compio's pool for blocking calls.
///
/// The processes make no call that uses the pool: [`crate::listen`], [`crate::connect`] and [`crate::shutdown_write`]
/// create, bind and shut down sockets without it. Without any thread, compio would panic if a call needed the pool
/// after all.
const MAX_POOL_THREADS: usize = 1;
/// Time after which an idle thread of the pool exits.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts the log under `name`, runs `future` on a compio event loop on the current thread and returns its output.
///
/// The event loop uses epoll. A Tokio timer context is entered but not driven: tarpc's client requires one to exist,
/// but Tokio timers never fire.
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

/// Runs `future` on an event loop as [`run`] does, but without starting the log.
///
/// Intended for commands whose standard output is their result.
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
    proactor
        .driver_type(DriverType::Poll)
        .thread_pool_limit(MAX_POOL_THREADS)
        .thread_pool_recv_timeout(POOL_IDLE_TIMEOUT);
    let runtime = RuntimeBuilder::new().with_proactor(proactor).build()?;
    Ok(runtime.block_on(future))
}
