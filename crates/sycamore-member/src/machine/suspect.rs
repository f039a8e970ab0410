//! Suspicion and death.

use super::{Action, Membership, Now};
use crate::detect::Suspicion;
use crate::message::Item;
use crate::table::Joined;
use sycamore_types::prelude::*;

/// Other members that a data centre must have for its silence to mean a cut.
const MIN_WITNESSES: usize = 2;
/// Strikes kept for members at most; beyond, members are only probed in their turn.
const MAX_STRIKES: usize = 256;

impl Membership {
    /// Whether something was heard since `since` that shows that `member`'s silence is its own and
    /// not a cut between its data centre and this node: another member of its data centre or,
    /// where it has none, of any, or another's failed probe.
    pub(super) fn has_witness(&self, member: &Member, since: Time, nacks: u8) -> bool {
        let others = self.table.members().filter(|other| {
            other.state != MemberState::Dead
                && other.instance != member.instance
                && other.instance != self.me.instance
        });
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            others.partition(|other| other.data_centre == member.data_centre);
        let heard = |other: &&Member| self.reach.heard_since(&other.instance, since);
        if near.len() >= MIN_WITNESSES {
            return near.iter().any(heard);
        }
        let alone = near.is_empty() && far.is_empty();
        alone || nacks > 0 || near.iter().any(heard) || far.iter().any(heard)
    }

    /// Takes `member` for suspect and spreads that.
    pub(super) fn suspect(&mut self, now: Now, member: Member, actions: &mut Vec<Action>) {
        if member.state >= MemberState::Suspect {
            self.watch_suspect(now, &member);
            return;
        }
        self.declare(now, Member { state: MemberState::Suspect, ..member }, actions);
    }

    /// Keeps and spreads this node's own verdict on a member.
    fn declare(&mut self, now: Now, member: Member, actions: &mut Vec<Action>) {
        let record = Item::Member(member.clone());
        if self.table.join(&record, now.mono, now.wall) == Joined::New {
            actions.push(Action::Judged(member));
            self.changed(now, &record, actions);
            self.spread(now, vec![record], None, actions);
        }
    }

    /// Follows up on a changed member: suspects are watched, others no longer.
    pub(super) fn watch(&mut self, now: Now, member: &Member) {
        match member.state {
            MemberState::Suspect if member.instance != self.me.instance => {
                self.watch_suspect(now, member);
            }
            MemberState::Dead => {
                self.detector.suspects.remove(&member.instance);
                self.detector.strikes.remove(&member.instance);
                self.reach.forget(&member.instance);
            }
            _ => {
                self.detector.suspects.remove(&member.instance);
            }
        }
    }

    fn watch_suspect(&mut self, now: Now, member: &Member) {
        let deadline = now.mono + self.options.suspicion;
        let suspicion = Suspicion { since: now.mono, deadline, answered: false };
        self.detector.suspects.entry(member.instance.clone()).or_insert(suspicion);
    }

    /// Takes suspects for dead whose time is up.
    pub(super) fn judge_suspects(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.detector.strikes.len() > MAX_STRIKES {
            self.detector.strikes.clear();
        }
        let due: Vec<InstanceId> = self
            .detector
            .suspects
            .iter()
            .filter(|(_, suspicion)| now.mono >= suspicion.deadline)
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in due {
            self.judge(now, &instance, actions);
        }
    }

    fn judge(&mut self, now: Now, instance: &InstanceId, actions: &mut Vec<Action>) {
        let Some(suspicion) = self.detector.suspects.remove(instance) else { return };
        let Some(member) = self.table.member(instance).cloned() else { return };
        if suspicion.answered {
            return;
        }
        if !self.has_witness(&member, suspicion.since, 0) {
            // Its data centre may be cut off: ask again later.
            let deadline = now.mono + self.options.suspicion;
            self.detector.suspects.insert(instance.clone(), Suspicion { deadline, ..suspicion });
            return;
        }
        self.declare(now, Member { state: MemberState::Dead, ..member }, actions);
    }
}
