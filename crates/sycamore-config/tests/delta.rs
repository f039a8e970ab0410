//! Spread of a configuration by deltas through a fleet in which one node can read it.

mod common;

use common::{route, service};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use sycamore_config::delta::{HeldRequests, MAX_DATAGRAM_DELTA};
use sycamore_config::{Action, Apply, ApplySettings, Delta, Encoded, Input, Source};
use sycamore_types::prelude::*;

/// Number of nodes to design for.
const NODES: usize = 930;
/// Peers that a node asks at once.
const PEERS_ASKED: usize = 3;
/// Time for which a node holds a request.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time of a datagram from one node to another.
const DATAGRAM_TIME: Duration = Duration::from_millis(5);
/// Required time until a version is in force everywhere: the shorter one of the deployments'
/// `config_apply`.
const MAX_LAG: Duration = Duration::from_secs(2);
/// Delay of a fetch, longer than the test.
const FETCH_DELAY: Duration = Duration::from_secs(60);

fn config(version: u64) -> Encoded {
    let resources = [service("counter"), route("tickets", "counter", 100 * version)];
    Encoded::new(&resources, ConfigVersion(version))
}

fn instance(node: usize) -> InstanceId {
    InstanceId::new(format!("counter-{node}")).expect("valid identifier")
}

/// Number of the node that is called `instance`.
fn number(instance: &InstanceId) -> usize {
    let number = instance.as_str().trim_start_matches("counter-");
    number.parse().expect("an instance of the fleet")
}

/// Event at a node.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Request { from: usize, base: ContentHash },
    Delta(Vec<u8>),
}

/// Node with the requests that it holds.
struct Node {
    apply: Apply,
    held: HeldRequests,
}

struct Fleet {
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Time, usize, Event)>>,
    random: SmallRng,
    /// Whether nodes hold the requests that they can't answer yet.
    holds_requests: bool,
}

impl Fleet {
    /// Creates a fleet with version 1 in force.
    fn new(holds_requests: bool) -> Self {
        let first = config(1);
        let nodes = (0..NODES).map(|_| {
            let mut apply = Apply::new(ApplySettings::default());
            apply.step(Time::default(), Input::Floor(ConfigVersion(1)));
            let (head, pack) = (first.head, first.pack());
            apply.step(Time::default(), Input::PackReceived { head, pack });
            Node { apply, held: HeldRequests::default() }
        });
        let (nodes, events) = (nodes.collect(), BinaryHeap::new());
        Self { nodes, events, random: SmallRng::seed_from_u64(1), holds_requests }
    }

    /// Sends `event` to node `to` by datagram.
    fn send(&mut self, now: Time, to: usize, event: Event) {
        self.events.push(Reverse((now + DATAGRAM_TIME, to, event)));
    }

    fn send_delta(&mut self, now: Time, to: usize, delta: &Delta) {
        self.send(now, to, Event::Delta(delta.encode(MAX_DATAGRAM_DELTA).expect("a small change")));
    }

    /// Feeds `input` to the machine of node `at` and performs its actions.
    fn step(&mut self, now: Time, at: usize, input: Input) {
        for action in self.nodes[at].apply.step(now, input) {
            match action {
                Action::RequestDelta { base } => {
                    for _ in 0..PEERS_ASKED {
                        let to = self.random.random_range(0..NODES);
                        self.send(now, to, Event::Request { from: at, base });
                    }
                }
                Action::Apply(_) => {
                    let Node { apply, held } = &mut self.nodes[at];
                    for (to, delta) in held.take_answerable(now, |base| apply.delta_from(base)) {
                        self.send_delta(now, number(&to), &delta);
                    }
                }
                Action::Fetch { .. } | Action::Reject { .. } => {}
            }
        }
        if let Some(due) = self.nodes[at].apply.next_tick() {
            self.events.push(Reverse((due.max(now), at, Event::Tick)));
        }
    }

    fn handle(&mut self, now: Time, at: usize, event: Event) {
        match event {
            Event::Tick => {
                if self.nodes[at].apply.next_tick().is_some_and(|due| due <= now) {
                    self.step(now, at, Input::Tick);
                }
            }
            Event::Request { from, base } => match self.nodes[at].apply.delta_from(&base) {
                Some(delta) => self.send_delta(now, from, &delta),
                None if self.holds_requests => {
                    self.nodes[at].held.hold(now, now + HOLD_TIME, instance(from), base)
                }
                None => {}
            },
            Event::Delta(encoded) => {
                let delta = Delta::decode(&encoded).expect("a whole delta");
                self.step(now, at, Input::DeltaReceived(delta));
            }
        }
    }
}

/// Returns the time until version 2 is in force at every node, if one node has read it at the start
/// and all know its head.
fn spread_time(holds_requests: bool) -> Duration {
    let mut fleet = Fleet::new(holds_requests);
    let second = config(2);
    let (start, head) = (Time::default(), second.head);
    for at in 1..NODES {
        let input = Input::HeadLearned { head, from: Source::Peer, fetch_delay: FETCH_DELAY };
        fleet.step(start, at, input);
    }
    fleet.step(start, 0, Input::PackReceived { head, pack: second.pack() });
    let is_behind = |node: &Node| node.apply.in_force() < Some(head.version);
    while let Some(Reverse((now, at, event))) = fleet.events.pop() {
        fleet.handle(now, at, event);
        if !fleet.nodes.iter().any(is_behind) {
            return now.since(start);
        }
    }
    unreachable!("nodes that are behind ask again")
}

/// Guards against a version that reaches a fleet in rounds: while hardly a node has it, most
/// requests reach peers that are behind themselves, and their senders wait ever longer to ask again.
#[test]
fn peers_that_are_behind_pass_a_delta_on_once_they_have_it() {
    let unheld = spread_time(false);
    assert!(unheld > MAX_LAG, "{unheld:?} without holding requests: the test is too weak");
    let held = spread_time(true);
    assert!(held <= MAX_LAG, "in force everywhere after {held:?}");
}
