//! Calls that request admission, and their importance.

use sycamore_types::prelude::*;

/// Importance of a call under overload, set by its caller or its route; higher classes run first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Criticality {
    /// Calls that are refused first and may fill only half of the queue.
    Sheddable,
    /// Calls without a stated importance.
    #[default]
    Normal,
    /// Calls that are refused last.
    Critical,
}

impl Criticality {
    /// Parses the class from a header; unknown text counts as [`Criticality::Normal`].
    pub fn from_text(text: &str) -> Self {
        match text {
            "critical" => Criticality::Critical,
            "sheddable" => Criticality::Sheddable,
            _ => Criticality::Normal,
        }
    }

    /// Returns the class of calls with route rank `rank`, of which 0 is served first.
    pub fn from_rank(rank: u8) -> Self {
        match rank {
            0 => Criticality::Critical,
            1 => Criticality::Normal,
            _ => Criticality::Sheddable,
        }
    }

    /// Returns the class as headers carry it.
    pub fn as_str(self) -> &'static str {
        match self {
            Criticality::Critical => "critical",
            Criticality::Normal => "normal",
            Criticality::Sheddable => "sheddable",
        }
    }
}

/// Call that requests admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Arrival {
    /// Identifier of the call, unique on the node.
    pub id: u64,
    /// Hash that distinguishes callers.
    pub caller: u64,
    /// Importance of the call under overload.
    pub class: Criticality,
    /// Time by which the call must have finished.
    pub deadline: Time,
    /// Time after which the answer is worth less; `None` where only the deadline counts.
    pub objective: Option<Time>,
    /// Hash of the kind of work: calls of one kind take about the same time on the upstream.
    pub work: u64,
    /// Whether a running call of another upstream waits for this one; refusing it wastes that run.
    pub is_inner: bool,
}
