//! The time since boot, and timestamps in human-readable form.

use std::time::Duration;

/// Time since the VM booted.
pub type Uptime = Duration;

/// Returns the time since the VM booted, including the time for which the VM was suspended.
///
/// [`std::time::Instant`] may stop while the VM is suspended.
pub fn uptime() -> Uptime {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Formats a time in milliseconds since the Unix epoch, in the form `2026-12-03T20:41:23Z`.
///
/// A time that has no such form is formatted as a number.
///
/// ```
/// assert_eq!(node::time::format_utc(1_796_330_483_000), "2026-12-03T20:41:23Z");
/// assert_eq!(node::time::format_utc(u64::MAX), "18446744073709551615 ms since 1970");
/// ```
pub fn format_utc(time_ms: u64) -> String {
    let time = i64::try_from(time_ms)
        .ok()
        .and_then(|time_ms| jiff::Timestamp::from_millisecond(time_ms).ok());
    // The value may come from another program and be out of range.
    time.map_or_else(
        || format!("{time_ms} ms since 1970"),
        |time| format!("{time:.0}"),
    )
}
