//! Membership state machine of one node.

mod exchange;
mod local;
mod packet;
mod probe;
mod push;
mod suspect;

use crate::detect::{Detector, Reachability};
use crate::message::{ExchangeReply, ExchangeRequest, Item, Packet, Scope};
use crate::options::Options;
use crate::random::Random;
use crate::spread::{ByteBudget, UpdateQueue};
use crate::table::{Joined, Table};
use exchange::FactExchange;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use sycamore_types::prelude::*;

/// Current time, passed to every step of the state machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Now {
    /// Monotonic time of the process.
    pub mono: Time,
    /// Wall clock time.
    pub wall: WallTime,
}

/// State that a node announces for its own member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LocalState {
    /// The upstream has not announced itself yet, or was lost.
    Joining {
        /// Upstream process that has left, and that no other has followed; `None` where there is none.
        left: Option<ProcessId>,
    },
    /// The upstream accepts calls.
    Serving {
        /// Version of the upstream.
        version: UpstreamVersion,
        /// Number of slots declared by the upstream.
        slots: u16,
    },
    /// The instance accepts no new calls and will leave.
    Draining {
        /// Upstream process that has left; `None` where the node leaves for another reason.
        left: Option<ProcessId>,
    },
    /// The node stops; no later state is announced.
    Left,
}

/// Event that [`Membership`] processes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time passed; has to occur several times within [`Options::probe_timeout`].
    Tick,
    /// A datagram arrived.
    Packet {
        /// Source address of the datagram.
        from: SocketAddr,
        /// Decoded datagram.
        packet: Packet,
    },
    /// Member records were read from the platform's table.
    Rows(Vec<Member>),
    /// This node publishes a fact.
    Raise(Fact),
    /// The state of this node's own member changed.
    Local(LocalState),
    /// An exchange started by this node ended.
    Exchanged {
        /// Instance that the exchange was with.
        peer: InstanceId,
        /// Reply of the instance `peer`; `None` if the request failed.
        reply: Option<ExchangeReply>,
    },
}

/// Operation that the caller of [`Membership`] has to perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Datagram to send.
        packet: Packet,
    },
    /// Send an exchange request and report its result as [`Input::Exchanged`].
    Exchange {
        /// Instance to exchange tables with.
        peer: InstanceId,
        /// Peer address of the instance `peer`.
        to: SocketAddr,
        /// Request to send.
        request: ExchangeRequest,
    },
    /// Process the changed record of a member.
    MemberChanged(Member),
    /// Process the record of a member that this node itself declared suspect or dead.
    Declared(Member),
    /// Remember that the upstream process has left, which an earlier process of this node had recorded.
    EarlierLeave(ProcessId),
    /// Process a fact learned from another node.
    FactLearnt(Fact),
    /// Read [`Membership::view`] again: the reachability of a data centre changed.
    ViewChanged,
}

/// Membership state machine of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Membership {
    me: Member,
    options: Options,
    table: Table,
    detector: Detector,
    reachability: Reachability,
    updates: UpdateQueue,
    budget: ByteBudget,
    random: Random,
    last_tick: Option<Time>,
    /// Time of the last change to the table.
    last_change: Time,
    /// Earliest time of the next exchange of whole tables.
    next_exchange: Time,
    next_expiry: Time,
    /// Time since which another node's digest has differed.
    mismatch: Option<Time>,
    /// Node whose digest differed last.
    mismatch_peer: Option<InstanceId>,
    fact_exchange: FactExchange,
    /// Pending exchanges started by this node, each with its start and scope.
    exchanging: BTreeMap<InstanceId, (Time, Scope)>,
    /// Whether an exchange of whole tables has been completed since the start.
    synced: bool,
}

impl Membership {
    /// Creates the state machine of the node with member record `me`; `seed` determines its random
    /// choices.
    pub fn new(me: Member, options: Options, seed: u64, now: Now) -> Self {
        let mut random = Random::new(seed);
        let first_probe = now.mono + random.up_to(options.probe_interval);
        let mut table = Table::new(options.max_members, options.max_facts);
        table.join(&Item::Member(me.clone()), now.mono, now.wall);
        Self {
            table,
            detector: Detector::new(first_probe),
            reachability: Reachability::default(),
            updates: UpdateQueue::default(),
            budget: ByteBudget::new(options.push_bytes_per_s, options.push_burst_bytes),
            random,
            last_tick: None,
            last_change: now.mono,
            next_exchange: now.mono,
            next_expiry: now.mono,
            mismatch: None,
            mismatch_peer: None,
            fact_exchange: FactExchange::default(),
            exchanging: BTreeMap::new(),
            synced: false,
            me,
            options,
        }
    }

    /// Processes one input and returns the operations to perform.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Tick => self.on_tick(now, &mut actions),
            Input::Packet { from, packet } => self.on_packet(now, from, packet, &mut actions),
            Input::Rows(rows) => self.on_rows(now, rows, &mut actions),
            Input::Raise(fact) => self.publish_fact(now, fact, &mut actions),
            Input::Local(state) => self.on_local_state(now, state, &mut actions),
            Input::Exchanged { peer, reply } => {
                self.on_exchange_reply(now, &peer, reply, &mut actions)
            }
        }
        actions
    }

    /// Returns the record of this node's own member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the table of members and facts.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns whether this node has completed an exchange of whole tables since it started.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns the members that are not dead. Serving members of a partitioned data centre are
    /// returned as suspects.
    pub fn view(&self) -> MemberView {
        let live = self.table.members().filter(|member| member.state != MemberState::Dead);
        let members = live.map(|member| (member.instance.clone(), self.with_reachability(member)));
        MemberView { members: members.collect() }
    }

    /// Returns `member`, as a suspect if it is serving in a partitioned data centre.
    fn with_reachability(&self, member: &Member) -> Member {
        let is_partitioned = member.instance != self.me.instance
            && self.reachability.is_partitioned(&member.data_centre);
        let state = if is_partitioned && member.state == MemberState::Serving {
            MemberState::Suspect
        } else {
            member.state
        };
        Member { state, ..member.clone() }
    }

    /// Joins the items of a datagram from `source` and disseminates the new ones.
    fn join_and_disseminate(
        &mut self,
        now: Now,
        items: Vec<Item>,
        source: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let new_items = self.join(now, items, actions);
        self.disseminate(now, new_items, Some(source), actions);
    }

    /// Joins the items of a table exchange and, once synced, queues the new ones for one datagram.
    fn join_exchanged(&mut self, now: Now, items: Vec<Item>, actions: &mut Vec<Action>) {
        let new_items = self.join(now, items, actions);
        if self.synced {
            self.queue_once(&new_items);
        }
    }

    /// Joins `items`, reports the new ones as actions and returns them as full records.
    fn join(&mut self, now: Now, items: Vec<Item>, actions: &mut Vec<Action>) -> Vec<Item> {
        let mut new_items = Vec::new();
        for item in items {
            if self.is_me(&item) {
                if let Item::Member(Member { left: Some(process), .. }) = &item {
                    actions.push(Action::EarlierLeave(*process));
                }
                self.refute(now, &item, actions);
            } else if self.table.join(&item, now.mono, now.wall) == Joined::New {
                let full = self.table.item(&item.key()).unwrap_or(item);
                self.on_new_item(now, &full, actions);
                new_items.push(full);
            }
        }
        new_items
    }

    /// Updates the failure detector for an item new to the table and reports it.
    fn on_new_item(&mut self, now: Now, item: &Item, actions: &mut Vec<Action>) {
        self.last_change = now.mono;
        match item {
            Item::Member(member) => {
                self.update_suspicion(now, member);
                actions.push(Action::MemberChanged(member.clone()));
            }
            Item::Fact(fact) => actions.push(Action::FactLearnt(fact.clone())),
            // The table returns full records only.
            Item::Brief(_) => {}
        }
    }
}
