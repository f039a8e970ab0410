//! Merging of reports: of each process, the one with the highest sequence number is kept.

use super::{Report, Totals};
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

/// Newest report of each process. Merging is associative, commutative and idempotent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    reports: BTreeMap<Source, Report>,
}

/// Counters of each process that are excluded from sums.
pub type Baselines = BTreeMap<Source, Totals>;

/// Maximum number of processes whose reports are kept; reports of further ones are dropped.
const MAX_SOURCES: usize = 256;

impl Ledger {
    /// Merges a report; returns whether it was newer than the known one and was kept.
    pub fn merge(&mut self, report: Report) -> bool {
        let source = Source { instance: report.instance.clone(), incarnation: report.incarnation };
        let known = self.reports.get(&source);
        let is_newer = match known {
            Some(known) => known.seq < report.seq,
            None => self.reports.len() < MAX_SOURCES,
        };
        if is_newer {
            self.reports.insert(source, report);
        }
        is_newer
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
        let of_member = self.reports.values().filter(|report| {
            report.instance == member.instance && report.generation >= member.incarnation
        });
        of_member.max_by_key(|report| report.incarnation)
    }

    /// Returns the newest report of each process.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }
}
