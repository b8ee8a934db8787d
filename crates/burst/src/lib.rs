//! Decisions of a weights transfer.
