//! Calls along the whole path: callers, nodes and upstreams on one loop, over loopback.
#![allow(clippy::unwrap_used)]

mod body;
mod cancel;
mod crash;
mod key;
mod metrics;
mod path;
mod pipeline;
mod refuse;
mod silence;
mod upstream;
mod world;
mod wrong;
