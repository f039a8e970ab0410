//! The failure detector: whom to probe, which probes are under way, and what was heard of whom.

mod reach;

pub(crate) use reach::Reach;

use crate::random::Random;
use crate::table::Table;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use sycamore_types::prelude::*;

/// Members to be probed again soon at most.
const MAX_RETRIES: usize = 16;
/// Pings relayed for others that are under way at most.
const MAX_RELAYED: usize = 64;
/// One probe in so many goes to a member taken for dead, so that both sides of a long cut find
/// each other again.
const DEAD_PROBE_EVERY: u32 = 16;

/// A probe of this node under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Probe {
    pub(crate) target: InstanceId,
    pub(crate) sent: Time,
    /// Others have been asked to probe the target.
    pub(crate) indirect: bool,
    /// Others said that they could not reach the target either.
    pub(crate) nacks: u8,
    /// It was judged; an answer is late.
    pub(crate) failed: bool,
}

/// A ping sent for another node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Relayed {
    pub(crate) sent: Time,
    pub(crate) asker: SocketAddr,
    pub(crate) asker_seq: u32,
}

/// Probes under way and to come.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Detector {
    order: Vec<InstanceId>,
    retries: VecDeque<InstanceId>,
    pub(crate) probes: BTreeMap<u32, Probe>,
    pub(crate) relayed: BTreeMap<u32, Relayed>,
    /// Since when each suspect has been one, and when it is looked at again.
    pub(crate) suspects: BTreeMap<InstanceId, Suspicion>,
    pub(crate) strikes: BTreeMap<InstanceId, u8>,
    pub(crate) next_probe: Time,
    seq: u32,
    started: u32,
}

/// A suspicion under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Suspicion {
    pub(crate) since: Time,
    pub(crate) deadline: Time,
    /// The member has answered this node since.
    pub(crate) answered: bool,
}

impl Detector {
    pub(crate) fn new(first_probe: Time) -> Self {
        Self {
            order: Vec::new(),
            retries: VecDeque::new(),
            probes: BTreeMap::new(),
            relayed: BTreeMap::new(),
            suspects: BTreeMap::new(),
            strikes: BTreeMap::new(),
            next_probe: first_probe,
            seq: 0,
            started: 0,
        }
    }

    /// A fresh sequence number.
    pub(crate) fn seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Whom to probe next. Every live member has its turn once a round, in an order of its own in
    /// each round; `me` is this node itself.
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
            if let Some(target) = dead_target(table, random) {
                return Some(target);
            }
        }
        self.live_target(table).or_else(|| {
            self.order = live(table, me);
            random.shuffle(&mut self.order);
            self.live_target(table)
        })
    }

    /// The next member of this round that still lives.
    fn live_target(&mut self, table: &Table) -> Option<InstanceId> {
        while let Some(target) = self.order.pop() {
            if table.member(&target).is_some_and(|member| member.state != MemberState::Dead) {
                return Some(target);
            }
        }
        None
    }

    /// Probes `target` again soon.
    pub(crate) fn retry(&mut self, target: InstanceId) {
        if self.retries.len() < MAX_RETRIES && !self.retries.contains(&target) {
            self.retries.push_back(target);
        }
    }

    /// Counts one failed probe more of `target`; gives how many failed in a row.
    pub(crate) fn strike(&mut self, target: &InstanceId) -> u8 {
        let strikes = self.strikes.entry(target.clone()).or_default();
        *strikes = strikes.saturating_add(1);
        *strikes
    }

    /// Remembers a ping sent for another node. Gives whether there was room.
    pub(crate) fn relay(&mut self, seq: u32, relayed: Relayed) -> bool {
        let room = self.relayed.len() < MAX_RELAYED;
        if room {
            self.relayed.insert(seq, relayed);
        }
        room
    }

    /// After a pause of `gap` of this process: what it missed is no evidence against others.
    pub(crate) fn resume(&mut self, gap: std::time::Duration) {
        self.probes.clear();
        self.relayed.clear();
        self.strikes.clear();
        for suspicion in self.suspects.values_mut() {
            suspicion.deadline = suspicion.deadline + gap;
        }
    }
}

fn live(table: &Table, me: &InstanceId) -> Vec<InstanceId> {
    table
        .members()
        .filter(|member| member.state != MemberState::Dead && member.instance != *me)
        .map(|member| member.instance.clone())
        .collect()
}

fn dead_target(table: &Table, random: &mut Random) -> Option<InstanceId> {
    let mut dead: Vec<&Member> =
        table.members().filter(|member| member.state == MemberState::Dead).collect();
    if dead.is_empty() {
        return None;
    }
    Some(dead.swap_remove(random.index(dead.len())).instance.clone())
}
