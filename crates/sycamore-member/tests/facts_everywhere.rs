//! Dissemination of a configuration head to every node within the deadline, despite lost pushes.
#![allow(clippy::unwrap_used)]

mod common;

use common::{head, Net};
use std::time::Duration;
use sycamore_member::message::ItemKey;
use sycamore_member::Options;
use sycamore_types::prelude::*;

/// Strictest deadline for a new configuration to be in force on all nodes.
const APPLY_DEADLINE: Duration = Duration::from_secs(2);
/// Part of [`APPLY_DEADLINE`] reserved for fetching and applying the configuration.
const FETCH_TIME: Duration = Duration::from_millis(500);
const NODES: usize = 71;
const DATA_CENTRES: usize = 3;

/// Returns the indices of nodes that don't know the head.
fn nodes_without_head(net: &Net) -> Vec<usize> {
    let key = ItemKey::Fact(FactKey::Head);
    (0..NODES).filter(|i| net.peers[*i].machine.table().item(&key).is_none()).collect()
}

/// Guards against nodes that miss a head because all pushes to them were lost, at 2% datagram loss.
#[test]
fn a_head_reaches_all_nodes_in_time_despite_datagram_loss() {
    for seed in 1..=40 {
        let mut net = Net::new(NODES, DATA_CENTRES, seed, Options::default());
        net.loss = 20;
        net.run(Duration::from_secs(3));
        net.raise(5, head(2));
        net.run(APPLY_DEADLINE - FETCH_TIME);
        assert_eq!(nodes_without_head(&net), Vec::<usize>::new(), "seed {seed}");
    }
}

/// Guards against nodes that learn of a head late because their links lose 30% of the datagrams: a
/// node that no push reaches learns of it from later probes, which are lost as well.
#[test]
fn a_head_reaches_all_nodes_in_time_over_lossy_links() {
    for seed in 1..=40 {
        let mut net = Net::new(NODES, DATA_CENTRES, seed, Options::default());
        net.loss = 300;
        net.run(Duration::from_secs(3));
        net.raise(5, head(2));
        net.run(APPLY_DEADLINE - FETCH_TIME);
        assert_eq!(nodes_without_head(&net), Vec::<usize>::new(), "seed {seed}");
    }
}

/// Guards against nodes that miss a head because they restart while it is being disseminated.
#[test]
fn a_head_reaches_nodes_that_restart_during_its_dissemination() {
    for seed in 1..=40 {
        let mut net = Net::new(NODES, DATA_CENTRES, seed, Options::default());
        net.run(Duration::from_secs(3));
        for node in 10..20 {
            net.kill(node);
        }
        net.run(Duration::from_millis(500));
        net.raise(5, head(2));
        for node in 10..20 {
            // The nodes read the platform's rows at different times of the dissemination.
            net.run(Duration::from_millis(20));
            net.restart(node, &[0, 33, 66]);
        }
        net.run(APPLY_DEADLINE - FETCH_TIME);
        assert_eq!(nodes_without_head(&net), Vec::<usize>::new(), "seed {seed}");
    }
}
