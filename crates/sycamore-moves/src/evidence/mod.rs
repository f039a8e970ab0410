//! Evidence on the two versions of a move: call outcomes counted by each node and merged on a few.
//!
//! The counters of a process only grow, and each report carries all of them, so the report with the
//! highest sequence number contains everything that the earlier ones said. Duplicated and reordered
//! reports are therefore harmless.

mod codec;
mod collector;
mod counts;
mod histogram;
mod ledger;

pub use codec::{decode, encode, CodecError, MAX_REPORT_BYTES};
pub use collector::{Collector, CollectorOptions};
pub use counts::{CallerCounts, Cell, Counts, Totals, CALLER_BUCKETS, MAX_CELLS};
pub use histogram::{Histogram, BUCKETS, BUCKETS_PER_OCTAVE};
pub use ledger::{Baselines, Ledger, Merged, Source};

use sycamore_types::prelude::*;

/// Cumulative counters of one process for one move.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Report {
    /// Move that the counters belong to.
    pub mv: MoveId,
    /// Instance that reports.
    pub instance: InstanceId,
    /// Incarnation that the process started with; together with the instance it identifies the
    /// process.
    pub incarnation: Incarnation,
    /// Incarnation under which membership knows the process at the time of the report; higher than
    /// `incarnation` if the process had to refute its death.
    pub generation: Incarnation,
    /// Sequence number of the report; grows with each report of the process.
    pub seq: u64,
    /// Version of the process's upstream.
    pub version: UpstreamVersion,
    /// Whether the node has confirmed that the watch period was clean; it raises no verdict on the
    /// version after that.
    pub confirmed: bool,
    /// Counters of the process since it started.
    pub totals: Totals,
}
