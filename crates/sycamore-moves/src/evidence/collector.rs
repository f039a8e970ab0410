//! Gathers the outcomes beside one upstream into a report.

use super::{Cell, Report, Totals, CALLER_BUCKETS, MAX_CELLS};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Offered load of band 0 ends here, in calls a second and slot; each band doubles it.
const BAND_BASE: f64 = 0.125;
/// Highest band.
const MAX_BAND: u8 = 15;

/// How a collector works.
#[derive(Debug, Clone)]
pub struct CollectorOptions {
    /// The offered load is measured over periods of this length.
    pub period: Duration,
    /// Outcomes held until their period ends; further ones are counted at the last known load.
    pub max_pending: usize,
}

impl Default for CollectorOptions {
    fn default() -> Self {
        Self { period: Duration::from_millis(500), max_pending: 4_096 }
    }
}

/// Counters of one process for one move.
#[derive(Debug, Clone)]
pub struct Collector {
    report: Report,
    slots: u16,
    options: CollectorOptions,
    period_start: Time,
    period_calls: u32,
    band: u8,
    pending: Vec<CallOutcome>,
    broken: BrokenRun,
    changed: bool,
}

/// A crash breaks every call in flight at once. One such burst says no more than one failure, so
/// only the first broken call of a period counts, until breaks go on for several periods.
#[derive(Debug, Clone, Default)]
struct BrokenRun {
    in_period: bool,
    periods: u8,
}

/// Periods in a row with broken calls after which each broken call counts.
const BROKEN_PERIODS: u8 = 2;

impl BrokenRun {
    fn counts(&mut self) -> bool {
        let first = !std::mem::replace(&mut self.in_period, true);
        first || self.periods >= BROKEN_PERIODS
    }

    fn roll(&mut self) {
        let broken = std::mem::take(&mut self.in_period);
        self.periods = if broken { self.periods.saturating_add(1) } else { 0 };
    }
}

impl Collector {
    /// A collector for the upstream beside node `instance` with `slots` slots.
    pub fn new(mv: MoveId, member: &Member, options: CollectorOptions, now: Time) -> Self {
        let report = Report {
            mv,
            instance: member.instance.clone(),
            incarnation: member.incarnation,
            generation: member.incarnation,
            seq: 0,
            version: member.version.clone(),
            confirmed: false,
            totals: Totals::default(),
        };
        Self {
            report,
            slots: member.slots.max(1),
            options,
            period_start: now,
            period_calls: 0,
            band: 0,
            pending: Vec::new(),
            broken: BrokenRun::default(),
            changed: true,
        }
    }

    /// Counts an outcome of a call that ran beside this node.
    pub fn record(&mut self, now: Time, outcome: &CallOutcome) {
        self.roll(now);
        self.period_calls = self.period_calls.saturating_add(1);
        let counts = match outcome.kind {
            OutcomeKind::Cancelled => false,
            OutcomeKind::Broken => self.broken.counts(),
            _ => true,
        };
        if !counts {
            return;
        }
        self.changed = true;
        if outcome.cold {
            self.report.totals.cold += 1;
            return;
        }
        // The conversion only picks a bucket; the remainder fits.
        let bucket = (outcome.caller % CALLER_BUCKETS as u64) as usize;
        self.report.totals.callers[bucket].record(outcome.kind);
        if self.pending.len() < self.options.max_pending {
            self.pending.push(outcome.clone());
        } else {
            self.count(outcome);
        }
    }

    /// Counts a crash of the upstream.
    pub fn record_crash(&mut self) {
        self.report.totals.crashes += 1;
        self.changed = true;
    }

    /// Takes note that membership knows the process by `generation` now.
    pub fn update_generation(&mut self, generation: Incarnation) {
        if generation > self.report.generation {
            self.report.generation = generation;
            self.changed = true;
        }
    }

    /// The report to send at `now`; `None` where nothing changed since the last one.
    pub fn report(&mut self, now: Time, confirmed: bool) -> Option<Report> {
        self.roll(now);
        self.flush();
        if self.report.confirmed != confirmed {
            self.report.confirmed = confirmed;
            self.changed = true;
        }
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        self.report.seq += 1;
        Some(self.report.clone())
    }

    /// The last report again, with a new sequence number, as a sign of life.
    pub fn repeat(&mut self) -> Report {
        self.report.seq += 1;
        self.report.clone()
    }

    fn roll(&mut self, now: Time) {
        let passed = now.since(self.period_start);
        if passed < self.options.period {
            return;
        }
        self.band =
            band(f64::from(self.period_calls) / passed.as_secs_f64() / f64::from(self.slots));
        self.flush();
        self.broken.roll();
        self.period_start = now;
        self.period_calls = 0;
    }

    fn flush(&mut self) {
        for outcome in std::mem::take(&mut self.pending) {
            self.count(&outcome);
        }
    }

    fn count(&mut self, outcome: &CallOutcome) {
        let cell = Cell { route: outcome.route.clone(), band: self.band };
        let cells = &mut self.report.totals.cells;
        if cells.len() < MAX_CELLS || cells.contains_key(&cell) {
            cells.entry(cell).or_default().record(outcome);
        }
    }
}

fn band(calls_per_slot: f64) -> u8 {
    if calls_per_slot <= BAND_BASE {
        return 0;
    }
    // Clamped to the bands that exist, so the conversion is exact.
    (calls_per_slot / BAND_BASE).log2().ceil().min(f64::from(MAX_BAND)) as u8
}
