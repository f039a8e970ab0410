//! Simulated network of membership state machines with virtual time, latency, datagram loss,
//! partitions, paused processes and crashes.
#![allow(clippy::unwrap_used, dead_code, missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;
use sycamore_member::message::{ExchangeReply, ExchangeRequest, Item, Packet};
use sycamore_member::{Action, Input, LocalState, Membership, Now, Options};
use sycamore_peer::codec;
use sycamore_types::prelude::*;

/// Wall clock time at the start of the simulation.
pub const EPOCH: WallTime = WallTime(1_800_000_000_000);
/// Interval between ticks of each state machine.
const TICK: Duration = Duration::from_millis(100);
/// Bytes above TCP of a call on a new connection without its messages, as measured and printed by
/// the tests of `sycamore-peer`.
const CALL_OVERHEAD_BYTES: u64 = 356;
/// Bytes of the IP and UDP headers of one datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Time after which a call to an unreachable node fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time and identifier of a scheduled event.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledAt(Time, u64);

/// Event at a simulated node; the indices name nodes.
enum Event {
    Tick(usize),
    Deliver { from: usize, to: usize, packet: Packet },
    Request { from: usize, to: usize, request: ExchangeRequest },
    Reply { from: usize, to: usize, reply: Option<ExchangeReply> },
}

/// Simulated node.
pub struct Peer {
    pub machine: Membership,
    pub alive: bool,
    /// Time at which a paused process resumes; its events are delayed until then.
    pub frozen_until: Time,
    /// Offset of the node's wall clock, in milliseconds.
    pub skew_ms: i64,
    /// Bytes sent since the last [`Net::reset_bytes`].
    pub bytes_out: u64,
    /// Bytes received since the last [`Net::reset_bytes`].
    pub bytes_in: u64,
    /// Time at which the node first learned each fact.
    pub learnt: BTreeMap<FactKey, Time>,
    /// Changed member records with the time of each change.
    pub changes: Vec<(Time, Member)>,
    started: Time,
}

/// Simulated network of nodes.
pub struct Net {
    pub peers: Vec<Peer>,
    pub now: Time,
    /// Probability that a datagram is lost, in thousandths.
    pub loss: u64,
    /// Pairs of sending and receiving data centres between which nothing is delivered.
    pub cuts: Vec<(DataCentre, DataCentre)>,
    /// Pairs of sending and receiving nodes between which nothing is delivered.
    pub cut_links: Vec<(usize, usize)>,
    pub options: Options,
    events: BinaryHeap<Reverse<ScheduledAt>>,
    payloads: BTreeMap<u64, Event>,
    next_event: u64,
    seed: u64,
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 7403))
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let [_, a, b, c] = v4.ip().octets();
            (usize::from(a) << 16) | (usize::from(b) << 8) | usize::from(c)
        }
        SocketAddr::V6(_) => unreachable!("the network has IPv4 addresses only"),
    }
}

/// Returns the record of member `i` in a fleet of `centres` data centres, three per region, with 51
/// services.
pub fn member(i: usize, centres: usize, incarnation: u64) -> Member {
    let centre = i % centres;
    Member {
        instance: format!("n{i}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        state: MemberState::Serving,
        service: format!("service-{}", i % 51).parse().unwrap(),
        version: "4.2.0".parse().unwrap(),
        data_centre: format!("dc{centre}").parse().unwrap(),
        region: format!("region{}", centre / 3).parse().unwrap(),
        endpoints: Endpoints { peer: address(i), relay: address(i) },
        slots: 12,
        left: None,
    }
}

impl Net {
    /// Creates a fleet in which every node knows all members and is synced.
    pub fn new(nodes: usize, centres: usize, seed: u64, options: Options) -> Self {
        let members: Vec<Member> = (0..nodes).map(|i| member(i, centres, EPOCH.0)).collect();
        let mut net = Self {
            peers: Vec::new(),
            now: Time::default(),
            loss: 0,
            cuts: Vec::new(),
            cut_links: Vec::new(),
            options,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            next_event: 0,
            seed,
        };
        for member in &members {
            net.add(member.clone(), Time::default());
        }
        for i in 0..nodes {
            net.peers[i].machine.step(net_now(Time::default(), 0), Input::Rows(members.clone()));
            // The table is complete, so an empty reply ends the first exchange.
            for other in &members {
                let peer = other.instance.clone();
                let reply = Some(ExchangeReply::default());
                net.peers[i]
                    .machine
                    .step(net_now(Time::default(), 0), Input::Exchanged { peer, reply });
                if net.peers[i].machine.is_synced() {
                    break;
                }
            }
        }
        net
    }

    /// Adds a node that knows no other member.
    pub fn add(&mut self, me: Member, started: Time) -> usize {
        let i = self.peers.len();
        let machine = self.machine(me, i, started);
        self.peers.push(Peer {
            machine,
            alive: true,
            frozen_until: Time::default(),
            skew_ms: 0,
            bytes_out: 0,
            bytes_in: 0,
            learnt: BTreeMap::new(),
            changes: Vec::new(),
            started,
        });
        let offset = Duration::from_micros((i as u64 * 7_919) % 100_000);
        self.schedule(self.now + offset, Event::Tick(i));
        i
    }

    fn machine(&mut self, me: Member, i: usize, started: Time) -> Membership {
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(i as u64 + started.0);
        Membership::new(me, self.options.clone(), seed, net_now(started, 0))
    }

    pub fn id(&self, i: usize) -> InstanceId {
        self.peers[i].machine.me().instance.clone()
    }

    /// Crashes a node.
    pub fn kill(&mut self, i: usize) {
        self.peers[i].alive = false;
    }

    /// Restarts a node with an empty table; it reads `contacts` from the platform's table.
    pub fn restart(&mut self, i: usize, contacts: &[usize]) {
        let old = self.peers[i].machine.me().clone();
        let rows = contacts.iter().map(|c| self.peers[*c].machine.me().clone()).collect();
        let incarnation = Incarnation(self.wall(i).0);
        let me = Member { incarnation, state: MemberState::Serving, ..old };
        self.peers[i].machine = self.machine(me, i, self.now);
        self.peers[i].alive = true;
        self.peers[i].learnt.clear();
        self.input(i, Input::Rows(rows));
    }

    /// Pauses the process of a node for `time`.
    pub fn freeze(&mut self, i: usize, time: Duration) {
        self.peers[i].frozen_until = self.now + time;
    }

    /// Lets a node publish a fact.
    pub fn raise(&mut self, i: usize, fact: Fact) {
        self.peers[i].learnt.insert(fact.key(), self.now);
        self.input(i, Input::Raise(fact));
    }

    /// Changes the state of a node's own member.
    pub fn local(&mut self, i: usize, state: LocalState) {
        self.input(i, Input::Local(state));
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse(ScheduledAt(at, id))) = self.events.peek().cloned() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.payloads.remove(&id).unwrap();
            self.process_event(event);
        }
        self.now = end;
    }

    /// Returns the state of node `j` in the view of node `i`; `None` if it is dead or unknown.
    pub fn view_state(&self, i: usize, j: usize) -> Option<MemberState> {
        let view = self.peers[i].machine.view();
        view.members.get(&self.id(j)).map(|member| member.state)
    }

    /// Returns how many live nodes have node `j` in each state; `None` counts nodes without a
    /// record.
    pub fn state_counts(&self, j: usize) -> BTreeMap<Option<MemberState>, usize> {
        let mut counts = BTreeMap::new();
        for i in (0..self.peers.len()).filter(|i| self.peers[*i].alive && *i != j) {
            let member = self.peers[i].machine.table().member(&self.id(j));
            *counts.entry(member.map(|member| member.state)).or_default() += 1;
        }
        counts
    }

    pub fn reset_bytes(&mut self) {
        for peer in &mut self.peers {
            (peer.bytes_in, peer.bytes_out) = (0, 0);
        }
    }

    /// Returns the mean and the highest number of bytes sent and received by live nodes.
    pub fn bytes(&self) -> (f64, u64) {
        let totals: Vec<u64> =
            self.peers.iter().filter(|p| p.alive).map(|p| p.bytes_in + p.bytes_out).collect();
        let mean = totals.iter().sum::<u64>() as f64 / totals.len() as f64;
        (mean, totals.into_iter().max().unwrap_or(0))
    }

    /// Returns the sorted times from `since` until live nodes learned the fact with `key`, and the
    /// number of live nodes without it.
    pub fn reached(&self, key: &FactKey, since: Time) -> (Vec<Duration>, usize) {
        let live: Vec<&Peer> = self.peers.iter().filter(|p| p.alive).collect();
        let mut times: Vec<Duration> =
            live.iter().filter_map(|p| p.learnt.get(key)).map(|at| at.since(since)).collect();
        times.sort();
        let missing = live.len() - times.len();
        (times, missing)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.payloads.insert(self.next_event, event);
        self.events.push(Reverse(ScheduledAt(at, self.next_event)));
    }

    fn wall(&self, i: usize) -> WallTime {
        let skew = self.peers.get(i).map_or(0, |peer| peer.skew_ms);
        net_now(self.now, skew).wall
    }

    fn random(&mut self) -> u64 {
        // SplitMix64 (Steele et al., "Fast Splittable Pseudorandom Number Generators", 2014).
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.seed;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Processes an event, or delays it while its node is paused.
    fn process_event(&mut self, event: Event) {
        let to = match &event {
            Event::Tick(i) => *i,
            Event::Deliver { to, .. } | Event::Request { to, .. } | Event::Reply { to, .. } => *to,
        };
        let frozen = self.peers[to].frozen_until;
        if frozen > self.now {
            // A paused process receives all delayed events when it resumes.
            self.schedule(frozen, event);
            return;
        }
        match event {
            Event::Tick(i) => {
                self.schedule(self.now + TICK, Event::Tick(i));
                self.input(i, Input::Tick);
            }
            Event::Deliver { from, to, packet } => {
                self.peers[to].bytes_in += datagram_bytes(&packet);
                self.input(to, Input::Packet { from: address(from), packet });
            }
            Event::Request { from, to, request } => self.answer(from, to, &request),
            Event::Reply { from, to, reply } => {
                let peer = self.id(from);
                self.input(to, Input::Exchanged { peer, reply });
            }
        }
    }

    fn input(&mut self, i: usize, input: Input) {
        if !self.peers[i].alive {
            return;
        }
        let now = net_now(self.now, self.peers[i].skew_ms);
        let actions = self.peers[i].machine.step(now, input);
        self.perform(i, actions);
    }

    fn perform(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, packet } => self.send(i, index(to), packet),
                Action::Exchange { to, request, .. } => self.call(i, index(to), request),
                Action::MemberChanged(member) => {
                    let now = self.now;
                    self.peers[i].changes.push((now, member));
                }
                Action::FactLearnt(fact) => {
                    let now = self.now;
                    self.peers[i].learnt.entry(fact.key()).or_insert(now);
                }
                Action::ViewChanged | Action::Declared(_) | Action::EarlierLeave(_) => {}
            }
        }
    }

    /// Returns whether `to` is alive and reachable from `from`.
    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let centre = |i: usize| &self.peers[i].machine.me().data_centre;
        let cut = (centre(from).clone(), centre(to).clone());
        self.peers[to].alive && !self.cuts.contains(&cut) && !self.cut_links.contains(&(from, to))
    }

    fn latency(&mut self, from: usize, to: usize) -> Duration {
        let (a, b) = (self.peers[from].machine.me(), self.peers[to].machine.me());
        let base = if a.data_centre == b.data_centre {
            250
        } else if a.region == b.region {
            1_000
        } else {
            20_000
        };
        let jitter = self.random() % (base / 2);
        Duration::from_micros(base + jitter)
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        self.peers[from].bytes_out += datagram_bytes(&packet);
        if !self.is_reachable(from, to) || self.random() % 1_000 < self.loss {
            return;
        }
        let latency = self.latency(from, to);
        self.schedule(self.now + latency, Event::Deliver { from, to, packet });
    }

    fn call(&mut self, from: usize, to: usize, request: ExchangeRequest) {
        if !self.is_reachable(from, to) || !self.is_reachable(to, from) {
            let event = Event::Reply { from: to, to: from, reply: None };
            self.schedule(self.now + CALL_TIMEOUT, event);
            return;
        }
        let bytes = CALL_OVERHEAD_BYTES / 2 + request_bytes(&request);
        self.peers[from].bytes_out += bytes;
        self.peers[to].bytes_in += bytes;
        let latency = self.latency(from, to) * 2;
        self.schedule(self.now + latency, Event::Request { from, to, request });
    }

    fn answer(&mut self, from: usize, to: usize, request: &ExchangeRequest) {
        if !self.peers[to].alive {
            return;
        }
        let now = net_now(self.now, self.peers[to].skew_ms);
        let (reply, actions) = self.peers[to].machine.answer_exchange(now, request);
        self.perform(to, actions);
        let bytes = CALL_OVERHEAD_BYTES / 2 + reply_bytes(&reply);
        self.peers[to].bytes_out += bytes;
        self.peers[from].bytes_in += bytes;
        let latency = self.latency(to, from);
        let event = Event::Reply { from: to, to: from, reply: Some(reply) };
        self.schedule(self.now + latency, event);
    }
}

/// Returns the time of a node whose wall clock is off by `skew_ms`.
pub fn net_now(mono: Time, skew_ms: i64) -> Now {
    let wall = EPOCH.0 + mono.0 / 1_000;
    Now { mono, wall: WallTime(wall.saturating_add_signed(skew_ms)) }
}

/// Returns the size of a datagram with its headers, in bytes.
pub fn datagram_bytes(packet: &Packet) -> u64 {
    let at = Stamp { wall: WallTime(1_796_344_110_107), logical: 300 };
    codec::encode_packet(packet, at, 1).unwrap().len() as u64 + DATAGRAM_HEADER_BYTES
}

fn items_bytes(items: &[Item]) -> u64 {
    items.iter().map(|item| item.size() as u64).sum()
}

fn request_bytes(request: &ExchangeRequest) -> u64 {
    request.buckets.len() as u64 * 4 + items_bytes(&request.items)
}

fn reply_bytes(reply: &ExchangeReply) -> u64 {
    reply.differing.len() as u64 + items_bytes(&reply.items)
}

/// Returns the fact that announces configuration `version`.
pub fn head(version: u64) -> Fact {
    let manifest = ContentHash::of(&version.to_le_bytes());
    Fact::Head(ConfigHead { version: ConfigVersion(version), manifest })
}

/// Returns a percentile of sorted `times`; zero if there are none.
pub fn percentile(times: &[Duration], percent: usize) -> Duration {
    let last = times.len().saturating_sub(1);
    times.get(last * percent / 100).copied().unwrap_or_default()
}
