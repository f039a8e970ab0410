//! Suspicion of members, and their declaration as dead.

use super::{Action, Membership, Now};
use crate::detect::Suspicion;
use crate::message::Item;
use crate::table::Joined;
use sycamore_types::prelude::*;

/// Number of other members in a data centre from which one of them must have answered to rule out a
/// network partition. With fewer, an answer from any data centre is enough.
const MIN_WITNESSES: usize = 2;
/// Upper bound on members with failed probes that are counted. Beyond it all counts are reset, and
/// members are probed in their regular order.
const MAX_FAILURE_COUNTS: usize = 256;

impl Membership {
    /// Returns whether an answer since `since` rules out that `member` is silent because of a
    /// network partition between its data centre and this node.
    ///
    /// With at least [`MIN_WITNESSES`] other members in the data centre, one of them must have
    /// answered. With fewer, an answer from any member or a negative acknowledgement (`nacks`) is
    /// enough. Without any other member, a partition counts as ruled out.
    pub(super) fn rules_out_partition(&self, member: &Member, since: Time, nacks: u8) -> bool {
        let others = self.table.members().filter(|other| {
            other.state != MemberState::Dead
                && other.instance != member.instance
                && other.instance != self.me.instance
        });
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            others.partition(|other| other.data_centre == member.data_centre);
        let answered = |other: &&Member| self.reachability.answered_since(&other.instance, since);
        if near.len() >= MIN_WITNESSES {
            return near.iter().any(answered);
        }
        let is_alone = near.is_empty() && far.is_empty();
        is_alone || nacks > 0 || near.iter().any(answered) || far.iter().any(answered)
    }

    /// Declares `member` suspect, or continues a suspicion that another node declared.
    pub(super) fn suspect(&mut self, now: Now, member: Member, actions: &mut Vec<Action>) {
        if member.state >= MemberState::Suspect {
            self.start_suspicion(now, &member);
            return;
        }
        self.declare(now, Member { state: MemberState::Suspect, ..member }, actions);
    }

    /// Stores and disseminates a member state that this node declares.
    fn declare(&mut self, now: Now, member: Member, actions: &mut Vec<Action>) {
        let record = Item::Member(member.clone());
        if self.table.join(&record, now.mono, now.wall) == Joined::New {
            actions.push(Action::Declared(member));
            self.on_new_item(now, &record, actions);
            self.disseminate(now, vec![record], None, actions);
        }
    }

    /// Starts or ends the suspicion of a member after a change of its record.
    pub(super) fn update_suspicion(&mut self, now: Now, member: &Member) {
        match member.state {
            MemberState::Suspect if member.instance != self.me.instance => {
                self.start_suspicion(now, member);
            }
            MemberState::Dead => {
                self.detector.suspects.remove(&member.instance);
                self.detector.failure_counts.remove(&member.instance);
                self.reachability.remove(&member.instance);
            }
            _ => {
                self.detector.suspects.remove(&member.instance);
            }
        }
    }

    /// Starts the suspicion timeout of `member`, unless it is already running.
    fn start_suspicion(&mut self, now: Now, member: &Member) {
        let deadline = now.mono + self.options.suspicion;
        let suspicion = Suspicion { since: now.mono, deadline, answered: false };
        self.detector.suspects.entry(member.instance.clone()).or_insert(suspicion);
    }

    /// Resolves the suspicions whose deadline has passed.
    pub(super) fn resolve_suspicions(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.detector.failure_counts.len() > MAX_FAILURE_COUNTS {
            self.detector.failure_counts.clear();
        }
        let due: Vec<InstanceId> = self
            .detector
            .suspects
            .iter()
            .filter(|(_, suspicion)| now.mono >= suspicion.deadline)
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in due {
            self.resolve_suspicion(now, &instance, actions);
        }
    }

    /// Declares a suspect dead, unless it has answered or a network partition isn't ruled out.
    fn resolve_suspicion(&mut self, now: Now, instance: &InstanceId, actions: &mut Vec<Action>) {
        let Some(suspicion) = self.detector.suspects.remove(instance) else { return };
        let Some(member) = self.table.member(instance).cloned() else { return };
        if suspicion.answered {
            return;
        }
        if !self.rules_out_partition(&member, suspicion.since, 0) {
            // Its data centre may be partitioned: the suspicion is extended.
            let deadline = now.mono + self.options.suspicion;
            self.detector.suspects.insert(instance.clone(), Suspicion { deadline, ..suspicion });
            return;
        }
        self.declare(now, Member { state: MemberState::Dead, ..member }, actions);
    }
}
