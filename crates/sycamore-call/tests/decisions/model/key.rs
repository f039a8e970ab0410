//! Model of an idempotency key and three nodes of one service: the call runs at most once within
//! the memory, while nodes crash, restart and are suspended, the network is partitioned, views
//! differ, and answers between nodes are lost.
//!
//! The environment guarantees that a running node learns within one unit of time which members it
//! can reach. A suspension of one unit goes unnoticed by the suspended node.

use super::{assert_broken, assert_holds};
use crate::common::instance;
use std::fmt;
use std::time::Duration;
use sycamore_call::key::{owner_of, KeyEnd, Members, OwnershipConfig, Released};
use sycamore_call::{KeyDecision, KeyHash, KeyTable, KeyTableConfig, Ownership, OwnershipStatus};
use sycamore_model::Model;
use sycamore_types::prelude::*;

const NODES: usize = 3;
const UNIT: Duration = Duration::from_secs(1);
const REQUEST: u64 = 1;
/// Time after which the ownership of all keys is certain, in units of the model's time.
const CERTAIN_AFTER: u8 = 4;

fn at(units: u8) -> Time {
    Time::from_secs(u64::from(units))
}

/// Side of the partition on which each node is; nodes of one side reach each other.
type Sides = [u8; NODES];

const PARTITIONS: [Sides; 3] = [[0, 0, 0], [1, 0, 0], [0, 1, 0]];

#[derive(Clone, PartialEq, Eq, Hash)]
struct Node {
    alive: bool,
    suspended: bool,
    incarnation: u64,
    ownership: Ownership,
    table: KeyTable<u8>,
    /// Time from which the node's view has differed from the members that it can reach.
    view_differs_since: Option<u8>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    nodes: Vec<Node>,
    sides: Sides,
    /// Time of the last run, in units of the model's time.
    last_run: Option<u8>,
    ran_twice_within_memory: bool,
    /// Number of faults that the environment may still cause.
    faults: u8,
    requests: u8,
}

#[derive(Clone, PartialEq, Eq)]
enum Action {
    Advance,
    Learn(usize),
    Crash(usize),
    Restart(usize),
    Suspend(usize),
    Resume(usize),
    Partition(Sides),
    Request { node: usize, ask_lost: bool },
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Advance => write!(f, "time passes"),
            Action::Learn(node) => write!(f, "node {node} learns which members it reaches"),
            Action::Crash(node) => write!(f, "node {node} crashes"),
            Action::Restart(node) => write!(f, "node {node} restarts"),
            Action::Suspend(node) => write!(f, "node {node} is suspended"),
            Action::Resume(node) => write!(f, "node {node} resumes"),
            Action::Partition(sides) => write!(f, "the sides of the network become {sides:?}"),
            Action::Request { node, ask_lost: false } => write!(f, "node {node} gets the call"),
            Action::Request { node, ask_lost: true } => {
                write!(f, "node {node} gets the call, and the answers to its queries are lost")
            }
        }
    }
}

struct Keys {
    ownership: OwnershipConfig,
    /// Time for which a node remembers the record of a key, in units of the model's time.
    remembered: u8,
    /// Minimum time that must lie between two runs, in units of the model's time.
    promised: u8,
    units: u8,
    faults: u8,
    requests: u8,
    /// `true` where a restarted node gets a new incarnation.
    incarnations: bool,
    key: KeyHash,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            ownership: OwnershipConfig {
                memory: UNIT * 2,
                lag: UNIT * 2,
                max_tick_gap: UNIT,
                ..OwnershipConfig::default()
            },
            remembered: 2,
            promised: 2,
            units: 8,
            faults: 1,
            requests: 2,
            incarnations: true,
            key: key_owned_by_node_0_then_1(),
        }
    }
}

/// Returns a key owned by node 0 or, without it, by node 1.
fn key_owned_by_node_0_then_1() -> KeyHash {
    let all = members([0, 1, 2].map(|i| (i, 1)));
    let rest = members([1, 2].map(|i| (i, 1)));
    let fits = |key: &u128| {
        owner_of(&all, KeyHash(*key)) == Some(&name(0))
            && owner_of(&rest, KeyHash(*key)) == Some(&name(1))
    };
    KeyHash((0..1_000).find(fits).unwrap())
}

fn name(node: usize) -> InstanceId {
    instance(&format!("n{node}"))
}

fn members(nodes: impl IntoIterator<Item = (usize, u64)>) -> Members {
    nodes.into_iter().map(|(node, incarnation)| (name(node), Incarnation(incarnation))).collect()
}

impl Keys {
    fn new_node(&self, node: usize, now: u8, incarnation: u64) -> Node {
        let memory = UNIT * u32::from(self.remembered);
        Node {
            alive: true,
            suspended: false,
            incarnation,
            ownership: Ownership::new(name(node), self.ownership.clone(), at(now)),
            table: KeyTable::new(KeyTableConfig { memory, ..KeyTableConfig::default() }),
            view_differs_since: Some(now),
        }
    }

    /// Returns the members that `node` can reach.
    fn reachable(&self, state: &State, node: usize) -> Members {
        let reached = (0..NODES).filter(|other| {
            let there = &state.nodes[*other];
            let is_running = there.alive && (!there.suspended || *other == node);
            is_running && state.sides[*other] == state.sides[node]
        });
        members(reached.map(|other| (other, self.incarnation(state, other))))
    }

    fn incarnation(&self, state: &State, node: usize) -> u64 {
        match self.incarnations {
            true => state.nodes[node].incarnation,
            false => 1,
        }
    }

    fn topology_changed(&self, state: &mut State) {
        for node in &mut state.nodes {
            node.view_differs_since = node.view_differs_since.or(Some(state.now));
        }
    }

    fn learn(&self, state: &mut State, node: usize) {
        let view = self.reachable(state, node);
        let now = at(state.now);
        state.nodes[node].ownership.update(now, view, Members::new());
        state.nodes[node].view_differs_since = None;
    }

    fn may_advance(&self, state: &State) -> bool {
        state.now < self.units
            && state.nodes.iter().all(|node| {
                let late = node.view_differs_since.is_some_and(|since| since < state.now);
                !node.alive || node.suspended || !late
            })
    }

    fn advance(&self, state: &mut State) {
        state.now += 1;
        for node in state.nodes.iter_mut().filter(|node| node.alive && !node.suspended) {
            node.ownership.tick(at(state.now));
        }
    }

    /// Handles a keyed call as a node does that is considered the key's owner.
    fn request(&self, state: &mut State, node: usize, ask_lost: bool) {
        let now = at(state.now);
        if state.nodes[node].table.peek(now, self.key, REQUEST).is_some() {
            return;
        }
        let earlier = match state.nodes[node].ownership.status(now, self.key) {
            OwnershipStatus::Owner => Vec::new(),
            OwnershipStatus::OwnerAfter(earlier) => earlier,
            OwnershipStatus::InDoubt | OwnershipStatus::Other(_) | OwnershipStatus::Nobody => {
                return
            }
        };
        if state.nodes[node].table.begin(now, self.key, REQUEST) != KeyDecision::Run {
            return;
        }
        let mut end = None;
        for owner in earlier {
            match self.ask(state, node, &owner, ask_lost) {
                Released::NotRun => {}
                Released::Unknown => end = Some(KeyEnd::Unknown),
                Released::Answered(answer) => end = Some(KeyEnd::Answered(answer, 1)),
            }
        }
        let end = end.unwrap_or_else(|| {
            self.run(state);
            KeyEnd::Answered(1, 1)
        });
        state.nodes[node].table.finish(now, self.key, end);
    }

    fn ask(&self, state: &mut State, node: usize, owner: &InstanceId, lost: bool) -> Released<u8> {
        let now = at(state.now);
        let asker = (name(node), Incarnation(self.incarnation(state, node)));
        let Some(other) = (0..NODES).find(|other| name(*other) == *owner) else {
            return Released::Unknown;
        };
        let there = state.sides[other] == state.sides[node];
        let other = &mut state.nodes[other];
        if !other.alive || other.suspended || !there {
            return Released::Unknown;
        }
        let certain = other.ownership.knows_all(now, self.key, (&asker.0, asker.1));
        match other.table.release(now, self.key) {
            _ if lost => Released::Unknown,
            Released::NotRun if !certain => Released::Unknown,
            released => released,
        }
    }

    fn run(&self, state: &mut State) {
        let ran_twice_within_memory =
            state.last_run.is_some_and(|last| state.now - last < self.promised);
        state.ran_twice_within_memory |= ran_twice_within_memory;
        state.last_run = Some(state.now);
    }

    fn apply(&self, state: &State, action: &Action) -> State {
        let mut next = state.clone();
        match *action {
            Action::Advance => self.advance(&mut next),
            Action::Learn(node) => self.learn(&mut next, node),
            Action::Crash(node) => {
                next.nodes[node].alive = false;
                next.nodes[node].suspended = false;
                self.topology_changed(&mut next);
                next.faults -= 1;
            }
            Action::Restart(node) => {
                let incarnation = next.nodes[node].incarnation + 1;
                next.nodes[node] = self.new_node(node, next.now, incarnation);
                self.topology_changed(&mut next);
            }
            Action::Suspend(node) => {
                next.nodes[node].suspended = true;
                self.topology_changed(&mut next);
                next.faults -= 1;
            }
            Action::Resume(node) => {
                next.nodes[node].suspended = false;
                self.topology_changed(&mut next);
            }
            Action::Partition(sides) => {
                next.sides = sides;
                self.topology_changed(&mut next);
                next.faults -= 1;
            }
            Action::Request { node, ask_lost } => {
                next.requests -= 1;
                self.request(&mut next, node, ask_lost);
            }
        }
        next
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.may_advance(state) {
            actions.push(Action::Advance);
        }
        for (i, node) in state.nodes.iter().enumerate() {
            let is_running = node.alive && !node.suspended;
            if is_running && node.view_differs_since.is_some() {
                actions.push(Action::Learn(i));
            }
            if is_running && state.faults > 0 {
                actions.extend([Action::Crash(i), Action::Suspend(i)]);
            }
            if !node.alive {
                actions.push(Action::Restart(i));
            }
            if node.suspended {
                actions.push(Action::Resume(i));
            }
            if is_running && state.requests > 0 {
                actions.push(Action::Request { node: i, ask_lost: false });
                let status = node.ownership.status(at(state.now), self.key);
                if matches!(status, OwnershipStatus::OwnerAfter(_)) {
                    actions.push(Action::Request { node: i, ask_lost: true });
                }
            }
        }
        let partitions =
            PARTITIONS.into_iter().filter(|sides| state.faults > 0 && *sides != state.sides);
        actions.extend(partitions.map(Action::Partition));
        actions
    }
}

impl Model for Keys {
    type State = State;
    type Action = Action;

    fn starts(&self) -> Vec<State> {
        // The service has been up long enough for certain ownership, and all views are equal.
        let now = CERTAIN_AFTER;
        let mut state = State {
            now: 0,
            nodes: (0..NODES).map(|node| self.new_node(node, 0, 1)).collect(),
            sides: PARTITIONS[0],
            last_run: None,
            ran_twice_within_memory: false,
            faults: self.faults,
            requests: self.requests,
        };
        (0..NODES).for_each(|node| self.learn(&mut state, node));
        (0..now).for_each(|_| self.advance(&mut state));
        vec![state]
    }

    fn next(&self, state: &State) -> Vec<(Action, State)> {
        let after = |action: Action| {
            let next = self.apply(state, &action);
            (action, next)
        };
        self.actions(state).into_iter().map(after).collect()
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if state.ran_twice_within_memory {
            return Err("the keyed call ran twice within the memory".into());
        }
        Ok(())
    }
}

const TWICE: &str = "ran twice";

/// Guards against a second run of a keyed call within the memory, over every order of faults that
/// the model has.
#[test]
fn a_keyed_call_runs_at_most_once() {
    assert_holds("idempotency key", &Keys::default());
}

/// Guards against a model too weak to find the second run by an owner that was suspended and trusts
/// its old views.
#[test]
fn without_suspension_checks_a_resumed_owner_runs_the_call_again() {
    let ownership = OwnershipConfig { max_tick_gap: UNIT * 100, ..Keys::default().ownership };
    assert_broken("no suspension check", &Keys { ownership, ..Keys::default() }, TWICE);
}

/// Guards against a model too weak to find the runs on both sides of a network partition.
#[test]
fn without_the_majority_rule_both_sides_of_a_partition_run_the_call() {
    let ownership = OwnershipConfig { lost_retention: Duration::ZERO, ..Keys::default().ownership };
    assert_broken("no majority", &Keys { ownership, ..Keys::default() }, TWICE);
}

/// Guards against a model too weak to find the second run by a new owner that doesn't ask the
/// previous one.
#[test]
fn without_the_uncertainty_window_a_new_owner_repeats_the_lost_owners_run() {
    let ownership = OwnershipConfig {
        memory: Duration::ZERO,
        lag: Duration::ZERO,
        ..Keys::default().ownership
    };
    assert_broken("no uncertainty window", &Keys { ownership, ..Keys::default() }, TWICE);
}

/// Guards against a model too weak to find the second run by an earlier owner that learns of the
/// new view late.
#[test]
fn without_the_lag_differing_views_allow_a_second_run() {
    let ownership = OwnershipConfig { lag: Duration::ZERO, ..Keys::default().ownership };
    assert_broken("no lag", &Keys { ownership, ..Keys::default() }, TWICE);
}

/// Guards against a model too weak to find the second run by an owner that lost its records in a
/// restart under the same identity.
#[test]
fn without_incarnations_a_restarted_owner_runs_the_call_again() {
    assert_broken("no incarnations", &Keys { incarnations: false, ..Keys::default() }, TWICE);
}

/// Guards against a model too weak to find the second run when records expire before the promised
/// memory.
#[test]
fn records_that_expire_early_allow_a_second_run() {
    assert_broken("short records", &Keys { remembered: 1, ..Keys::default() }, TWICE);
}
