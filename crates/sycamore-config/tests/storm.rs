//! A storm of changes at a node whose link is full.
//!
//! One node runs the real [`Apply`] and [`RowReads`], a peer that reads the operators' rows in
//! time runs another [`Apply`]. Times are those of an instance whose link uploads fill: a row takes
//! seconds, a connection and a request to a peer take longer than the timeout of a fetch, and
//! datagrams arrive.

mod common;

use common::{route, service};
use std::time::Duration;
use sycamore_config::delta::MAX_DATAGRAM_DELTA;
use sycamore_config::follow::{NextRead, RowReads};
use sycamore_config::{Action, Apply, ApplySettings, Delta, Encoded, FetchAnswer, Input, Source};
use sycamore_types::prelude::*;

/// Number of versions that an operator writes, one every [`WRITE_INTERVAL`].
const VERSIONS: u64 = 25;
const WRITE_INTERVAL: Duration = Duration::from_millis(600);
/// Number of routes of a configuration; more than [`VERSIONS`].
const ROUTES: u64 = 100;
/// Time from the acknowledgement of a version until the peer has applied it.
const PEER_LAG: Duration = Duration::from_millis(200);
/// Time of a datagram to the node.
const DATAGRAM_TIME: Duration = Duration::from_millis(50);
/// Delay of a fetch by a node that watches the rows.
const FETCH_DELAY: Duration = Duration::from_millis(800);
/// Time after which a fetch from a peer is given up, before its answer arrives.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which one row arrives at the node.
const ROW_TIME: Duration = Duration::from_millis(1_200);
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);
/// Required time from a version's acknowledgement until it is in force: the shorter one of the
/// deployments' `config_apply`.
const MAX_LAG: Duration = Duration::from_secs(2);

/// Configuration `version`: each version up to it has changed the route of its number.
fn config(version: u64) -> Encoded {
    let routes = (0..ROUTES).map(|at| {
        let is_changed = (1..=version).contains(&at);
        route(&format!("r{at}"), "counter", if is_changed { 2_000 } else { 1_000 })
    });
    let resources: Vec<Resource> = std::iter::once(service("counter")).chain(routes).collect();
    Encoded::new(&resources, ConfigVersion(version))
}

/// Read of operators' rows that is on its way to the node.
struct RowRead {
    until: Time,
    /// Versions in the answer, in order.
    versions: Vec<u64>,
}

/// Node behind the full link, with what is on its way to it.
struct Node {
    apply: Apply,
    fetches: Vec<(Time, ConfigHead)>,
    /// Requests for a delta, with the time at which they reach the peer.
    requests: Vec<(Time, ContentHash)>,
    read: Option<RowRead>,
    /// Version up to which the node has read the rows.
    read_up_to: u64,
    reads: RowReads,
    known: Option<ConfigVersion>,
}

impl Node {
    /// Feeds `input` to the state machine and starts the fetches that it asks for.
    fn step(&mut self, now: Time, input: Input) {
        for action in self.apply.step(now, input) {
            // Fetches from the platform's object store take no less time than those from peers.
            match action {
                Action::Fetch { head, .. } => self.fetches.push((now + FETCH_TIMEOUT, head)),
                Action::RequestDelta { base } => self.requests.push((now + DATAGRAM_TIME, base)),
                Action::Apply(_) | Action::Reject { .. } => {}
            }
        }
    }

    fn learn(&mut self, now: Time, head: ConfigHead) {
        self.known = Some(head.version);
        self.step(now, Input::HeadLearned { head, from: Source::Peer, fetch_delay: FETCH_DELAY });
    }

    /// Ends the fetches whose timeout has passed.
    fn end_fetches(&mut self, now: Time) {
        let ended: Vec<ConfigHead> =
            self.fetches.iter().filter(|(until, _)| *until <= now).map(|(_, head)| *head).collect();
        self.fetches.retain(|(until, _)| *until > now);
        for head in ended {
            self.step(now, Input::Fetched { head, answer: FetchAnswer::Failed });
        }
    }

    /// Brings the node what `peer` answers to the requests that have reached it.
    fn receive_deltas(&mut self, now: Time, peer: &Apply) {
        let arrived = now.since(Time::default()).saturating_sub(DATAGRAM_TIME);
        let bases: Vec<ContentHash> = self
            .requests
            .extract_if(.., |(at, _)| *at <= Time::default() + arrived)
            .map(|(_, base)| base)
            .collect();
        for base in bases {
            let encoded = peer.delta_from(&base).and_then(|delta| delta.encode(MAX_DATAGRAM_DELTA));
            if let Some(delta) = encoded.and_then(|encoded| Delta::decode(&encoded)) {
                self.step(now, Input::DeltaReceived(delta));
            }
        }
    }

    /// Ends the read of rows whose time has come, and starts the next one if `newest` was not read.
    fn read_rows(&mut self, now: Time, newest: u64) {
        if let Some(read) = self.read.take_if(|read| read.until <= now) {
            for version in read.versions {
                let encoded = config(version);
                self.read_up_to = version;
                self.reads.record_version(encoded.head.version);
                self.step(now, Input::PackReceived { head: encoded.head, pack: encoded.pack() });
            }
            self.reads.end(self.known);
        }
        if self.read.is_none() && newest > self.read_up_to {
            self.reads.begin(self.known);
            let versions: Vec<u64> = match self.reads.next() {
                NextRead::Rows => vec![newest],
                NextRead::Changes => (self.read_up_to + 1..=newest).collect(),
            };
            let until = now + ROW_TIME * versions.len() as u32;
            self.read = Some(RowRead { until, versions });
        }
    }
}

/// Returns a machine in which version 0 is in force.
fn running(apply: ApplySettings) -> Apply {
    let mut machine = Apply::new(apply);
    machine.step(Time::default(), Input::Floor(ConfigVersion(0)));
    machine
}

/// Returns the time at which version `version` is acknowledged to the operator.
fn acknowledged(version: u64) -> Time {
    Time::default() + WRITE_INTERVAL * u32::try_from(version).expect("few versions")
}

/// Returns the longest time from the acknowledgement of a version until the node has applied it or
/// a higher one.
fn max_lag() -> Duration {
    let mut peer = running(ApplySettings::default());
    let mut node = Node {
        apply: running(ApplySettings::default()),
        fetches: Vec::new(),
        requests: Vec::new(),
        read: None,
        read_up_to: 0,
        reads: RowReads::default(),
        known: None,
    };
    let (mut now, mut at_peer, mut announced, mut applied) = (Time::default(), 0, 0, 0);
    let mut max_lag = Duration::ZERO;
    while applied < VERSIONS {
        let newest = now.since(Time::default()).as_millis() / WRITE_INTERVAL.as_millis();
        let newest = u64::try_from(newest).expect("few versions").min(VERSIONS);
        if at_peer < newest && now >= acknowledged(at_peer + 1) + PEER_LAG {
            at_peer += 1;
            let encoded = config(at_peer);
            peer.step(now, Input::PackReceived { head: encoded.head, pack: encoded.pack() });
        }
        if announced < at_peer && now >= acknowledged(announced + 1) + PEER_LAG + DATAGRAM_TIME {
            announced += 1;
            node.learn(now, config(announced).head);
        }
        node.end_fetches(now);
        node.receive_deltas(now, &peer);
        node.read_rows(now, newest);
        node.step(now, Input::Tick);
        let in_force = node.apply.in_force().unwrap_or_default().0;
        while applied < in_force {
            applied += 1;
            max_lag = max_lag.max(now.since(acknowledged(applied)));
        }
        now = now + STEP;
    }
    max_lag
}

/// Guards against a node that serves an old configuration because everything that could bring the
/// newer one, a whole row or a fetch over a new connection, takes longer over its full link than
/// the next change.
#[test]
fn a_node_behind_a_full_link_applies_every_version_in_time() {
    let lag = max_lag();
    assert!(lag <= MAX_LAG, "a version was in force {lag:?} after its acknowledgement");
}
