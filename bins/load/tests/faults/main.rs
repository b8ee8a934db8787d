//! The invariants of the design page under failure, shown with real processes.

mod burst;
mod changes;
mod combined;
mod kill;
mod pause;
mod stop;
mod support;
mod weights;
