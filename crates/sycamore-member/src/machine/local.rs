//! This node's own member and facts.

use super::{Action, LocalState, Membership, Now};
use crate::message::{Brief, Item, ItemKey};
use crate::table::Joined;
use sycamore_types::prelude::*;

impl Membership {
    /// Keeps a fact of this node and spreads it.
    pub(super) fn raise(&mut self, now: Now, fact: Fact, actions: &mut Vec<Action>) {
        let item = Item::Fact(fact);
        if self.table.join(&item, now.mono, now.wall) == Joined::New {
            self.last_change = now.mono;
            self.spread(now, vec![item], None, actions);
        }
    }

    /// Takes over what this node's own member is to say. What is better than before takes a new
    /// incarnation; a node that has left is silent.
    pub(super) fn local(&mut self, now: Now, local: LocalState, actions: &mut Vec<Action>) {
        let mut me = self.me.clone();
        me.state = match local {
            LocalState::Joining => MemberState::Joining,
            LocalState::Serving { version, slots } => {
                (me.version, me.slots) = (version, slots);
                MemberState::Serving
            }
            LocalState::Draining => MemberState::Draining,
            LocalState::Left => MemberState::Dead,
        };
        if me == self.me || self.me.state == MemberState::Dead {
            return;
        }
        if me.state <= self.me.state {
            me.incarnation = next(me.incarnation);
        }
        self.announce(now, me, actions);
    }

    /// Whether `item` is a record of this node's own member.
    pub(super) fn is_me(&self, item: &Item) -> bool {
        item.key() == ItemKey::Member(self.me.instance.clone())
    }

    /// Where `item`, a record of this node's own member, says worse than this node does, takes a
    /// higher incarnation and announces that.
    pub(super) fn refute(&mut self, now: Now, item: &Item, actions: &mut Vec<Action>) {
        let record = match item {
            Item::Member(record) => record.clone(),
            Item::Brief(Brief { incarnation, state, .. }) => {
                Member { incarnation: *incarnation, state: *state, ..self.me.clone() }
            }
            Item::Fact(_) => return,
        };
        let left = self.me.state == MemberState::Dead;
        if !left && crate::table::supersedes(&record, &self.me) && self.is_credible(&record, now) {
            let me = Member { incarnation: next(record.incarnation), ..self.me.clone() };
            self.announce(now, me, actions);
        }
    }

    fn is_credible(&self, record: &Member, now: Now) -> bool {
        record.incarnation.0 < now.wall.0.saturating_add(crate::table::MAX_AHEAD_MS)
    }

    fn announce(&mut self, now: Now, me: Member, actions: &mut Vec<Action>) {
        self.store(now, me, actions);
        self.spread(now, vec![Item::Member(self.me.clone())], None, actions);
    }

    fn store(&mut self, now: Now, me: Member, actions: &mut Vec<Action>) {
        self.me = me.clone();
        self.table.join(&Item::Member(me.clone()), now.mono, now.wall);
        self.last_change = now.mono;
        actions.push(Action::MemberChanged(me));
    }
}

fn next(incarnation: Incarnation) -> Incarnation {
    Incarnation(incarnation.0.saturating_add(1))
}
