//! Stand-ins for what the nodes speak with, each run as a process of its own.

pub mod platform;
pub mod upstream;
