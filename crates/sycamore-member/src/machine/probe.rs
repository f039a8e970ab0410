//! Probes: one member per interval is pinged directly, then through other members.

use super::{Action, Membership, Now};
use crate::detect::Probe;
use crate::message::Body;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Number of probe timeouts after which a probe has failed, including the indirect pings.
const PROBE_TIMEOUTS: u32 = 3;
/// Number of consecutive failed probes after which a member is suspected. A single probe may fail
/// because of a lost datagram or a short pause.
const MAX_FAILED_PROBES: u8 = 2;
/// Interval between removals of expired members and facts.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

impl Membership {
    /// Performs all work that is due.
    pub(super) fn on_tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.detect_pause(now);
        self.end_relayed_pings(now, actions);
        self.start_indirect_probes(now, actions);
        self.end_probes(now, actions);
        self.resolve_suspicions(now, actions);
        self.start_probe(now, actions);
        self.expire(now);
        self.start_due_exchanges(now, actions);
    }

    /// Discards pending probes if this process was paused, because it may have missed the answers.
    fn detect_pause(&mut self, now: Now) {
        let last = self.last_tick.replace(now.mono).unwrap_or(now.mono);
        let gap = now.mono.since(last);
        if gap > self.options.probe_interval {
            self.detector.reset_after_pause(gap);
            self.reachability.reset_after_pause();
        }
    }

    /// Pings the next member if a probe is due.
    fn start_probe(&mut self, now: Now, actions: &mut Vec<Action>) {
        if now.mono < self.detector.next_probe {
            return;
        }
        self.detector.next_probe = now.mono + self.options.probe_interval;
        let target = self.detector.next_target(&self.table, &self.me.instance, &mut self.random);
        let Some(target) = target else { return };
        let Some(to) = self.table.member(&target).map(|member| member.endpoints.peer) else {
            return;
        };
        let seq = self.detector.next_seq();
        let mut items = self.piggybacked_items(now);
        items.extend(self.suspicion_of(&target));
        let probe = Probe { target, sent: now.mono, indirect: false, nacks: 0, failed: false };
        self.detector.probes.insert(seq, probe);
        let digest = self.table.digest();
        self.send(to, Body::Ping { seq, digest }, items, actions);
    }

    /// Asks other members to ping the targets that have not answered in time.
    fn start_indirect_probes(&mut self, now: Now, actions: &mut Vec<Action>) {
        let timeout = self.options.probe_timeout;
        let late: Vec<(u32, InstanceId)> = self
            .detector
            .probes
            .iter_mut()
            .filter(|(_, probe)| !probe.indirect && now.mono.since(probe.sent) >= timeout)
            .map(|(seq, probe)| {
                probe.indirect = true;
                (*seq, probe.target.clone())
            })
            .collect();
        for (seq, target) in late {
            for to in self.helpers(&target) {
                let target = target.clone();
                self.send(to, Body::PingRequest { seq, target }, Vec::new(), actions);
            }
        }
    }

    /// Returns the addresses of members to ask to ping `target`: one outside its data centre, and
    /// the others inside, where a failed instance can be distinguished from a network partition.
    fn helpers(&mut self, target: &InstanceId) -> Vec<std::net::SocketAddr> {
        let Some(data_centre) = self.table.member(target).map(|m| m.data_centre.clone()) else {
            return Vec::new();
        };
        let (near, far): (Vec<_>, Vec<_>) = self
            .table
            .members()
            .filter(|m| is_reachable(m) && m.instance != *target && m.instance != self.me.instance)
            .map(|m| (m.data_centre == data_centre, m.endpoints.peer))
            .partition(|(near, _)| *near);
        let elsewhere = usize::from(!far.is_empty() && self.options.helpers > 1);
        let mut helpers = self.random.choose(near, self.options.helpers - elsewhere);
        let rest = self.options.helpers - helpers.len();
        helpers.extend(self.random.choose(far, rest));
        helpers.into_iter().map(|(_, to)| to).collect()
    }

    /// Reports unanswered pings to the nodes on whose behalf they were sent.
    fn end_relayed_pings(&mut self, now: Now, actions: &mut Vec<Action>) {
        let timeout = self.options.probe_timeout;
        let late: Vec<u32> = self
            .detector
            .relayed
            .iter()
            .filter(|(_, relayed)| now.mono.since(relayed.sent) >= timeout)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in late {
            if let Some(relayed) = self.detector.relayed.remove(&seq) {
                let body = Body::Nack { seq: relayed.requester_seq };
                self.send(relayed.requester, body, Vec::new(), actions);
            }
        }
    }

    /// Fails the probes that were answered neither directly nor through other members. A failed
    /// probe is kept for [`crate::Options::suspicion`], so that a late answer shows that its target
    /// is slow rather than dead.
    fn end_probes(&mut self, now: Now, actions: &mut Vec<Action>) {
        let timeout = self.options.probe_timeout * PROBE_TIMEOUTS;
        let retention = self.options.suspicion;
        self.detector.probes.retain(|_, probe| now.mono.since(probe.sent) < retention);
        let failed: Vec<Probe> = self
            .detector
            .probes
            .values_mut()
            .filter(|probe| !probe.failed && now.mono.since(probe.sent) >= timeout)
            .map(|probe| {
                probe.failed = true;
                probe.clone()
            })
            .collect();
        for probe in failed {
            self.on_probe_failed(now, &probe, actions);
        }
    }

    /// Counts a failed probe against its target, or against the target's data centre if nothing
    /// rules out a network partition.
    fn on_probe_failed(&mut self, now: Now, probe: &Probe, actions: &mut Vec<Action>) {
        let Some(member) = self.table.member(&probe.target).cloned() else { return };
        if member.state == MemberState::Dead {
            return;
        }
        if !self.rules_out_partition(&member, probe.sent, probe.nacks) {
            if self.reachability.record_failure(&member) {
                actions.push(Action::ViewChanged);
            }
            return;
        }
        if self.detector.record_failure(&member.instance) < MAX_FAILED_PROBES {
            self.detector.queue_retry(member.instance);
            return;
        }
        self.suspect(now, member, actions);
    }

    /// Removes expired members and facts if that is due.
    fn expire(&mut self, now: Now) {
        if now.mono < self.next_expiry {
            return;
        }
        self.next_expiry = now.mono + EXPIRY_INTERVAL;
        self.table.expire(now.mono, now.wall, self.options.dead_retention);
    }
}

/// Returns whether `member` is neither suspect nor dead.
fn is_reachable(member: &Member) -> bool {
    matches!(member.state, MemberState::Joining | MemberState::Serving | MemberState::Draining)
}
