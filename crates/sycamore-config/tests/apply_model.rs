//! Exhaustive model of applying configurations. One node runs the real [`Apply`] and [`Floor`]; the
//! environment is nondeterministic.
//!
//! The node learns any accepted head at any time, in any order and any number of times. Peers offer
//! all or one of the requested objects, and whole or partial deltas between any accepted
//! configurations. Answers are lost, and the node restarts with empty memory.
//! A platform outage needs no state of its own: it is a run in which every fetch from the platform
//! fails and the head row is not read.

mod common;

use bytes::Bytes;
use common::{route, service};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use sycamore_config::{
    Action, Apply, ApplySettings, Delta, Encoded, FetchAnswer, Floor, FloorSettings, Input,
    PeerHead, Source,
};
use sycamore_model::{explore, Model, Options, Outcome};
use sycamore_platform::backoff::BackoffSettings;
use sycamore_types::prelude::*;

/// Deliberate fault of the node, which the model must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Resets the state machine when it learns a head lower than the one in force.
    AppliesLower,
    /// Applies the first resource of a manifest alone.
    AppliesPartially,
    /// Serves without a version floor after a restart.
    NoFloor,
    /// Applies a configuration without validating it.
    NoValidation,
}

/// State of the modelled node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    apply: Apply,
    floor: Floor,
    /// Pending fetches.
    fetches: Vec<(ConfigHead, Source, Vec<ContentHash>)>,
    /// Version that the instance served last, kept across restarts.
    served: u64,
    /// Lowest version that the node's floor allows.
    min_version: u64,
}

#[derive(Debug, Clone, Eq)]
struct State {
    /// Number of configurations accepted so far.
    accepted: usize,
    crashes: usize,
    node: Node,
    /// First violated property.
    violation: Option<String>,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        (self.accepted, self.crashes) == (other.accepted, other.crashes)
            && self.node == other.node
            && self.violation == other.violation
    }
}

impl Hash for State {
    /// Omits the bytes of objects, which are slow to hash; equality compares everything.
    fn hash<H: Hasher>(&self, state: &mut H) {
        let node = &self.node;
        (self.accepted, self.crashes, node.served, node.min_version).hash(state);
        (node.apply.in_force(), node.apply.highest(), node.floor.known()).hash(state);
        node.fetches.hash(state);
    }
}

/// Model of one node and its environment.
struct ApplyModel {
    crashes: usize,
    mutant: Mutant,
    configs: Arc<Vec<(Encoded, Vec<Resource>)>>,
}

/// Returns three configurations. Version 2 has a dangling route, as a release of the daemon with
/// weaker validation could accept it.
fn configs() -> Vec<(Encoded, Vec<Resource>)> {
    let sets = [
        vec![service("counter"), route("tickets", "counter", 100)],
        vec![service("counter"), route("jobs", "bench", 200)],
        vec![service("counter"), route("tickets", "counter", 300)],
    ];
    let numbered = sets.into_iter().zip(1..);
    numbered.map(|(set, v)| (Encoded::new(&set, ConfigVersion(v)), set)).collect()
}

/// Returns a node that has just started.
fn new_node() -> Node {
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
        min_version: 0,
    }
}

impl ApplyModel {
    fn step(&self, state: &mut State, input: Input) {
        let learned = match &input {
            Input::HeadLearned { head, .. } => Some(*head),
            _ => None,
        };
        let node = &mut state.node;
        let is_lower = learned.is_some_and(|head| Some(head.version) < node.apply.in_force());
        if self.mutant == Mutant::AppliesLower && is_lower {
            node.apply = new_node().apply;
            node.apply.step(Time::default(), Input::Floor(ConfigVersion(1)));
        }
        let actions = node.apply.step(Time::default(), input);
        for action in actions {
            self.perform(state, action);
        }
    }

    fn perform(&self, state: &mut State, action: Action) {
        match action {
            Action::Fetch { head, source, hashes, .. } => {
                state.node.fetches.push((head, source, hashes));
            }
            // The delay of requests never passes, as time stands still: deltas arrive unrequested.
            Action::RequestDelta { .. } => {}
            Action::Apply(snapshot) => self.apply(state, &snapshot),
            Action::Reject { head, .. } => {
                if self.mutant == Mutant::NoValidation {
                    let (_, resources) = &self.configs[head.version.0 as usize - 1];
                    self.apply(state, &unvalidated(resources, head.version));
                }
            }
        }
    }

    /// Puts `snapshot` into force and checks it against the model's properties.
    fn apply(&self, state: &mut State, snapshot: &Snapshot) {
        let version = snapshot.version.0;
        let node = &mut state.node;
        if version < node.served.max(node.min_version) {
            let previous = node.served.max(node.min_version);
            let violation =
                format!("version {version} is applied below served version or floor {previous}");
            state.violation = Some(violation);
        }
        node.served = version;
        if let Some(route) =
            snapshot.routes.iter().find(|r| !snapshot.services.contains_key(&r.service))
        {
            state.violation = Some(format!("dangling route {} is in force", route.name));
        }
        let expected = match version.checked_sub(1) {
            None => Snapshot::default(),
            Some(at) => unvalidated(&self.configs[at as usize].1, ConfigVersion(version)),
        };
        if *snapshot != expected {
            state.violation = Some(format!("version {version} is partially in force"));
        }
    }

    /// Passes the determined floor to the state machine.
    fn set_floor(&self, state: &mut State, floor: ConfigVersion) {
        state.node.min_version = floor.0;
        self.step(state, Input::Floor(floor));
    }

    /// Adds the possible results of every pending fetch.
    fn fetch_results(&self, state: &State, transitions: &mut Vec<(String, State)>) {
        for (at, (head, source, hashes)) in state.node.fetches.iter().enumerate() {
            let mut offers = vec![("fails".to_owned(), FetchAnswer::Failed)];
            match source {
                Source::Store => {
                    let pack = self.configs[head.version.0 as usize - 1].0.pack();
                    offers.push((
                        "returns the pack from the store".to_owned(),
                        FetchAnswer::Pack(pack),
                    ));
                }
                Source::Peer => offers.extend(self.peer_offers(state, hashes)),
            }
            for (text, answer) in offers {
                let mut next = state.clone();
                next.node.fetches.remove(at);
                if let (Mutant::AppliesPartially, FetchAnswer::Objects(_)) = (self.mutant, &answer)
                {
                    let (_, resources) = &self.configs[head.version.0 as usize - 1];
                    self.apply(&mut next, &unvalidated(&resources[..1], head.version));
                }
                self.step(&mut next, Input::Fetched { head: *head, answer });
                transitions.push((format!("the fetch of version {} {text}", head.version), next));
            }
        }
    }

    /// Returns the answers of a peer that holds every accepted configuration: one of the requested
    /// objects or all of them.
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
            offers.push(("returns one object from a peer".to_owned(), one));
        }
        if held.len() > 1 {
            offers.push(("returns all objects from a peer".to_owned(), FetchAnswer::Objects(held)));
        }
        offers
    }

    /// Adds the deltas between all accepted configurations, each whole and, as a faulty peer would
    /// send it, without the resources that it adds.
    fn deltas(&self, state: &State, transitions: &mut Vec<(String, State)>) {
        let configs = &self.configs[..state.accepted];
        for (from, _) in configs {
            for (to, _) in configs {
                let whole = delta(from, to);
                let partial = Delta { added: Vec::new(), ..whole.clone() };
                for (text, delta) in [("a", whole), ("a partial", partial)] {
                    let mut next = state.clone();
                    self.step(&mut next, Input::DeltaReceived(delta));
                    let (from, to) = (from.head.version, to.head.version);
                    transitions.push((format!("a peer sends {text} delta {from} to {to}"), next));
                }
            }
        }
    }

    /// Adds the announcement of every accepted head. Any of them may arrive at any time, which
    /// models loss, duplication and reordering at once.
    fn announcements(&self, state: &State, transitions: &mut Vec<(String, State)>) {
        for (encoded, _) in &self.configs[..state.accepted] {
            let mut next = state.clone();
            self.step(
                &mut next,
                Input::HeadLearned {
                    head: encoded.head,
                    from: Source::Peer,
                    fetch_delay: Duration::ZERO,
                },
            );
            transitions
                .push((format!("the node learns of version {}", encoded.head.version), next));
        }
    }

    /// Adds the ways to determine the version floor: the head row, or the head of one peer.
    fn floor_sources(&self, state: &State, transitions: &mut Vec<(String, State)>) {
        if state.node.floor.known().is_some() {
            return;
        }
        let head = state.accepted.checked_sub(1).map(|at| self.configs[at].0.head);
        let mut next = state.clone();
        if let Some(floor) = next.node.floor.on_head_row(head) {
            self.set_floor(&mut next, floor);
        }
        transitions.push(("the node reads the head row".to_owned(), next));
        for (encoded, _) in &self.configs[..state.accepted] {
            let head = encoded.head;
            let mut next = state.clone();
            let (instance, data_centre) = (instance(), data_centre());
            let peer_head = PeerHead { instance: &instance, data_centre: &data_centre, head };
            if let Some(floor) = next.node.floor.on_peer_head(peer_head) {
                // A peer proves no more than its own version, so the check ignores the version that
                // the instance served before. The design page estimates how often it was higher.
                next.node.served = 0;
                self.set_floor(&mut next, floor);
            }
            transitions
                .push((format!("a peer reports version {} as its head", head.version), next));
        }
    }

    fn crash(&self, state: &State) -> (String, State) {
        let mut next = state.clone();
        next.crashes += 1;
        next.node = Node { served: state.node.served, ..new_node() };
        if self.mutant == Mutant::NoFloor {
            self.step(&mut next, Input::Floor(ConfigVersion(1)));
        }
        ("the node restarts with empty memory".to_owned(), next)
    }
}

/// Returns the difference between two configurations.
fn delta(from: &Encoded, to: &Encoded) -> Delta {
    let lacks = |of: &Encoded, body: &Bytes| !of.resources.contains(body);
    let removed = from.resources.iter().filter(|body| lacks(to, body));
    let added = to.resources.iter().filter(|body| lacks(from, body));
    Delta {
        base: from.head.manifest,
        head: to.head,
        removed: removed.map(|body| ContentHash::of(body)).collect(),
        added: added.cloned().collect(),
    }
}

fn instance() -> InstanceId {
    InstanceId::new("counter-2").expect("constant identifier")
}

fn data_centre() -> DataCentre {
    DataCentre::new("split").expect("constant identifier")
}

/// Builds a snapshot without validation.
fn unvalidated(resources: &[Resource], version: ConfigVersion) -> Snapshot {
    let mut snapshot = Snapshot { version, ..Snapshot::default() };
    let mut routes = Vec::new();
    for resource in resources {
        match resource.clone() {
            Resource::Service(service) => {
                snapshot.services.insert(service.name.clone(), service);
            }
            Resource::Callers(limits) => snapshot.callers = limits,
            Resource::Route(route) => routes.push(route),
            Resource::Account(_) => unreachable!("the model has no accounts"),
        }
    }
    snapshot.routes = routes.into();
    snapshot
}

impl Model for ApplyModel {
    type State = State;
    type Action = String;

    fn starts(&self) -> Vec<State> {
        vec![State { accepted: 0, crashes: 0, node: new_node(), violation: None }]
    }

    fn next(&self, state: &State) -> Vec<(String, State)> {
        if state.violation.is_some() {
            return Vec::new();
        }
        let mut transitions = Vec::new();
        if state.accepted < self.configs.len() {
            let next = State { accepted: state.accepted + 1, ..state.clone() };
            transitions.push((format!("version {} is accepted", next.accepted), next));
        }
        self.announcements(state, &mut transitions);
        self.deltas(state, &mut transitions);
        self.floor_sources(state, &mut transitions);
        self.fetch_results(state, &mut transitions);
        if state.crashes < self.crashes {
            transitions.push(self.crash(state));
        }
        transitions
    }

    fn check(&self, state: &State) -> Result<(), String> {
        state.violation.clone().map_or(Ok(()), Err)
    }
}

fn run(crashes: usize, mutant: Mutant) -> Outcome {
    let model = ApplyModel { crashes, mutant, configs: Arc::new(configs()) };
    let outcome = explore(&model, &Options { max_states: 400_000 });
    println!("applying, {crashes} restarts, {mutant:?}: {outcome}");
    outcome
}

/// Guards against a node that applies an older, invalid or incomplete configuration under any order
/// of announcements, fetch results and one restart.
#[test]
fn applied_configurations_are_never_older_dangling_or_partial() {
    let outcome = run(1, Mutant::None);
    assert!(matches!(outcome, Outcome::Holds { .. }), "{outcome}");
}

/// Guards against a model that is too weak: each deliberate fault must violate a property.
#[test]
fn every_mutant_is_detected() {
    for mutant in
        [Mutant::AppliesLower, Mutant::AppliesPartially, Mutant::NoFloor, Mutant::NoValidation]
    {
        assert!(matches!(run(1, mutant), Outcome::Broken { .. }), "{mutant:?}");
    }
}
