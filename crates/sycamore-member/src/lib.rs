//! Cluster membership of nodes: failure detection, and dissemination of member records and facts.
//!
//! [`Membership`] is a pure state machine: it takes the time, datagrams and replies as input and
//! returns the messages to send. Its table is a join semilattice, so nodes converge regardless of
//! the order, duplication and loss of messages.

mod detect;
pub mod machine;
pub mod message;
pub mod options;
mod random;
mod spread;
pub mod table;

pub use machine::{Action, Input, LocalState, Membership, Now};
pub use options::Options;
