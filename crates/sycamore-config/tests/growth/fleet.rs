//! Fleet of the real [`Apply`], [`Watch`] and [`HeldRequests`] on faked time.

use super::common;
use super::{
    change_weights, entries, rewritten, FIRST_ROUTES, GROWTH, INCIDENT, LARGE, OTHER_ENTRIES,
};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use sycamore_config::delta::{HeldRequests, MAX_DATAGRAM_DELTA, MAX_FETCHED_DELTA};
use sycamore_config::watch::{watchers, Ask};
use sycamore_config::{
    Action, Apply, ApplySettings, Bundle, Delta, Encoded, FetchAnswer, Input, Role, Source, Watch,
    WatchSettings,
};
use sycamore_peer::limits::{MAX_FETCH_BYTES, MAX_MESSAGE_BYTES};
use sycamore_types::prelude::*;

/// Time of a datagram between two nodes.
const DATAGRAM_TIME: Duration = Duration::from_millis(2);
/// Time of a fetch from a peer with a new connection, without the transfer of the answer.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// Bytes that a link of 20 Mbit/s transfers in a second.
const LINK_BYTES_PER_S: f64 = 2.5e6;
/// Bytes that a link of 10 Mbit/s transfers to a node in a second beside callers' uploads.
const BUSY_LINK_BYTES_PER_S: f64 = 20e3;
/// Longest wait of a watch.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Time from the acknowledgement of a change within which it must be in force: the shorter one of
/// the large deployments.
const APPLY_WITHIN: Duration = Duration::from_millis(2_500);
/// Interval of the checks of roles.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which a node holds a fetch of what it is still fetching itself.
const FETCH_HOLD: Duration = Duration::from_millis(300);
/// Interval of the checks of held fetches.
const FETCH_CHECK: Duration = Duration::from_millis(50);
/// Time for which a node holds a request for a delta.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Delay of a fetch by a node that watches the rows.
const ROW_DELAY: Duration = Duration::from_millis(800);
/// Delay of a fetch by a node that has a request at a watcher.
const DELTA_DELAY: Duration = Duration::from_millis(400);
/// Nodes that a head is pushed to.
const HEADS_PUSHED: usize = 6;
/// Number of encoded deltas that a node keeps.
const CACHED_DELTAS: usize = 8;
const NODES: usize = 196;
const DATA_CENTRES: usize = 4;
const NOT_READING: usize = 0;

/// Operator's row as a reader takes it.
struct OperatorRow {
    bytes: usize,
    /// Head and pack that a reader makes of the row, or the first fault that it finds.
    read: Result<(ConfigHead, Bytes), String>,
    written: Time,
    entries: usize,
}

/// Answer of a peer to a fetch.
#[derive(Clone)]
enum Fetched {
    Delta(Bytes),
    Objects(Vec<Bytes>),
}

/// Time at which a fetch was sent, and its limits.
#[derive(Clone, Copy)]
struct Sent {
    at: Time,
    limit: FetchLimit,
}

#[derive(Clone)]
enum Event {
    Check,
    Tick,
    Request {
        from: usize,
        base: ContentHash,
    },
    Delta(Bytes),
    Current {
        from: usize,
        head: ConfigHead,
        age: Duration,
    },
    Head {
        from: usize,
        head: ConfigHead,
    },
    /// Fetch of node `from`, held until `until` at most.
    Fetch {
        from: usize,
        head: ConfigHead,
        hashes: Vec<ContentHash>,
        base: ContentHash,
        sent: Sent,
        until: Time,
    },
    Fetched {
        head: ConfigHead,
        answer: FetchAnswer,
    },
    /// End of the read with this number, which brings this version.
    Row(u64, usize),
}

struct Node {
    apply: Apply,
    /// Bytes that the node's link transfers to it in a second.
    link_bytes_per_s: f64,
    /// Manifest hashes of the configurations applied, and of those rejected after them.
    past: Vec<ContentHash>,
    watch: Watch,
    held: HeldRequests,
    encoded: VecDeque<(ContentHash, ConfigHead, Option<Bytes>)>,
    /// Highest head that a peer told, and the peer that offered it.
    offered: Option<(ConfigHead, usize)>,
    /// Latest head that a fetch from a peer did not bring.
    missed: Option<ConfigHead>,
    role: Role,
    /// Number of the current read, [`NOT_READING`] without one.
    reading: usize,
    /// Time until which the current watch waits.
    watching_until: Option<Time>,
    /// Highest version read from the platform.
    read: u64,
    rows_read: usize,
    heads_pushed: BTreeSet<u64>,
}

/// Configuration change of a node: what it went through, and the head that it gets.
type Change = (Vec<ContentHash>, ConfigHead);

struct Fleet {
    nodes: Vec<Node>,
    watchers: Vec<Vec<usize>>,
    events: BTreeMap<(Time, usize), (usize, Event)>,
    sequence: usize,
    random: SmallRng,
    rows: BTreeMap<u64, OperatorRow>,
    reads: usize,
    now: Time,
    /// State after each change with the number of nodes that computed it themselves.
    changes: BTreeMap<Change, (Apply, usize)>,
    decoded: BTreeMap<Bytes, Option<Delta>>,
    /// Reasons for which a version did not get to a node.
    obstacles: BTreeMap<String, usize>,
}

fn instance(at: usize) -> InstanceId {
    InstanceId::new(format!("node-{at}")).expect("a valid name")
}

fn number(instance: &InstanceId) -> usize {
    instance.as_str().trim_start_matches("node-").parse().expect("a node's name")
}

fn settings() -> WatchSettings {
    WatchSettings { max_age: APPLY_WITHIN.mul_f64(0.4), ..WatchSettings::default() }
}

impl Node {
    fn new(now: Time) -> Self {
        Self {
            apply: Apply::new(ApplySettings::default()),
            link_bytes_per_s: LINK_BYTES_PER_S,
            past: Vec::new(),
            watch: Watch::new(settings(), now),
            held: HeldRequests::default(),
            encoded: VecDeque::new(),
            offered: None,
            missed: None,
            role: Role::Follower,
            reading: NOT_READING,
            watching_until: None,
            read: 0,
            rows_read: 0,
            heads_pushed: BTreeSet::new(),
        }
    }

    fn transfer_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.link_bytes_per_s)
    }

    fn version(&self) -> u64 {
        self.apply.in_force().unwrap_or_default().0
    }

    /// Encodes a delta as the node's cache of encoded deltas does.
    fn encode(&mut self, delta: &Delta) -> Option<Bytes> {
        let cached = self.encoded.iter().find(|(b, h, _)| (*b, *h) == (delta.base, delta.head));
        if let Some((_, _, encoded)) = cached {
            return encoded.clone();
        }
        let encoded = delta.encode(MAX_FETCHED_DELTA).map(Bytes::from);
        if self.encoded.len() == CACHED_DELTAS {
            self.encoded.pop_front();
        }
        self.encoded.push_back((delta.base, delta.head, encoded.clone()));
        encoded
    }

    /// Returns the answer to a peer's fetch; `None` while the node fetches what it asks for.
    fn reply(&mut self, hashes: &[ContentHash], base: &ContentHash) -> Option<Fetched> {
        let in_force = self.apply.head().map(|head| head.manifest);
        if in_force.is_some_and(|manifest| hashes.contains(&manifest)) {
            let delta = self.apply.delta_from(base);
            if let Some(encoded) = delta.and_then(|delta| self.encode(&delta)) {
                return Some(Fetched::Delta(encoded));
            }
        }
        let is_fetching = hashes.iter().any(|hash| self.apply.is_fetching(hash));
        (!is_fetching).then(|| self.held_objects(hashes))
    }

    fn held_objects(&self, hashes: &[ContentHash]) -> Fetched {
        let mut room = MAX_FETCH_BYTES;
        let mut objects = Vec::new();
        for body in hashes.iter().filter_map(|hash| self.apply.object(hash)) {
            let Some(rest) = room.checked_sub(body.len()) else { break };
            room = rest;
            objects.push(body.clone());
        }
        Fetched::Objects(objects)
    }
}

impl Fleet {
    /// Creates a fleet with version 1 of [`FIRST_ROUTES`] routes in force.
    fn new() -> Self {
        let start = Time::from_secs(10);
        let members = (0..NODES).map(|at| {
            let member = common::member(instance(at), &format!("dc-{}", at % DATA_CENTRES));
            (member.instance.clone(), member)
        });
        let view = MemberView { members: members.collect() };
        let chosen = (0..DATA_CENTRES).map(|dc| {
            let dc = DataCentre::new(format!("dc-{dc}")).expect("a valid name");
            let chosen = watchers(&view, &dc, &settings());
            chosen.into_iter().map(|member| number(&member.instance)).collect()
        });
        let mut fleet = Self {
            nodes: Vec::new(),
            watchers: chosen.collect(),
            events: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(7),
            rows: BTreeMap::new(),
            reads: 0,
            now: start,
            changes: BTreeMap::new(),
            decoded: BTreeMap::new(),
            obstacles: BTreeMap::new(),
        };
        fleet.write(&entries(OTHER_ENTRIES + FIRST_ROUTES));
        let (head, pack) = fleet.rows[&1].read.clone().expect("a valid first configuration");
        for at in 0..NODES {
            fleet.nodes.push(Node::new(start));
            let jitter = Duration::from_micros(fleet.random.random_range(0..100_000));
            fleet.at(start + jitter, at, Event::Check);
            fleet.nodes[at].read = 1;
            fleet.nodes[at].watch.record_current(start, Duration::ZERO);
            fleet.nodes[at].apply.step(start, Input::Floor(ConfigVersion(1)));
            let pack = pack.clone();
            fleet.change(at, head, Input::PackReceived { head, pack });
        }
        fleet
    }

    fn at(&mut self, time: Time, to: usize, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), (to, event));
    }

    fn send(&mut self, to: usize, event: Event) {
        self.at(self.now + DATAGRAM_TIME, to, event);
    }

    fn random_node(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }

    fn add_obstacle(&mut self, reason: String) {
        *self.obstacles.entry(reason).or_default() += 1;
    }

    fn watchers_of(&self, at: usize) -> Vec<usize> {
        self.watchers[at % self.watchers.len()].clone()
    }

    fn newest(&self) -> u64 {
        self.rows.keys().next_back().copied().unwrap_or_default()
    }

    fn age(&self, at: usize) -> Option<Duration> {
        let node = &self.nodes[at];
        let behind_since = node.apply.behind_since();
        match node.watching_until {
            Some(until) if self.now < until => {
                Some(behind_since.map_or(Duration::ZERO, |since| self.now.since(since)))
            }
            _ => node.watch.age(self.now, behind_since),
        }
    }

    /// Writes the next version, acknowledged at once, and wakes the watches that wait.
    fn write(&mut self, resources: &[Resource]) {
        let version = self.newest() + 1;
        let encoded = Encoded::new(resources, ConfigVersion(version));
        let pack = encoded.pack();
        let bytes = pack.len();
        let read = match Bundle::new(resources.to_vec()) {
            Ok(_) => Ok((encoded.head, pack)),
            Err(faults) => Err(faults[0].to_string()),
        };
        let row = OperatorRow { bytes, read, written: self.now, entries: resources.len() };
        self.rows.insert(version, row);
        for at in 0..self.nodes.len() {
            if self.nodes[at].watching_until.take().is_some() {
                // Under the old number, the end of the watch's wait would end this transfer.
                self.reads += 1;
                self.nodes[at].reading = self.reads;
                let time = self.nodes[at].transfer_time(bytes);
                self.at(self.now + time, at, Event::Row(version, self.reads));
            }
        }
    }

    /// Starts a read of the rows at node `at`.
    fn read(&mut self, at: usize) {
        self.reads += 1;
        let newest = self.newest();
        self.nodes[at].reading = self.reads;
        if self.nodes[at].read < newest {
            let time = self.nodes[at].transfer_time(self.rows[&newest].bytes);
            return self.at(self.now + time, at, Event::Row(newest, self.reads));
        }
        let is_watcher = self.nodes[at].role == Role::Watcher;
        let wait = if is_watcher { WATCH_TIME } else { settings().max_age / 2 };
        self.nodes[at].watching_until = Some(self.now + wait);
        self.at(self.now + wait, at, Event::Row(newest, self.reads));
    }

    /// Feeds node `at` an input that brings the whole of `head`. Two nodes with the same past
    /// compute the change; the others copy the state, as decoding takes most of a test's time.
    fn change(&mut self, at: usize, head: ConfigHead, input: Input) {
        let node = &self.nodes[at];
        let is_newest = node.apply.highest() <= Some(head) && node.version() < head.version.0;
        let key = (node.past.clone(), head);
        if let Some((after, 2)) = self.changes.get(&key).filter(|_| is_newest) {
            self.nodes[at].apply = after.clone();
            return self.applied(at, head.version);
        }
        self.step(at, input);
        let apply = &self.nodes[at].apply;
        if is_newest && apply.head() == Some(head) && apply.highest() == Some(head) {
            let (after, times) = self.changes.entry(key).or_insert((apply.clone(), 0));
            assert!(after == apply, "nodes with the same past differ after version {head:?}");
            *times += 1;
        }
    }

    fn step(&mut self, at: usize, input: Input) {
        let now = self.now;
        for action in self.nodes[at].apply.step(now, input) {
            match action {
                Action::Fetch { head, source, hashes, limit } => {
                    self.fetch(at, head, source, hashes, limit);
                }
                Action::RequestDelta { base } => {
                    for _ in 0..3 {
                        let to = self.random_node();
                        self.send(to, Event::Request { from: at, base });
                    }
                }
                Action::Apply(snapshot) => self.applied(at, snapshot.version),
                Action::Reject { head, reason } => {
                    self.nodes[at].past.push(head.manifest);
                    self.add_obstacle(format!("version {} rejected: {reason}", head.version.0));
                }
            }
        }
        if let Some(due) = self.nodes[at].apply.next_tick() {
            self.at(due.max(now), at, Event::Tick);
        }
    }

    fn fetch(
        &mut self,
        at: usize,
        head: ConfigHead,
        from: Source,
        hashes: Vec<ContentHash>,
        limit: FetchLimit,
    ) {
        let now = self.now;
        // Rows aren't in the object store.
        if from == Source::Store {
            let answer = FetchAnswer::Absent;
            return self.at(now + FETCH_TIME, at, Event::Fetched { head, answer });
        }
        let offered = self.nodes[at].offered.filter(|(offered, _)| *offered == head);
        let offered = offered.filter(|_| self.nodes[at].missed != Some(head));
        let to = offered.map_or_else(|| self.random_node(), |(_, to)| to);
        let base = self.nodes[at].apply.delta_base();
        let (arrival, until) = (now + FETCH_TIME / 2, now + FETCH_TIME / 2 + FETCH_HOLD);
        let sent = Sent { at: now, limit };
        self.at(arrival, to, Event::Fetch { from: at, head, hashes, base, sent, until });
    }

    /// Answers the held requests of node `at`, pushes its head and lets it ask for the next version.
    fn applied(&mut self, at: usize, version: ConfigVersion) {
        let now = self.now;
        let Node { apply, held, past, .. } = &mut self.nodes[at];
        let head = apply.head().expect("a configuration in force");
        past.push(head.manifest);
        for (to, delta) in held.take_answerable(now, |base| apply.delta_from(base)) {
            self.answer(at, number(&to), Some(&delta));
        }
        self.push_head(at, head);
        debug_assert_eq!(head.version, version);
        self.nodes[at].watch.record_configuration(now);
        self.request(at);
    }

    fn push_head(&mut self, at: usize, head: ConfigHead) {
        if !self.nodes[at].heads_pushed.insert(head.version.0) {
            return;
        }
        for _ in 0..HEADS_PUSHED {
            let to = self.random_node();
            self.send(to, Event::Head { from: at, head });
        }
    }

    /// Sends `delta` if it fits into a datagram, else what node `at` has in force; returns whether
    /// the delta was sent.
    fn answer(&mut self, at: usize, to: usize, delta: Option<&Delta>) -> bool {
        let encoded = delta.and_then(|delta| self.nodes[at].encode(delta));
        if let Some(encoded) = encoded.filter(|encoded| encoded.len() <= MAX_DATAGRAM_DELTA) {
            self.send(to, Event::Delta(encoded));
            return true;
        }
        if let (Some(head), Some(age)) = (self.nodes[at].apply.head(), self.age(at)) {
            self.send(to, Event::Current { from: at, head, age });
        }
        false
    }

    /// Sends the request of node `at` for the next configuration if it is due.
    fn request(&mut self, at: usize) {
        let Some(ask) = self.nodes[at].watch.take_request(self.now) else { return };
        let mut to = self.watchers_of(at);
        to.retain(|peer| *peer != at);
        match ask {
            Ask::Watcher => to = to.get(at % to.len().max(1)).into_iter().copied().collect(),
            Ask::Others => to.push(self.random_node()),
        }
        let base = self.nodes[at].apply.delta_base();
        for peer in to {
            self.send(peer, Event::Request { from: at, base });
        }
    }

    fn decode(&mut self, encoded: &Bytes) -> Option<Delta> {
        let decode = || Delta::decode(encoded);
        self.decoded.entry(encoded.clone()).or_insert_with(decode).clone()
    }

    fn handle(&mut self, at: usize, event: Event) {
        match event {
            Event::Check => self.check(at),
            Event::Tick => {
                if self.nodes[at].apply.next_tick().is_some_and(|due| due <= self.now) {
                    self.step(at, Input::Tick);
                }
            }
            Event::Request { from, base } => {
                let delta = self.nodes[at].apply.delta_from(&base);
                if !self.answer(at, from, delta.as_ref()) {
                    let until = self.now + HOLD_TIME;
                    self.nodes[at].held.hold(self.now, until, instance(from), base);
                }
            }
            Event::Delta(encoded) => {
                let delta = self.decode(&encoded).expect("a whole delta");
                if delta.base == self.nodes[at].apply.delta_base() {
                    self.change(at, delta.head, Input::DeltaReceived(delta));
                }
            }
            Event::Current { from, head, age } => self.take_current(at, from, head, age),
            Event::Head { from, head } => {
                let node = &mut self.nodes[at];
                if node.offered.is_none_or(|(offered, _)| offered < head) {
                    node.offered = Some((head, from));
                }
                let delay = match node.watch.is_followed(self.now, node.apply.behind_since()) {
                    _ if node.role == Role::Watcher => ROW_DELAY,
                    true => DELTA_DELAY,
                    false => Duration::ZERO,
                };
                self.learn(at, head, delay);
                self.push_head(at, head);
            }
            Event::Fetch { from, head, hashes, base, sent, until } => {
                let reply = self.nodes[at].reply(&hashes, &base);
                if reply.is_none() && self.now < until {
                    let event = Event::Fetch { from, head, hashes, base, sent, until };
                    return self.at(self.now + FETCH_CHECK, at, event);
                }
                let reply = reply.unwrap_or_else(|| self.nodes[at].held_objects(&hashes));
                self.finish_fetch(from, head, sent, reply);
            }
            Event::Fetched { head, answer } => {
                if matches!(answer, FetchAnswer::Failed | FetchAnswer::TimedOut) {
                    self.nodes[at].missed = Some(head);
                }
                match &answer {
                    FetchAnswer::Delta(delta)
                        if delta.base == self.nodes[at].apply.delta_base()
                            && delta.head >= head =>
                    {
                        self.change(at, delta.head, Input::Fetched { head, answer })
                    }
                    _ => self.step(at, Input::Fetched { head, answer }),
                }
            }
            Event::Row(version, read) => self.take_row(at, version, read),
        }
    }

    fn check(&mut self, at: usize) {
        let is_chosen = self.watchers_of(at).contains(&at);
        let node = &mut self.nodes[at];
        let is_configured = node.apply.in_force().is_some();
        let behind_since = node.apply.behind_since();
        node.role = node.watch.role(self.now, Some(is_chosen), is_configured, behind_since);
        if node.role != Role::Follower && node.reading == NOT_READING {
            self.read(at);
        }
        self.request(at);
        self.at(self.now + CHECK_INTERVAL, at, Event::Check);
    }

    fn take_current(&mut self, at: usize, from: usize, head: ConfigHead, age: Duration) {
        self.nodes[at].watch.record_answer(self.now, age);
        if self.nodes[at].past.is_empty() && age <= settings().max_age {
            self.step(at, Input::Floor(head.version));
        }
        if Some(head.version) > self.nodes[at].apply.in_force() {
            self.nodes[at].offered = Some((head, from));
            self.learn(at, head, Duration::ZERO);
        }
    }

    /// Delivers a peer's answer, or fails the fetch at one of its limits.
    fn finish_fetch(&mut self, to: usize, head: ConfigHead, sent: Sent, reply: Fetched) {
        let bytes = match &reply {
            Fetched::Delta(encoded) => encoded.len(),
            Fetched::Objects(bodies) => bodies.iter().map(Bytes::len).sum(),
        };
        // From here on, bytes arrive until the transfer is done.
        let first = self.now + FETCH_TIME / 2;
        let done = first + self.nodes[to].transfer_time(bytes);
        let version = head.version.0;
        let mut answer = match reply {
            Fetched::Delta(encoded) => {
                self.decode(&encoded).map_or(FetchAnswer::Failed, FetchAnswer::Delta)
            }
            Fetched::Objects(bodies) if bodies.is_empty() => FetchAnswer::Failed,
            Fetched::Objects(bodies) => FetchAnswer::Objects(bodies),
        };
        if answer == FetchAnswer::Failed {
            self.add_obstacle(format!("version {version}: fetch without an answer"));
        }
        if bytes > MAX_MESSAGE_BYTES {
            self.add_obstacle(format!("version {version}: fetch of {bytes} bytes"));
            answer = FetchAnswer::Failed;
        }
        let silent = sent.at + sent.limit.silence;
        let end = if first > silent { silent } else { done.min(sent.at + sent.limit.whole) };
        if done > end {
            self.add_obstacle(format!("version {version}: fetch timed out"));
            answer = FetchAnswer::TimedOut;
        }
        self.at(end, to, Event::Fetched { head, answer });
    }

    fn learn(&mut self, at: usize, head: ConfigHead, fetch_delay: Duration) {
        self.step(at, Input::HeadLearned { head, from: Source::Peer, fetch_delay });
    }

    /// Ends a read of the rows: the reader validates what it brings, and feeds it to the machine.
    fn take_row(&mut self, at: usize, version: u64, read: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.reading != read {
            return;
        }
        node.watching_until = None;
        node.reading = NOT_READING;
        node.watch.record_current(now, Duration::ZERO);
        if version <= node.read {
            return;
        }
        node.read = version;
        node.rows_read += 1;
        if version <= node.version() {
            return;
        }
        match self.rows[&version].read.clone() {
            Ok((head, pack)) => {
                self.change(at, head, Input::PackReceived { head, pack });
                self.push_head(at, head);
                let from = Source::Store;
                self.step(at, Input::HeadLearned { head, from, fetch_delay: Duration::ZERO });
            }
            Err(fault) => self.add_obstacle(format!("version {version} rejected: {fault}")),
        }
    }

    fn play(&mut self, for_time: Duration) {
        let end = self.now + for_time;
        while let Some(next) = self.events.first_entry().filter(|next| next.key().0 <= end) {
            let ((time, _), (at, event)) = next.remove_entry();
            self.now = self.now.max(time);
            self.handle(at, event);
        }
        self.now = end;
    }

    /// Plays until all nodes have the newest version, and requires that it is in time.
    fn require_newest(&mut self) {
        let newest = self.newest();
        let due = self.rows[&newest].written + APPLY_WITHIN;
        let lacks = |fleet: &Self| fleet.nodes.iter().filter(|n| n.version() < newest).count();
        while lacks(self) > 0 && self.now < due {
            self.play(Duration::from_millis(10));
        }
        let (behind, entries) = (lacks(self), self.rows[&newest].entries);
        assert!(
            behind == 0,
            "version {newest} of {entries} entries is not in force on {behind} of {} nodes \
             {APPLY_WITHIN:?} after its acknowledgement; {:?}",
            self.nodes.len(),
            self.obstacles
        );
    }

    /// Adds a node without a configuration, and requires that its peers give it the newest one.
    fn require_start_from_peers(&mut self) {
        let (at, started) = (self.nodes.len(), self.now);
        self.nodes.push(Node::new(started));
        self.at(started, at, Event::Check);
        while self.nodes[at].version() < self.newest() && self.now < started + APPLY_WITHIN {
            self.play(Duration::from_millis(10));
        }
        let Node { rows_read, .. } = self.nodes[at];
        let version = self.nodes[at].version();
        assert!(
            version == self.newest() && rows_read == 0,
            "a new node has version {version} of {} after {:?} and {rows_read} rows; {:?}",
            self.newest(),
            self.now.since(started),
            self.obstacles
        );
    }
}

/// Grows the configuration of a fleet, with a change of weights after each growth, and starts a
/// node at the end.
fn require_growths(growths: usize) {
    let mut fleet = Fleet::new();
    fleet.play(Duration::from_secs(3));
    let all = entries(OTHER_ENTRIES + FIRST_ROUTES + growths * GROWTH);
    for growth in 1..=growths {
        let mut resources = all[..OTHER_ENTRIES + FIRST_ROUTES + growth * GROWTH].to_vec();
        fleet.write(&resources);
        fleet.require_newest();
        let version = fleet.newest() + 1;
        change_weights(&mut resources, version);
        fleet.write(&resources);
        fleet.require_newest();
    }
    fleet.require_start_from_peers();
}

/// Lets a fleet take a configuration of `count` entries and then another timeout of every route.
fn require_rewrite(count: usize) {
    let mut fleet = Fleet::new();
    fleet.play(Duration::from_secs(3));
    for resources in [entries(count), rewritten(count)] {
        fleet.write(&resources);
        fleet.require_newest();
    }
}

/// Guards against the incident: a configuration of 5,017 entries that every node rejects for good.
#[test]
fn a_fleet_applies_three_growths_in_time() {
    require_growths(3);
}

/// Guards against the next bounds behind that of the incident, up to 14,817 entries.
#[test]
fn a_fleet_applies_ten_growths_in_time() {
    require_growths(10);
}

/// Guards against a change of every route, whose hashes exceed the history that peers keep, so that
/// followers fetch the objects 64 at a time.
#[test]
fn a_fleet_applies_a_rewrite_at_the_size_of_the_incident_in_time() {
    require_rewrite(INCIDENT);
}

/// Guards against a change of every route near the platform's limit, which no delta holds.
#[test]
fn a_fleet_applies_a_rewrite_near_the_row_limit_in_time() {
    require_rewrite(LARGE);
}

/// Guards against a node behind a link that callers' uploads fill, which takes longer than
/// `fetch_timeout` to transfer a difference, and gives up each fetch of it to start anew at another
/// peer.
#[test]
fn a_node_behind_a_busy_link_applies_a_growth_in_time() {
    let mut fleet = Fleet::new();
    let busy = (0..NODES).filter(|at| !fleet.watchers_of(*at).contains(at)).step_by(20);
    for at in busy.collect::<Vec<usize>>() {
        fleet.nodes[at].link_bytes_per_s = BUSY_LINK_BYTES_PER_S;
    }
    fleet.play(Duration::from_secs(3));
    let mut resources = entries(OTHER_ENTRIES + FIRST_ROUTES + GROWTH);
    fleet.write(&resources);
    fleet.require_newest();
    change_weights(&mut resources, 3);
    fleet.write(&resources);
    fleet.require_newest();
}
