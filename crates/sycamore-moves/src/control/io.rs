//! What happens to the machine of a move, and what it wants done.

use super::peers::Peer;
use crate::evidence::Report;
use crate::plan::{MoveRow, Outcome};
use std::collections::BTreeSet;
use sycamore_types::prelude::*;

/// A moment on both of a node's clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// The monotonic clock.
    pub time: Time,
    /// The civil clock.
    pub wall: WallTime,
}

/// What happens to the machine.
#[derive(Debug, Clone)]
pub enum Input {
    /// The agreed row, as read or as spread.
    Row {
        /// The row.
        row: Box<MoveRow>,
        /// Its revision; a lower one than known is ignored.
        revision: u64,
    },
    /// A fact was learnt; facts on other moves are ignored.
    Fact(Fact),
    /// The live instances of the service, and the regions that any member is seen in.
    Peers {
        /// The instances.
        live: Vec<Peer>,
        /// The regions.
        regions: BTreeSet<Region>,
    },
    /// The instances that the platform's table lists, in answer to [`Action::ReadRegistry`].
    Registry(Vec<Peer>),
    /// Evidence of a process, the own one included.
    Report(Box<Report>),
    /// Time passes: the only input on which the evidence is judged.
    Tick,
}

/// What the machine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Spread a fact, and treat it as learnt.
    Raise(Fact),
    /// List the registered instances of the service.
    ReadRegistry,
    /// Write the outcome by compare-and-set on `revision`; settle lost answers by reading back.
    End {
        /// The outcome.
        outcome: Outcome,
        /// The revision that it is based on.
        revision: u64,
    },
}
