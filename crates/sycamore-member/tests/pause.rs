//! Behaviour of the failure detector after a pause of its own process.
#![allow(clippy::unwrap_used)]

mod common;

use common::{member, net_now, EPOCH};
use sycamore_member::message::{Body, ExchangeReply};
use sycamore_member::{Action, Input, Membership, Options};
use sycamore_types::prelude::*;

/// Guards against false suspicions by a resumed process: the probe pending at the pause has timed
/// out only because the process could not read the answer.
#[test]
fn a_resumed_node_starts_no_indirect_probe_for_one_pending_at_the_pause() {
    let start = net_now(Time::default(), 0);
    let mut node = Membership::new(member(0, 1, EPOCH.0), Options::default(), 1, start);
    node.step(start, Input::Rows((1..4).map(|i| member(i, 1, EPOCH.0)).collect()));
    let peer = member(1, 1, EPOCH.0).instance;
    for peer in [peer, member(2, 1, 0).instance, member(3, 1, 0).instance] {
        let reply = Some(ExchangeReply::default());
        node.step(start, Input::Exchanged { peer, reply });
    }
    let has_ping = |actions: &[Action]| {
        actions.iter().any(|action| matches!(action, Action::Send { packet, .. } if matches!(packet.body, Body::Ping { .. })))
    };
    let has_ping_request = |actions: &[Action]| {
        actions.iter().any(|action| matches!(action, Action::Send { packet, .. } if matches!(packet.body, Body::PingRequest { .. })))
    };
    let mut time = Time::default();
    loop {
        time = Time(time.0 + 100_000);
        if has_ping(&node.step(net_now(time, 0), Input::Tick)) {
            break;
        }
    }
    let resumed = Time(time.0 + 30_000_000);
    let actions = node.step(net_now(resumed, 0), Input::Tick);
    assert!(!has_ping_request(&actions), "{actions:?}");
}
