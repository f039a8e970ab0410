//! A few nodes of one service with fakes of what surrounds their machines.
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

/// Calls that arrive at each node in a second.
const CALLS: u64 = 60;
/// Basis points of all traffic.
const ALL: u64 = 10_000;
/// Seconds between two looks of a node at the table.
const POLL_S: u64 = 5;

struct Node {
    control: MoveControl,
    peer: Peer,
    paused: bool,
    confirmed: bool,
    seq: u64,
    ok: u64,
    failed: u64,
    /// Basis points of calls to the new version, and failed percents, that were not whole calls yet.
    rest: (u64, u64),
    facts: Vec<Fact>,
    said: String,
}

/// Nodes, the platform's table and the time.
pub struct Town {
    nodes: BTreeMap<String, Node>,
    table: (MoveRow, u64),
    writes: u64,
    second: u64,
    cut: Option<Region>,
    /// The region that is cut off does not reach the platform either.
    cut_from_platform: bool,
    /// Percentage of the new version's calls that fail.
    pub failing: u64,
    /// The platform answers.
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

impl Town {
    /// Nodes beside the new and the old version, as `name` in region west or `name-region`.
    pub fn new(new: &[String], old: &[String]) -> Self {
        let of = |version: &str, names: &[String]| -> Vec<(String, Node)> {
            names.iter().map(|text| node(text, version)).collect()
        };
        let mut town = Self {
            nodes: of("2", new).into_iter().chain(of("1", old)).collect(),
            table: (row(), 1),
            writes: 0,
            second: 0,
            cut: None,
            cut_from_platform: false,
            failing: 0,
            platform_up: true,
        };
        town.tell_members();
        town
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
        let inside = |peer: &Peer| Some(&peer.region) == self.cut.as_ref();
        inside(one) == inside(other)
    }

    fn has_platform(&self, name: &str) -> bool {
        let is_cut = Some(&self.nodes[name].peer.region) == self.cut.as_ref();
        self.platform_up && !(is_cut && self.cut_from_platform)
    }

    /// Whether `name` runs and `to` hears it.
    fn is_heard(&self, name: &str, to: &str) -> bool {
        !self.nodes[name].paused && self.reaches(name, to)
    }

    /// Cuts `region` off from all others, and from the platform if `from_platform`.
    pub fn cut(&mut self, region: &str, from_platform: bool) {
        self.cut = Some(id(region));
        self.cut_from_platform = from_platform;
        self.tell_members();
    }

    /// Ends the cut.
    pub fn heal(&mut self) {
        self.cut = None;
        self.tell_members();
    }

    /// Freezes a node; others lose sight of it.
    pub fn pause(&mut self, name: &str) {
        self.nodes.get_mut(name).expect("a node").paused = true;
        self.tell_members();
    }

    /// Lets a node go on, which refutes its death by a new generation.
    pub fn thaw(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).expect("a node");
        node.paused = false;
        node.peer.incarnation.0 += 1;
        self.tell_members();
    }

    /// An operator aborts the move at a node.
    pub fn abort(&mut self, name: &str) {
        let MoveRow { spec, .. } = &self.table.0;
        let at = Stamp { wall: self.at().wall, logical: 0 };
        let (by, service, version) = (spec.mv.clone(), spec.service.clone(), spec.to.clone());
        self.learn(name, &Fact::Aborted { by, service, version, at }, &mut String::new());
    }

    fn tell_members(&mut self) {
        for name in self.names() {
            let seen = self.nodes.iter().filter(|(other, _)| self.is_heard(other, &name));
            let live: Vec<Peer> = seen.map(|(_, node)| node.peer.clone()).collect();
            let regions: BTreeSet<Region> = live.iter().map(|peer| peer.region.clone()).collect();
            self.feed(&name, Input::Peers { live, regions }, &mut String::new());
        }
    }

    /// Lets seconds pass; tells what happened.
    pub fn wait(&mut self, seconds: u64) -> String {
        let mut told = String::new();
        for _ in 0..seconds {
            self.second += 1;
            self.traffic();
            self.spread(&mut told);
            if self.second.is_multiple_of(POLL_S) {
                self.poll(&mut told);
            }
            for name in self.names() {
                self.feed(&name, Input::Tick, &mut told);
            }
            self.tell_changes(&mut told);
        }
        match told.is_empty() {
            true => "nothing\n".to_owned(),
            false => told,
        }
    }

    /// Calls arrive at each node, which splits them between the instances that it sees.
    fn traffic(&mut self) {
        for name in self.names() {
            let to_new = CALLS * self.share(&name);
            let node = self.nodes.get_mut(&name).expect("a node");
            let points = node.rest.0 + to_new;
            node.rest.0 = points % ALL;
            let new = points / ALL;
            let paused = node.paused;
            if !paused {
                self.serve(&name, "2", new);
                self.serve(&name, "1", CALLS - new.min(CALLS));
            }
        }
    }

    fn share(&self, name: &str) -> u64 {
        let share = self.nodes[name].control.split(self.at().wall).to;
        u64::from(share.basis_points())
    }

    fn serve(&mut self, caller: &str, version: &str, calls: u64) {
        let is_served = |name: &String| {
            self.nodes[name].peer.version == id(version) && self.is_heard(name, caller)
        };
        let serving: Vec<String> = self.names().into_iter().filter(is_served).collect();
        let percent = if version == "2" { self.failing } else { 0 };
        for (name, _) in serving.iter().cycle().zip(0..calls) {
            let node = self.nodes.get_mut(name).expect("a node");
            node.rest.1 += percent;
            let failed = node.rest.1 / 100;
            node.rest.1 %= 100;
            node.failed += failed;
            node.ok += 1 - failed;
        }
    }

    /// Reports, facts and the agreed row reach every node that can hear their holder.
    fn spread(&mut self, told: &mut String) {
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
            self.feed(to, Input::Report(report), told);
            for fact in self.nodes[from].facts.clone() {
                self.learn(to, &fact, told);
            }
            let (row, revision) = self.nodes[from].control.row();
            let row = Box::new(row.clone());
            self.feed(to, Input::Row { row, revision }, told);
        }
    }

    /// Every node that can reads the agreed row.
    fn poll(&mut self, told: &mut String) {
        for name in self.names() {
            if self.has_platform(&name) {
                let (row, revision) = (Box::new(self.table.0.clone()), self.table.1);
                self.feed(&name, Input::Row { row, revision }, told);
            }
        }
    }

    fn learn(&mut self, name: &str, fact: &Fact, told: &mut String) {
        let node = self.nodes.get_mut(name).expect("a node");
        if !node.facts.contains(fact) {
            node.facts.push(fact.clone());
            self.feed(name, Input::Fact(fact.clone()), told);
        }
    }

    fn feed(&mut self, name: &str, input: Input, told: &mut String) {
        let at = self.at();
        let has_platform = self.has_platform(name);
        let node = self.nodes.get_mut(name).expect("a node");
        if node.paused {
            return;
        }
        for action in node.control.step(at, input) {
            match action {
                Action::Raise(fact) => {
                    self.say(told, name, &raised(&fact));
                    self.learn(name, &fact, told);
                }
                Action::ReadRegistry if has_platform => {
                    let listed = self.nodes.values().map(|node| node.peer.clone()).collect();
                    self.feed(name, Input::Registry(listed), told);
                }
                Action::End { outcome, revision } if has_platform => {
                    self.write(name, outcome, revision, told);
                }
                Action::ReadRegistry | Action::End { .. } => {}
            }
        }
    }

    /// The platform takes one outcome by compare-and-set and answers with the row that holds.
    fn write(&mut self, name: &str, outcome: Outcome, revision: u64, told: &mut String) {
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
                self.say(told, name, &text);
            }
        }
        let (row, revision) = (Box::new(self.table.0.clone()), self.table.1);
        self.feed(name, Input::Row { row, revision }, told);
    }

    fn say(&self, told: &mut String, name: &str, what: &str) {
        writeln!(told, "{:>3} s  {name} {what}", self.second).expect("writes to a string");
    }

    /// Tells whose share or signature changed.
    fn tell_changes(&mut self, told: &mut String) {
        let at = self.at();
        let mut changed: BTreeMap<String, Vec<&str>> = BTreeMap::new();
        for (name, node) in self.nodes.iter_mut().filter(|(_, node)| !node.paused) {
            let phase = node.control.phase(at.wall);
            let text = format!("{phase:?}, {} to the new version", node.control.split(at.wall).to);
            if node.said != text {
                node.said.clone_from(&text);
                changed.entry(text).or_default().push(name);
            }
            if node.control.confirmed() && !node.confirmed {
                node.confirmed = true;
                changed.entry("confirmed".to_owned()).or_default().push(name);
            }
        }
        for (text, names) in changed {
            writeln!(told, "{:>3} s  {}: {text}", self.second, names.join(" "))
                .expect("writes to a string");
        }
    }

    /// What each node that runs reports to operators.
    pub fn reports(&self) -> String {
        let running = self.nodes.iter().filter(|(_, node)| !node.paused);
        let mut text = String::new();
        for (name, node) in running {
            let told = report_of(&node.control, self.at().wall);
            writeln!(text, "{name}: {:?}, {}: {}", told.state, told.share, told.reason)
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
        rest: (0, 0),
        facts: Vec::new(),
        said: String::new(),
    };
    (name.to_owned(), node)
}

fn raised(fact: &Fact) -> String {
    match fact {
        Fact::Cleared { step, .. } => format!("clears step {step}"),
        Fact::BadVersion { reason, .. } => format!("finds the version bad: {reason}"),
        other => format!("raises {other:?}"),
    }
}
