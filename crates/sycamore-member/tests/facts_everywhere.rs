//! Facts reach every node within the time that a configuration may take, whatever pushes miss.
#![allow(clippy::unwrap_used)]

mod common;

use common::{head, Net};
use std::time::Duration;
use sycamore_member::message::ItemKey;
use sycamore_member::Options;
use sycamore_types::prelude::*;

/// Least time in which the users want a configuration in force everywhere.
const APPLY: Duration = Duration::from_secs(2);
/// What fetching and applying it takes of that at most.
const FETCH: Duration = Duration::from_millis(500);
const NODES: usize = 71;
const CENTRES: usize = 3;

/// Nodes that don't know the head.
fn behind(net: &Net) -> Vec<usize> {
    let key = ItemKey::Fact(FactKey::Head);
    (0..NODES).filter(|i| net.peers[*i].machine.table().item(&key).is_none()).collect()
}

#[test]
fn a_head_reaches_all_nodes_in_time_though_datagrams_are_lost() {
    for seed in 1..=40 {
        let mut net = Net::new(NODES, CENTRES, seed, Options::default());
        net.loss = 20;
        net.run(Duration::from_secs(3));
        net.raise(5, head(2));
        net.run(APPLY - FETCH);
        assert_eq!(behind(&net), Vec::<usize>::new(), "seed {seed}");
    }
}

#[test]
fn a_head_reaches_nodes_that_start_again_while_it_spreads() {
    for seed in 1..=40 {
        let mut net = Net::new(NODES, CENTRES, seed, Options::default());
        net.run(Duration::from_secs(3));
        for node in 10..20 {
            net.kill(node);
        }
        net.run(Duration::from_millis(500));
        net.raise(5, head(2));
        for node in 10..20 {
            // They read the platform's rows at different moments of the spread.
            net.run(Duration::from_millis(20));
            net.restart(node, &[0, 33, 66]);
        }
        net.run(APPLY - FETCH);
        assert_eq!(behind(&net), Vec::<usize>::new(), "seed {seed}");
    }
}
