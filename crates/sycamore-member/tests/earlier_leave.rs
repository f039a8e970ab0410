//! Leave of an upstream process that an earlier process of the node beside it recorded.

mod common;

use common::{address, member, net_now};
use sycamore_member::message::{Body, Item, Packet};
use sycamore_member::{Action, Input, LocalState, Membership, Options};
use sycamore_types::prelude::*;

/// Guards against a node that starts again beside a process which has left, and passes calls to it
/// until another node tells it: its own earlier record, which all others hold, names the process.
#[test]
fn a_restarted_node_learns_the_leave_from_its_own_earlier_record() {
    let process = ProcessId(7);
    let (me, peer) = (member(0, 1, 2_000), member(1, 1, 1_000));
    let earlier = Member {
        state: MemberState::Draining,
        left: Some(process),
        ..Member { incarnation: Incarnation(1_000), ..me.clone() }
    };
    let now = net_now(Time::from_secs(1), 0);
    let mut node = Membership::new(me, Options::default(), 1, now);
    let items = vec![Item::Member(earlier)];
    let packet = Packet { from: peer.instance, body: Body::Push, items };
    let actions = node.step(now, Input::Packet { from: address(1), packet });
    assert!(actions.contains(&Action::EarlierLeave(process)), "{actions:?}");
    assert_eq!(node.me().left, None, "the new process of the node hasn't seen the upstream yet");
}

/// Guards against a leave that ends with the record that first held it: a node without an upstream, and one
/// that stops, go on naming the process that has left.
#[test]
fn a_node_names_the_process_that_has_left_until_its_end() {
    let left = Some(ProcessId(7));
    let now = net_now(Time::from_secs(1), 0);
    let mut node = Membership::new(member(0, 1, 2_000), Options::default(), 1, now);
    let states = [LocalState::Draining { left }, LocalState::Joining { left }, LocalState::Left];
    for state in states {
        let before = node.me().clone();
        node.step(now, Input::Local(state.clone()));
        assert_eq!(node.me().left, left, "{state:?}");
        let is_announced = sycamore_member::table::supersedes(node.me(), &before);
        assert!(is_announced, "{state:?}: {:?} after {before:?}", node.me());
    }
    let mut node = Membership::new(member(0, 1, 2_000), Options::default(), 1, now);
    node.step(now, Input::Local(LocalState::Joining { left }));
    let serving = LocalState::Serving { version: "4.2.0".parse().unwrap(), slots: 12 };
    node.step(now, Input::Local(serving));
    assert_eq!(node.me().left, None, "another process has followed");
}
