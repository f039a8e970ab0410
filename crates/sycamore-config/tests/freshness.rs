//! Tests of the proof of how recent a configuration is.
#![allow(clippy::unwrap_used)]

use sycamore_config::Freshness;
use sycamore_types::prelude::*;

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1_000)
}

const V1: ConfigVersion = ConfigVersion(1);
const V2: ConfigVersion = ConfigVersion(2);

/// Guards against a proof of a version that is known and not in force yet: the configuration in force
/// may still hold a key that the newer one has taken away.
#[test]
fn a_proof_counts_once_its_version_is_in_force() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.proven_at(V1), None);
    freshness.record(V1, V1, at(1));
    freshness.record(V1, V2, at(2));
    assert_eq!(freshness.proven_at(V1), Some(at(1)));
    assert_eq!(freshness.proven_at(V2), Some(at(2)));
}

/// Guards against an older proof that overtakes a newer one on its way from another peer.
#[test]
fn the_latest_proof_stays() {
    let mut freshness = Freshness::default();
    freshness.record(V2, V2, at(5));
    freshness.record(V2, V1, at(3));
    assert_eq!(freshness.proven_at(V2), Some(at(5)));
    freshness.record(V2, V1, at(7));
    assert_eq!(freshness.proven_at(V2), Some(at(7)));
}

/// Follows a fleet in which a third of the nodes, chosen by `seed`, loses the store while keys are
/// withdrawn. Readers prove their version each second from the start of a read; the others ask a random
/// node twice a second and count from then on. Returns the latest use of a withdrawn version after its
/// acknowledgement, and the number of refusals, in milliseconds and calls.
fn follow_withdrawals(nodes: usize, seed: u64) -> (u64, usize) {
    const BOUND_MS: u64 = 4_900;
    let mut random = seed | 1;
    let mut draw = |below: usize| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        usize::try_from(random % below as u64).unwrap()
    };
    let is_cut: Vec<bool> = (0..nodes).map(|_| draw(3) == 0).collect();
    let mut known = vec![(Freshness::default(), V1); nodes];
    let (mut latest, mut refused) = (0, 0);
    for ms in (0..20_000).step_by(100) {
        let newest = if ms >= 8_000 { V2 } else { V1 };
        let cut_now = (7_500..16_000).contains(&ms);
        let before = known.clone();
        for node in 0..nodes {
            let began = Time::from_millis(ms);
            let version = known[node].1;
            let proven = known[node].0.proven_at(version);
            // A node whose peers don't keep it current reads for itself.
            let is_stale = proven.is_none_or(|proven| began.since(proven).as_millis() > 2_000);
            let reads = (node % 10 == 0 || is_stale) && !(cut_now && is_cut[node]);
            if reads && (ms / 100 + node as u64).is_multiple_of(10) {
                known[node].1 = newest;
                known[node].0.record(newest, newest, began);
            } else if (ms / 100 + node as u64).is_multiple_of(5) {
                let (mut peer, version) = before[draw(nodes)].clone();
                let in_force = known[node].1.max(version);
                known[node].1 = in_force;
                if let Some(proven) = peer.proven_at(version) {
                    known[node].0.record(in_force, version, proven);
                }
            }
            let in_force = known[node].1;
            let age = known[node].0.proven_at(in_force).map(|proven| began.since(proven));
            let serves = age.is_some_and(|age| age.as_millis() <= u128::from(BOUND_MS));
            refused += usize::from(!serves && ms >= 5_000);
            if serves && in_force == V1 && ms > 8_000 {
                latest = latest.max(ms - 8_000);
            }
        }
    }
    (latest, refused)
}

/// Guards against calls that run with a withdrawn key after the bound, and against nodes that refuse
/// calls although a peer has proof: a third of the fleet is cut off from the store.
#[test]
fn no_withdrawn_key_is_used_late_and_no_node_with_proven_peers_refuses() {
    for nodes in [12, 63, 196, 930] {
        for seed in 1..=10 {
            let (latest, refused) = follow_withdrawals(nodes, seed * 7_919);
            assert!(
                latest <= 5_000,
                "{latest} ms after the withdrawal, {nodes} nodes, seed {seed}"
            );
            assert_eq!(refused, 0, "{nodes} nodes, seed {seed}");
        }
    }
}
