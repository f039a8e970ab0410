//! Three nodes of one service, one idempotency key: it runs at most once within the memory, while
//! nodes crash, restart, freeze and are cut off, views differ, and answers between them are lost.
//!
//! What the environment grants: an unfrozen node learns within one unit of time which members it
//! can reach. A freeze of one unit goes unnoticed by the frozen node itself.

use super::{assert_broken, assert_holds};
use crate::common::instance;
use std::fmt;
use std::time::Duration;
use sycamore_call::key::{owner_of, KeyEnd, Members, OwnershipConfig, Released};
use sycamore_call::{KeyDecision, KeyHash, KeyTable, KeyTableConfig, Ownership, Standing};
use sycamore_model::Model;
use sycamore_types::prelude::*;

const NODES: usize = 3;
const UNIT: Duration = Duration::from_secs(1);
const REQUEST: u64 = 1;
/// Time after which a service is out of doubt, in units.
const SETTLED: u8 = 4;

fn at(units: u8) -> Time {
    Time::from_secs(u64::from(units))
}

/// Which nodes reach which: nodes with the same number do.
type Sides = [u8; NODES];

const CUTS: [Sides; 3] = [[0, 0, 0], [1, 0, 0], [0, 1, 0]];

#[derive(Clone, PartialEq, Eq, Hash)]
struct Node {
    alive: bool,
    frozen: bool,
    incarnation: u64,
    ownership: Ownership,
    table: KeyTable<u8>,
    /// Since when its view differs from what it can reach.
    differs: Option<u8>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    nodes: Vec<Node>,
    sides: Sides,
    /// Time of the last run, and the shortest time between two.
    last_run: Option<u8>,
    too_soon: bool,
    /// Events that the environment still has.
    faults: u8,
    requests: u8,
}

#[derive(Clone, PartialEq, Eq)]
enum Action {
    Advance,
    Learn(usize),
    Crash(usize),
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    Cut(Sides),
    Request { node: usize, ask_lost: bool },
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Advance => write!(f, "time passes"),
            Action::Learn(node) => write!(f, "node {node} learns whom it reaches"),
            Action::Crash(node) => write!(f, "node {node} crashes"),
            Action::Restart(node) => write!(f, "node {node} restarts"),
            Action::Freeze(node) => write!(f, "node {node} freezes"),
            Action::Thaw(node) => write!(f, "node {node} thaws"),
            Action::Cut(sides) => write!(f, "the network becomes {sides:?}"),
            Action::Request { node, ask_lost: false } => write!(f, "node {node} gets the call"),
            Action::Request { node, ask_lost: true } => {
                write!(f, "node {node} gets the call, and the answers to what it asks are lost")
            }
        }
    }
}

struct Keys {
    ownership: OwnershipConfig,
    /// Memory of the records, in units.
    remembered: u8,
    /// Time that must lie between two runs, in units.
    promised: u8,
    units: u8,
    faults: u8,
    requests: u8,
    /// Restarted nodes take a new incarnation.
    incarnations: bool,
    key: KeyHash,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            ownership: OwnershipConfig {
                memory: UNIT * 2,
                lag: UNIT * 2,
                pause: UNIT,
                ..OwnershipConfig::default()
            },
            remembered: 2,
            promised: 2,
            units: 8,
            faults: 1,
            requests: 2,
            incarnations: true,
            key: key_in_order(),
        }
    }
}

/// A key owned by node 0, then 1, then 2.
fn key_in_order() -> KeyHash {
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
    fn fresh(&self, node: usize, now: u8, incarnation: u64) -> Node {
        let memory = UNIT * u32::from(self.remembered);
        Node {
            alive: true,
            frozen: false,
            incarnation,
            ownership: Ownership::new(name(node), self.ownership.clone(), at(now)),
            table: KeyTable::new(KeyTableConfig { memory, ..KeyTableConfig::default() }),
            differs: Some(now),
        }
    }

    /// Members that `node` can reach.
    fn reachable(&self, state: &State, node: usize) -> Members {
        let reached = (0..NODES).filter(|other| {
            let there = &state.nodes[*other];
            let awake = there.alive && (!there.frozen || *other == node);
            awake && state.sides[*other] == state.sides[node]
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
            node.differs = node.differs.or(Some(state.now));
        }
    }

    fn learn(&self, state: &mut State, node: usize) {
        let view = self.reachable(state, node);
        let now = at(state.now);
        state.nodes[node].ownership.update(now, view, Members::new());
        state.nodes[node].differs = None;
    }

    fn may_advance(&self, state: &State) -> bool {
        state.now < self.units
            && state.nodes.iter().all(|node| {
                let late = node.differs.is_some_and(|since| since < state.now);
                !node.alive || node.frozen || !late
            })
    }

    fn advance(&self, state: &mut State) {
        state.now += 1;
        for node in state.nodes.iter_mut().filter(|node| node.alive && !node.frozen) {
            node.ownership.tick(at(state.now));
        }
    }

    /// The daemon's handling of a keyed call at the node that is taken for its owner.
    fn request(&self, state: &mut State, node: usize, ask_lost: bool) {
        let now = at(state.now);
        if state.nodes[node].table.peek(now, self.key, REQUEST).is_some() {
            return;
        }
        let earlier = match state.nodes[node].ownership.standing(now, self.key) {
            Standing::Owner => Vec::new(),
            Standing::OwnerAfter(earlier) => earlier,
            Standing::InDoubt | Standing::Other(_) | Standing::Nobody => return,
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
        if !other.alive || other.frozen || !there {
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
        let too_soon = state.last_run.is_some_and(|last| state.now - last < self.promised);
        state.too_soon |= too_soon;
        state.last_run = Some(state.now);
    }

    fn apply(&self, state: &State, action: &Action) -> State {
        let mut next = state.clone();
        match *action {
            Action::Advance => self.advance(&mut next),
            Action::Learn(node) => self.learn(&mut next, node),
            Action::Crash(node) => {
                next.nodes[node].alive = false;
                next.nodes[node].frozen = false;
                self.topology_changed(&mut next);
                next.faults -= 1;
            }
            Action::Restart(node) => {
                let incarnation = next.nodes[node].incarnation + 1;
                next.nodes[node] = self.fresh(node, next.now, incarnation);
                self.topology_changed(&mut next);
            }
            Action::Freeze(node) => {
                next.nodes[node].frozen = true;
                self.topology_changed(&mut next);
                next.faults -= 1;
            }
            Action::Thaw(node) => {
                next.nodes[node].frozen = false;
                self.topology_changed(&mut next);
            }
            Action::Cut(sides) => {
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
            let awake = node.alive && !node.frozen;
            if awake && node.differs.is_some() {
                actions.push(Action::Learn(i));
            }
            if awake && state.faults > 0 {
                actions.extend([Action::Crash(i), Action::Freeze(i)]);
            }
            if !node.alive {
                actions.push(Action::Restart(i));
            }
            if node.frozen {
                actions.push(Action::Thaw(i));
            }
            if awake && state.requests > 0 {
                actions.push(Action::Request { node: i, ask_lost: false });
                let standing = node.ownership.standing(at(state.now), self.key);
                if matches!(standing, Standing::OwnerAfter(_)) {
                    actions.push(Action::Request { node: i, ask_lost: true });
                }
            }
        }
        let cuts = CUTS.into_iter().filter(|cut| state.faults > 0 && *cut != state.sides);
        actions.extend(cuts.map(Action::Cut));
        actions
    }
}

impl Model for Keys {
    type State = State;
    type Action = Action;

    fn starts(&self) -> Vec<State> {
        // A service that has been up for long enough, all views alike.
        let now = SETTLED;
        let mut state = State {
            now: 0,
            nodes: (0..NODES).map(|node| self.fresh(node, 0, 1)).collect(),
            sides: CUTS[0],
            last_run: None,
            too_soon: false,
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
        if state.too_soon {
            return Err("the keyed call ran twice within the memory".into());
        }
        Ok(())
    }
}

const TWICE: &str = "ran twice";

#[test]
fn a_keyed_call_runs_at_most_once() {
    assert_holds("idempotency key", &Keys::default());
}

#[test]
fn without_the_check_of_pauses_a_thawed_owner_runs_it_again() {
    let ownership = OwnershipConfig { pause: UNIT * 100, ..Keys::default().ownership };
    assert_broken("no pause check", &Keys { ownership, ..Keys::default() }, TWICE);
}

#[test]
fn without_the_majority_both_sides_of_a_cut_run_it() {
    let ownership = OwnershipConfig { lost: Duration::ZERO, ..Keys::default().ownership };
    assert_broken("no majority", &Keys { ownership, ..Keys::default() }, TWICE);
}

#[test]
fn without_doubt_a_new_owner_runs_what_the_lost_one_ran() {
    let ownership = OwnershipConfig {
        memory: Duration::ZERO,
        lag: Duration::ZERO,
        ..Keys::default().ownership
    };
    assert_broken("no doubt", &Keys { ownership, ..Keys::default() }, TWICE);
}

#[test]
fn without_the_lag_views_that_differ_for_a_while_let_it_run_twice() {
    let ownership = OwnershipConfig { lag: Duration::ZERO, ..Keys::default().ownership };
    assert_broken("no lag", &Keys { ownership, ..Keys::default() }, TWICE);
}

#[test]
fn without_incarnations_a_restarted_owner_runs_it_again() {
    assert_broken("no incarnations", &Keys { incarnations: false, ..Keys::default() }, TWICE);
}

#[test]
fn records_must_last_as_long_as_the_promise() {
    assert_broken("short records", &Keys { remembered: 1, ..Keys::default() }, TWICE);
}
