//! Updates of this node's own member record, and facts that it publishes.

use super::{Action, LocalState, Membership, Now};
use crate::message::{Brief, Item, ItemKey};
use crate::table::Joined;
use sycamore_types::prelude::*;

impl Membership {
    /// Stores a fact of this node and disseminates it.
    pub(super) fn publish_fact(&mut self, now: Now, fact: Fact, actions: &mut Vec<Action>) {
        let item = Item::Fact(fact);
        if self.table.join(&item, now.mono, now.wall) == Joined::New {
            self.last_change = now.mono;
            self.disseminate(now, vec![item], None, actions);
        }
    }

    /// Announces a changed state of this node's own member. A change that would not supersede the
    /// current record, such as a better state, gets a new incarnation. After [`LocalState::Left`]
    /// nothing is announced.
    pub(super) fn on_local_state(
        &mut self,
        now: Now,
        local: LocalState,
        actions: &mut Vec<Action>,
    ) {
        let mut me = Member { left: None, ..self.me.clone() };
        me.state = match local {
            LocalState::Joining { left } => {
                me.left = left;
                MemberState::Joining
            }
            LocalState::Serving { version, slots } => {
                (me.version, me.slots) = (version, slots);
                MemberState::Serving
            }
            LocalState::Draining { left } => {
                me.left = left;
                MemberState::Draining
            }
            LocalState::Left => {
                me.left = self.me.left;
                MemberState::Dead
            }
        };
        if me == self.me || self.me.state == MemberState::Dead {
            return;
        }
        if me.state <= self.me.state {
            me.incarnation = next_incarnation(me.incarnation);
        }
        self.announce(now, me, actions);
    }

    /// Returns whether `item` is a record of this node's own member.
    pub(super) fn is_me(&self, item: &Item) -> bool {
        item.key() == ItemKey::Member(self.me.instance.clone())
    }

    /// Refutes `item`, a record of this node's own member, if it supersedes the node's own record:
    /// the node announces its state under a higher incarnation.
    pub(super) fn refute(&mut self, now: Now, item: &Item, actions: &mut Vec<Action>) {
        let record = match item {
            Item::Member(record) => record.clone(),
            Item::Brief(Brief { incarnation, state, .. }) => {
                Member { incarnation: *incarnation, state: *state, ..self.me.clone() }
            }
            Item::Fact(_) => return,
        };
        let has_left = self.me.state == MemberState::Dead;
        if !has_left
            && crate::table::supersedes(&record, &self.me)
            && self.is_credible(&record, now)
        {
            let me =
                Member { incarnation: next_incarnation(record.incarnation), ..self.me.clone() };
            self.announce(now, me, actions);
        }
    }

    /// Returns whether a higher incarnation than `record`'s would still be accepted by other nodes.
    fn is_credible(&self, record: &Member, now: Now) -> bool {
        record.incarnation.0 < now.wall.0.saturating_add(crate::table::MAX_AHEAD_MS)
    }

    /// Stores `me` as this node's own record and disseminates it.
    fn announce(&mut self, now: Now, me: Member, actions: &mut Vec<Action>) {
        self.store(now, me, actions);
        self.disseminate(now, vec![Item::Member(self.me.clone())], None, actions);
    }

    /// Stores `me` as this node's own record and reports the change.
    fn store(&mut self, now: Now, me: Member, actions: &mut Vec<Action>) {
        self.me = me.clone();
        self.table.join(&Item::Member(me.clone()), now.mono, now.wall);
        self.last_change = now.mono;
        actions.push(Action::MemberChanged(me));
    }
}

fn next_incarnation(incarnation: Incarnation) -> Incarnation {
    Incarnation(incarnation.0.saturating_add(1))
}
