//! Scripted scenarios of faults in a simulated network, in the files under `scenarios/`.
#![allow(clippy::unwrap_used)]

mod common;

use common::{head, Net};
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;
use sycamore_member::{LocalState, Options};
use sycamore_types::prelude::*;

type Args = HashMap<String, Vec<String>>;

fn text<'a>(args: &'a Args, name: &str) -> &'a str {
    args.get(name).and_then(|values| values.first()).map_or("", String::as_str)
}

fn number(args: &Args, name: &str) -> u64 {
    text(args, name).parse().unwrap_or(0)
}

fn list(args: &Args, name: &str) -> Vec<usize> {
    args.get(name).into_iter().flatten().map(|value| value.parse().unwrap()).collect()
}

fn centre(args: &Args, name: &str) -> DataCentre {
    text(args, name).parse().unwrap()
}

/// Formats how many live nodes have `node` in each state.
fn states(net: &Net, node: usize) -> String {
    let mut out = String::new();
    for (state, count) in net.state_counts(node) {
        let state = state.map_or_else(|| "unknown".into(), |state| format!("{state:?}"));
        writeln!(out, "{state}: {count}").unwrap();
    }
    out
}

/// Formats the members in the view of `node`, one per line.
fn view(net: &Net, node: usize) -> String {
    let view = net.peers[node].machine.view();
    let mut out = String::new();
    for member in view.members.values() {
        writeln!(out, "{} {:?}", member.instance, member.state).unwrap();
    }
    out
}

/// Returns whether `node` has taken a higher incarnation than its first one.
fn has_refuted(net: &Net, node: usize) -> bool {
    net.peers[node].machine.me().incarnation.0 > common::EPOCH.0
}

/// Runs one directive and returns its output.
fn run_directive(net: &mut Option<Net>, directive: &str, args: &Args) -> String {
    if directive == "fleet" {
        let (nodes, centres) = (number(args, "nodes") as usize, number(args, "centres") as usize);
        let mut fleet = Net::new(nodes, centres, number(args, "seed"), Options::default());
        fleet.loss = number(args, "loss");
        *net = Some(fleet);
        return "ok\n".into();
    }
    let net = net.as_mut().unwrap();
    let node = number(args, "node") as usize;
    match directive {
        "run" => net.run(Duration::from_millis(number(args, "ms") + number(args, "s") * 1_000)),
        "kill" => list(args, "nodes").into_iter().for_each(|node| net.kill(node)),
        "restart" => net.restart(node, &list(args, "contacts")),
        "freeze" => net.freeze(node, Duration::from_secs(number(args, "s"))),
        "drain" => net.local(node, LocalState::Draining { left: None }),
        "leave" => net.local(node, LocalState::Left),
        "cut" => net.cuts.push((centre(args, "from"), centre(args, "to"))),
        "cut-link" => {
            net.cut_links.push((number(args, "from") as usize, number(args, "to") as usize));
        }
        "heal" => {
            net.cuts.clear();
            net.cut_links.clear();
        }
        "skew" => net.peers[node].skew_ms = text(args, "ms").parse().unwrap(),
        "head" => net.raise(node, head(number(args, "version"))),
        "states" => return states(net, node),
        "view" => return view(net, node),
        "refuted" => return format!("{}\n", has_refuted(net, node)),
        "knows-head" => {
            let (times, missing) = net.reached(&FactKey::Head, Time::default());
            return format!("{} know, {missing} don't\n", times.len());
        }
        other => return format!("unknown directive {other}\n"),
    }
    "ok\n".into()
}

/// Guards member states, views and incarnations against the expected output in each script.
#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |f| {
        let mut net = None;
        f.run(|case| run_directive(&mut net, &case.directive, &case.args));
    });
}
