//! Emulated nodes of `measure moves`: the product's state machines for one move, and the calls that
//! run on the node's upstream.

use super::upstream::Call;
use sycamore_moves::control::{Action, ControlOptions, Input, Moment, MoveControl, Peer};
use sycamore_moves::evidence::{Collector, CollectorOptions, Report};
use sycamore_moves::plan::MoveRow;
use sycamore_types::prelude::*;

/// Time between two evidence reports of a node, in milliseconds.
pub const REPORT_MS: u64 = 250;
/// Time between two ticks of a node's move control, in milliseconds.
pub const TICK_MS: u64 = 200;
/// Time without new evidence after which a node repeats its last report as a heartbeat, in
/// milliseconds.
const HEARTBEAT_MS: u64 = 1_500;
/// Time constant of the exponential decay of an instance's load, in milliseconds.
const LOAD_MS: f64 = 1_000.0;

/// Call in progress on an emulated upstream.
#[derive(Debug, Clone)]
pub struct Running {
    /// Time at which the call ends, in milliseconds.
    pub ends_ms: u64,
    /// Outcome that the node records at the end.
    pub outcome: CallOutcome,
    /// Whether the call ends by a crash of the upstream.
    pub crash: bool,
}

/// Emulated node with its upstream.
pub struct Node {
    /// Member record that other nodes know the node by.
    pub member: Member,
    /// Whether the upstream runs the new version.
    pub is_new: bool,
    /// Time until which the upstream is down, in milliseconds; 0 before its first crash.
    pub upstream_down_until_ms: u64,
    /// Time until which the node process is down, in milliseconds; 0 for a node that was not
    /// killed.
    pub node_down_until_ms: u64,
    /// The product's control of the move on this node.
    pub control: MoveControl,
    /// Calls in progress on the upstream.
    pub running: Vec<Running>,
    collector: Collector,
    last_report_ms: u64,
    /// Recent load of the instance in calls a second, which decays exponentially; as of `load_at_ms`.
    load: f64,
    load_at_ms: u64,
}

/// Returns a moment at which the monotonic and the wall clock both read `ms`.
pub fn moment(ms: u64) -> Moment {
    Moment { time: Time::from_millis(ms), wall: WallTime(ms) }
}

impl Node {
    /// Creates a node that starts at `ms` and knows the move `row` at revision 1.
    pub fn new(member: Member, is_new: bool, row: &MoveRow, ms: u64) -> Self {
        let time = Time::from_millis(ms);
        let options = ControlOptions::default();
        let control = MoveControl::new(member.instance.clone(), row.clone(), 1, options, time);
        let collector =
            Collector::new(row.spec.mv.clone(), &member, CollectorOptions::default(), time);
        Self {
            member,
            is_new,
            upstream_down_until_ms: 0,
            node_down_until_ms: 0,
            control,
            running: Vec::new(),
            collector,
            last_report_ms: 0,
            load: 0.0,
            load_at_ms: ms,
        }
    }

    /// Restarts the node with `ms` as its new incarnation; everything in memory is lost.
    pub fn restart(&mut self, row: &MoveRow, ms: u64) {
        let member = Member { incarnation: Incarnation(ms), ..self.member.clone() };
        *self = Self::new(member, self.is_new, row, ms);
    }

    /// Returns whether both the node process and its upstream are up at `ms`.
    pub fn is_up(&self, ms: u64) -> bool {
        ms >= self.upstream_down_until_ms && ms >= self.node_down_until_ms
    }

    /// Returns the peer description that other nodes' controls get.
    pub fn peer(&self) -> Peer {
        Peer {
            instance: self.member.instance.clone(),
            incarnation: self.member.incarnation,
            version: self.member.version.clone(),
            region: self.member.region.clone(),
        }
    }

    /// Adds `call` to the instance's load and returns the load before it, in calls a second.
    pub fn count_load(&mut self, call: &Call) -> f64 {
        let passed = call.at_ms.saturating_sub(self.load_at_ms) as f64;
        self.load *= (-passed / LOAD_MS).exp();
        self.load_at_ms = call.at_ms;
        let load = self.load;
        self.load += 1_000.0 / LOAD_MS;
        load
    }

    /// Ends the calls that are due at `ms`, records their outcomes as evidence and returns them.
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

    /// Crashes the upstream: returns `outcome` and those of all calls in progress as broken.
    fn crash(&mut self, ms: u64, outcome: CallOutcome) -> Vec<CallOutcome> {
        self.collector.record_crash();
        self.upstream_down_until_ms = ms + super::upstream::DOWN_MS;
        let running = std::mem::take(&mut self.running).into_iter().map(|call| call.outcome);
        std::iter::once(outcome)
            .chain(running)
            .map(|outcome| CallOutcome { kind: OutcomeKind::Broken, ..outcome })
            .collect()
    }

    /// Returns the evidence report that is due at `ms`: new evidence, or a heartbeat after
    /// [`HEARTBEAT_MS`].
    pub fn report(&mut self, ms: u64) -> Option<Report> {
        let time = Time::from_millis(ms);
        let report = match self.collector.report(time, self.control.confirmed()) {
            Some(report) => report,
            None if ms.saturating_sub(self.last_report_ms) >= HEARTBEAT_MS => {
                self.collector.repeat()
            }
            None => return None,
        };
        self.last_report_ms = ms;
        Some(report)
    }

    /// Passes `input` to the move control and returns the actions it asks for.
    pub fn step(&mut self, ms: u64, input: Input) -> Vec<Action> {
        self.control.step(moment(ms), input)
    }

    /// Returns whether the node refuses calls as not run because its version was taken back.
    pub fn refuses(&self) -> bool {
        self.is_new && self.control.is_withdrawn()
    }
}
