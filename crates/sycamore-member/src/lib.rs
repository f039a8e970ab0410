//! Membership among nodes: failure detection, dissemination and spread facts.
//!
//! [`Membership`] is a pure state machine: it is given the time, datagrams and answers, and gives
//! what is to be sent. The table is a join semilattice, so that the order of arrival, duplicates
//! and losses of messages don't matter for what nodes end up with.

mod detect;
pub mod machine;
pub mod message;
pub mod options;
mod random;
mod spread;
pub mod table;

pub use machine::{Action, Input, LocalState, Membership, Now};
pub use options::Options;
