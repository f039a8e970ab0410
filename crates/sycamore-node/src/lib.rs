//! Node daemon: sockets, clocks and tasks around the state machines of the other crates.
//!
//! One event loop on one thread runs every task. [`hub::Hub`] holds the state that the subsystems
//! ([`peers`], [`config`], [`moves`], [`calls`], [`operator`]) share; each spawns its own tasks on
//! a task group, which its parent joins.

pub mod calls;
pub mod config;
pub mod edge;
pub mod hub;
mod listen;
pub mod moves;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod run;
pub mod tasks;
pub mod timeline;
