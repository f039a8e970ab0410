//! State of the failure detector: probe targets, pending probes, suspicions and reachability.

mod reach;

pub(crate) use reach::Reachability;

use crate::random::Random;
use crate::table::Table;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use sycamore_types::prelude::*;

/// Upper bound on members queued for a repeated probe.
const MAX_RETRIES: usize = 16;
/// Upper bound on pending pings that were sent on behalf of other nodes.
const MAX_RELAYED_PINGS: usize = 64;
/// Interval, in probes, at which a dead member is probed, so that the two sides of a long network
/// partition rediscover each other.
const DEAD_PROBE_EVERY: u32 = 16;

/// Pending probe of this node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Probe {
    pub(crate) target: InstanceId,
    pub(crate) sent: Time,
    /// Whether other members have been asked to probe the target.
    pub(crate) indirect: bool,
    /// Number of other members that reported the target as unreachable.
    pub(crate) nacks: u8,
    /// Set once the probe has timed out; a later answer shows that the target is slow.
    pub(crate) failed: bool,
}

/// Pending ping sent on behalf of another node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RelayedPing {
    pub(crate) sent: Time,
    /// Address of the node that asked for the ping.
    pub(crate) requester: SocketAddr,
    /// Sequence number of that node's request, repeated in the answer.
    pub(crate) requester_seq: u32,
}

/// Failure detector state of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Detector {
    /// Members not yet probed in the current round, in reverse order.
    round: Vec<InstanceId>,
    retries: VecDeque<InstanceId>,
    /// Pending and recently failed probes by sequence number.
    pub(crate) probes: BTreeMap<u32, Probe>,
    /// Pending relayed pings by sequence number.
    pub(crate) relayed: BTreeMap<u32, RelayedPing>,
    /// Suspicions of members, each with its start and deadline.
    pub(crate) suspects: BTreeMap<InstanceId, Suspicion>,
    /// Number of consecutive failed probes of each member.
    pub(crate) failure_counts: BTreeMap<InstanceId, u8>,
    pub(crate) next_probe: Time,
    seq: u32,
    /// Number of probes started so far.
    started: u32,
}

/// Suspicion that a member has failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Suspicion {
    pub(crate) since: Time,
    pub(crate) deadline: Time,
    /// Set once the member has answered a probe of this node since the start.
    pub(crate) answered: bool,
}

impl Detector {
    /// Creates a failure detector that starts its first probe at `first_probe`.
    pub(crate) fn new(first_probe: Time) -> Self {
        Self {
            round: Vec::new(),
            retries: VecDeque::new(),
            probes: BTreeMap::new(),
            relayed: BTreeMap::new(),
            suspects: BTreeMap::new(),
            failure_counts: BTreeMap::new(),
            next_probe: first_probe,
            seq: 0,
            started: 0,
        }
    }

    /// Returns an unused sequence number.
    pub(crate) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Returns the member to probe next; `None` if there is none besides `me`, this node.
    ///
    /// Every live member is probed once per round, in a new random order each round.
    pub(crate) fn next_target(
        &mut self,
        table: &Table,
        me: &InstanceId,
        random: &mut Random,
    ) -> Option<InstanceId> {
        self.started = self.started.wrapping_add(1);
        if let Some(target) = self.retries.pop_front() {
            return Some(target);
        }
        if self.started.is_multiple_of(DEAD_PROBE_EVERY) {
            if let Some(target) = random_dead_member(table, random) {
                return Some(target);
            }
        }
        self.next_in_round(table).or_else(|| {
            self.round = live_members(table, me);
            random.shuffle(&mut self.round);
            self.next_in_round(table)
        })
    }

    /// Returns the next member of this round that is not dead by now.
    fn next_in_round(&mut self, table: &Table) -> Option<InstanceId> {
        while let Some(target) = self.round.pop() {
            if table.member(&target).is_some_and(|member| member.state != MemberState::Dead) {
                return Some(target);
            }
        }
        None
    }

    /// Queues `target` to be probed next, unless it is already queued or the queue is full.
    pub(crate) fn queue_retry(&mut self, target: InstanceId) {
        if self.retries.len() < MAX_RETRIES && !self.retries.contains(&target) {
            self.retries.push_back(target);
        }
    }

    /// Counts a failed probe of `target`; returns the number of consecutive failures.
    pub(crate) fn record_failure(&mut self, target: &InstanceId) -> u8 {
        let failures = self.failure_counts.entry(target.clone()).or_default();
        *failures = failures.saturating_add(1);
        *failures
    }

    /// Stores a ping to be sent on behalf of another node; returns whether the limit allows it.
    pub(crate) fn add_relayed(&mut self, seq: u32, relayed: RelayedPing) -> bool {
        let has_room = self.relayed.len() < MAX_RELAYED_PINGS;
        if has_room {
            self.relayed.insert(seq, relayed);
        }
        has_room
    }

    /// Discards pending probes after this process was paused for `gap`: answers missed during the
    /// pause are no evidence against other members. Suspicions are extended by `gap`.
    pub(crate) fn reset_after_pause(&mut self, gap: std::time::Duration) {
        self.probes.clear();
        self.relayed.clear();
        self.failure_counts.clear();
        for suspicion in self.suspects.values_mut() {
            suspicion.deadline = suspicion.deadline + gap;
        }
    }
}

fn live_members(table: &Table, me: &InstanceId) -> Vec<InstanceId> {
    table
        .members()
        .filter(|member| member.state != MemberState::Dead && member.instance != *me)
        .map(|member| member.instance.clone())
        .collect()
}

fn random_dead_member(table: &Table, random: &mut Random) -> Option<InstanceId> {
    let mut dead: Vec<&Member> =
        table.members().filter(|member| member.state == MemberState::Dead).collect();
    if dead.is_empty() {
        return None;
    }
    Some(dead.swap_remove(random.index(dead.len())).instance.clone())
}
