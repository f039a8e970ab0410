//! Simulation of one service's nodes, with fakes of traffic, membership and the platform's table.
#![allow(dead_code)]

use crate::support::{id, now, report, spec};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;
use sycamore_moves::control::{Action, ControlOptions, Input, Moment, MoveControl, Peer};
use sycamore_moves::evidence::Report;
use sycamore_moves::plan::{end, Author, Change, MoveRow, Outcome};
use sycamore_moves::ramp::{fit, FitOptions};
use sycamore_moves::report::report as report_of;
use sycamore_types::prelude::*;

/// Calls that arrive at each node per second.
const CALLS_PER_S: u64 = 60;
/// All traffic, in basis points.
const ALL_BASIS_POINTS: u64 = 10_000;
/// Time between two reads of the table by a node, in seconds.
const POLL_S: u64 = 5;

struct Node {
    control: MoveControl,
    peer: Peer,
    paused: bool,
    /// Whether the confirmation was logged already.
    confirmed: bool,
    seq: u64,
    ok: u64,
    failed: u64,
    /// Remainders below one call: of calls to the new version in basis points, and of failed calls
    /// in percent.
    remainder: (u64, u64),
    facts: Vec<Fact>,
    /// Phase and share that were logged last.
    last_logged: String,
}

/// Nodes of one service, the platform's table and a clock of whole seconds.
pub struct SimulatedService {
    nodes: BTreeMap<String, Node>,
    /// Row of the move in the platform's table, and its revision.
    table: (MoveRow, u64),
    writes: u64,
    second: u64,
    /// Region that is partitioned off from all others.
    partitioned: Option<Region>,
    /// Whether the partitioned region does not reach the platform either.
    partitioned_from_platform: bool,
    /// Percentage of the new version's calls that fail.
    pub failing_percent: u64,
    /// Whether the platform answers.
    pub platform_up: bool,
}

fn row() -> MoveRow {
    let spec = spec("m");
    MoveRow {
        plan: id("plan"),
        schedule: fit(&spec, now(), &FitOptions::default()),
        spec,
        outcome: None,
        author: Author::Operator(id("ana")),
        op: OpId(0),
        at: now(),
    }
}

impl SimulatedService {
    /// Creates the nodes of the new and the old version, each given as `name` in region west or as
    /// `name-region`.
    pub fn new(new: &[String], old: &[String]) -> Self {
        let of = |version: &str, names: &[String]| -> Vec<(String, Node)> {
            names.iter().map(|text| node(text, version)).collect()
        };
        let mut service = Self {
            nodes: of("2", new).into_iter().chain(of("1", old)).collect(),
            table: (row(), 1),
            writes: 0,
            second: 0,
            partitioned: None,
            partitioned_from_platform: false,
            failing_percent: 0,
            platform_up: true,
        };
        service.update_membership();
        service
    }

    fn at(&self) -> Moment {
        let passed = Duration::from_secs(self.second);
        Moment { time: Time::default() + passed, wall: now() + passed }
    }

    fn names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    fn reaches(&self, one: &str, other: &str) -> bool {
        let (one, other) = (&self.nodes[one].peer, &self.nodes[other].peer);
        let inside = |peer: &Peer| Some(&peer.region) == self.partitioned.as_ref();
        inside(one) == inside(other)
    }

    fn has_platform(&self, name: &str) -> bool {
        let is_partitioned = Some(&self.nodes[name].peer.region) == self.partitioned.as_ref();
        self.platform_up && !(is_partitioned && self.partitioned_from_platform)
    }

    /// Returns whether `name` runs and its messages reach `to`.
    fn is_heard(&self, name: &str, to: &str) -> bool {
        !self.nodes[name].paused && self.reaches(name, to)
    }

    /// Partitions `region` off from all others, and from the platform if `from_platform`.
    pub fn partition(&mut self, region: &str, from_platform: bool) {
        self.partitioned = Some(id(region));
        self.partitioned_from_platform = from_platform;
        self.update_membership();
    }

    /// Ends the partition.
    pub fn end_partition(&mut self) {
        self.partitioned = None;
        self.update_membership();
    }

    /// Pauses a node's process; the others see it leave.
    pub fn pause(&mut self, name: &str) {
        self.nodes.get_mut(name).expect("a node").paused = true;
        self.update_membership();
    }

    /// Resumes a paused node, which refutes its death with a new incarnation.
    pub fn resume(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).expect("a node");
        node.paused = false;
        node.peer.incarnation.0 += 1;
        self.update_membership();
    }

    /// Raises an operator's abort at a node.
    pub fn abort(&mut self, name: &str) {
        let MoveRow { spec, .. } = &self.table.0;
        let at = Stamp { wall: self.at().wall, logical: 0 };
        let (by, service, version) = (spec.mv.clone(), spec.service.clone(), spec.to.clone());
        self.add_fact(name, &Fact::Aborted { by, service, version, at }, &mut String::new());
    }

    /// Passes the members that each node can see to its state machine.
    fn update_membership(&mut self) {
        for name in self.names() {
            let seen = self.nodes.iter().filter(|(other, _)| self.is_heard(other, &name));
            let live: Vec<Peer> = seen.map(|(_, node)| node.peer.clone()).collect();
            let regions: BTreeSet<Region> = live.iter().map(|peer| peer.region.clone()).collect();
            self.feed(&name, Input::Peers { live, regions }, &mut String::new());
        }
    }

    /// Advances the clock and returns a log of the events.
    pub fn wait(&mut self, seconds: u64) -> String {
        let mut log = String::new();
        for _ in 0..seconds {
            self.second += 1;
            self.run_traffic();
            self.exchange(&mut log);
            if self.second.is_multiple_of(POLL_S) {
                self.poll_table(&mut log);
            }
            for name in self.names() {
                self.feed(&name, Input::Tick, &mut log);
            }
            self.log_changes(&mut log);
        }
        match log.is_empty() {
            true => "nothing\n".to_owned(),
            false => log,
        }
    }

    /// Sends one second of calls to each node, which splits them between the instances that it
    /// sees.
    fn run_traffic(&mut self) {
        for name in self.names() {
            let to_new = CALLS_PER_S * self.share(&name);
            let node = self.nodes.get_mut(&name).expect("a node");
            let points = node.remainder.0 + to_new;
            node.remainder.0 = points % ALL_BASIS_POINTS;
            let new = points / ALL_BASIS_POINTS;
            let paused = node.paused;
            if !paused {
                self.serve(&name, "2", new);
                self.serve(&name, "1", CALLS_PER_S - new.min(CALLS_PER_S));
            }
        }
    }

    /// Returns the share of the new version that `name` applies, in basis points.
    fn share(&self, name: &str) -> u64 {
        let share = self.nodes[name].control.split(self.at().wall).to;
        u64::from(share.basis_points())
    }

    /// Distributes `calls` evenly to the instances of `version` that `caller` sees.
    fn serve(&mut self, caller: &str, version: &str, calls: u64) {
        let is_served = |name: &String| {
            self.nodes[name].peer.version == id(version) && self.is_heard(name, caller)
        };
        let serving: Vec<String> = self.names().into_iter().filter(is_served).collect();
        let percent = if version == "2" { self.failing_percent } else { 0 };
        for (name, _) in serving.iter().cycle().zip(0..calls) {
            let node = self.nodes.get_mut(name).expect("a node");
            node.remainder.1 += percent;
            let failed = node.remainder.1 / 100;
            node.remainder.1 %= 100;
            node.failed += failed;
            node.ok += 1 - failed;
        }
    }

    /// Passes each node's report, facts and row to every node that its messages reach.
    fn exchange(&mut self, log: &mut String) {
        let names = self.names();
        for name in &names {
            let node = self.nodes.get_mut(name).expect("a node");
            node.seq += u64::from(!node.paused);
        }
        for (from, to) in names.iter().flat_map(|from| names.iter().map(move |to| (from, to))) {
            if !self.is_heard(from, to) || self.nodes[to].paused {
                continue;
            }
            let report = Box::new(self.nodes[from].report());
            self.feed(to, Input::Report(report), log);
            for fact in self.nodes[from].facts.clone() {
                self.add_fact(to, &fact, log);
            }
            let (row, revision) = self.nodes[from].control.row();
            let row = Box::new(row.clone());
            self.feed(to, Input::Row { row, revision }, log);
        }
    }

    /// Lets every node that reaches the platform read the move's row.
    fn poll_table(&mut self, log: &mut String) {
        for name in self.names() {
            if self.has_platform(&name) {
                let (row, revision) = (Box::new(self.table.0.clone()), self.table.1);
                self.feed(&name, Input::Row { row, revision }, log);
            }
        }
    }

    /// Stores a fact at a node, unless it is known there, and passes it to the state machine.
    fn add_fact(&mut self, name: &str, fact: &Fact, log: &mut String) {
        let node = self.nodes.get_mut(name).expect("a node");
        if !node.facts.contains(fact) {
            node.facts.push(fact.clone());
            self.feed(name, Input::Fact(fact.clone()), log);
        }
    }

    /// Passes an input to a node's state machine and carries out its actions.
    fn feed(&mut self, name: &str, input: Input, log: &mut String) {
        let at = self.at();
        let has_platform = self.has_platform(name);
        let node = self.nodes.get_mut(name).expect("a node");
        if node.paused {
            return;
        }
        for action in node.control.step(at, input) {
            match action {
                Action::Raise(fact) => {
                    self.log_event(log, name, &raised(&fact));
                    self.add_fact(name, &fact, log);
                }
                Action::ReadRegistry if has_platform => {
                    let listed = self.nodes.values().map(|node| node.peer.clone()).collect();
                    self.feed(name, Input::Registry(listed), log);
                }
                Action::End { outcome, revision } if has_platform => {
                    self.write(name, outcome, revision, log);
                }
                Action::ReadRegistry | Action::End { .. } => {}
            }
        }
    }

    /// Writes an outcome to the table by compare-and-set and passes the row in force to the writer.
    fn write(&mut self, name: &str, outcome: Outcome, revision: u64, log: &mut String) {
        self.writes += 1;
        let change = Change {
            author: Author::Node(id(name)),
            op: OpId(u128::from(self.writes)),
            at: self.at().wall,
        };
        if revision == self.table.1 {
            let decided = outcome.at.since(now()).as_secs();
            let text =
                format!("records {:?} ({}), decided at {decided} s", outcome.kind, outcome.reason);
            if let Ok(write) = end(&self.table.0, revision, outcome, change) {
                self.table = (write.row, revision + 1);
                self.log_event(log, name, &text);
            }
        }
        let (row, revision) = (Box::new(self.table.0.clone()), self.table.1);
        self.feed(name, Input::Row { row, revision }, log);
    }

    fn log_event(&self, log: &mut String, name: &str, what: &str) {
        writeln!(log, "{:>3} s  {name} {what}", self.second).expect("writes to a string");
    }

    /// Logs the nodes whose phase, share or confirmation changed.
    fn log_changes(&mut self, log: &mut String) {
        let at = self.at();
        let mut changed: BTreeMap<String, Vec<&str>> = BTreeMap::new();
        for (name, node) in self.nodes.iter_mut().filter(|(_, node)| !node.paused) {
            let phase = node.control.phase(at.wall);
            let text = format!("{phase:?}, {} to the new version", node.control.split(at.wall).to);
            if node.last_logged != text {
                node.last_logged.clone_from(&text);
                changed.entry(text).or_default().push(name);
            }
            if node.control.confirmed() && !node.confirmed {
                node.confirmed = true;
                changed.entry("confirmed".to_owned()).or_default().push(name);
            }
        }
        for (text, names) in changed {
            writeln!(log, "{:>3} s  {}: {text}", self.second, names.join(" "))
                .expect("writes to a string");
        }
    }

    /// Returns the report of each running node to operators.
    pub fn reports(&self) -> String {
        let running = self.nodes.iter().filter(|(_, node)| !node.paused);
        let mut text = String::new();
        for (name, node) in running {
            let report = report_of(&node.control, self.at().wall);
            writeln!(text, "{name}: {:?}, {}: {}", report.state, report.share, report.reason)
                .expect("writes to a string");
        }
        text
    }
}

impl Node {
    fn report(&self) -> Report {
        let (name, version) = (self.peer.instance.as_str(), self.peer.version.as_str());
        let report = report("m", name, version, self.seq, self.ok, self.failed);
        Report { generation: self.peer.incarnation, confirmed: self.control.confirmed(), ..report }
    }
}

/// Creates a node from `name` or `name-region`.
fn node(text: &str, version: &str) -> (String, Node) {
    let (name, region) = text.split_once('-').unwrap_or((text, "west"));
    let peer = Peer {
        instance: id(name),
        incarnation: Incarnation(1),
        version: id(version),
        region: id(region),
    };
    let options = ControlOptions::default();
    let control = MoveControl::new(id(name), row(), 1, options, Time::default());
    let node = Node {
        control,
        peer,
        paused: false,
        confirmed: false,
        seq: 0,
        ok: 0,
        failed: 0,
        remainder: (0, 0),
        facts: Vec::new(),
        last_logged: String::new(),
    };
    (name.to_owned(), node)
}

/// Returns the log text of a raised fact.
fn raised(fact: &Fact) -> String {
    match fact {
        Fact::Cleared { step, .. } => format!("clears step {step}"),
        Fact::BadVersion { reason, .. } => format!("finds the version bad: {reason}"),
        other => format!("raises {other:?}"),
    }
}
