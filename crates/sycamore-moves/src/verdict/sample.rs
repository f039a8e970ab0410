//! Counts that the tests look at, taken from the counters of both versions.

use super::{Scope, Signal};
use crate::evidence::{Cell, Counts, Totals};
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Hits among calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sample {
    /// Calls.
    pub calls: u64,
    /// Those with the sign looked for.
    pub hits: u64,
}

/// Samples of both versions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pair {
    /// The new version.
    pub new: Sample,
    /// The old version.
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

/// For each route, the histogram buckets beyond which a call of the old version is slow: at its
/// 90th and its 99th percentile.
pub(super) type SlowCuts = BTreeMap<RouteName, [usize; 2]>;

/// Buckets that the new version may be slower by: a factor of 1.4.
const SLOW_SHIFT: usize = 2;
/// Calls of the old version that a percentile needs.
const MIN_CALLS_FOR_CUT: u64 = 20;

/// The cuts from everything that the old version did so far.
pub(super) fn slow_cuts(old: &Totals) -> SlowCuts {
    let mut routes: BTreeMap<RouteName, Counts> = BTreeMap::new();
    for (cell, counts) in &old.cells {
        routes.entry(cell.route.clone()).or_default().add_all(counts);
    }
    let cut = |(route, counts): (RouteName, Counts)| {
        let latency = counts.latency;
        let cuts = [latency.quantile(0.9)?, latency.quantile(0.99)?];
        (latency.total() >= MIN_CALLS_FOR_CUT).then_some((route, cuts))
    };
    routes.into_iter().filter_map(cut).collect()
}

/// Which version a sample is taken of; the new one may be a little slower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    New,
    Old,
}

/// Samples of every test, each by band of offered load.
pub(super) type Tabulated = BTreeMap<(Signal, Scope), BTreeMap<u8, Sample>>;

/// The samples of every test that the counters of one version allow.
pub(super) fn tabulate(totals: &Totals, side: Side, cuts: &SlowCuts) -> Tabulated {
    let mut table = Tabulated::new();
    for (cell, counts) in &totals.cells {
        let route = Scope::Route(cell.route.clone());
        for (signal, sample) in of_counts(counts) {
            add(&mut table, (signal, Scope::All), cell, sample);
            add(&mut table, (signal, route.clone()), cell, sample);
        }
        if let Some(cuts) = cuts.get(&cell.route) {
            let calls = counts.latency.total();
            for (signal, cut) in [Signal::Slow90, Signal::Slow99].into_iter().zip(cuts) {
                let shift = if side == Side::New { SLOW_SHIFT } else { 0 };
                let hits = counts.latency.above(cut + shift);
                add(&mut table, (signal, route.clone()), cell, Sample { calls, hits });
            }
        }
    }
    let groups = totals.callers.iter().enumerate().filter(|(_, counts)| counts.calls > 0);
    for (group, counts) in groups {
        let sample = Sample { calls: counts.calls, hits: counts.bad };
        // A group's number is below the number of groups, which fits.
        table.insert((Signal::Failed, Scope::Callers(group as u8)), BTreeMap::from([(0, sample)]));
    }
    let calls = totals.answered() + totals.crashes;
    let crashes = Sample { calls, hits: totals.crashes };
    table.insert((Signal::Crash, Scope::All), BTreeMap::from([(0, crashes)]));
    table
}

fn of_counts(counts: &Counts) -> [(Signal, Sample); 3] {
    let calls = counts.answered();
    [
        (Signal::Failed, Sample { calls, hits: counts.failed }),
        (Signal::Rejected, Sample { calls, hits: counts.rejected }),
        (Signal::Shed, Sample { calls: calls + counts.shed, hits: counts.shed }),
    ]
}

fn add(table: &mut Tabulated, key: (Signal, Scope), cell: &Cell, sample: Sample) {
    let sum = table.entry(key).or_default().entry(cell.band).or_default();
    *sum = sum.plus(sample);
}

/// Sum over all bands.
pub(super) fn sum(bands: &BTreeMap<u8, Sample>) -> Sample {
    bands.values().fold(Sample::default(), |sum, sample| sum.plus(*sample))
}
