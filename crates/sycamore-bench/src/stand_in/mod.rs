//! Stand-ins for the platform and the upstreams that nodes communicate with; each runs as its own
//! process.

pub mod platform;
pub mod upstream;
