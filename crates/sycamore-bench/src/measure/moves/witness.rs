//! An observer that sees every outcome at once: it tells when the evidence sufficed.

use std::collections::BTreeMap;
use sycamore_moves::evidence::{Collector, CollectorOptions, Ledger};
use sycamore_moves::verdict::{VerdictOptions, VerdictTests};
use sycamore_types::prelude::*;

/// Time between two looks, in milliseconds; the nodes look every 200.
pub const LOOK_MS: u64 = 100;

/// Judges with every outcome at hand, by the same rules as the nodes.
pub struct Witness {
    collectors: BTreeMap<InstanceId, Collector>,
    ledger: Ledger,
    judge: VerdictTests,
    from: UpstreamVersion,
    to: UpstreamVersion,
    /// When the evidence sufficed, in milliseconds.
    pub sufficed_ms: Option<u64>,
}

impl Witness {
    /// An observer of the instances `members`.
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
        let judge = VerdictTests::new(VerdictOptions::default(), Time(0));
        Self { collectors, ledger: Ledger::default(), judge, from, to, sufficed_ms: None }
    }

    /// Sees an outcome.
    pub fn record(&mut self, ms: u64, instance: &InstanceId, outcome: &CallOutcome, crash: bool) {
        if let Some(collector) = self.collectors.get_mut(instance) {
            collector.record(Time::from_millis(ms), outcome);
            if crash {
                collector.record_crash();
            }
        }
    }

    /// A step of the schedule was cleared.
    pub fn open_step(&mut self, ms: u64) {
        self.judge.open_step(Time::from_millis(ms));
    }

    /// Judges what it has seen.
    pub fn look(&mut self, ms: u64) {
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
        if self.judge.evaluate(time, new, old).is_some() {
            self.sufficed_ms = Some(ms);
        }
    }
}
