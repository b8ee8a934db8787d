//! Pairs of alert windows, and durations on the command line.

use std::time::Duration;

/// A short and a long window; an alert is raised if the burn rate exceeds `rate` in both.
///
/// The long window shows that the burn is significant, the short one that it is still going on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowPair {
    /// The short window.
    pub fast: Duration,
    /// The long window.
    pub slow: Duration,
    /// Burn rate that both windows must exceed to raise an alert.
    pub rate: f64,
}

impl WindowPair {
    /// Returns the default pairs.
    ///
    /// With a period of 30 days, a burn rate of 14.4 consumes 2% of the budget in one hour, and 6 consumes 5% in six
    /// hours.
    pub fn defaults() -> Vec<Self> {
        let minutes = |count: u64| Duration::from_secs(60 * count);
        vec![
            Self {
                fast: minutes(5),
                slow: minutes(60),
                rate: 14.4,
            },
            Self {
                fast: minutes(30),
                slow: minutes(360),
                rate: 6.0,
            },
        ]
    }
}

impl std::str::FromStr for WindowPair {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let error = || format!("`{text}` is not FAST/SLOW@RATE, such as 5m/1h@14.4");
        let (windows, rate) = text.split_once('@').ok_or_else(error)?;
        let (fast, slow) = windows.split_once('/').ok_or_else(error)?;
        let pair = Self {
            fast: parse_duration(fast)?,
            slow: parse_duration(slow)?,
            rate: rate.parse().map_err(|_| error())?,
        };
        if pair.fast >= pair.slow {
            return Err(format!(
                "in `{text}` the fast window is not the shorter one"
            ));
        }
        if !(pair.rate.is_finite() && pair.rate > 0.0) {
            return Err(format!("in `{text}` the rate is not above 0"));
        }
        Ok(pair)
    }
}

/// Parses a duration such as `30s`, `5m`, `6h` or `30d`.
///
/// # Errors
///
/// Returns a message that quotes the text if it is not a positive integer followed by one of these units.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let error = || format!("`{text}` is not a duration such as 30s, 5m, 6h or 30d");
    let unit = text.chars().last().ok_or_else(error)?;
    let seconds = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3600,
        'd' => 86_400,
        _ => return Err(error()),
    };
    let number = text.strip_suffix(unit).unwrap_or_default();
    let number: u32 = number.parse().map_err(|_| error())?;
    match number {
        0 => Err(error()),
        _ => Ok(Duration::from_secs(u64::from(number) * seconds)),
    }
}

/// Formats a duration as [`parse_duration`] accepts it, in the largest unit that divides it.
///
/// ```
/// assert_eq!(burn::window::format_duration(std::time::Duration::from_secs(5400)), "90m");
/// ```
pub fn format_duration(duration: Duration) -> String {
    let seconds = duration.as_secs();
    let units = [(86_400, 'd'), (3600, 'h'), (60, 'm')];
    let unit = units
        .iter()
        .find(|(unit, _)| seconds >= *unit && seconds.is_multiple_of(*unit));
    match unit {
        Some((unit, name)) => format!("{}{name}", seconds / unit),
        None => format!("{seconds}s"),
    }
}
