//! Counts that the tests look at, taken from the counters of both versions.

use super::{Scope, Signal};
use crate::evidence::{Cell, Counts, Totals};
use std::collections::{BTreeMap, BTreeSet};
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

/// All tests that the counters allow.
pub(super) fn keys(new: &Totals, cuts: &SlowCuts) -> Vec<(Signal, Scope)> {
    let routes: BTreeSet<&RouteName> = new.cells.keys().map(|cell| &cell.route).collect();
    let mut keys = Vec::new();
    for signal in [Signal::Failed, Signal::Rejected, Signal::Shed] {
        keys.push((signal, Scope::All));
        keys.extend(routes.iter().map(|route| (signal, Scope::Route((*route).clone()))));
    }
    for route in routes.iter().filter(|route| cuts.contains_key(**route)) {
        keys.push((Signal::Slow90, Scope::Route((*route).clone())));
        keys.push((Signal::Slow99, Scope::Route((*route).clone())));
    }
    let groups = new.callers.iter().enumerate().filter(|(_, counts)| counts.calls > 0);
    // A group's number is below the number of groups, which fits.
    keys.extend(groups.map(|(group, _)| (Signal::Failed, Scope::Callers(group as u8))));
    keys.push((Signal::Crash, Scope::All));
    keys
}

/// The samples of one test by band of offered load.
pub(super) fn by_band(
    totals: &Totals,
    side: Side,
    signal: Signal,
    scope: &Scope,
    cuts: &SlowCuts,
) -> BTreeMap<u8, Sample> {
    let mut bands = BTreeMap::new();
    if let Scope::Callers(group) = scope {
        let counts = totals.callers[usize::from(*group)];
        bands.insert(0, Sample { calls: counts.calls, hits: counts.bad });
        return bands;
    }
    if signal == Signal::Crash {
        let calls = totals.answered() + totals.crashes;
        bands.insert(0, Sample { calls, hits: totals.crashes });
        return bands;
    }
    for (cell, counts) in totals.cells.iter().filter(|(cell, _)| is_in(scope, cell)) {
        let sample = sample(counts, side, signal, cuts.get(&cell.route));
        let sum: &mut Sample = bands.entry(cell.band).or_default();
        *sum = sum.plus(sample);
    }
    bands
}

fn is_in(scope: &Scope, cell: &Cell) -> bool {
    match scope {
        Scope::All => true,
        Scope::Route(route) => *route == cell.route,
        Scope::Callers(_) => false,
    }
}

fn sample(counts: &Counts, side: Side, signal: Signal, cuts: Option<&[usize; 2]>) -> Sample {
    let answered = counts.answered();
    let beyond = |cut: usize| {
        let shift = if side == Side::New { SLOW_SHIFT } else { 0 };
        Sample { calls: counts.latency.total(), hits: counts.latency.above(cut + shift) }
    };
    match (signal, cuts) {
        (Signal::Failed, _) => Sample { calls: answered, hits: counts.failed },
        (Signal::Rejected, _) => Sample { calls: answered, hits: counts.rejected },
        (Signal::Shed, _) => Sample { calls: answered + counts.shed, hits: counts.shed },
        (Signal::Slow90, Some(cuts)) => beyond(cuts[0]),
        (Signal::Slow99, Some(cuts)) => beyond(cuts[1]),
        (Signal::Slow90 | Signal::Slow99, None) | (Signal::Crash, _) => Sample::default(),
    }
}

/// Sum over all bands.
pub(super) fn sum(bands: &BTreeMap<u8, Sample>) -> Sample {
    bands.values().fold(Sample::default(), |sum, sample| sum.plus(*sample))
}
