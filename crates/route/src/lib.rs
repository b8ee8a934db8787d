//! Admission, queueing, target choice and retries.
