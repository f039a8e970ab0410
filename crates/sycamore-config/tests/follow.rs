//! Choice between the change feed and a listing for a node on a slow link.

use sycamore_config::follow::{choose_read, NextRead};
use sycamore_types::prelude::*;

/// Number of versions that an operator writes, one every [`WRITE_INTERVAL_MS`].
const VERSIONS: u64 = 20;
const WRITE_INTERVAL_MS: u64 = 600;
/// Transfer time of one configuration: half a megabyte at 4 Mbit/s.
const TRANSFER_MS: u64 = 1_000;
/// Required time from a version's acknowledgement until it is in force.
const MAX_LAG_MS: u64 = 2_500;

/// Returns the newest version written at `now_ms`.
fn newest_written(now_ms: u64) -> u64 {
    (now_ms / WRITE_INTERVAL_MS).min(VERSIONS)
}

/// Returns the longest time from the write of a version until the node has it, in milliseconds.
/// `choose` selects each read of the node.
fn max_lag_ms(choose: impl Fn(ConfigVersion, Option<ConfigVersion>) -> NextRead) -> u64 {
    let (mut now, mut taken, mut max_lag) = (0, 0, 0);
    while taken < VERSIONS {
        let newest = newest_written(now);
        if newest == taken {
            now += WRITE_INTERVAL_MS;
            continue;
        }
        let version = match choose(ConfigVersion(taken), Some(ConfigVersion(newest))) {
            NextRead::Changes => taken + 1,
            NextRead::Rows => newest,
        };
        now += TRANSFER_MS;
        taken = version;
        max_lag = max_lag.max(now - (taken - 1) * WRITE_INTERVAL_MS - WRITE_INTERVAL_MS);
    }
    max_lag
}

/// Guards against a node that falls ever further behind: each version takes longer to transfer than
/// the interval between writes, so the intermediate versions have to be skipped.
#[test]
fn a_node_on_a_slow_link_skips_versions_and_stays_within_the_lag() {
    assert!(
        max_lag_ms(|_, _| NextRead::Changes) > MAX_LAG_MS,
        "the change feed alone is fast enough"
    );
    assert!(max_lag_ms(choose_read) <= MAX_LAG_MS, "lag of {} ms", max_lag_ms(choose_read));
}

/// Guards against needless listings by a node whose peers announce no higher version.
#[test]
fn only_a_node_behind_its_peers_lists_the_rows() {
    assert_eq!(choose_read(ConfigVersion(4), Some(ConfigVersion(4))), NextRead::Changes);
    assert_eq!(choose_read(ConfigVersion(5), Some(ConfigVersion(4))), NextRead::Changes);
    assert_eq!(choose_read(ConfigVersion(4), None), NextRead::Changes);
    assert_eq!(choose_read(ConfigVersion(4), Some(ConfigVersion(5))), NextRead::Rows);
}
