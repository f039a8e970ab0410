//! Simulation of one move: the product's state machines on emulated nodes, with traffic and faults.

mod traffic;

use super::baseline::Baseline;
use super::bus::MessageQueue;
use super::node::{Node, REPORT_MS, TICK_MS};
use super::scenario::{Kind, Scenario};
use super::setup;
use super::table::{Answer, Table};
use super::witness::{Observer, VERDICT_INTERVAL_MS};
use super::{Faults, Policy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use sycamore_moves::control::{Action, Input};
use sycamore_moves::evidence::Report;
use sycamore_moves::plan::{Author, Change, MoveRow, Outcome, OutcomeKind as EndKind};
use sycamore_types::prelude::*;

/// Simulated time of one round, in milliseconds.
const ROUND_MS: u64 = 20;
/// Longest time that a trial continues after the move's deadline, in milliseconds.
const AFTER_DEADLINE_MS: u64 = 60_000;
/// Probability that a report between nodes is lost; also that it arrives twice.
const LOSS_PROBABILITY: f64 = 0.02;
/// Time from the kill of a node process until its restart, in milliseconds.
const RESTART_DELAY_MS: u64 = 1_500;
/// Time between two kills, in milliseconds.
const KILL_INTERVAL_MS: u64 = 8_000;

/// Message in flight; an index is that of the node at which the message arrives, or of the node that
/// writes the row.
enum Message {
    Report(usize, Box<Report>),
    Fact(usize, Fact),
    Row(usize, Box<MoveRow>, u64),
    Registry(usize),
    End { writer: usize, outcome: Outcome, based_on: u64, op: OpId },
}

/// Result of one trial.
#[derive(Debug, Clone)]
pub struct Trial {
    /// Scenario of the move.
    pub kind: Kind,
    /// Whether operators aborted the move.
    pub aborted: bool,
    /// Outcome of the move; `None` if none was recorded by the end of the trial.
    pub outcome: Option<Outcome>,
    /// Whether the move ended by its deadline.
    pub in_time: bool,
    /// Number of outcomes written to the table.
    pub outcomes_written: usize,
    /// Number of calls to the service while the move was open.
    pub calls: u64,
    /// Number of calls that the new version got while the move was open.
    pub calls_new: u64,
    /// Number of calls that the new version got later than a second after the evidence sufficed.
    pub after_evidence: u64,
    /// Number of calls that an instance of the new version admitted while its node held the verdict.
    pub after_verdict: u64,
    /// Time from the first answer that was affected by the defect to the last call that the new
    /// version got, in milliseconds; `None` if the version was not taken back.
    pub withdraw_ms: Option<u64>,
}

impl Trial {
    /// Returns the reason for which a good version was taken back; `None` if it was not, if the
    /// version is bad or if an operator aborted the move.
    pub fn false_taken_back_reason(&self) -> Option<&str> {
        let outcome = self.outcome.as_ref().filter(|_| !self.kind.is_bad() && !self.aborted)?;
        (outcome.kind == EndKind::TakenBack).then_some(outcome.reason.as_str())
    }
}

/// Runs one trial of `scenario`; `seed` determines all its random choices.
pub fn run(scenario: &Scenario, policy: Policy, faults: &Faults, seed: u64) -> Trial {
    let mut simulation = Simulation::new(scenario, policy, faults, seed);
    let end = scenario.deadline_ms + AFTER_DEADLINE_MS;
    while simulation.now < end && !simulation.is_over() {
        simulation.run_round();
    }
    simulation.result()
}

/// State of a trial. Times are in milliseconds since its start.
struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    faults: &'a Faults,
    rng: SmallRng,
    now: u64,
    /// Nodes of the old version's instances, nodes of the new version's, then the nodes that callers
    /// send their calls to.
    nodes: Vec<Node>,
    queue: MessageQueue<Message>,
    table: Table,
    /// Every fact raised so far; restarted nodes get them again.
    facts: Vec<Fact>,
    observer: Option<Observer>,
    baseline: Baseline,
    /// Time at which operators abort the move; `u64::MAX` after that, `None` if they don't.
    abort_at: Option<u64>,
    /// Number of calls that are still to crash an instance of the new version in [`Kind::CrashRequest`].
    crash_requests: usize,
    /// Number of outcome writes, from which operation identifiers are made.
    ops: u128,
    calls: u64,
    calls_new: u64,
    after_evidence: u64,
    after_verdict: u64,
    /// Time of the first answer that was affected by the defect.
    first_defect_ms: Option<u64>,
    /// Time of the last call that the new version got.
    last_new_ms: u64,
    /// Number of calls, with a fraction, that are due by the rate but not sent yet.
    due_calls: f64,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, faults: &'a Faults, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let row = setup::row(scenario);
        let nodes = setup::nodes(scenario, &row);
        let out_until = if faults.platform_out { scenario.deadline_ms + 10_000 } else { 0 };
        let lost = if faults.lost_answer || faults.race { 0.3 } else { 0.0 };
        let abort_at = (faults.race && rng.random_bool(0.2))
            .then(|| rng.random_range(scenario.start_ms..scenario.deadline_ms));
        let members = nodes[..2 * scenario.instances].iter().map(|node| &node.member);
        let observer = scenario.kind.is_bad().then(|| {
            let versions = (row.spec.from.clone(), row.spec.to.clone());
            Observer::new(&row.spec.mv, members, versions)
        });
        Self {
            scenario,
            policy,
            faults,
            rng,
            now: 0,
            nodes,
            queue: MessageQueue::default(),
            table: Table::new(row, out_until, lost),
            facts: Vec::new(),
            observer,
            baseline: Baseline::default(),
            abort_at,
            crash_requests: if scenario.kind == Kind::CrashRequest { 2 } else { 0 },
            ops: 0,
            calls: 0,
            calls_new: 0,
            after_evidence: 0,
            after_verdict: 0,
            first_defect_ms: None,
            last_new_ms: 0,
            due_calls: 0.0,
        }
    }

    fn is_over(&self) -> bool {
        let ended = match self.policy {
            Policy::Product => self.table.row().is_ended(),
            Policy::Baseline => {
                self.baseline.taken_back_ms.is_some() || self.now >= self.scenario.deadline_ms
            }
        };
        // Nodes need some time to learn that the move has ended.
        ended && self.now > self.last_new_ms + 3_000
            || self.now >= self.scenario.deadline_ms + AFTER_DEADLINE_MS
    }

    /// Advances the time by [`ROUND_MS`] and simulates everything that is due.
    fn run_round(&mut self) {
        self.now += ROUND_MS;
        self.send_due_calls();
        self.finish_due_calls();
        match self.policy {
            Policy::Baseline => self.baseline.check(self.now),
            Policy::Product => self.run_control(),
        }
        if self.now.is_multiple_of(VERDICT_INTERVAL_MS) {
            if let Some(observer) = &mut self.observer {
                observer.evaluate(self.now);
            }
        }
    }

    /// Injects the faults that are due, delivers messages and runs the nodes' timers.
    fn run_control(&mut self) {
        self.kill_and_restart();
        self.abort_if_due();
        while let Some(message) = self.queue.take(self.now) {
            self.deliver(message);
        }
        for index in 0..self.nodes.len() {
            self.run_timers(index);
        }
    }

    /// Passes the inputs that are due to the node with the given index.
    fn run_timers(&mut self, index: usize) {
        if self.now < self.nodes[index].node_down_until_ms {
            return;
        }
        // Offsets the nodes' timers, which don't run in step in reality either.
        let phase = (self.now + 40 * index as u64) / ROUND_MS;
        if phase.is_multiple_of(500 / ROUND_MS) {
            let input = setup::peers(&self.nodes[..2 * self.scenario.instances], self.now);
            self.step_control(index, input);
        }
        if phase.is_multiple_of(REPORT_MS / ROUND_MS) {
            self.send_report(index);
        }
        if phase.is_multiple_of(TICK_MS / ROUND_MS) {
            self.step_control(index, Input::Tick);
        }
    }

    /// Sends the evidence report of a node to the nodes that merge reports; only its own copy is
    /// never lost or delayed.
    fn send_report(&mut self, index: usize) {
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
                self.queue.send(self.now, Message::Report(to, report));
            } else {
                self.send_lossy(1..60, || Message::Report(to, report.clone()));
            }
        }
    }

    /// Sends a message with a random delay in milliseconds; it may be lost or arrive twice.
    fn send_lossy(&mut self, delay: std::ops::Range<u64>, message: impl Fn() -> Message) {
        let copies = match self.rng.random::<f64>() {
            draw if draw < LOSS_PROBABILITY => 0,
            draw if draw < 2.0 * LOSS_PROBABILITY => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let at = self.now + self.rng.random_range(delay.clone());
            self.queue.send(at, message());
        }
    }

    /// Passes `input` to the control of a node, unless the node is down, and carries out its
    /// actions.
    fn step_control(&mut self, index: usize, input: Input) {
        if self.now < self.nodes[index].node_down_until_ms {
            return;
        }
        for action in self.nodes[index].step(self.now, input) {
            match action {
                Action::Raise(fact) => {
                    self.observe_step(&fact);
                    self.broadcast(index, &fact);
                }
                Action::ReadRegistry => self.queue.send(self.now + 10, Message::Registry(index)),
                Action::End { outcome, revision } => {
                    self.ops += 1;
                    let at = self.now + self.rng.random_range(2..20);
                    let op = OpId(self.ops);
                    let end = Message::End { writer: index, outcome, based_on: revision, op };
                    self.queue.send(at, end);
                }
            }
        }
    }

    /// Starts the observer's evidence of a new step when the nodes have cleared the one before.
    fn observe_step(&mut self, fact: &Fact) {
        if let (Fact::Cleared { .. }, Some(observer)) = (fact, &mut self.observer) {
            observer.open_step(self.now);
        }
    }

    /// Sends `fact` to all other nodes without loss, since gossip repeats what was lost.
    fn broadcast(&mut self, from: usize, fact: &Fact) {
        self.facts.push(fact.clone());
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let at = self.now + self.rng.random_range(5..400);
            self.queue.send(at, Message::Fact(to, fact.clone()));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(to, report) => self.step_control(to, Input::Report(report)),
            Message::Fact(to, fact) => self.step_control(to, Input::Fact(fact)),
            Message::Row(to, row, revision) => self.step_control(to, Input::Row { row, revision }),
            Message::Registry(to) => {
                if self.table.read(self.now).is_some() {
                    let service = &self.nodes[..2 * self.scenario.instances];
                    let peers = service.iter().map(Node::peer).collect();
                    self.step_control(to, Input::Registry(peers));
                }
            }
            Message::End { writer, outcome, based_on, op } => {
                self.write_outcome(writer, outcome, based_on, op);
            }
        }
    }

    /// Writes the outcome that the node `writer` has decided, and sends the recorded row to all
    /// nodes.
    fn write_outcome(&mut self, writer: usize, outcome: Outcome, based_on: u64, op: OpId) {
        let author = Author::Node(self.nodes[writer].member.instance.clone());
        let change = Change { author, op, at: WallTime(self.now) };
        let answer = self.table.write(self.now, outcome, based_on, change, &mut self.rng);
        let recorded = match answer {
            Answer::Row(row, revision) => Some((*row, revision)),
            // The writer reads the row back, and learns the recorded outcome in either case.
            Answer::Conflict | Answer::Lost => self.table.read(self.now),
            Answer::Out => None,
        };
        if let Some((row, revision)) = recorded {
            for to in 0..self.nodes.len() {
                let delay = if to == writer { 1 } else { self.rng.random_range(5..400) };
                let message = Message::Row(to, Box::new(row.clone()), revision);
                self.queue.send(self.now + delay, message);
            }
        }
    }

    /// Lets two operators abort the move at the same moment, each at another node.
    fn abort_if_due(&mut self) {
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
            self.broadcast(index, &fact);
            self.step_control(index, Input::Fact(fact.clone()));
        }
    }

    /// Restarts the killed nodes whose restart is due, and kills a random one every
    /// [`KILL_INTERVAL_MS`].
    fn kill_and_restart(&mut self) {
        if !self.faults.kill || self.now < self.scenario.start_ms {
            return;
        }
        let row = self.table.row().clone();
        for index in 0..2 * self.scenario.instances {
            let node = &mut self.nodes[index];
            if node.node_down_until_ms != 0 && self.now >= node.node_down_until_ms {
                node.restart(&row, self.now);
                for fact in &self.facts {
                    self.queue.send(self.now + 300, Message::Fact(index, fact.clone()));
                }
            }
        }
        if self.now.is_multiple_of(KILL_INTERVAL_MS) {
            let victim = self.rng.random_range(0..2 * self.scenario.instances);
            self.nodes[victim].node_down_until_ms = self.now + RESTART_DELAY_MS;
            self.nodes[victim].running.clear();
        }
    }

    fn result(self) -> Trial {
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
                .first_defect_ms
                .filter(|_| withdrawn)
                .map(|shown| self.last_new_ms.saturating_sub(shown)),
        }
    }
}
