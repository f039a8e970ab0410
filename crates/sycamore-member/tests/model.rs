//! Exhaustive model of membership with the real state machines: two observers and one subject,
//! which drains, crashes, is replaced and is falsely suspected, with lost, duplicated and late
//! datagrams.
#![allow(clippy::unwrap_used)]

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_member::message::{Body, ExchangeRequest, Item, ItemKey, Packet};
use sycamore_member::{Action, Input, LocalState, Membership, Now, Options};
use sycamore_model::{explore, Model, Options as Limits, Outcome};
use sycamore_types::prelude::*;

const WALL: WallTime = WallTime(1_000_000);
/// Number of nodes: two observers and the subject.
const NODES: usize = 3;
/// Index of the subject.
const SUBJECT: usize = 2;

/// Deliberate fault of the protocol, which the model must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// The subject never receives records of itself.
    NoRefutation,
    /// Dead members are removed immediately.
    NoTombstones,
    /// A draining node serves again when its upstream announces itself.
    DrainReverted,
}

/// Set of events that are explored together; all events at once give too many states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Crash and replacement of the subject.
    Replacement,
    /// Change of the subject's version, and its drain.
    Drain,
}

/// Model of the three nodes and the datagrams between them.
struct System {
    mutant: Mutant,
    scope: Scope,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Option<Membership>>,
    /// Datagrams in flight, each with the indices of its sender and receiver.
    in_flight: Vec<(usize, usize, Packet)>,
    /// Highest record of the subject that each observer has had.
    highest: Vec<(Incarnation, MemberState)>,
    /// Incarnation of the subject when it started to drain.
    drained: Option<Incarnation>,
    false_suspicions: u8,
    restarts: u8,
    duplicates: u8,
    ticks: u8,
    announced: bool,
    /// First observed reversal of an observer's record.
    violation: Option<String>,
}

/// Transition of the model; indices name nodes or datagrams in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    FalselySuspect(usize, MemberState),
    Drain,
    Announce,
    Crash,
    Restart,
    Tick(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8], 7403))
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

fn member(i: usize, incarnation: u64) -> Member {
    Member {
        instance: format!("n{i}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        state: MemberState::Serving,
        service: "counter".parse().unwrap(),
        version: "1".parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        region: "r".parse().unwrap(),
        endpoints: Endpoints { peer: address(i), relay: address(i) },
        slots: 1,
        left: None,
    }
}

/// Returns the time after `ticks` ticks. The first tick is late enough for expired members to be
/// removed.
fn now(ticks: u8) -> Now {
    Now { mono: Time::from_secs(2 * u64::from(ticks)), wall: WALL }
}

impl System {
    /// Returns the upper bound on datagrams in flight; further ones are lost.
    fn max_in_flight(&self) -> usize {
        match self.scope {
            Scope::Replacement => 4,
            Scope::Drain => 2,
        }
    }

    /// Returns the upper bound on ticks of an observer.
    fn max_ticks(&self) -> u8 {
        match self.scope {
            Scope::Replacement => 3,
            Scope::Drain => 1,
        }
    }

    /// Returns the upper bound on false suspicions of the subject.
    fn max_false_suspicions(&self) -> u8 {
        match self.scope {
            Scope::Replacement => 3,
            Scope::Drain => 1,
        }
    }

    fn options(&self) -> Options {
        let is_forgetful = self.mutant == Mutant::NoTombstones;
        let defaults = Options::default();
        Options {
            fanout: 2,
            remote_fanout: 0,
            retransmits: 1,
            probe_interval: Duration::from_secs(100),
            exchange_interval: Duration::from_secs(1_000),
            max_mismatch_time: Duration::from_secs(1_000),
            dead_retention: if is_forgetful { Duration::ZERO } else { defaults.dead_retention },
            ..defaults
        }
    }

    fn machine(&self, i: usize, incarnation: u64, contacts: &[usize]) -> Membership {
        let mut machine = Membership::new(member(i, incarnation), self.options(), 1, now(0));
        let rows = contacts.iter().map(|contact| member(*contact, 1)).collect();
        machine.step(now(0), Input::Rows(rows));
        machine
    }

    /// Returns the state after `event` and the reactions of the nodes.
    fn after(&self, state: &State, event: Event) -> State {
        let mut state = state.clone();
        match event {
            Event::Deliver(k) => {
                let (from, to, packet) = state.in_flight.remove(k);
                self.deliver(&mut state, from, to, packet);
            }
            Event::Lose(k) => {
                state.in_flight.remove(k);
            }
            Event::Duplicate(k) => {
                let (from, to, packet) = state.in_flight[k].clone();
                state.duplicates += 1;
                self.deliver(&mut state, from, to, packet);
            }
            Event::FalselySuspect(to, worse) => {
                state.false_suspicions += 1;
                self.falsely_suspect(&mut state, to, worse);
            }
            Event::Drain => {
                let drained = state.nodes[SUBJECT].as_ref().map(|node| node.me().incarnation);
                state.drained = drained;
                self.input(&mut state, SUBJECT, Input::Local(LocalState::Draining { left: None }));
            }
            Event::Announce => {
                state.announced = true;
                if state.drained.is_none() || self.mutant == Mutant::DrainReverted {
                    let version = "2".parse().unwrap();
                    let serving = LocalState::Serving { version, slots: 2 };
                    self.input(&mut state, SUBJECT, Input::Local(serving));
                }
            }
            Event::Crash => state.nodes[SUBJECT] = None,
            Event::Restart => {
                state.restarts += 1;
                state.drained = None;
                state.nodes[SUBJECT] = Some(self.machine(SUBJECT, 10, &[0]));
            }
            Event::Tick(i) => {
                state.ticks += 1;
                self.input(&mut state, i, Input::Tick);
            }
        }
        state.in_flight.sort_by_cached_key(packet_hash);
        self.check_reversal(&mut state);
        state
    }

    fn deliver(&self, state: &mut State, from: usize, to: usize, mut packet: Packet) {
        if to == SUBJECT && self.mutant == Mutant::NoRefutation {
            packet.items.retain(|item| !is_about_subject(item));
        }
        self.input(state, to, Input::Packet { from: address(from), packet });
    }

    /// Delivers to node `to` a record of the subject in a `worse` state, from a node outside the
    /// model.
    fn falsely_suspect(&self, state: &mut State, to: usize, worse: MemberState) {
        let Some(record) = record(state, to) else { return };
        let items = vec![Item::Member(Member { state: worse, ..record })];
        let packet = Packet { from: "n9".parse().unwrap(), body: Body::Push, items };
        self.input(state, to, Input::Packet { from: address(9), packet });
    }

    fn input(&self, state: &mut State, i: usize, input: Input) {
        let time = now(state.ticks);
        let Some(node) = &mut state.nodes[i] else { return };
        for action in node.step(time, input) {
            if let Action::Send { to, packet } = action {
                if index(to) < NODES && state.in_flight.len() < self.max_in_flight() {
                    state.in_flight.push((i, index(to), packet));
                }
            }
        }
    }

    /// Records a violation if an observer's record of the subject is lower than before.
    fn check_reversal(&self, state: &mut State) {
        for observer in 0..SUBJECT {
            let current = record(state, observer).map(|m| (m.incarnation, m.state));
            let Some(current) = current else { continue };
            if current < state.highest[observer] {
                let violation = format!(
                    "node {observer} reverted from {:?} to {current:?}",
                    state.highest[observer]
                );
                state.violation = Some(violation);
            }
            state.highest[observer] = state.highest[observer].max(current);
        }
    }

    /// Returns the nodes after table exchanges between all of them, in an order that lets every
    /// refutation reach both observers.
    fn converge(&self, state: &State) -> Vec<Option<Membership>> {
        let mut nodes = state.nodes.clone();
        for (a, b) in [(2, 0), (2, 1), (2, 0), (2, 1), (0, 1)] {
            self.exchange(&mut nodes, a, b);
        }
        nodes
    }

    /// Exchanges the members of nodes `a` and `b` in both directions, unless one has crashed.
    fn exchange(&self, nodes: &mut [Option<Membership>], a: usize, b: usize) {
        let (Some(mut first), Some(mut second)) = (nodes[a].clone(), nodes[b].clone()) else {
            return;
        };
        let is_subject_deaf = self.mutant == Mutant::NoRefutation;
        let sent_items = |node: &Membership, to: usize| -> Vec<Item> {
            let items = node.table().members().cloned().map(Item::Member);
            items
                .filter(|item| !(is_subject_deaf && to == SUBJECT && is_about_subject(item)))
                .collect()
        };
        let offer = ExchangeRequest { items: sent_items(&first, b), ..ExchangeRequest::default() };
        second.answer_exchange(now(3), &offer);
        let answer =
            ExchangeRequest { items: sent_items(&second, a), ..ExchangeRequest::default() };
        first.answer_exchange(now(3), &answer);
        (nodes[a], nodes[b]) = (Some(first), Some(second));
    }
}

/// Returns a hash by which datagrams in flight are sorted, so that states that differ only in the
/// order of sending are equal.
fn packet_hash(entry: &(usize, usize, Packet)) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    hasher.finish()
}

fn is_about_subject(item: &Item) -> bool {
    item.key() == ItemKey::Member("n2".parse().unwrap())
}

/// Returns the subject's record in an observer's table.
fn record(state: &State, observer: usize) -> Option<Member> {
    let subject = "n2".parse().unwrap();
    state.nodes[observer].as_ref()?.table().member(&subject).cloned()
}

impl Model for System {
    type State = State;
    type Action = Event;

    fn starts(&self) -> Vec<State> {
        let nodes = (0..NODES).map(|i| Some(self.machine(i, 1, &[0, 1, 2]))).collect();
        vec![State {
            nodes,
            in_flight: Vec::new(),
            highest: vec![(Incarnation(1), MemberState::Serving); SUBJECT],
            drained: None,
            false_suspicions: 0,
            restarts: 0,
            duplicates: 0,
            ticks: 0,
            announced: false,
            violation: None,
        }]
    }

    fn next(&self, state: &State) -> Vec<(Event, State)> {
        let mut events = Vec::new();
        for k in 0..state.in_flight.len() {
            events.extend([Event::Deliver(k), Event::Lose(k)]);
            if state.duplicates < 1 {
                events.push(Event::Duplicate(k));
            }
        }
        if state.false_suspicions < self.max_false_suspicions() {
            events.push(Event::FalselySuspect(0, MemberState::Suspect));
            events.push(Event::FalselySuspect(1, MemberState::Dead));
        }
        if state.ticks < self.max_ticks() {
            events.push(Event::Tick(1));
        }
        match (self.scope, &state.nodes[SUBJECT]) {
            (Scope::Replacement, Some(_)) => events.push(Event::Crash),
            (Scope::Replacement, None) if state.restarts < 1 => events.push(Event::Restart),
            (Scope::Replacement, None) => {}
            (Scope::Drain, _) => {
                if state.drained.is_none() {
                    events.push(Event::Drain);
                }
                if !state.announced {
                    events.push(Event::Announce);
                }
            }
        }
        events.into_iter().map(|event| (event, self.after(state, event))).collect()
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if let Some(violation) = &state.violation {
            return Err(violation.clone());
        }
        check_drain(state)?;
        check_agreement(state, &self.converge(state))
    }
}

/// Checks that no node has a draining subject in a state in which it would be called.
fn check_drain(state: &State) -> Result<(), String> {
    let Some(drained) = state.drained.filter(|_| state.nodes[SUBJECT].is_some()) else {
        return Ok(());
    };
    for observer in 0..NODES {
        let Some(record) = record(state, observer) else { continue };
        let is_older = record.incarnation < drained;
        let is_uninformed = record.incarnation == drained && observer != SUBJECT;
        if !is_older && !is_uninformed && record.state < MemberState::Draining {
            return Err(format!("node {observer} would call a draining subject: {record:?}"));
        }
    }
    Ok(())
}

/// Checks that after table exchanges the observers agree and have a live subject's own record.
fn check_agreement(state: &State, converged: &[Option<Membership>]) -> Result<(), String> {
    let subject: InstanceId = "n2".parse().unwrap();
    let record = |i: usize| converged[i].as_ref().and_then(|node| node.table().member(&subject));
    if record(0) != record(1) {
        return Err(format!("observers disagree: {:?} and {:?}", record(0), record(1)));
    }
    let (Some(node), Some(_)) = (&converged[SUBJECT], &state.nodes[SUBJECT]) else { return Ok(()) };
    if record(0) != Some(node.me()) {
        let own = node.me();
        return Err(format!("the live subject is {own:?}, but observers have {:?}", record(0)));
    }
    Ok(())
}

fn outcome(mutant: Mutant, scope: Scope) -> Outcome {
    let outcome = explore(&System { mutant, scope }, &Limits { max_states: 100_000 });
    println!("{scope:?}, mutant {mutant:?}: {outcome}");
    outcome
}

/// Returns the property that a mutant violates.
fn violated_property(mutant: Mutant, scope: Scope) -> String {
    match outcome(mutant, scope) {
        Outcome::Broken { property, .. } => property,
        other => panic!("{mutant:?} was not detected: {other}"),
    }
}

/// Guards against an observer that reverts to an older record or disagrees, when the subject
/// crashes, is replaced and is falsely suspected.
#[test]
fn crash_and_replacement_hold_in_every_order_of_events() {
    assert!(matches!(outcome(Mutant::None, Scope::Replacement), Outcome::Holds { .. }));
}

/// Guards against a draining subject that is called again, when it also announces a new version and
/// is falsely suspected.
#[test]
fn a_drain_holds_in_every_order_of_events() {
    assert!(matches!(outcome(Mutant::None, Scope::Drain), Outcome::Holds { .. }));
}

/// Guards against a model that misses a live subject left dead for lack of refutation.
#[test]
fn a_missing_refutation_is_detected() {
    assert!(violated_property(Mutant::NoRefutation, Scope::Replacement).contains("live subject"));
}

/// Guards against a model that misses a dead incarnation revived for lack of tombstones.
#[test]
fn missing_tombstones_are_detected() {
    assert!(violated_property(Mutant::NoTombstones, Scope::Drain).contains("reverted"));
}

/// Guards against a model that misses calls to a subject whose drain was reverted.
#[test]
fn a_reverted_drain_is_detected() {
    assert!(violated_property(Mutant::DrainReverted, Scope::Drain).contains("draining subject"));
}
