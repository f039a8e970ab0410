//! Identifiers, units, resources and messages shared by all crates; no I/O.

pub mod account;
pub mod event;
pub mod fact;
pub mod hash;
pub mod headers;
pub mod id;
pub mod member;
pub mod outcome;
pub mod prelude;
pub mod rate;
pub mod resource;
pub mod route_table;
pub mod share;
pub mod snapshot;
pub mod stamp;
pub mod time;
