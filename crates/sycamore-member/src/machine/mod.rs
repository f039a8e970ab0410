//! The membership machine of one node.

mod exchange;
mod local;
mod packet;
mod probe;
mod push;
mod suspect;

use crate::detect::{Detector, Reach};
use crate::message::{ExchangeReply, ExchangeRequest, Item, Packet, Scope};
use crate::options::Options;
use crate::random::Random;
use crate::spread::{ByteBudget, News};
use crate::table::{Joined, Table};
use exchange::FactExchange;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use sycamore_types::prelude::*;

/// The time of a step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Now {
    /// Monotonic time of this process.
    pub mono: Time,
    /// Civil time.
    pub wall: WallTime,
}

/// What this node's own member is to say about it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LocalState {
    /// The upstream has not announced itself, or is gone.
    Joining,
    /// The upstream takes work.
    Serving {
        /// Its version.
        version: UpstreamVersion,
        /// Slots that it declared.
        slots: u16,
    },
    /// The instance leaves.
    Draining,
    /// The node stops.
    Left,
}

/// What happens to the machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed; due several times within [`Options::probe_timeout`].
    Tick,
    /// A datagram arrived.
    Packet {
        /// Its source.
        from: SocketAddr,
        /// The datagram.
        packet: Packet,
    },
    /// Members as the platform's table holds them.
    Rows(Vec<Member>),
    /// A fact of this node.
    Raise(Fact),
    /// This node's own member changed.
    Local(LocalState),
    /// An exchange that this node started has ended.
    Exchanged {
        /// The other node.
        peer: InstanceId,
        /// Its answer; `None` where there was none.
        reply: Option<ExchangeReply>,
    },
}

/// What is to be done after a step.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        packet: Packet,
    },
    /// Start an exchange, and give its end as [`Input::Exchanged`].
    Exchange {
        /// The other node.
        peer: InstanceId,
        /// Its address.
        to: SocketAddr,
        /// What to send.
        request: ExchangeRequest,
    },
    /// A member changed.
    MemberChanged(Member),
    /// This node itself took a member for suspect or dead.
    Judged(Member),
    /// A fact was learnt from another node.
    FactLearnt(Fact),
    /// The view changed without a member's own record changing.
    ViewChanged,
}

/// The membership machine of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Membership {
    me: Member,
    options: Options,
    table: Table,
    detector: Detector,
    reach: Reach,
    news: News,
    budget: ByteBudget,
    random: Random,
    last_tick: Option<Time>,
    last_change: Time,
    next_exchange: Time,
    next_expiry: Time,
    mismatch: Option<Time>,
    mismatch_peer: Option<InstanceId>,
    facts: FactExchange,
    exchanging: BTreeMap<InstanceId, (Time, Scope)>,
    synced: bool,
}

impl Membership {
    /// The machine of the node with member `me`, whose choices are decided by `seed`.
    pub fn new(me: Member, options: Options, seed: u64, now: Now) -> Self {
        let mut random = Random::new(seed);
        let first_probe = now.mono + random.up_to(options.probe_interval);
        let mut table = Table::new(options.max_members, options.max_facts);
        table.join(&Item::Member(me.clone()), now.mono, now.wall);
        Self {
            table,
            detector: Detector::new(first_probe),
            reach: Reach::default(),
            news: News::default(),
            budget: ByteBudget::new(options.push_bytes_per_s, options.push_burst_bytes),
            random,
            last_tick: None,
            last_change: now.mono,
            next_exchange: now.mono,
            next_expiry: now.mono,
            mismatch: None,
            mismatch_peer: None,
            facts: FactExchange::default(),
            exchanging: BTreeMap::new(),
            synced: false,
            me,
            options,
        }
    }

    /// Takes one input; gives what is to be done.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut actions),
            Input::Packet { from, packet } => self.packet(now, from, packet, &mut actions),
            Input::Rows(rows) => self.rows(now, rows, &mut actions),
            Input::Raise(fact) => self.raise(now, fact, &mut actions),
            Input::Local(state) => self.local(now, state, &mut actions),
            Input::Exchanged { peer, reply } => self.exchanged(now, &peer, reply, &mut actions),
        }
        actions
    }

    /// This node's own member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Whether this node has compared its table with another's, to the end, since it started.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// The members that are not dead. Those that serve in a data centre that is cut off are shown
    /// as suspects.
    pub fn view(&self) -> MemberView {
        let live = self.table.members().filter(|member| member.state != MemberState::Dead);
        let members = live.map(|member| (member.instance.clone(), self.shown(member)));
        MemberView { members: members.collect() }
    }

    fn shown(&self, member: &Member) -> Member {
        let cut = member.instance != self.me.instance && self.reach.is_cut(&member.data_centre);
        let state = if cut && member.state == MemberState::Serving {
            MemberState::Suspect
        } else {
            member.state
        };
        Member { state, ..member.clone() }
    }

    /// Joins `items` that a datagram from `source` brought and passes on what is new.
    fn learn(&mut self, now: Now, items: Vec<Item>, source: SocketAddr, actions: &mut Vec<Action>) {
        let fresh = self.join(now, items, actions);
        self.spread(now, fresh, Some(source), actions);
    }

    /// Joins `items` that a comparison of tables brought.
    fn catch_up(&mut self, now: Now, items: Vec<Item>, actions: &mut Vec<Action>) {
        let fresh = self.join(now, items, actions);
        if self.synced {
            self.mention(&fresh);
        }
    }

    /// Joins `items`, reports what is new and gives it.
    fn join(&mut self, now: Now, items: Vec<Item>, actions: &mut Vec<Action>) -> Vec<Item> {
        let mut fresh = Vec::new();
        for item in items {
            if self.is_me(&item) {
                self.refute(now, &item, actions);
            } else if self.table.join(&item, now.mono, now.wall) == Joined::New {
                let whole = self.table.item(&item.key()).unwrap_or(item);
                self.changed(now, &whole, actions);
                fresh.push(whole);
            }
        }
        fresh
    }

    /// Follows up on a new item in the table.
    fn changed(&mut self, now: Now, item: &Item, actions: &mut Vec<Action>) {
        self.last_change = now.mono;
        match item {
            Item::Member(member) => {
                self.watch(now, member);
                actions.push(Action::MemberChanged(member.clone()));
            }
            Item::Fact(fact) => actions.push(Action::FactLearnt(fact.clone())),
            // The table gives whole records only.
            Item::Brief(_) => {}
        }
    }
}
