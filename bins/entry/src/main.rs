//! The entry's process.

fn main() {}
