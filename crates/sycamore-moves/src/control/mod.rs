//! State machine of one move on one node: the traffic share in force and, on nodes whose upstream
//! runs the new version, the evaluation of evidence.
//!
//! Only nodes whose upstream runs the new version evaluate evidence, and a node stops doing so once
//! it has confirmed that the watch period was clean. A move is done only when every live instance
//! of the new version has confirmed, so no node can find the version bad, before or after, without
//! the outcome taking that into account.

mod io;
mod machine;
mod merger;
mod peers;
mod rendezvous;

pub use io::{Action, Input, Moment};
pub use machine::{MoveControl, Phase, Split};
pub use merger::{ControlOptions, HoldReason};
pub use peers::{Peer, Peers};
pub use rendezvous::{choose, score};
