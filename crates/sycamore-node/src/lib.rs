//! The node daemon: sockets, clocks and tasks around the decision crates.
//!
//! One loop on one thread runs every task. [`hub::Hub`] holds what the slices share; each slice
//! ([`peers`], [`config`], [`moves`], [`calls`], [`operator`]) starts its own tasks and joins them.

pub mod calls;
pub mod config;
pub mod edge;
pub mod hub;
pub mod moves;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod run;
pub mod tasks;
pub mod timeline;
