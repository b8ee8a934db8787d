//! Times as operators read them.

/// Returns a time in milliseconds since 1970 as `2026-12-03T20:41:23Z`.
///
/// ```
/// assert_eq!(node::time::show(1_796_330_483_000), "2026-12-03T20:41:23Z");
/// assert_eq!(node::time::show(u64::MAX), "18446744073709551615 ms since 1970");
/// ```
pub fn show(time_ms: u64) -> String {
    let time = i64::try_from(time_ms)
        .ok()
        .and_then(|time_ms| jiff::Timestamp::from_millisecond(time_ms).ok());
    // Another program may have stored any number.
    time.map_or_else(
        || format!("{time_ms} ms since 1970"),
        |time| format!("{time:.0}"),
    )
}
