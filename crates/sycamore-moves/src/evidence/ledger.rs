//! Merges reports: for each process the one with the highest sequence number.

use super::{Report, Totals};
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// The process that a report came from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source {
    /// Its instance.
    pub instance: InstanceId,
    /// Its generation.
    pub incarnation: Incarnation,
}

/// The newest report of each process. Merging is associative, commutative and idempotent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    reports: BTreeMap<Source, Report>,
}

/// Counters that each process had when it was first heard of.
pub type Baselines = BTreeMap<Source, Totals>;

/// Most processes whose reports are kept.
const MAX_SOURCES: usize = 256;

impl Ledger {
    /// Takes in a report; tells whether it said anything new.
    pub fn merge(&mut self, report: Report) -> bool {
        let source = Source { instance: report.instance.clone(), incarnation: report.incarnation };
        let known = self.reports.get(&source);
        let is_news = match known {
            Some(known) => known.seq < report.seq,
            None => self.reports.len() < MAX_SOURCES,
        };
        if is_news {
            self.reports.insert(source, report);
        }
        is_news
    }

    /// Takes in all reports of `other`.
    pub fn merge_all(&mut self, other: &Ledger) {
        for report in other.reports.values() {
            self.merge(report.clone());
        }
    }

    /// The sum of what the processes of `version` counted since `bases`.
    pub fn totals_since(&self, version: &UpstreamVersion, bases: &Baselines) -> Totals {
        let mut totals = Totals::default();
        for (source, report) in &self.reports {
            match bases.get(source) {
                _ if report.version != *version => {}
                None => totals.add_all(&report.totals),
                Some(base) => totals.add_all(&report.totals.since(base)),
            }
        }
        totals
    }

    /// The sum of the counters of `version`.
    pub fn totals(&self, version: &UpstreamVersion) -> Totals {
        let mut totals = Totals::default();
        for report in self.reports.values().filter(|report| report.version == *version) {
            totals.add_all(&report.totals);
        }
        totals
    }

    /// The newest report of the process `source`.
    pub fn report(&self, source: &Source) -> Option<&Report> {
        self.reports.get(source)
    }

    /// The newest report of the process that membership knows as `member`, or by a later generation.
    pub fn report_of(&self, member: &Source) -> Option<&Report> {
        let of_member = self.reports.values().filter(|report| {
            report.instance == member.instance && report.generation >= member.incarnation
        });
        of_member.max_by_key(|report| report.incarnation)
    }

    /// The newest report of each process.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }
}
