//! Watchers of the operators' rows in fleets of the size designed for, on faked time.
//!
//! Every node runs the real [`Watch`], [`Apply`] and [`HeldRequests`]. The platform counts the calls
//! that it gets. Datagrams may be lost, nodes may be cut off from the platform or from their peers,
//! and be killed.

mod common;

use common::{route, service};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;
use sycamore_config::delta::{HeldRequests, MAX_DATAGRAM_DELTA};
use sycamore_config::watch::{watchers, Ask};
use sycamore_config::{
    Action, Apply, ApplySettings, Delta, Encoded, FetchAnswer, Input, Role, Source, Watch,
    WatchSettings,
};
use sycamore_types::prelude::*;

/// Time of a datagram between two nodes.
const DATAGRAM_TIME: Duration = Duration::from_millis(2);
/// Time of a read of the operators' row: 400 KB over a link of 20 Mbit/s.
const ROW_TIME: Duration = Duration::from_millis(160);
/// Time of a fetch from a peer, with a new connection.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// Longest wait of a watch.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Time from the acknowledgement of a change within which it must be in force: the shorter one of
/// the large deployments.
const APPLY_WITHIN: Duration = Duration::from_millis(2_500);
/// Pause of a watcher after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Interval of the checks of roles.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Nodes that a head is pushed to.
const HEADS_PUSHED: usize = 6;
const ROUTES: u64 = 60;
const NOT_READING: usize = 0;

fn settings() -> WatchSettings {
    WatchSettings { max_age: APPLY_WITHIN.mul_f64(0.4), ..WatchSettings::default() }
}

/// Configuration `version`, which differs from the one before in one route.
fn config(version: u64) -> Encoded {
    let routes = (0..ROUTES).map(|at| {
        let latest = version - (version + ROUTES - at) % ROUTES % (version + 1);
        route(&format!("r{at}"), "counter", 1_000 + latest)
    });
    let resources: Vec<Resource> = std::iter::once(service("counter")).chain(routes).collect();
    Encoded::new(&resources, ConfigVersion(version))
}

fn instance(at: usize) -> InstanceId {
    InstanceId::new(format!("node-{at}")).expect("a valid name")
}

fn number(instance: &InstanceId) -> usize {
    instance.as_str().trim_start_matches("node-").parse().expect("a node's name")
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Check,
    Tick,
    Request {
        from: usize,
        base: ContentHash,
    },
    Delta(Vec<u8>),
    Current {
        head: Option<ConfigHead>,
        age: Duration,
    },
    Head(ConfigHead),
    Fetched {
        head: ConfigHead,
        from: usize,
    },
    /// End of the read with this number, which brings this version.
    Row(u64, usize),
    ReadFailed,
}

struct Node {
    apply: Apply,
    watch: Watch,
    held: HeldRequests,
    role: Role,
    /// Number of the current read, [`NOT_READING`] without one.
    reading: usize,
    /// Time until which the current watch waits.
    watching_until: Option<Time>,
    /// Highest version read from the platform.
    read: u64,
    is_up: bool,
    reaches_platform: bool,
    reaches_peers: bool,
    /// Versions whose head the node has pushed to others.
    heads_pushed: BTreeSet<u64>,
}

struct Fleet {
    nodes: Vec<Node>,
    /// Watchers of each data centre.
    watchers: Vec<Vec<usize>>,
    events: BinaryHeap<Reverse<(Time, usize, Event)>>,
    random: SmallRng,
    loss: f64,
    newest: u64,
    written: BTreeMap<u64, Time>,
    reads: usize,
    rows_sent: usize,
    now: Time,
}

impl Fleet {
    fn new(nodes: usize, data_centres: usize) -> Self {
        Self::with_watchers(nodes, data_centres, settings().per_data_centre)
    }

    /// Creates a fleet with version 1 in force, in which `per_data_centre` nodes watch.
    fn with_watchers(nodes: usize, data_centres: usize, per_data_centre: usize) -> Self {
        let first = config(1);
        let start = Time::from_secs(10);
        let members = (0..nodes).map(|at| {
            let member = common::member(instance(at), &format!("dc-{}", at % data_centres));
            (member.instance.clone(), member)
        });
        let view = MemberView { members: members.collect() };
        let choice = WatchSettings { per_data_centre, ..settings() };
        let chosen = (0..data_centres).map(|dc| {
            let dc = DataCentre::new(format!("dc-{dc}")).expect("a valid name");
            let chosen = watchers(&view, &dc, &choice);
            chosen.into_iter().map(|member| number(&member.instance)).collect()
        });
        let mut fleet = Self {
            nodes: Vec::new(),
            watchers: chosen.collect(),
            events: BinaryHeap::new(),
            random: SmallRng::seed_from_u64(7),
            loss: 0.0,
            newest: 1,
            written: BTreeMap::new(),
            reads: 0,
            rows_sent: 0,
            now: start,
        };
        for at in 0..nodes {
            let mut apply = Apply::new(ApplySettings { seed: at as u64, ..Default::default() });
            apply.step(start, Input::Floor(ConfigVersion(1)));
            let (head, pack) = (first.head, first.pack());
            apply.step(start, Input::PackReceived { head, pack });
            let mut watch = Watch::new(settings(), Time::default());
            watch.record_current(start, Duration::ZERO);
            fleet.nodes.push(Node {
                apply,
                watch,
                held: HeldRequests::default(),
                role: Role::Follower,
                reading: NOT_READING,
                watching_until: None,
                read: 1,
                is_up: true,
                reaches_platform: true,
                reaches_peers: true,
                heads_pushed: BTreeSet::new(),
            });
            let jitter = Duration::from_micros(fleet.random.random_range(0..100_000));
            fleet.at(start + jitter, at, Event::Check);
        }
        fleet
    }

    fn at(&mut self, time: Time, to: usize, event: Event) {
        self.events.push(Reverse((time, to, event)));
    }

    /// Sends `event` from one node to another, unless it is lost or one of them is cut off.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        let lost = self.random.random_bool(self.loss);
        if self.nodes[from].reaches_peers && self.nodes[to].reaches_peers && !lost {
            self.at(self.now + DATAGRAM_TIME, to, event);
        }
    }

    fn watchers_of(&self, at: usize) -> Vec<usize> {
        self.watchers[at % self.watchers.len()].clone()
    }

    fn age(&self, at: usize) -> Option<Duration> {
        let node = &self.nodes[at];
        match node.watching_until {
            Some(until) if self.now < until => Some(Duration::ZERO),
            _ => node.watch.age(self.now, node.apply.behind_since()),
        }
    }

    /// Writes the next version and wakes the watches that wait.
    fn write(&mut self) {
        self.newest += 1;
        self.written.insert(self.newest, self.now);
        for at in 0..self.nodes.len() {
            if self.nodes[at].watching_until.is_some() && self.nodes[at].reaches_platform {
                self.nodes[at].watching_until = None;
                self.rows_sent += 1;
                self.at(self.now + ROW_TIME, at, Event::Row(self.newest, self.nodes[at].reading));
            }
        }
    }

    /// Starts a read of the rows at node `at`.
    fn read(&mut self, at: usize) {
        self.reads += 1;
        self.nodes[at].reading = self.reads;
        if !self.nodes[at].reaches_platform {
            return self.at(self.now + RETRY_PAUSE, at, Event::ReadFailed);
        }
        if self.nodes[at].read < self.newest {
            self.rows_sent += 1;
            return self.at(self.now + ROW_TIME, at, Event::Row(self.newest, self.reads));
        }
        let wait =
            if self.nodes[at].role == Role::Watcher { WATCH_TIME } else { settings().max_age / 2 };
        self.nodes[at].watching_until = Some(self.now + wait);
        let newest = self.newest;
        self.at(self.now + wait, at, Event::Row(newest, self.reads));
    }

    fn step(&mut self, at: usize, input: Input) {
        let now = self.now;
        for action in self.nodes[at].apply.step(now, input) {
            match action {
                Action::Fetch { head, .. } => {
                    let peers = self.watchers_of(at);
                    let from = peers[self.random.random_range(0..peers.len())];
                    self.at(now + FETCH_TIME, at, Event::Fetched { head, from });
                }
                Action::RequestDelta { base } => {
                    for _ in 0..3 {
                        let to = self.random.random_range(0..self.nodes.len());
                        self.send(at, to, Event::Request { from: at, base });
                    }
                }
                Action::Apply(snapshot) => self.applied(at, snapshot.version),
                Action::Reject { .. } => {}
            }
        }
        if let Some(due) = self.nodes[at].apply.next_tick() {
            self.at(due.max(now), at, Event::Tick);
        }
    }

    /// Answers the held requests of node `at`, pushes its head and lets it ask for the next version.
    fn applied(&mut self, at: usize, version: ConfigVersion) {
        let now = self.now;
        let Node { apply, held, .. } = &mut self.nodes[at];
        let head = apply.head().expect("a configuration in force");
        for (to, delta) in held.take_answerable(now, |base| apply.delta_from(base)) {
            self.answer(at, number(&to), Some(&delta), head);
        }
        if self.nodes[at].heads_pushed.insert(version.0) {
            for _ in 0..HEADS_PUSHED {
                let to = self.random.random_range(0..self.nodes.len());
                self.send(at, to, Event::Head(head));
            }
        }
        self.nodes[at].watch.record_configuration(now);
        self.request(at);
    }

    fn answer(&mut self, at: usize, to: usize, delta: Option<&Delta>, head: ConfigHead) {
        let encoded = delta.and_then(|delta| delta.encode(MAX_DATAGRAM_DELTA));
        match (encoded, self.age(at)) {
            (Some(encoded), _) => self.send(at, to, Event::Delta(encoded)),
            (None, Some(age)) => self.send(at, to, Event::Current { head: Some(head), age }),
            (None, None) => {}
        }
    }

    /// Sends the request of node `at` for the next configuration if it is due.
    fn request(&mut self, at: usize) {
        let Some(ask) = self.nodes[at].watch.take_request(self.now) else { return };
        let mut to = self.watchers_of(at);
        to.retain(|peer| *peer != at);
        match ask {
            Ask::Watcher => to = to.get(at % to.len().max(1)).into_iter().copied().collect(),
            Ask::Others => to.push(self.random.random_range(0..self.nodes.len())),
        }
        let base = self.nodes[at].apply.delta_base();
        for peer in to {
            self.send(at, peer, Event::Request { from: at, base });
        }
    }

    fn handle(&mut self, at: usize, event: Event) {
        if !self.nodes[at].is_up {
            return;
        }
        match event {
            Event::Check => {
                let is_chosen = self.watchers_of(at).contains(&at);
                let node = &mut self.nodes[at];
                node.role =
                    node.watch.role(self.now, Some(is_chosen), true, node.apply.behind_since());
                if node.role != Role::Follower && node.reading == NOT_READING {
                    self.read(at);
                }
                self.request(at);
                self.at(self.now + CHECK_INTERVAL, at, Event::Check);
            }
            Event::Tick => {
                if self.nodes[at].apply.next_tick().is_some_and(|due| due <= self.now) {
                    self.step(at, Input::Tick);
                }
            }
            Event::Request { from, base } => {
                let delta = self.nodes[at].apply.delta_from(&base);
                let head = self.nodes[at].apply.head().expect("a configuration in force");
                if delta.is_none() {
                    let until = self.now + Duration::from_secs(2);
                    self.nodes[at].held.hold(self.now, until, instance(from), base);
                }
                self.answer(at, from, delta.as_ref(), head);
            }
            Event::Delta(encoded) => {
                let delta = Delta::decode(&encoded).expect("a whole delta");
                self.step(at, Input::DeltaReceived(delta));
            }
            Event::Current { head, age } => {
                self.nodes[at].watch.record_answer(self.now, age);
                if let Some(head) = head {
                    self.learn(at, head, Duration::ZERO);
                }
            }
            Event::Head(head) => {
                let node = &self.nodes[at];
                let is_followed = node.watch.is_followed(self.now, node.apply.behind_since());
                let delay = if is_followed { Duration::from_millis(400) } else { Duration::ZERO };
                self.learn(at, head, delay);
                if self.nodes[at].heads_pushed.insert(head.version.0) {
                    for _ in 0..HEADS_PUSHED {
                        let to = self.random.random_range(0..self.nodes.len());
                        self.send(at, to, Event::Head(head));
                    }
                }
            }
            Event::Fetched { head, from } => {
                let base = self.nodes[at].apply.delta_base();
                let in_force = self.nodes[from].apply.head();
                let reaches = self.nodes[at].reaches_peers && self.nodes[from].reaches_peers;
                let delta = self.nodes[from].apply.delta_from(&base);
                let answer = match delta.filter(|_| reaches && in_force == Some(head)) {
                    Some(delta) => FetchAnswer::Delta(delta),
                    None => FetchAnswer::Failed,
                };
                self.step(at, Input::Fetched { head, answer });
            }
            Event::Row(version, read) => self.take_row(at, version, read),
            Event::ReadFailed => self.nodes[at].reading = NOT_READING,
        }
    }

    fn learn(&mut self, at: usize, head: ConfigHead, fetch_delay: Duration) {
        self.step(at, Input::HeadLearned { head, from: Source::Peer, fetch_delay });
    }

    fn take_row(&mut self, at: usize, version: u64, read: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        // The end of a watch's wait comes too late where a change has ended it.
        let is_over = node.watching_until.is_some_and(|until| now < until);
        if node.reading != read || is_over || version < node.read {
            return;
        }
        node.watching_until = None;
        node.reading = NOT_READING;
        node.watch.record_current(now, Duration::ZERO);
        if version > node.read {
            node.read = version;
            let encoded = config(version);
            self.step(at, Input::PackReceived { head: encoded.head, pack: encoded.pack() });
        }
    }

    /// Plays until `end`; writes a version whenever `write` says so for the elapsed time.
    fn play(&mut self, for_time: Duration) {
        let end = self.now + for_time;
        while let Some(Reverse((time, at, event))) = self.events.pop() {
            if time > end {
                self.events.push(Reverse((time, at, event)));
                break;
            }
            self.now = self.now.max(time);
            self.handle(at, event);
        }
        self.now = end;
    }

    /// Writes `changes` versions, one every `pause`, and returns the longest time from a write
    /// until all nodes that are up had that version or a newer one.
    fn storm(&mut self, changes: u64, pause: Duration) -> Duration {
        let mut longest = Duration::ZERO;
        let (mut applied, last) = (self.newest, self.newest + changes);
        let mut next = self.now;
        let step = Duration::from_millis(10);
        while applied < last {
            if self.newest < last && self.now >= next {
                self.write();
                next = next + pause;
            }
            self.play(step);
            let versions = self.nodes.iter().filter(|node| node.is_up);
            let least = versions.map(|node| node.apply.in_force().map_or(0, |v| v.0)).min();
            while least.is_some_and(|least| applied < least) {
                applied += 1;
                longest = longest.max(self.now.since(self.written[&applied]));
            }
            let overdue = self.written.get(&(applied + 1)).map(|at| self.now.since(*at));
            assert!(overdue < Some(APPLY_WITHIN * 4), "version {} is nowhere near", applied + 1);
        }
        longest
    }
}

/// Guards against a cost of the platform that grows with the fleet: every node followed the rows,
/// and each change woke each of them.
#[test]
fn reads_of_a_change_do_not_grow_with_the_fleet() {
    let mut fleet = Fleet::with_watchers(196, 5, usize::MAX);
    fleet.play(Duration::from_secs(3));
    fleet.rows_sent = 0;
    fleet.storm(2, Duration::from_secs(1));
    assert!(fleet.rows_sent > 2 * 2 * 5, "the test is too weak: {} rows", fleet.rows_sent);
    for (nodes, data_centres) in [(30, 5), (196, 5), (930, 6)] {
        let mut fleet = Fleet::new(nodes, data_centres);
        fleet.play(Duration::from_secs(3));
        fleet.rows_sent = 0;
        let longest = fleet.storm(10, Duration::from_secs(1));
        let most = 10 * 2 * data_centres;
        assert!(fleet.rows_sent <= most, "{} rows to {nodes} nodes, bound {most}", fleet.rows_sent);
        assert!(longest <= APPLY_WITHIN / 2, "{nodes} nodes: in force after {longest:?}");
    }
}

/// Guards against nodes that poll the platform at rest.
#[test]
fn the_fleet_at_rest_makes_no_more_reads_than_its_watchers() {
    for (nodes, data_centres) in [(196, 5), (930, 6)] {
        let mut fleet = Fleet::new(nodes, data_centres);
        fleet.play(Duration::from_secs(3));
        fleet.reads = 0;
        fleet.play(Duration::from_secs(20));
        let most = 2 * data_centres * 6;
        assert!(fleet.reads <= most, "{} reads of {nodes} nodes in 20 s", fleet.reads);
    }
}

/// Guards against a storm of changes in which followers fall behind over lossy links.
#[test]
fn a_storm_over_lossy_links_is_in_force_in_time() {
    for nodes in [196, 930] {
        let mut fleet = Fleet::new(nodes, 5);
        fleet.loss = 0.03;
        fleet.play(Duration::from_secs(3));
        let longest = fleet.storm(12, Duration::from_millis(200));
        assert!(longest <= APPLY_WITHIN / 2, "{nodes} nodes: in force after {longest:?}");
    }
}

/// Guards against watchers that the platform refuses or that are cut off from it: they look alive
/// to their followers.
#[test]
fn watchers_cut_off_from_the_platform_hold_no_version_back() {
    let mut fleet = Fleet::new(196, 5);
    fleet.play(Duration::from_secs(3));
    // Both watchers of two data centres, one of each other.
    for at in 0..5 {
        for watcher in fleet.watchers_of(at).into_iter().take(if at < 2 { 2 } else { 1 }) {
            fleet.nodes[watcher].reaches_platform = false;
            fleet.nodes[watcher].watching_until = None;
            fleet.nodes[watcher].reading = NOT_READING;
        }
    }
    let longest = fleet.storm(20, Duration::from_millis(300));
    assert!(longest <= APPLY_WITHIN, "in force after {longest:?}");
}

/// Guards against a fleet that learns of nothing once all its watchers have failed at the same
/// moment, before any other node knows of it.
#[test]
fn a_fleet_whose_watchers_all_die_reads_for_itself() {
    let mut fleet = Fleet::new(196, 5);
    fleet.play(Duration::from_secs(3));
    for at in 0..5 {
        for watcher in fleet.watchers_of(at) {
            fleet.nodes[watcher].is_up = false;
        }
    }
    let longest = fleet.storm(5, Duration::from_millis(400));
    assert!(longest <= APPLY_WITHIN, "in force after {longest:?}");
}

/// Guards against a node that is cut off from all its peers and waits for them, though it reaches
/// the platform.
#[test]
fn a_node_without_peers_reads_for_itself() {
    let mut fleet = Fleet::new(196, 5);
    fleet.play(Duration::from_secs(3));
    for at in [20, 21, 22, 57] {
        fleet.nodes[at].reaches_peers = false;
    }
    let longest = fleet.storm(5, Duration::from_millis(700));
    assert!(longest <= APPLY_WITHIN, "in force after {longest:?}");
}

/// Guards against a node that knows of a newer configuration, gets it from no peer, and takes the
/// news of it for being current: it would stay behind for ever.
#[test]
fn a_node_that_cannot_get_a_version_from_peers_reads_it() {
    let (start, max_age) = (Time::from_secs(10), settings().max_age);
    let mut watch = Watch::new(settings(), Time::default());
    watch.record_answer(start, Duration::ZERO);
    assert_eq!(watch.role(start, Some(false), true, Some(start)), Role::Follower);
    let later = start + max_age + Duration::from_millis(10);
    watch.record_answer(later, Duration::ZERO);
    assert_eq!(watch.role(later, Some(false), true, None), Role::Follower);
    assert_eq!(watch.role(later, Some(false), true, Some(start)), Role::Stale);
    assert!(watch.age(later, Some(start)) > Some(max_age), "told as current to others");
}
