//! One move as one node runs it: the share it applies, and, at the nodes of the new version, the
//! judgement.
//!
//! Only nodes beside the new version judge, and a node that has confirmed the watch period as clean
//! judges no more. The move is done only when every live instance of the new version has confirmed, so
//! no verdict can fall before or after that the outcome does not know of.

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
