//! Merging of reports: of each process, the one with the highest sequence number is kept.

use super::{Report, Totals, MAX_CELLS};
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Process that a report came from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// Instance that the process runs as.
    pub instance: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Newest report of each process. Merging is associative, commutative and idempotent, as long as
/// the limits are not reached.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    reports: BTreeMap<Source, Report>,
    /// Number of cells in all reports.
    cells: usize,
}

/// Counters of each process that are excluded from sums.
pub type Baselines = BTreeMap<Source, Totals>;

/// Maximum number of processes whose reports are kept, as many as membership holds members; reports
/// of further ones are dropped.
const MAX_SOURCES: usize = 4_096;
/// Maximum number of cells in all kept reports, which bounds the memory: those of 256 reports with
/// as many cells as a report may have.
const MAX_TOTAL_CELLS: usize = 256 * MAX_CELLS;

/// Result of merging a report into a [`Ledger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Merged {
    /// The known report of the process is as new.
    Known,
    /// The report was kept with all of its cells.
    Kept,
    /// The report was kept without the cells that the known report of the process lacks, as there
    /// is no room for them.
    KeptInPart,
    /// The report was dropped, as there is no room for a further process.
    Dropped,
}

impl Ledger {
    /// Merges a report.
    pub fn merge(&mut self, mut report: Report) -> Merged {
        let source = Source { instance: report.instance.clone(), incarnation: report.incarnation };
        let known = self.reports.get(&source);
        match known {
            Some(known) if known.seq >= report.seq => return Merged::Known,
            None if self.reports.len() >= MAX_SOURCES => return Merged::Dropped,
            _ => {}
        }
        let known_cells = known.map(|known| &known.totals.cells);
        let others = self.cells - known_cells.map_or(0, BTreeMap::len);
        let cells = &mut report.totals.cells;
        let is_whole = others + cells.len() <= MAX_TOTAL_CELLS;
        if !is_whole {
            cells.retain(|cell, _| known_cells.is_some_and(|known| known.contains_key(cell)));
        }
        self.cells = others + cells.len();
        self.reports.insert(source, report);
        if is_whole {
            Merged::Kept
        } else {
            Merged::KeptInPart
        }
    }

    /// Merges all reports of `other`.
    pub fn merge_all(&mut self, other: &Ledger) {
        for report in other.reports.values() {
            self.merge(report.clone());
        }
    }

    /// Sums what the processes of `version` counted beyond `baselines`.
    pub fn totals_since(&self, version: &UpstreamVersion, baselines: &Baselines) -> Totals {
        let mut totals = Totals::default();
        for (source, report) in &self.reports {
            match baselines.get(source) {
                _ if report.version != *version => {}
                None => totals.add_all(&report.totals),
                Some(baseline) => totals.add_all(&report.totals.since(baseline)),
            }
        }
        totals
    }

    /// Sums the counters of all processes of `version`.
    pub fn totals(&self, version: &UpstreamVersion) -> Totals {
        let mut totals = Totals::default();
        for report in self.reports.values().filter(|report| report.version == *version) {
            totals.add_all(&report.totals);
        }
        totals
    }

    /// Returns the newest report of the process `source`.
    pub fn report(&self, source: &Source) -> Option<&Report> {
        self.reports.get(source)
    }

    /// Returns the newest report of the process that membership knows as `member` or under a later
    /// incarnation.
    pub fn report_of(&self, member: &Source) -> Option<&Report> {
        let first = Source { instance: member.instance.clone(), incarnation: Incarnation(0) };
        let last = Source { incarnation: Incarnation(u64::MAX), ..first.clone() };
        let of_instance = self.reports.range(first..=last).rev().map(|(_, report)| report);
        of_instance.into_iter().find(|report| report.generation >= member.incarnation)
    }

    /// Returns the newest report of each process.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }
}
