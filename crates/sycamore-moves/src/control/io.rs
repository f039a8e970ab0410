//! Inputs and actions of a move's state machine.

use super::peers::Peer;
use crate::evidence::Report;
use crate::plan::{MoveRow, Outcome};
use std::collections::BTreeSet;
use sycamore_types::prelude::*;

/// Reading of a node's monotonic clock and wall clock at one instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time of the node.
    pub time: Time,
    /// Wall-clock time of the node.
    pub wall: WallTime,
}

/// Event that [`MoveControl`](super::MoveControl) handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// The move's row was read from the platform's table or received from a peer.
    Row {
        /// Row of the move.
        row: Box<MoveRow>,
        /// Revision of the row; a row that is not newer than the known one is ignored.
        revision: u64,
    },
    /// A fact was received; facts that concern neither this move nor its new version are ignored.
    Fact(Fact),
    /// The membership view changed.
    Peers {
        /// Live instances of the move's service.
        live: Vec<Peer>,
        /// Regions in which a member of any service is live.
        regions: BTreeSet<Region>,
    },
    /// Instances registered in the platform's table, in reply to [`Action::ReadRegistry`].
    Registry(Vec<Peer>),
    /// Evidence report of one process, which may be this node's own.
    Report(Box<Report>),
    /// Time has passed. Evidence is evaluated on this input only.
    Tick,
}

/// Side effect that [`MoveControl`](super::MoveControl) requests from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Distribute a fact to all nodes and store it on this one.
    Raise(Fact),
    /// Read the service's registered instances and pass them back as [`Input::Registry`].
    ReadRegistry,
    /// Write the outcome by compare-and-set. If the answer is lost, the row must be read back to
    /// learn whether the write took effect.
    End {
        /// Outcome of the move.
        outcome: Outcome,
        /// Revision that the row must still have.
        revision: u64,
    },
}
