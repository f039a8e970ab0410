//! Simulation of a fleet of 930 nodes in 2 regions and 6 data centres, with virtual time.
#![allow(clippy::unwrap_used)]

mod common;

use common::{head, percentile, Net};
use std::time::Duration;
use sycamore_member::{LocalState, Options};
use sycamore_types::prelude::*;

const NODES: usize = 930;
const DATA_CENTRES: usize = 6;
/// Upper bound on the bytes sent and received by one node per second.
const MAX_BYTES_PER_S: f64 = 3_000.0;

/// Creates the fleet with 1% datagram loss and runs it for three seconds.
fn fleet(seed: u64) -> Net {
    let mut net = Net::new(NODES, DATA_CENTRES, seed, Options::default());
    net.loss = 10;
    net.run(Duration::from_secs(3));
    net.reset_bytes();
    net
}

/// Returns the sorted times from `since` until each live node learned that `node` is in `state`;
/// `None` if some node never did.
fn times_to_learn_state(
    net: &Net,
    node: usize,
    state: MemberState,
    since: Time,
) -> Option<Vec<Duration>> {
    let id = net.id(node);
    let live = net.peers.iter().filter(|peer| peer.alive && peer.machine.me().instance != id);
    let mut times = Vec::new();
    for peer in live {
        let first = peer
            .changes
            .iter()
            .find(|(at, member)| *at >= since && member.instance == id && member.state == state);
        times.push(first?.0.since(since));
    }
    times.sort();
    Some(times)
}

/// Prints the percentiles of sorted `times`.
fn print(what: &str, times: &[Duration]) {
    println!(
        "{what}: p50 {:?}, p99 {:?}, max {:?}",
        percentile(times, 50),
        percentile(times, 99),
        percentile(times, 100)
    );
}

/// Guards against slow or incomplete dissemination of a head, and against high idle traffic.
#[test]
fn a_head_reaches_all_nodes_in_two_seconds_within_the_byte_budget() {
    let mut net = fleet(1);
    net.run(Duration::from_secs(20));
    let (idle, idle_max) = net.bytes();
    println!("idle: {:.0} B/s per node, highest {} B/s", idle / 20.0, idle_max / 20);
    net.reset_bytes();
    let since = net.now;
    net.raise(17, head(9));
    net.run(Duration::from_secs(20));
    let (times, missing) = net.reached(&FactKey::Head, since);
    let (total, _) = net.bytes();
    print("head", &times);
    println!("a head costs {:.0} B per node", total - idle);
    assert_eq!(missing, 0);
    assert!(percentile(&times, 99) < Duration::from_secs(2));
    assert!(idle / 20.0 < 1_000.0, "idle {:.0} B/s", idle / 20.0);
}

/// Guards against nodes that keep calling a draining or dead instance because the change of its
/// state reaches them late or never.
#[test]
fn a_drain_and_a_death_reach_all_nodes_in_time() {
    let mut net = fleet(2);
    let since = net.now;
    net.local(5, LocalState::Draining { left: None });
    net.run(Duration::from_secs(5));
    let drained = times_to_learn_state(&net, 5, MemberState::Draining, since)
        .expect("all nodes learn of the drain");
    print("drain", &drained);
    assert!(percentile(&drained, 99) < Duration::from_secs(2));
    let since = net.now;
    net.kill(6);
    net.run(Duration::from_secs(40));
    let dead = times_to_learn_state(&net, 6, MemberState::Dead, since)
        .expect("all nodes learn of the death");
    print("death", &dead);
    assert!(percentile(&dead, 99) < Duration::from_secs(20));
}

/// Guards against traffic bursts and lasting disagreement when many nodes die and restart at once.
/// The fleet has a third of the full size, because every node processes every death and restart.
#[test]
fn a_mass_restart_stays_within_the_mean_byte_budget() {
    run_mass_restart();
}

/// Guards against a single node that exceeds the byte budget during a mass restart while the mean
/// of all nodes stays within it.
#[test]
fn no_node_exceeds_the_byte_budget_in_a_herd() {
    let highest = run_mass_restart();
    assert!(highest < MAX_BYTES_PER_S, "{highest:.0} B/s at the node with the most traffic");
}

/// Kills and restarts 30% of the nodes. Returns the highest traffic of a single node, in bytes per
/// second averaged over one minute.
fn run_mass_restart() -> f64 {
    let nodes = std::env::var("HERD_FLEET").map_or(310, |nodes| nodes.parse().unwrap());
    let mut net = Net::new(nodes, DATA_CENTRES, 3, Options::default());
    net.loss = 10;
    net.run(Duration::from_secs(3));
    net.reset_bytes();
    let restarted: Vec<usize> = (0..nodes).filter(|i| i % 10 < 3).collect();
    for node in &restarted {
        net.kill(*node);
    }
    let after_deaths = run_until_agreed(&mut net, "after the deaths", |net| {
        all_see_serving(net, nodes - restarted.len())
    });
    for node in &restarted {
        // The two contacts are nodes that were not killed.
        net.restart(*node, &[(*node + 5) % nodes, (*node + 6) % nodes]);
    }
    run_until_agreed(&mut net, "after the restarts", |net| all_see_serving(net, nodes))
        .max(after_deaths)
}

/// Returns whether every live node sees exactly `members` members, all of them serving.
fn all_see_serving(net: &Net, members: usize) -> bool {
    net.peers.iter().filter(|peer| peer.alive).all(|peer| {
        let view = peer.machine.view();
        let serving = view.members.values().filter(|m| m.state == MemberState::Serving);
        serving.count() == members && view.members.len() == members
    })
}

/// Runs for up to five minutes until `agreed` holds, and asserts that the mean traffic of each
/// minute is within the byte budget. Returns the highest traffic of a single node, in bytes per
/// second averaged over one minute.
fn run_until_agreed(net: &mut Net, what: &str, agreed: impl Fn(&Net) -> bool) -> f64 {
    let mut worst: f64 = 0.0;
    for minute in 1..=5 {
        net.reset_bytes();
        net.run(Duration::from_secs(60));
        let (bytes, highest) = net.bytes();
        println!(
            "{what}, minute {minute}: {:.0} B/s per node, highest {}",
            bytes / 60.0,
            highest / 60
        );
        assert!(bytes / 60.0 < MAX_BYTES_PER_S, "{what}: {:.0} B/s", bytes / 60.0);
        worst = worst.max(highest as f64 / 60.0);
        if agreed(net) {
            return worst;
        }
    }
    panic!("{what}: nodes disagree after five minutes");
}

/// Guards against false deaths during a partition between regions, and against a traffic burst or a
/// lost head after it heals.
#[test]
fn a_region_partition_heals_within_the_byte_budget() {
    let mut net = fleet(4);
    let centre = |i: usize| -> DataCentre { format!("dc{i}").parse().unwrap() };
    for a in 0..3 {
        for b in 3..6 {
            net.cuts.push((centre(a), centre(b)));
            net.cuts.push((centre(b), centre(a)));
        }
    }
    net.run(Duration::from_secs(120));
    let (partitioned, highest) = net.bytes();
    println!("partitioned: {:.0} B/s per node, highest {}", partitioned / 120.0, highest / 120);
    for node in [0, 3] {
        let states = net.state_counts(node);
        assert_eq!(states.len(), 1, "node {node}: {states:?}");
    }
    net.raise(0, head(11));
    net.run(Duration::from_secs(10));
    net.reset_bytes();
    net.cuts.clear();
    let since = net.now;
    net.run(Duration::from_secs(30));
    let (healed, highest) = net.bytes();
    println!("healed: {:.0} B/s per node, highest {}", healed / 30.0, highest / 30);
    let (times, missing) = net.reached(&FactKey::Head, since);
    print("head published during the partition, after healing", &times);
    assert_eq!(missing, 0);
    assert!(healed / 30.0 < MAX_BYTES_PER_S);
}
