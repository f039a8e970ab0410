//! One move on faked time: the product's state machines on emulated nodes, with traffic and faults.

mod traffic;

use super::baseline::Baseline;
use super::bus::Bus;
use super::node::{Node, REPORT_MS, TICK_MS};
use super::scenario::{Kind, Scenario};
use super::setup;
use super::table::{Answer, Table};
use super::witness::{Witness, LOOK_MS};
use super::{Faults, Policy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use sycamore_moves::control::{Action, Input};
use sycamore_moves::evidence::Report;
use sycamore_moves::plan::{Author, Change, MoveRow, Outcome, OutcomeKind as EndKind};
use sycamore_types::prelude::*;

/// Length of one round of the emulation, in milliseconds.
const ROUND_MS: u64 = 20;
/// Time that a trial goes on after the deadline, in milliseconds.
const AFTER_MS: u64 = 60_000;
/// Part of the messages that are lost, and that arrive twice.
const LOSS: f64 = 0.02;
/// Time that a killed node process is gone, in milliseconds.
const DEAD_MS: u64 = 1_500;
/// Time between two kills, in milliseconds.
const KILL_MS: u64 = 8_000;

enum Message {
    Report(usize, Box<Report>),
    Fact(usize, Fact),
    Row(usize, Box<MoveRow>, u64),
    Registry(usize),
    End { writer: usize, outcome: Outcome, based_on: u64, op: OpId },
}

/// What came of a trial.
#[derive(Debug, Clone)]
pub struct Trial {
    /// What was the matter.
    pub kind: Kind,
    /// An operator aborted it.
    pub aborted: bool,
    /// How it ended; `None` where that was not recorded by the end of the trial.
    pub outcome: Option<Outcome>,
    /// Whether it ended by its deadline.
    pub in_time: bool,
    /// Outcomes written to the table.
    pub outcomes_written: usize,
    /// Calls while the move was open.
    pub calls: u64,
    /// Calls that the new version got.
    pub calls_new: u64,
    /// Calls that the new version got later than a second after the evidence sufficed.
    pub after_evidence: u64,
    /// Calls that an instance of the new version admitted while its node held the verdict.
    pub after_verdict: u64,
    /// From the first sign of badness to the last call that the new version got, in milliseconds.
    pub withdraw_ms: Option<u64>,
}

impl Trial {
    /// Why a good version that nobody aborted was taken back, if it was.
    pub fn false_reason(&self) -> Option<&str> {
        let outcome = self.outcome.as_ref().filter(|_| !self.kind.is_bad() && !self.aborted)?;
        (outcome.kind == EndKind::TakenBack).then_some(outcome.reason.as_str())
    }
}

/// Runs one trial.
pub fn run(scenario: &Scenario, policy: Policy, faults: &Faults, seed: u64) -> Trial {
    let mut world = World::new(scenario, policy, faults, seed);
    let end = scenario.deadline_ms + AFTER_MS;
    while world.now < end && !world.is_over() {
        world.round();
    }
    world.trial()
}

struct World<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    faults: &'a Faults,
    rng: SmallRng,
    now: u64,
    nodes: Vec<Node>,
    bus: Bus<Message>,
    table: Table,
    facts: Vec<Fact>,
    witness: Option<Witness>,
    baseline: Baseline,
    abort_at: Option<u64>,
    crash_requests: usize,
    ops: u128,
    calls: u64,
    calls_new: u64,
    after_evidence: u64,
    after_verdict: u64,
    shown_ms: Option<u64>,
    last_new_ms: u64,
    owed: f64,
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, faults: &'a Faults, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let row = setup::row(scenario);
        let nodes = setup::nodes(scenario, &row);
        let out_until = if faults.platform_out { scenario.deadline_ms + 10_000 } else { 0 };
        let lost = if faults.lost_answer || faults.race { 0.3 } else { 0.0 };
        let abort_at = (faults.race && rng.random_bool(0.2))
            .then(|| rng.random_range(scenario.start_ms..scenario.deadline_ms));
        let members = nodes[..2 * scenario.instances].iter().map(|node| &node.member);
        let witness = scenario.kind.is_bad().then(|| {
            let versions = (row.spec.from.clone(), row.spec.to.clone());
            Witness::new(&row.spec.mv, members, versions)
        });
        Self {
            scenario,
            policy,
            faults,
            rng,
            now: 0,
            nodes,
            bus: Bus::default(),
            table: Table::new(row, out_until, lost),
            facts: Vec::new(),
            witness,
            baseline: Baseline::default(),
            abort_at,
            crash_requests: if scenario.kind == Kind::CrashRequest { 2 } else { 0 },
            ops: 0,
            calls: 0,
            calls_new: 0,
            after_evidence: 0,
            after_verdict: 0,
            shown_ms: None,
            last_new_ms: 0,
            owed: 0.0,
        }
    }

    fn is_over(&self) -> bool {
        let ended = match self.policy {
            Policy::Product => self.table.row().is_ended(),
            Policy::Baseline => {
                self.baseline.withdrawn_ms.is_some() || self.now >= self.scenario.deadline_ms
            }
        };
        // Nodes get some time to learn of the end.
        ended && self.now > self.last_new_ms + 3_000
            || self.now >= self.scenario.deadline_ms + AFTER_MS
    }

    fn round(&mut self) {
        self.now += ROUND_MS;
        self.traffic();
        self.finish();
        match self.policy {
            Policy::Baseline => self.baseline.look(self.now),
            Policy::Product => self.control(),
        }
        if self.now.is_multiple_of(LOOK_MS) {
            if let Some(witness) = &mut self.witness {
                witness.look(self.now);
            }
        }
    }

    fn control(&mut self) {
        self.kill();
        self.abort();
        while let Some(message) = self.bus.take(self.now) {
            self.deliver(message);
        }
        for index in 0..self.nodes.len() {
            self.tend(index);
        }
    }

    fn tend(&mut self, index: usize) {
        if self.now < self.nodes[index].dead_until_ms {
            return;
        }
        // Nodes don't act in step.
        let phase = (self.now + 40 * index as u64) / ROUND_MS;
        if phase.is_multiple_of(500 / ROUND_MS) {
            let input = setup::peers(&self.nodes[..2 * self.scenario.instances], self.now);
            self.feed(index, input);
        }
        if phase.is_multiple_of(REPORT_MS / ROUND_MS) {
            self.report(index);
        }
        if phase.is_multiple_of(TICK_MS / ROUND_MS) {
            self.feed(index, Input::Tick);
        }
    }

    fn report(&mut self, index: usize) {
        if index >= 2 * self.scenario.instances {
            return;
        }
        let Some(report) = self.nodes[index].report(self.now) else { return };
        let mergers: BTreeSet<InstanceId> =
            self.nodes[index].control.mergers().into_iter().cloned().collect();
        for to in 0..2 * self.scenario.instances {
            if !mergers.contains(&self.nodes[to].member.instance) {
                continue;
            }
            let report = Box::new(report.clone());
            if to == index {
                self.bus.send(self.now, Message::Report(to, report));
            } else {
                self.send(1..60, || Message::Report(to, report.clone()));
            }
        }
    }

    fn send(&mut self, delay: std::ops::Range<u64>, message: impl Fn() -> Message) {
        let copies = match self.rng.random::<f64>() {
            draw if draw < LOSS => 0,
            draw if draw < 2.0 * LOSS => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let at = self.now + self.rng.random_range(delay.clone());
            self.bus.send(at, message());
        }
    }

    fn feed(&mut self, index: usize, input: Input) {
        if self.now < self.nodes[index].dead_until_ms {
            return;
        }
        for action in self.nodes[index].step(self.now, input) {
            match action {
                Action::Raise(fact) => {
                    self.show_step(&fact);
                    self.spread(index, &fact);
                }
                Action::ReadRegistry => self.bus.send(self.now + 10, Message::Registry(index)),
                Action::End { outcome, revision } => {
                    self.ops += 1;
                    let at = self.now + self.rng.random_range(2..20);
                    let op = OpId(self.ops);
                    let end = Message::End { writer: index, outcome, based_on: revision, op };
                    self.bus.send(at, end);
                }
            }
        }
    }

    /// The observer starts its proof of a step when the nodes do.
    fn show_step(&mut self, fact: &Fact) {
        if let (Fact::Cleared { .. }, Some(witness)) = (fact, &mut self.witness) {
            witness.open_step(self.now);
        }
    }

    /// Spreads a fact; gossip makes up for losses.
    fn spread(&mut self, from: usize, fact: &Fact) {
        self.facts.push(fact.clone());
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let at = self.now + self.rng.random_range(5..400);
            self.bus.send(at, Message::Fact(to, fact.clone()));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(to, report) => self.feed(to, Input::Report(report)),
            Message::Fact(to, fact) => self.feed(to, Input::Fact(fact)),
            Message::Row(to, row, revision) => self.feed(to, Input::Row { row, revision }),
            Message::Registry(to) => {
                if self.table.read(self.now).is_some() {
                    let service = &self.nodes[..2 * self.scenario.instances];
                    let peers = service.iter().map(Node::peer).collect();
                    self.feed(to, Input::Registry(peers));
                }
            }
            Message::End { writer, outcome, based_on, op } => {
                self.end(writer, outcome, based_on, op);
            }
        }
    }

    fn end(&mut self, writer: usize, outcome: Outcome, based_on: u64, op: OpId) {
        let author = Author::Node(self.nodes[writer].member.instance.clone());
        let change = Change { author, op, at: WallTime(self.now) };
        let answer = self.table.write(self.now, outcome, based_on, change, &mut self.rng);
        let learnt = match answer {
            Answer::Row(row, revision) => Some((*row, revision)),
            // Read back; what stands is learnt in either case.
            Answer::Conflict | Answer::Lost => self.table.read(self.now),
            Answer::Out => None,
        };
        if let Some((row, revision)) = learnt {
            for to in 0..self.nodes.len() {
                let delay = if to == writer { 1 } else { self.rng.random_range(5..400) };
                let message = Message::Row(to, Box::new(row.clone()), revision);
                self.bus.send(self.now + delay, message);
            }
        }
    }

    /// Two operators abort the move at the same moment, each by a node of their own.
    fn abort(&mut self) {
        if self.abort_at.is_none_or(|at| self.now < at) {
            return;
        }
        self.abort_at = Some(u64::MAX);
        let row = self.table.row().clone();
        let fact = Fact::Aborted {
            by: row.spec.mv.clone(),
            service: row.spec.service.clone(),
            version: row.spec.to.clone(),
            at: Stamp { wall: WallTime(self.now), logical: 0 },
        };
        for index in [0, 1] {
            self.spread(index, &fact);
            self.feed(index, Input::Fact(fact.clone()));
        }
    }

    fn kill(&mut self) {
        if !self.faults.kill || self.now < self.scenario.start_ms {
            return;
        }
        let row = self.table.row().clone();
        for index in 0..2 * self.scenario.instances {
            let node = &mut self.nodes[index];
            if node.dead_until_ms != 0 && self.now >= node.dead_until_ms {
                node.restart(&row, self.now);
                for fact in &self.facts {
                    self.bus.send(self.now + 300, Message::Fact(index, fact.clone()));
                }
            }
        }
        if self.now.is_multiple_of(KILL_MS) {
            let victim = self.rng.random_range(0..2 * self.scenario.instances);
            self.nodes[victim].dead_until_ms = self.now + DEAD_MS;
            self.nodes[victim].running.clear();
        }
    }

    fn trial(self) -> Trial {
        let deadline = WallTime(self.scenario.deadline_ms);
        let outcome = match self.policy {
            Policy::Product => self.table.row().outcome.clone(),
            Policy::Baseline => Some(setup::baseline_outcome(self.scenario, &self.baseline)),
        };
        let withdrawn = outcome.as_ref().is_some_and(|o| o.kind == EndKind::TakenBack);
        Trial {
            kind: self.scenario.kind,
            aborted: self.abort_at.is_some(),
            in_time: outcome.as_ref().is_some_and(|outcome| outcome.at <= deadline),
            outcome,
            outcomes_written: self.table.outcomes_written,
            calls: self.calls,
            calls_new: self.calls_new,
            after_evidence: self.after_evidence,
            after_verdict: self.after_verdict,
            withdraw_ms: self
                .shown_ms
                .filter(|_| withdrawn)
                .map(|shown| self.last_new_ms.saturating_sub(shown)),
        }
    }
}
