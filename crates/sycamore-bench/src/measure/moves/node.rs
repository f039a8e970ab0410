//! An emulated node: the product's state machines for one move, and what it keeps of its calls.

use super::upstream::Call;
use sycamore_moves::control::{Action, ControlOptions, Input, Moment, MoveControl, Peer};
use sycamore_moves::evidence::{Collector, CollectorOptions, Report};
use sycamore_moves::plan::MoveRow;
use sycamore_types::prelude::*;

/// Time between two reports of a node, in milliseconds.
pub const REPORT_MS: u64 = 250;
/// Time between two ticks of a node's control, in milliseconds.
pub const TICK_MS: u64 = 200;
/// Time after which a report is repeated as a sign of life, in milliseconds.
const REPEAT_MS: u64 = 1_500;
/// Time over which an instance's load is measured, in milliseconds.
const LOAD_MS: f64 = 1_000.0;

/// A call that runs.
#[derive(Debug, Clone)]
pub struct Running {
    /// When it ends, in milliseconds.
    pub ends_ms: u64,
    /// What it reports then.
    pub outcome: CallOutcome,
    /// Its end is a crash of the upstream.
    pub crash: bool,
}

/// One node, with its upstream.
pub struct Node {
    /// Its member.
    pub member: Member,
    /// Whether its upstream is of the new version.
    pub is_new: bool,
    /// The upstream is down until then, in milliseconds.
    pub down_until_ms: u64,
    /// The node process is down until then, in milliseconds.
    pub dead_until_ms: u64,
    /// Its control.
    pub control: MoveControl,
    /// Calls that run.
    pub running: Vec<Running>,
    collector: Collector,
    last_report_ms: u64,
    load: f64,
    load_at_ms: u64,
}

/// Both clocks at `ms`.
pub fn moment(ms: u64) -> Moment {
    Moment { time: Time::from_millis(ms), wall: WallTime(ms) }
}

impl Node {
    /// A node that starts at `ms`.
    pub fn new(member: Member, is_new: bool, row: &MoveRow, ms: u64) -> Self {
        let time = Time::from_millis(ms);
        let options = ControlOptions::default();
        let control = MoveControl::new(member.instance.clone(), row.clone(), 1, options, time);
        let collector =
            Collector::new(row.spec.mv.clone(), &member, CollectorOptions::default(), time);
        Self {
            member,
            is_new,
            down_until_ms: 0,
            dead_until_ms: 0,
            control,
            running: Vec::new(),
            collector,
            last_report_ms: 0,
            load: 0.0,
            load_at_ms: ms,
        }
    }

    /// Starts again as a new generation; everything in memory is lost.
    pub fn restart(&mut self, row: &MoveRow, ms: u64) {
        let member = Member { incarnation: Incarnation(ms), ..self.member.clone() };
        *self = Self::new(member, self.is_new, row, ms);
    }

    /// Whether it can take a call.
    pub fn is_up(&self, ms: u64) -> bool {
        ms >= self.down_until_ms && ms >= self.dead_until_ms
    }

    /// What other nodes know of it.
    pub fn peer(&self) -> Peer {
        Peer {
            instance: self.member.instance.clone(),
            incarnation: self.member.incarnation,
            version: self.member.version.clone(),
            region: self.member.region.clone(),
        }
    }

    /// Counts a call towards the instance's load; the load before it, in calls a second.
    pub fn count_load(&mut self, call: &Call) -> f64 {
        let passed = call.at_ms.saturating_sub(self.load_at_ms) as f64;
        self.load *= (-passed / LOAD_MS).exp();
        self.load_at_ms = call.at_ms;
        let load = self.load;
        self.load += 1_000.0 / LOAD_MS;
        load
    }

    /// Ends the calls that are due. Gives the outcomes that the node saw.
    pub fn finish(&mut self, ms: u64) -> Vec<CallOutcome> {
        let mut outcomes = Vec::new();
        while let Some(due) = self.running.iter().position(|call| call.ends_ms <= ms) {
            let call = self.running.swap_remove(due);
            if call.crash {
                outcomes.extend(self.crash(ms, call.outcome));
            } else {
                outcomes.push(call.outcome);
            }
        }
        for outcome in &outcomes {
            self.collector.record(Time::from_millis(ms), outcome);
        }
        outcomes
    }

    /// The upstream crashes: every call that runs on it breaks.
    fn crash(&mut self, ms: u64, outcome: CallOutcome) -> Vec<CallOutcome> {
        self.collector.record_crash();
        self.down_until_ms = ms + super::upstream::DOWN_MS;
        let running = std::mem::take(&mut self.running).into_iter().map(|call| call.outcome);
        std::iter::once(outcome)
            .chain(running)
            .map(|outcome| CallOutcome { kind: OutcomeKind::Broken, ..outcome })
            .collect()
    }

    /// The report that is due, if any.
    pub fn report(&mut self, ms: u64) -> Option<Report> {
        let time = Time::from_millis(ms);
        let report = match self.collector.report(time, self.control.confirmed()) {
            Some(report) => report,
            None if ms.saturating_sub(self.last_report_ms) >= REPEAT_MS => self.collector.repeat(),
            None => return None,
        };
        self.last_report_ms = ms;
        Some(report)
    }

    /// Feeds the control.
    pub fn step(&mut self, ms: u64, input: Input) -> Vec<Action> {
        self.control.step(moment(ms), input)
    }

    /// Whether it refuses calls as not run, because the version has lost its traffic.
    pub fn refuses(&self) -> bool {
        self.is_new && self.control.is_withdrawn()
    }
}
