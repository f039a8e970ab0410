//! Exhaustive model of applying. One node runs the real [`Apply`] and [`Floor`]; everything around
//! it does whatever it may: the node hears of any accepted head at any moment, in any order and any
//! number of times; peers offer any of the objects that were ever accepted, or some of them;
//! answers are lost; the node restarts with empty memory. An outage of the platform needs no state
//! of its own: it is a run in which every fetch from it is lost and the head row is not read.

mod common;

use bytes::Bytes;
use common::{route, service};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use sycamore_config::{
    Action, Apply, ApplySettings, Encoded, FetchAnswer, Floor, FloorSettings, Input, PeerHead,
    Source,
};
use sycamore_model::{explore, Model, Options, Outcome};
use sycamore_platform::backoff::BackoffSettings;
use sycamore_types::prelude::*;

/// What the node does wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Starts over when it hears of a lower head than the one in force.
    TakesLower,
    /// Puts into force what it has of a manifest.
    TakesPart,
    /// Serves without a floor after a restart.
    NoFloor,
    /// Applies a configuration without checking it as a whole.
    NoCheck,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    apply: Apply,
    floor: Floor,
    /// Fetches under way.
    fetches: Vec<(ConfigHead, Source, Vec<ContentHash>)>,
    /// The version that the instance served last, over restarts.
    served: u64,
    /// The lowest version that the node's floor allows.
    least: u64,
}

#[derive(Debug, Clone, Eq)]
struct State {
    /// Configurations accepted so far.
    accepted: usize,
    crashes: usize,
    node: Node,
    broken: Option<String>,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        (self.accepted, self.crashes) == (other.accepted, other.crashes)
            && self.node == other.node
            && self.broken == other.broken
    }
}

impl Hash for State {
    /// Leaves out the bytes of objects, which are slow to hash; equality compares all.
    fn hash<H: Hasher>(&self, state: &mut H) {
        let node = &self.node;
        (self.accepted, self.crashes, node.served, node.least).hash(state);
        (node.apply.in_force(), node.apply.highest(), node.floor.known()).hash(state);
        node.fetches.hash(state);
    }
}

struct Spread {
    crashes: usize,
    mutant: Mutant,
    configs: Arc<Vec<(Encoded, Vec<Resource>)>>,
}

/// Version 2 has a dangling route, as a release of the daemon with weaker checks could accept it.
fn configs() -> Vec<(Encoded, Vec<Resource>)> {
    let sets = [
        vec![service("counter"), route("tickets", "counter", 100)],
        vec![service("counter"), route("jobs", "bench", 200)],
        vec![service("counter"), route("tickets", "counter", 300)],
    ];
    let numbered = sets.into_iter().zip(1..);
    numbered.map(|(set, v)| (Encoded::new(&set, ConfigVersion(v)), set)).collect()
}

fn fresh() -> Node {
    let backoff = BackoffSettings { base: Duration::ZERO, cap: Duration::ZERO };
    let settings = ApplySettings {
        candidates: 2,
        peer_attempts: 1,
        max_failures: 1,
        max_absent: 1,
        backoff,
        ..ApplySettings::default()
    };
    Node {
        apply: Apply::new(settings),
        floor: Floor::new(FloorSettings { peers: 1, data_centres: 1 }),
        fetches: Vec::new(),
        served: 0,
        least: 0,
    }
}

impl Spread {
    fn step(&self, state: &mut State, input: Input) {
        let heard = match &input {
            Input::Heard { head, .. } => Some(*head),
            _ => None,
        };
        let node = &mut state.node;
        let lower = heard.is_some_and(|head| Some(head.version) < node.apply.in_force());
        if self.mutant == Mutant::TakesLower && lower {
            node.apply = fresh().apply;
            node.apply.step(Time::default(), Input::Floor(ConfigVersion(1)));
        }
        let actions = node.apply.step(Time::default(), input);
        for action in actions {
            self.act(state, action);
        }
    }

    fn act(&self, state: &mut State, action: Action) {
        match action {
            Action::Fetch { head, source, hashes } => {
                state.node.fetches.push((head, source, hashes));
            }
            Action::Apply(snapshot) => self.publish(state, &snapshot),
            Action::Reject { head, .. } => {
                if self.mutant == Mutant::NoCheck {
                    let (_, resources) = &self.configs[head.version.0 as usize - 1];
                    self.publish(state, &unchecked(resources, head.version));
                }
            }
        }
    }

    fn publish(&self, state: &mut State, snapshot: &Snapshot) {
        let version = snapshot.version.0;
        let node = &mut state.node;
        if version < node.served.max(node.least) {
            let before = node.served.max(node.least);
            state.broken = Some(format!("the node goes back from version {before} to {version}"));
        }
        node.served = version;
        if let Some(route) =
            snapshot.routes.iter().find(|r| !snapshot.services.contains_key(&r.service))
        {
            state.broken = Some(format!("the node has the dangling route {}", route.name));
        }
        let whole = match version.checked_sub(1) {
            None => Snapshot::default(),
            Some(at) => unchecked(&self.configs[at as usize].1, ConfigVersion(version)),
        };
        if *snapshot != whole {
            state.broken = Some(format!("the node has version {version} in part"));
        }
    }

    /// The floor became known.
    fn learn(&self, state: &mut State, floor: ConfigVersion) {
        state.node.least = floor.0;
        self.step(state, Input::Floor(floor));
    }

    fn answers(&self, state: &State, moves: &mut Vec<(String, State)>) {
        for (at, (head, source, hashes)) in state.node.fetches.iter().enumerate() {
            let mut offers = vec![("is lost".to_owned(), FetchAnswer::Failed)];
            match source {
                Source::Store => {
                    let pack = self.configs[head.version.0 as usize - 1].0.pack();
                    offers.push(("comes from the store".to_owned(), FetchAnswer::Pack(pack)));
                }
                Source::Peer => offers.extend(self.peer_offers(state, hashes)),
            }
            for (text, answer) in offers {
                let mut next = state.clone();
                next.node.fetches.remove(at);
                if let (Mutant::TakesPart, FetchAnswer::Objects(_)) = (self.mutant, &answer) {
                    let (_, resources) = &self.configs[head.version.0 as usize - 1];
                    self.publish(&mut next, &unchecked(&resources[..1], head.version));
                }
                self.step(&mut next, Input::Fetched { head: *head, answer });
                moves.push((format!("the fetch of version {} {text}", head.version), next));
            }
        }
    }

    /// Some peer holds every accepted configuration; it may send one object or all.
    fn peer_offers(&self, state: &State, hashes: &[ContentHash]) -> Vec<(String, FetchAnswer)> {
        let configs = &self.configs[..state.accepted];
        let bodies = configs
            .iter()
            .flat_map(|(encoded, _)| std::iter::once(&encoded.manifest).chain(&encoded.resources));
        let held: Vec<Bytes> =
            bodies.filter(|body| hashes.contains(&ContentHash::of(body))).cloned().collect();
        let mut offers = Vec::new();
        for body in &held {
            let one = FetchAnswer::Objects(vec![body.clone()]);
            offers.push(("brings one object of a peer".to_owned(), one));
        }
        if held.len() > 1 {
            offers.push(("brings all from a peer".to_owned(), FetchAnswer::Objects(held)));
        }
        offers
    }

    fn hears(&self, state: &State, moves: &mut Vec<(String, State)>) {
        // Whatever was ever sent may arrive now: loss, duplicates and reordering at once.
        for (encoded, _) in &self.configs[..state.accepted] {
            let mut next = state.clone();
            self.step(
                &mut next,
                Input::Heard { head: encoded.head, from: Source::Peer, lead: Duration::ZERO },
            );
            moves.push((format!("the node hears of version {}", encoded.head.version), next));
        }
    }

    fn floors(&self, state: &State, moves: &mut Vec<(String, State)>) {
        if state.node.floor.known().is_some() {
            return;
        }
        let head = state.accepted.checked_sub(1).map(|at| self.configs[at].0.head);
        let mut next = state.clone();
        if let Some(floor) = next.node.floor.read(head) {
            self.learn(&mut next, floor);
        }
        moves.push(("the node reads the head row".to_owned(), next));
        for (encoded, _) in &self.configs[..state.accepted] {
            let head = encoded.head;
            let mut next = state.clone();
            let (instance, data_centre) = (instance(), data_centre());
            let peer_head = PeerHead { instance: &instance, data_centre: &data_centre, head };
            if let Some(floor) = next.node.floor.told(peer_head) {
                // A peer proves no more than its own version: what the instance served before is
                // left out of the check here; the design page weighs how likely it was higher.
                next.node.served = 0;
                self.learn(&mut next, floor);
            }
            moves.push((format!("a peer tells version {} as its head", head.version), next));
        }
    }

    fn crash(&self, state: &State) -> (String, State) {
        let mut next = state.clone();
        next.crashes += 1;
        next.node = Node { served: state.node.served, ..fresh() };
        if self.mutant == Mutant::NoFloor {
            self.step(&mut next, Input::Floor(ConfigVersion(1)));
        }
        ("the node restarts with empty memory".to_owned(), next)
    }
}

fn instance() -> InstanceId {
    InstanceId::new("counter-2").expect("constant identifier")
}

fn data_centre() -> DataCentre {
    DataCentre::new("split").expect("constant identifier")
}

fn unchecked(resources: &[Resource], version: ConfigVersion) -> Snapshot {
    let mut snapshot = Snapshot { version, ..Snapshot::default() };
    for resource in resources {
        match resource.clone() {
            Resource::Service(service) => {
                snapshot.services.insert(service.name.clone(), service);
            }
            Resource::Callers(limits) => snapshot.callers = limits,
            Resource::Route(route) => snapshot.routes.push(route),
        }
    }
    snapshot
}

impl Model for Spread {
    type State = State;
    type Action = String;

    fn starts(&self) -> Vec<State> {
        vec![State { accepted: 0, crashes: 0, node: fresh(), broken: None }]
    }

    fn next(&self, state: &State) -> Vec<(String, State)> {
        if state.broken.is_some() {
            return Vec::new();
        }
        let mut moves = Vec::new();
        if state.accepted < self.configs.len() {
            let next = State { accepted: state.accepted + 1, ..state.clone() };
            moves.push((format!("version {} is accepted", next.accepted), next));
        }
        self.hears(state, &mut moves);
        self.floors(state, &mut moves);
        self.answers(state, &mut moves);
        if state.crashes < self.crashes {
            moves.push(self.crash(state));
        }
        moves
    }

    fn check(&self, state: &State) -> Result<(), String> {
        state.broken.clone().map_or(Ok(()), Err)
    }
}

fn run(crashes: usize, mutant: Mutant) -> Outcome {
    let model = Spread { crashes, mutant, configs: Arc::new(configs()) };
    let outcome = explore(&model, &Options { max_states: 400_000 });
    println!("applying, {crashes} restarts, {mutant:?}: {outcome}");
    outcome
}

#[test]
fn nothing_goes_back_dangles_or_is_applied_in_part() {
    let outcome = run(1, Mutant::None);
    assert!(matches!(outcome, Outcome::Holds { .. }), "{outcome}");
}

#[test]
fn mutants_are_caught() {
    for mutant in [Mutant::TakesLower, Mutant::TakesPart, Mutant::NoFloor, Mutant::NoCheck] {
        assert!(matches!(run(1, mutant), Outcome::Broken { .. }), "{mutant:?}");
    }
}
