//! Probing: one member per interval, then others' help, then a verdict.

use super::{Action, Membership, Now};
use crate::detect::Probe;
use crate::message::Body;
use std::time::Duration;
use sycamore_types::prelude::*;

/// A probe fails after so many probe timeouts in all.
const PROBE_TIMEOUTS: u32 = 3;
/// Probes in a row that fail before a member is suspected. One may fail to a lost datagram or a
/// short pause.
const STRIKES: u8 = 2;
/// Time between two sweeps for what has expired.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

impl Membership {
    pub(super) fn tick(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.notice_pause(now);
        self.end_relayed(now, actions);
        self.ask_helpers(now, actions);
        self.end_probes(now, actions);
        self.judge_suspects(now, actions);
        self.start_probe(now, actions);
        self.expire(now);
        self.start_exchange(now, actions);
    }

    /// Where this process itself was paused, drops what it judged by.
    fn notice_pause(&mut self, now: Now) {
        let last = self.last_tick.replace(now.mono).unwrap_or(now.mono);
        let gap = now.mono.since(last);
        if gap > self.options.probe_interval {
            self.detector.resume(gap);
            self.reach.resume();
        }
    }

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
        let seq = self.detector.seq();
        let mut items = self.ride_along(now);
        items.extend(self.doubt_about(&target));
        let probe = Probe { target, sent: now.mono, indirect: false, nacks: 0, failed: false };
        self.detector.probes.insert(seq, probe);
        let digest = self.table.digest();
        self.send(to, Body::Ping { seq, digest }, items, actions);
    }

    /// Asks others to probe members that have not answered in time.
    fn ask_helpers(&mut self, now: Now, actions: &mut Vec<Action>) {
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

    /// Members to ask for help with `target`: most in its own data centre, which can tell the
    /// instance's death from a cut, and one elsewhere.
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

    /// Ends pings sent for others that were not answered.
    fn end_relayed(&mut self, now: Now, actions: &mut Vec<Action>) {
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
                let body = Body::Nack { seq: relayed.asker_seq };
                self.send(relayed.asker, body, Vec::new(), actions);
            }
        }
    }

    /// Judges probes that nobody could get answered. A failed probe is remembered for a while, so
    /// that a late answer shows that its target is slow and not gone.
    fn end_probes(&mut self, now: Now, actions: &mut Vec<Action>) {
        let limit = self.options.probe_timeout * PROBE_TIMEOUTS;
        let forget = self.options.suspicion;
        self.detector.probes.retain(|_, probe| now.mono.since(probe.sent) < forget);
        let failed: Vec<Probe> = self
            .detector
            .probes
            .values_mut()
            .filter(|probe| !probe.failed && now.mono.since(probe.sent) >= limit)
            .map(|probe| {
                probe.failed = true;
                probe.clone()
            })
            .collect();
        for probe in failed {
            self.probe_failed(now, &probe, actions);
        }
    }

    fn probe_failed(&mut self, now: Now, probe: &Probe, actions: &mut Vec<Action>) {
        let Some(member) = self.table.member(&probe.target).cloned() else { return };
        if member.state == MemberState::Dead {
            return;
        }
        if !self.has_witness(&member, probe.sent, probe.nacks) {
            if self.reach.failed(&member) {
                actions.push(Action::ViewChanged);
            }
            return;
        }
        if self.detector.strike(&member.instance) < STRIKES {
            self.detector.retry(member.instance);
            return;
        }
        self.suspect(now, member, actions);
    }

    fn expire(&mut self, now: Now) {
        if now.mono < self.next_expiry {
            return;
        }
        self.next_expiry = now.mono + EXPIRY_INTERVAL;
        self.table.expire(now.mono, now.wall, self.options.dead_retention);
    }
}

fn is_reachable(member: &Member) -> bool {
    matches!(member.state, MemberState::Joining | MemberState::Serving | MemberState::Draining)
}
