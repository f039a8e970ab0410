//! Observer that sees every outcome without delay, to find when the evidence against a version
//! sufficed.

use std::collections::BTreeMap;
use sycamore_moves::evidence::{Collector, CollectorOptions, Ledger};
use sycamore_moves::verdict::{VerdictOptions, VerdictTests};
use sycamore_types::prelude::*;

/// Time between two verdicts of the observer, in milliseconds; the nodes reach theirs every 200 ms.
pub const VERDICT_INTERVAL_MS: u64 = 100;

/// Observer with all outcomes at hand that applies the same verdict rules as the nodes.
pub struct Observer {
    collectors: BTreeMap<InstanceId, Collector>,
    ledger: Ledger,
    tests: VerdictTests,
    from: UpstreamVersion,
    to: UpstreamVersion,
    /// Time of the first verdict, in milliseconds; `None` before it.
    pub sufficed_ms: Option<u64>,
}

impl Observer {
    /// Creates an observer of the instances `members` for a move between the versions `from` and
    /// `to`.
    pub fn new<'a>(
        mv: &MoveId,
        members: impl Iterator<Item = &'a Member>,
        (from, to): (UpstreamVersion, UpstreamVersion),
    ) -> Self {
        let collector = |member: &Member| {
            Collector::new(mv.clone(), member, CollectorOptions::default(), Time(0))
        };
        let collectors =
            members.map(|member| (member.instance.clone(), collector(member))).collect();
        let tests = VerdictTests::new(VerdictOptions::default(), Time(0));
        Self { collectors, ledger: Ledger::default(), tests, from, to, sufficed_ms: None }
    }

    /// Records the outcome of a call on `instance`, and the upstream's crash if there was one.
    pub fn record(&mut self, ms: u64, instance: &InstanceId, outcome: &CallOutcome, crash: bool) {
        if let Some(collector) = self.collectors.get_mut(instance) {
            collector.record(Time::from_millis(ms), outcome);
            if crash {
                collector.record_crash();
            }
        }
    }

    /// Starts the evidence of a new step of the schedule.
    pub fn open_step(&mut self, ms: u64) {
        self.tests.open_step(Time::from_millis(ms));
    }

    /// Evaluates the recorded evidence, until a verdict is reached.
    pub fn evaluate(&mut self, ms: u64) {
        if self.sufficed_ms.is_some() {
            return;
        }
        let time = Time::from_millis(ms);
        for collector in self.collectors.values_mut() {
            if let Some(report) = collector.report(time, false) {
                self.ledger.merge(report);
            }
        }
        let (new, old) = (self.ledger.totals(&self.to), self.ledger.totals(&self.from));
        if self.tests.evaluate(time, new, old).is_some() {
            self.sufficed_ms = Some(ms);
        }
    }
}
