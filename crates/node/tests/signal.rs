//! Handling of signals. A signal that isn't handled ends this test program.

use std::pin::pin;
use std::time::Duration;

use futures::future::{Either, select};
use node::signal;
use rustix::process::{Signal, getpid, kill_process};

/// Time in which a signal takes effect.
const EFFECT_TIME: Duration = Duration::from_millis(50);

async fn send(signal: Signal) {
    kill_process(getpid(), signal).unwrap();
    compio::time::sleep(EFFECT_TIME).await;
}

// Guards against a second SIGTERM that ends the process in the middle of its drain: five requests that were at work got
// no answer.
#[test]
fn shutdown_then_sigterm() {
    node::block_on(async {
        let mut shutdown = pin!(signal::shutdown());
        let waited = compio::time::timeout(EFFECT_TIME, shutdown.as_mut()).await;
        assert!(waited.is_err(), "no signal was sent yet");
        kill_process(getpid(), Signal::TERM).unwrap();
        shutdown.await;
        for _ in 0..3 {
            send(Signal::TERM).await;
        }
    })
    .unwrap();
}

// Guards against a SIGHUP that ends the process because it comes while the one before is being handled, or after the
// process has stopped its tasks.
#[test]
fn hangups_in_series() {
    node::block_on(async {
        let series = async {
            compio::time::sleep(EFFECT_TIME).await;
            for _ in 0..2_000 {
                kill_process(getpid(), Signal::HUP).unwrap();
                // Lets the handler run now and then, at different places.
                compio::time::sleep(Duration::from_micros(100)).await;
            }
        };
        {
            let (logging, series) = (pin!(signal::log_hangups()), pin!(series));
            let ended_first = select(logging, series).await;
            assert!(matches!(ended_first, Either::Right(_)));
        }
        // The task that logs has ended, and the signal still doesn't end the process.
        send(Signal::HUP).await;
    })
    .unwrap();
}
