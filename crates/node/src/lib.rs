//! Runtime, settings, logs and operator port of a process.
