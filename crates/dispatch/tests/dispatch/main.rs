//! Tests of request scheduling.

mod admission;
mod allowed_regions;
mod budget;
mod concurrent;
mod config;
mod demand;
mod evacuations;
mod health;
mod limit;
mod load;
mod moves;
mod outdated;
mod overload;
mod path;
mod placement;
mod prompt_sizes;
mod retry;
mod shared;
mod support;
mod versions;
