//! Interval claims of calls that must not be repeated.
