//! Samples for the verdict tests, computed from the counters of both versions.

use super::{Scope, Signal};
use crate::evidence::{Cell, Counts, Totals};
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Number of hits among a number of calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sample {
    /// Calls in the sample.
    pub calls: u64,
    /// Calls among them that show the tested [`Signal`].
    pub hits: u64,
}

/// Samples of both versions over the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pair {
    /// Sample of the new version.
    pub new: Sample,
    /// Sample of the old version.
    pub old: Sample,
}

impl Pair {
    pub(super) fn plus(self, other: Pair) -> Pair {
        Pair { new: self.new.plus(other.new), old: self.old.plus(other.old) }
    }
}

impl Sample {
    pub(super) fn minus(self, earlier: Sample) -> Sample {
        Sample {
            calls: self.calls.saturating_sub(earlier.calls),
            hits: self.hits.saturating_sub(earlier.hits),
        }
    }

    pub(super) fn plus(self, other: Sample) -> Sample {
        Sample { calls: self.calls + other.calls, hits: self.hits + other.hits }
    }
}

/// Latency buckets above which a call is slow, by route: the old version's 90th and 99th
/// percentile.
pub(super) type SlowThresholds = BTreeMap<RouteName, [usize; 2]>;

/// Number of latency buckets by which the new version may be slower: a factor of 1.4.
const SLOW_TOLERANCE_BUCKETS: usize = 2;
/// Number of the old version's calls on a route from which its percentiles are used.
const MIN_CALLS_FOR_THRESHOLD: u64 = 20;

/// Computes the thresholds of slow calls from all calls of the old version.
pub(super) fn slow_thresholds(old: &Totals) -> SlowThresholds {
    let mut routes: BTreeMap<RouteName, Counts> = BTreeMap::new();
    for (cell, counts) in &old.cells {
        routes.entry(cell.route.clone()).or_default().add_all(counts);
    }
    let thresholds = |(route, counts): (RouteName, Counts)| {
        let latency = counts.latency;
        let percentiles = [latency.quantile(0.9)?, latency.quantile(0.99)?];
        (latency.total() >= MIN_CALLS_FOR_THRESHOLD).then_some((route, percentiles))
    };
    routes.into_iter().filter_map(thresholds).collect()
}

/// Version that a sample is taken of; the new one is allowed to be slightly slower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    New,
    Old,
}

/// Samples of each test, by band of offered load.
pub(super) type SampleTable = BTreeMap<(Signal, Scope), BTreeMap<u8, Sample>>;

/// Computes the samples of all tests from the counters of one version.
pub(super) fn tabulate(totals: &Totals, side: Side, thresholds: &SlowThresholds) -> SampleTable {
    let mut table = SampleTable::new();
    for (cell, counts) in &totals.cells {
        let route = Scope::Route(cell.route.clone());
        for (signal, sample) in samples_of(counts) {
            add(&mut table, (signal, Scope::All), cell, sample);
            add(&mut table, (signal, route.clone()), cell, sample);
        }
        if let Some(thresholds) = thresholds.get(&cell.route) {
            let calls = counts.latency.total();
            for (signal, threshold) in [Signal::Slow90, Signal::Slow99].into_iter().zip(thresholds)
            {
                let tolerance = if side == Side::New { SLOW_TOLERANCE_BUCKETS } else { 0 };
                let hits = counts.latency.above(threshold + tolerance);
                add(&mut table, (signal, route.clone()), cell, Sample { calls, hits });
            }
        }
    }
    let groups = totals.callers.iter().enumerate().filter(|(_, counts)| counts.calls > 0);
    for (group, counts) in groups {
        let sample = Sample { calls: counts.calls, hits: counts.bad };
        // Bucket indexes are below CALLER_BUCKETS and fit.
        table.insert((Signal::Failed, Scope::Callers(group as u8)), BTreeMap::from([(0, sample)]));
    }
    let calls = totals.answered() + totals.crashes;
    let crashes = Sample { calls, hits: totals.crashes };
    table.insert((Signal::Crash, Scope::All), BTreeMap::from([(0, crashes)]));
    table
}

fn samples_of(counts: &Counts) -> [(Signal, Sample); 3] {
    let calls = counts.answered();
    [
        (Signal::Failed, Sample { calls, hits: counts.failed }),
        (Signal::Rejected, Sample { calls, hits: counts.rejected }),
        (Signal::Shed, Sample { calls: calls + counts.shed, hits: counts.shed }),
    ]
}

fn add(table: &mut SampleTable, key: (Signal, Scope), cell: &Cell, sample: Sample) {
    let sum = table.entry(key).or_default().entry(cell.band).or_default();
    *sum = sum.plus(sample);
}

/// Sums the samples of all bands.
pub(super) fn sum(bands: &BTreeMap<u8, Sample>) -> Sample {
    bands.values().fold(Sample::default(), |sum, sample| sum.plus(*sample))
}
