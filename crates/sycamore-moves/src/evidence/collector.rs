//! Counting of the call outcomes of one upstream into a report.

use super::{Cell, Report, Totals, CALLER_BUCKETS, MAX_CELLS};
use std::time::Duration;
use sycamore_types::prelude::*;

/// Upper bound of load band 0, in calls per second and slot; each further band doubles it.
const BAND_BASE: f64 = 0.125;
/// Highest load band.
const MAX_BAND: u8 = 15;

/// Limits of a [`Collector`].
#[derive(Debug, Clone)]
pub struct CollectorOptions {
    /// Length of the periods over which the offered load is measured.
    pub period: Duration,
    /// Maximum number of outcomes held until their period ends; further ones are counted at the
    /// last known load.
    pub max_pending: usize,
}

impl Default for CollectorOptions {
    fn default() -> Self {
        Self { period: Duration::from_millis(500), max_pending: 4_096 }
    }
}

/// Counts call outcomes of one process for one move, and builds its reports.
#[derive(Debug, Clone)]
pub struct Collector {
    report: Report,
    slots: u16,
    options: CollectorOptions,
    period_start: Time,
    period_calls: u32,
    band: u8,
    /// Outcomes of the current period, whose load band is not known yet.
    pending: Vec<CallOutcome>,
    broken: BrokenCalls,
    /// Number of outcomes that were counted by caller only, as there was no cell left for them.
    without_cell: u64,
    /// Whether anything changed since the last report.
    changed: bool,
}

/// Decides which broken calls count as failures. A crash breaks all calls in flight at once, and
/// such a burst is evidence of one failure only. So only the first broken call of a period counts,
/// until calls have been breaking for several periods in a row.
#[derive(Debug, Clone, Default)]
struct BrokenCalls {
    in_period: bool,
    periods: u8,
}

/// Number of consecutive periods with broken calls after which every broken call counts.
const BROKEN_PERIODS: u8 = 2;

impl BrokenCalls {
    /// Notes a broken call; returns whether it counts as a failure.
    fn record(&mut self) -> bool {
        let first = !std::mem::replace(&mut self.in_period, true);
        first || self.periods >= BROKEN_PERIODS
    }

    fn end_period(&mut self) {
        let broken = std::mem::take(&mut self.in_period);
        self.periods = if broken { self.periods.saturating_add(1) } else { 0 };
    }
}

impl Collector {
    /// Creates a collector for the upstream of `member` in the move `mv`.
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
            broken: BrokenCalls::default(),
            without_cell: 0,
            changed: true,
        }
    }

    /// Counts the outcome of a call to this node's upstream.
    pub fn record(&mut self, now: Time, outcome: &CallOutcome) {
        self.end_period_if_due(now);
        self.period_calls = self.period_calls.saturating_add(1);
        let counts = match outcome.kind {
            OutcomeKind::Cancelled => false,
            OutcomeKind::Broken => self.broken.record(),
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
        // The remainder is below CALLER_BUCKETS, so the conversion is exact.
        let bucket = (outcome.caller % CALLER_BUCKETS as u64) as usize;
        self.report.totals.callers[bucket].record(outcome.kind);
        if self.pending.len() < self.options.max_pending {
            self.pending.push(outcome.clone());
        } else {
            self.count_in_cell(outcome);
        }
    }

    /// Counts a crash of the upstream.
    pub fn record_crash(&mut self) {
        self.report.totals.crashes += 1;
        self.changed = true;
    }

    /// Returns the number of outcomes that count by caller only, as their routes and loads exceed
    /// [`MAX_CELLS`].
    pub fn without_cell(&self) -> u64 {
        self.without_cell
    }

    /// Sets the incarnation under which membership knows the process; a lower one is ignored.
    pub fn update_generation(&mut self, generation: Incarnation) {
        if generation > self.report.generation {
            self.report.generation = generation;
            self.changed = true;
        }
    }

    /// Returns the report to send at `now`; `None` if nothing changed since the last one.
    /// `confirmed` says whether the node has confirmed the watch period.
    pub fn report(&mut self, now: Time, confirmed: bool) -> Option<Report> {
        self.end_period_if_due(now);
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

    /// Returns the last report with a new sequence number, to show that the process is alive.
    pub fn repeat(&mut self) -> Report {
        self.report.seq += 1;
        self.report.clone()
    }

    /// Ends the current period if its time has passed: its calls are counted at its load.
    fn end_period_if_due(&mut self, now: Time) {
        let passed = now.since(self.period_start);
        if passed < self.options.period {
            return;
        }
        self.band =
            band(f64::from(self.period_calls) / passed.as_secs_f64() / f64::from(self.slots));
        self.flush();
        self.broken.end_period();
        self.period_start = now;
        self.period_calls = 0;
    }

    /// Counts the pending outcomes in the cells of the last measured load band.
    fn flush(&mut self) {
        for outcome in std::mem::take(&mut self.pending) {
            self.count_in_cell(&outcome);
        }
    }

    fn count_in_cell(&mut self, outcome: &CallOutcome) {
        let cell = Cell { route: outcome.route.clone(), band: self.band };
        let cells = &mut self.report.totals.cells;
        if cells.len() < MAX_CELLS || cells.contains_key(&cell) {
            cells.entry(cell).or_default().record(outcome);
        } else {
            self.without_cell += 1;
        }
    }
}

/// Returns the load band of an offered load in calls per second and slot.
fn band(calls_per_slot: f64) -> u8 {
    if calls_per_slot <= BAND_BASE {
        return 0;
    }
    // The value is an integer of at most MAX_BAND, so the conversion is exact.
    (calls_per_slot / BAND_BASE).log2().ceil().min(f64::from(MAX_BAND)) as u8
}
