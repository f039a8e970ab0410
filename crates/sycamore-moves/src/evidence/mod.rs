//! Evidence on the two versions of a move: gathered beside each upstream, merged at a few nodes.
//!
//! All counters of one process only grow, and a report carries all of them, so the report with the
//! highest sequence number holds everything that the earlier ones said. Duplicates and reordering
//! are therefore harmless.

mod codec;
mod collector;
mod counts;
mod histogram;
mod ledger;

pub use codec::{decode, encode, CodecError, MAX_REPORT_BYTES};
pub use collector::{Collector, CollectorOptions};
pub use counts::{CallerCounts, Cell, Counts, Totals, CALLER_BUCKETS, MAX_CELLS};
pub use histogram::{Histogram, BUCKETS, BUCKETS_PER_OCTAVE};
pub use ledger::{Baselines, Ledger, Source};

use sycamore_types::prelude::*;

/// What one process has seen of one move so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Report {
    /// The move.
    pub mv: MoveId,
    /// The reporting node's instance.
    pub instance: InstanceId,
    /// The process, by the generation that it started with.
    pub incarnation: Incarnation,
    /// The generation that membership knows it by when it reports: higher than the first one where it
    /// had to refute its death.
    pub generation: Incarnation,
    /// Grows with each report of this process.
    pub seq: u64,
    /// The version of its upstream.
    pub version: UpstreamVersion,
    /// The node has agreed that the watch period was clean, and will find nothing against the
    /// version any more.
    pub confirmed: bool,
    /// The counters.
    pub totals: Totals,
}
