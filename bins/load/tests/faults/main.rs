//! The invariants of the design page under failure, shown with real processes.

mod burst;
mod changes;
mod kill;
mod pause;
mod stop;
mod support;
mod weights;
