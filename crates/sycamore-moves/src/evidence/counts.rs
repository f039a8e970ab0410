//! Call counters of one version, by route and offered load and by caller.

use super::Histogram;
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Number of buckets into which callers are divided by their hash.
pub const CALLER_BUCKETS: usize = 16;
/// Maximum number of cells of one process; calls that would need a further cell are counted by
/// caller only.
pub const MAX_CELLS: usize = 96;

/// Key of the counters of one route at one band of offered load.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell {
    /// Route of the calls.
    pub route: RouteName,
    /// Band of offered load: base-2 logarithm of calls per second and slot, shifted to start at 0.
    pub band: u8,
}

/// Counters of completed calls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Counts {
    /// Calls answered with a status below 400.
    pub ok: u64,
    /// Calls that failed, broke off or timed out.
    pub failed: u64,
    /// Calls answered with a status of 400 to 499.
    pub rejected: u64,
    /// Calls that the upstream refused because of load.
    pub shed: u64,
    /// Latency of the `ok` calls and of those that timed out.
    pub latency: Histogram,
}

/// Counters of one bucket of callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct CallerCounts {
    /// Completed calls, without shed ones.
    pub calls: u64,
    /// Failed or rejected calls among `calls`.
    pub bad: u64,
}

/// All counters of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Totals {
    /// Counters by route and offered load, without calls to a cold upstream.
    pub cells: BTreeMap<Cell, Counts>,
    /// Counters by bucket of callers, without calls to a cold upstream.
    pub callers: [CallerCounts; CALLER_BUCKETS],
    /// Calls that completed while the upstream was cold.
    pub cold: u64,
    /// Number of upstream crashes.
    pub crashes: u64,
}

impl Counts {
    /// Counts one call outcome. A cancelled call says nothing about the version and is not counted.
    pub fn record(&mut self, outcome: &CallOutcome) {
        match outcome.kind {
            OutcomeKind::Ok => self.ok += 1,
            OutcomeKind::Rejected => self.rejected += 1,
            OutcomeKind::Failed | OutcomeKind::Broken | OutcomeKind::TimedOut => self.failed += 1,
            OutcomeKind::Shed => self.shed += 1,
            OutcomeKind::Cancelled => {}
        }
        if matches!(outcome.kind, OutcomeKind::Ok | OutcomeKind::TimedOut) {
            self.latency.record(outcome.latency);
        }
    }

    /// Returns the number of calls that ran: all but the shed ones.
    pub fn answered(&self) -> u64 {
        self.ok + self.failed + self.rejected
    }

    /// Returns the counts added since `earlier`.
    fn since(&self, earlier: &Counts) -> Counts {
        Counts {
            ok: self.ok.saturating_sub(earlier.ok),
            failed: self.failed.saturating_sub(earlier.failed),
            rejected: self.rejected.saturating_sub(earlier.rejected),
            shed: self.shed.saturating_sub(earlier.shed),
            latency: self.latency.since(&earlier.latency),
        }
    }

    /// Adds the counters of `other` to these.
    pub fn add_all(&mut self, other: &Counts) {
        self.ok = self.ok.saturating_add(other.ok);
        self.failed = self.failed.saturating_add(other.failed);
        self.rejected = self.rejected.saturating_add(other.rejected);
        self.shed = self.shed.saturating_add(other.shed);
        self.latency.add_all(&other.latency);
    }
}

impl CallerCounts {
    /// Counts one call outcome; cancelled and shed calls are not counted.
    pub fn record(&mut self, kind: OutcomeKind) {
        match kind {
            OutcomeKind::Cancelled | OutcomeKind::Shed => {}
            OutcomeKind::Ok => self.calls += 1,
            OutcomeKind::Rejected
            | OutcomeKind::Failed
            | OutcomeKind::Broken
            | OutcomeKind::TimedOut => {
                self.calls += 1;
                self.bad += 1;
            }
        }
    }
}

impl Totals {
    /// Returns the counts added since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Totals) -> Totals {
        let mut since = self.clone();
        for (cell, counts) in &mut since.cells {
            if let Some(before) = earlier.cells.get(cell) {
                *counts = counts.since(before);
            }
        }
        for (now, before) in since.callers.iter_mut().zip(&earlier.callers) {
            now.calls = now.calls.saturating_sub(before.calls);
            now.bad = now.bad.saturating_sub(before.bad);
        }
        since.cold = since.cold.saturating_sub(earlier.cold);
        since.crashes = since.crashes.saturating_sub(earlier.crashes);
        since
    }

    /// Adds the counters of `other` to these.
    pub fn add_all(&mut self, other: &Totals) {
        for (cell, counts) in &other.cells {
            self.cells.entry(cell.clone()).or_default().add_all(counts);
        }
        for (sum, part) in self.callers.iter_mut().zip(&other.callers) {
            sum.calls = sum.calls.saturating_add(part.calls);
            sum.bad = sum.bad.saturating_add(part.bad);
        }
        self.cold = self.cold.saturating_add(other.cold);
        self.crashes = self.crashes.saturating_add(other.crashes);
    }

    /// Returns the number of calls that ran, without cold ones.
    pub fn answered(&self) -> u64 {
        self.cells.values().map(Counts::answered).sum()
    }

    /// Returns the number of failed calls, without cold ones.
    pub fn failed(&self) -> u64 {
        self.cells.values().map(|counts| counts.failed).sum()
    }

    /// Returns the number of rejected calls, without cold ones.
    pub fn rejected(&self) -> u64 {
        self.cells.values().map(|counts| counts.rejected).sum()
    }
}
