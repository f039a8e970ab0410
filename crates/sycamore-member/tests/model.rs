//! Every order of events in a small system of the real machines: two observers and one subject
//! that drains, dies, is replaced and is falsely accused, with datagrams lost, doubled and late.
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
/// The two observers and the subject.
const NODES: usize = 3;
const SUBJECT: usize = 2;

/// A deliberate fault in the protocol, which a property must catch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// The subject never hears what is said of it.
    NoRefutation,
    /// Dead members are forgotten at once.
    NoTombstones,
    /// A node that drains serves again when its upstream announces itself.
    DrainForgotten,
}

/// Which events of the subject's life are explored together; all of them would be too many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Death and replacement.
    Replacement,
    /// A new version, and a drain.
    Drain,
}

struct System {
    mutant: Mutant,
    scope: Scope,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Option<Membership>>,
    under_way: Vec<(usize, usize, Packet)>,
    /// The highest record of the subject that each observer has held.
    seen: Vec<(Incarnation, MemberState)>,
    /// The subject's incarnation when it began to drain.
    drained: Option<Incarnation>,
    accusations: u8,
    restarts: u8,
    doubles: u8,
    ticks: u8,
    announced: bool,
    fault: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Deliver(usize),
    Lose(usize),
    Double(usize),
    Accuse(usize, MemberState),
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
    }
}

/// The first tick is late enough for a sweep of what has expired.
fn now(ticks: u8) -> Now {
    Now { mono: Time::from_secs(2 * u64::from(ticks)), wall: WALL }
}

impl System {
    /// Datagrams under way at most; more are lost.
    fn under_way(&self) -> usize {
        match self.scope {
            Scope::Replacement => 4,
            Scope::Drain => 2,
        }
    }

    /// Ticks of an observer at most.
    fn ticks(&self) -> u8 {
        match self.scope {
            Scope::Replacement => 3,
            Scope::Drain => 1,
        }
    }

    /// False accusations of the subject at most.
    fn accusations(&self) -> u8 {
        match self.scope {
            Scope::Replacement => 3,
            Scope::Drain => 1,
        }
    }

    fn options(&self) -> Options {
        let forgetful = self.mutant == Mutant::NoTombstones;
        let defaults = Options::default();
        Options {
            fanout: 2,
            remote_fanout: 0,
            retransmits: 1,
            probe_interval: Duration::from_secs(100),
            exchange_interval: Duration::from_secs(1_000),
            patience: Duration::from_secs(1_000),
            dead_retention: if forgetful { Duration::ZERO } else { defaults.dead_retention },
            ..defaults
        }
    }

    fn machine(&self, i: usize, incarnation: u64, contacts: &[usize]) -> Membership {
        let mut machine = Membership::new(member(i, incarnation), self.options(), 1, now(0));
        let rows = contacts.iter().map(|contact| member(*contact, 1)).collect();
        machine.step(now(0), Input::Rows(rows));
        machine
    }

    /// What happens in `state`, and what nodes do about it.
    fn after(&self, state: &State, event: Event) -> State {
        let mut state = state.clone();
        match event {
            Event::Deliver(k) => {
                let (from, to, packet) = state.under_way.remove(k);
                self.deliver(&mut state, from, to, packet);
            }
            Event::Lose(k) => {
                state.under_way.remove(k);
            }
            Event::Double(k) => {
                let (from, to, packet) = state.under_way[k].clone();
                state.doubles += 1;
                self.deliver(&mut state, from, to, packet);
            }
            Event::Accuse(to, worse) => {
                state.accusations += 1;
                self.accuse(&mut state, to, worse);
            }
            Event::Drain => {
                let drained = state.nodes[SUBJECT].as_ref().map(|node| node.me().incarnation);
                state.drained = drained;
                self.input(&mut state, SUBJECT, Input::Local(LocalState::Draining));
            }
            Event::Announce => {
                state.announced = true;
                if state.drained.is_none() || self.mutant == Mutant::DrainForgotten {
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
        state.under_way.sort_by_cached_key(order);
        self.remember(&mut state);
        state
    }

    fn deliver(&self, state: &mut State, from: usize, to: usize, mut packet: Packet) {
        if to == SUBJECT && self.mutant == Mutant::NoRefutation {
            packet.items.retain(|item| !is_about_subject(item));
        }
        self.input(state, to, Input::Packet { from: address(from), packet });
    }

    /// Somebody outside tells node `to` that the subject is worse than that node holds it for.
    fn accuse(&self, state: &mut State, to: usize, worse: MemberState) {
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
                if index(to) < NODES && state.under_way.len() < self.under_way() {
                    state.under_way.push((i, index(to), packet));
                }
            }
        }
    }

    /// Compares what observers hold with what they held before.
    fn remember(&self, state: &mut State) {
        for observer in 0..SUBJECT {
            let held = record(state, observer).map(|m| (m.incarnation, m.state));
            let Some(held) = held else { continue };
            if held < state.seen[observer] {
                let fault = format!(
                    "node {observer} went back from {:?} to {held:?}",
                    state.seen[observer]
                );
                state.fault = Some(fault);
            }
            state.seen[observer] = state.seen[observer].max(held);
        }
    }

    /// Lets all nodes compare their tables until nothing changes.
    fn settle(&self, state: &State) -> Vec<Option<Membership>> {
        let mut nodes = state.nodes.clone();
        for (a, b) in [(2, 0), (2, 1), (2, 0), (2, 1), (0, 1)] {
            self.exchange(&mut nodes, a, b);
        }
        nodes
    }

    fn exchange(&self, nodes: &mut [Option<Membership>], a: usize, b: usize) {
        let (Some(mut asking), Some(mut asked)) = (nodes[a].clone(), nodes[b].clone()) else {
            return;
        };
        let deaf = self.mutant == Mutant::NoRefutation;
        let said = |node: &Membership, to: usize| -> Vec<Item> {
            let items = node.table().members().cloned().map(Item::Member);
            items.filter(|item| !(deaf && to == SUBJECT && is_about_subject(item))).collect()
        };
        let offer = ExchangeRequest { items: said(&asking, b), ..ExchangeRequest::default() };
        asked.answer(now(3), &offer);
        let answer = ExchangeRequest { items: said(&asked, a), ..ExchangeRequest::default() };
        asking.answer(now(3), &answer);
        (nodes[a], nodes[b]) = (Some(asking), Some(asked));
    }
}

/// An order that doesn't depend on which datagram was sent first.
fn order(entry: &(usize, usize, Packet)) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    hasher.finish()
}

fn is_about_subject(item: &Item) -> bool {
    item.key() == ItemKey::Member("n2".parse().unwrap())
}

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
            under_way: Vec::new(),
            seen: vec![(Incarnation(1), MemberState::Serving); SUBJECT],
            drained: None,
            accusations: 0,
            restarts: 0,
            doubles: 0,
            ticks: 0,
            announced: false,
            fault: None,
        }]
    }

    fn next(&self, state: &State) -> Vec<(Event, State)> {
        let mut events = Vec::new();
        for k in 0..state.under_way.len() {
            events.extend([Event::Deliver(k), Event::Lose(k)]);
            if state.doubles < 1 {
                events.push(Event::Double(k));
            }
        }
        if state.accusations < self.accusations() {
            events.push(Event::Accuse(0, MemberState::Suspect));
            events.push(Event::Accuse(1, MemberState::Dead));
        }
        if state.ticks < self.ticks() {
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
        if let Some(fault) = &state.fault {
            return Err(fault.clone());
        }
        check_drain(state)?;
        check_agreement(state, &self.settle(state))
    }
}

/// Nobody holds a subject that drains for fit to get work.
fn check_drain(state: &State) -> Result<(), String> {
    let Some(drained) = state.drained.filter(|_| state.nodes[SUBJECT].is_some()) else {
        return Ok(());
    };
    for observer in 0..NODES {
        let Some(held) = record(state, observer) else { continue };
        let older = held.incarnation < drained;
        let same_but_not_told = held.incarnation == drained && observer != SUBJECT;
        if !older && !same_but_not_told && held.state < MemberState::Draining {
            return Err(format!("node {observer} gives work to a subject that drains: {held:?}"));
        }
    }
    Ok(())
}

/// Once tables are compared all nodes agree, and hold a living subject for what it says it is.
fn check_agreement(state: &State, settled: &[Option<Membership>]) -> Result<(), String> {
    let subject: InstanceId = "n2".parse().unwrap();
    let held = |i: usize| settled[i].as_ref().and_then(|node| node.table().member(&subject));
    if held(0) != held(1) {
        return Err(format!("observers disagree: {:?} and {:?}", held(0), held(1)));
    }
    let (Some(node), Some(_)) = (&settled[SUBJECT], &state.nodes[SUBJECT]) else { return Ok(()) };
    if held(0) != Some(node.me()) {
        let said = node.me();
        return Err(format!("the living subject is {said:?} and is held for {:?}", held(0)));
    }
    Ok(())
}

fn outcome(mutant: Mutant, scope: Scope) -> Outcome {
    let outcome = explore(&System { mutant, scope }, &Limits { max_states: 100_000 });
    println!("{scope:?}, mutant {mutant:?}: {outcome}");
    outcome
}

fn broken(mutant: Mutant, scope: Scope) -> String {
    match outcome(mutant, scope) {
        Outcome::Broken { property, .. } => property,
        other => panic!("{mutant:?} was not caught: {other}"),
    }
}

#[test]
fn death_and_replacement_hold_in_every_order_of_events() {
    assert!(matches!(outcome(Mutant::None, Scope::Replacement), Outcome::Holds { .. }));
}

#[test]
fn a_drain_holds_in_every_order_of_events() {
    assert!(matches!(outcome(Mutant::None, Scope::Drain), Outcome::Holds { .. }));
}

#[test]
fn without_refutation_a_living_instance_stays_dead() {
    assert!(broken(Mutant::NoRefutation, Scope::Replacement).contains("living subject"));
}

#[test]
fn without_tombstones_a_dead_incarnation_returns() {
    assert!(broken(Mutant::NoTombstones, Scope::Drain).contains("went back"));
}

#[test]
fn a_forgotten_drain_gets_work() {
    assert!(broken(Mutant::DrainForgotten, Scope::Drain).contains("drains"));
}
