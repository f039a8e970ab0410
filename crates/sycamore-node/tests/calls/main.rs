//! Integration tests of the call path: callers, nodes and fake upstreams on one event loop,
//! connected over loopback.
#![allow(clippy::unwrap_used)]

mod accounts;
mod body;
mod cancel;
mod crash;
mod cut;
mod hedge;
mod key;
mod limited;
mod metrics;
mod out_of_use;
mod path;
mod pipeline;
mod refuse;
mod silence;
mod upstream;
mod warm_up;
mod world;
mod wrong;
