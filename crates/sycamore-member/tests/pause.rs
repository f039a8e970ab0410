//! A process that was paused blames nobody for what it missed.
#![allow(clippy::unwrap_used)]

mod common;

use common::{member, net_now, EPOCH};
use sycamore_member::message::{Body, ExchangeReply};
use sycamore_member::{Action, Input, Membership, Options};
use sycamore_types::prelude::*;

#[test]
fn a_paused_node_asks_nobody_about_the_probe_that_it_missed() {
    let start = net_now(Time::default(), 0);
    let mut node = Membership::new(member(0, 1, EPOCH.0), Options::default(), 1, start);
    node.step(start, Input::Rows((1..4).map(|i| member(i, 1, EPOCH.0)).collect()));
    let peer = member(1, 1, EPOCH.0).instance;
    for peer in [peer, member(2, 1, 0).instance, member(3, 1, 0).instance] {
        let reply = Some(ExchangeReply::default());
        node.step(start, Input::Exchanged { peer, reply });
    }
    let probing = |actions: &[Action]| {
        actions.iter().any(|action| matches!(action, Action::Send { packet, .. } if matches!(packet.body, Body::Ping { .. })))
    };
    let asked = |actions: &[Action]| {
        actions.iter().any(|action| matches!(action, Action::Send { packet, .. } if matches!(packet.body, Body::PingRequest { .. })))
    };
    let mut time = Time::default();
    loop {
        time = Time(time.0 + 100_000);
        if probing(&node.step(net_now(time, 0), Input::Tick)) {
            break;
        }
    }
    let thawed = Time(time.0 + 30_000_000);
    let actions = node.step(net_now(thawed, 0), Input::Tick);
    assert!(!asked(&actions), "{actions:?}");
}
