//! The event loop of a process.

use std::io;
use std::time::Duration;

use compio::driver::{DriverType, ProactorBuilder};
use compio::runtime::RuntimeBuilder;

use crate::event;

/// Most helper threads of compio for calls that may block.
///
/// The product makes none of these calls: sockets are created, bound and shut down in [`crate::listen`],
/// [`crate::connect`] and [`crate::shut_down`]. Without any thread, compio panics when one is needed after all.
const POOL_THREADS: usize = 1;
/// Time after which an idle helper thread ends.
const POOL_IDLE: Duration = Duration::from_secs(1);

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
    proactor
        .driver_type(DriverType::Poll)
        .thread_pool_limit(POOL_THREADS)
        .thread_pool_recv_timeout(POOL_IDLE);
    let runtime = RuntimeBuilder::new().with_proactor(proactor).build()?;
    Ok(runtime.block_on(future))
}
