//! Child processes of an experiment.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Interval between two looks at a child that is expected to exit.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// Clock ticks a second in `/proc/*/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

/// A child process that is killed, by its id, when the guard is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize)]
pub struct Usage {
    /// Processor time since the start, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
    /// Threads.
    pub threads: u32,
}

impl Process {
    /// Starts `binary` with the settings file `settings` and writes its output to a log file in `dir`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the log can't be created or the binary can't be started.
    pub fn start(binary: &Path, args: &[&str], name: &str, dir: &Path) -> io::Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let output = File::create(&log)?;
        let child = Command::new(binary)
            .args(args)
            // Experiments wait for events of the level `info`.
            .env_remove(node::log::LEVEL_VARIABLE)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .map_err(|error| {
                io::Error::new(
                    error.kind(),
                    format!("starting {}: {error}", binary.display()),
                )
            })?;
        Ok(Self {
            name: name.into(),
            child,
            log,
        })
    }

    /// Returns the name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns what the process has printed so far.
    ///
    /// # Errors
    ///
    /// Returns the error of reading the log file.
    pub fn output(&self) -> io::Result<String> {
        fs::read_to_string(&self.log)
    }

    /// Tells whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGTERM, which asks for a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGSTOP: the process is paused until [`Process::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGHUP, which tells that the settings have changed.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        // A child that has exited already can't be killed; both ways it is gone afterwards.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits, at most for `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= end {
                return None;
            }
            thread::sleep(EXIT_POLL);
        }
    }

    /// Reads processor time, memory and threads from `/proc`.
    ///
    /// # Errors
    ///
    /// Returns the error of reading the files; they are gone once the process was waited for.
    pub fn usage(&self) -> io::Result<Usage> {
        let id = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        Ok(Usage {
            cpu_s: cpu_seconds(&stat),
            memory_bytes: status_field(&status, "VmRSS:") * 1024,
            threads: status_field(&status, "Threads:") as u32,
        })
    }

    /// Reads the highest resident memory so far, in bytes, from `/proc`.
    ///
    /// # Errors
    ///
    /// Returns the error of reading the file; it is gone once the process was waited for.
    pub fn peak_memory(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        Ok(status_field(&status, "VmHWM:") * 1024)
    }

    /// Counts the open descriptors in `/proc`.
    ///
    /// # Errors
    ///
    /// Returns the error of reading the directory; it is gone once the process was waited for.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id().cast_signed()) {
            // Fails only when the process has exited, which the caller finds by waiting for it.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sums user and system time of a `/proc/*/stat` line; the fields count from the end of the command name.
fn cpu_seconds(stat: &str) -> f64 {
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    ticks as f64 / TICKS_PER_S
}

fn status_field(status: &str, name: &str) -> u64 {
    status
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}
