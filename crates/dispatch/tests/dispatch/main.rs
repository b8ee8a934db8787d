//! Tests of request scheduling.

mod admission;
mod budget;
mod concurrent;
mod config;
mod demand;
mod evacuations;
mod health;
mod homes;
mod limit;
mod load;
mod moves;
mod outdated;
mod path;
mod placement;
mod retry;
mod shared;
mod support;
mod versions;
