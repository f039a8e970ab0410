//! Choice between the change feed and a listing for a node on a slow link.

use sycamore_config::follow::{NextRead, RowReads};
use sycamore_types::prelude::*;

/// Number of versions that an operator writes, one every [`WRITE_INTERVAL_MS`].
const VERSIONS: u64 = 20;
const WRITE_INTERVAL_MS: u64 = 600;
/// Transfer time of one configuration: half a megabyte at 4 Mbit/s.
const TRANSFER_MS: u64 = 1_000;
/// Required time from a version's acknowledgement until it is in force.
const MAX_LAG_MS: u64 = 2_500;

fn version(number: u64) -> Option<ConfigVersion> {
    Some(ConfigVersion(number))
}

/// Returns the newest version written at `now_ms`.
fn newest_written(now_ms: u64) -> u64 {
    (now_ms / WRITE_INTERVAL_MS).min(VERSIONS)
}

/// Returns the longest time from the write of a version until the node has it, in milliseconds.
/// `choose` selects each read of the node from the one that [`RowReads`] chose.
fn max_lag_ms(choose: impl Fn(NextRead) -> NextRead) -> u64 {
    let (mut now, mut taken, mut max_lag) = (0, 0, 0);
    let mut reads = RowReads::default();
    while taken < VERSIONS {
        let newest = newest_written(now);
        if newest == taken {
            now += WRITE_INTERVAL_MS;
            continue;
        }
        reads.begin(version(newest));
        let rows = match choose(reads.next()) {
            NextRead::Changes => newest - taken,
            NextRead::Rows => 1,
        };
        now += TRANSFER_MS * rows;
        max_lag = max_lag.max(now - (taken + 1) * WRITE_INTERVAL_MS);
        taken = newest;
        reads.record_version(ConfigVersion(taken));
        reads.end(version(newest_written(now)));
    }
    max_lag
}

/// Guards against a node that falls ever further behind: each version takes longer to transfer than
/// the interval between writes, so the intermediate versions have to be skipped, in each read.
#[test]
fn a_node_on_a_slow_link_skips_versions_and_stays_within_the_lag() {
    assert!(max_lag_ms(|_| NextRead::Changes) > MAX_LAG_MS, "the change feed alone is fast enough");
    let lag = max_lag_ms(|chosen| chosen);
    assert!(lag <= MAX_LAG_MS, "lag of {lag} ms");
}

/// Guards against needless listings by a node whose peers announce no higher version.
#[test]
fn only_a_node_behind_its_peers_lists_the_rows() {
    let next = |taken, known| {
        let mut reads = RowReads::default();
        reads.end(None);
        reads.begin(known);
        reads.record_version(ConfigVersion(taken));
        reads.end(known);
        reads.next()
    };
    assert_eq!(next(4, version(4)), NextRead::Changes);
    assert_eq!(next(5, version(4)), NextRead::Changes);
    assert_eq!(next(4, None), NextRead::Changes);
    assert_eq!(next(4, version(5)), NextRead::Rows);
}

/// Guards against listings without end by a node whose peers announce a version that the platform
/// doesn't hold.
#[test]
fn a_listing_without_news_is_followed_by_the_change_feed() {
    let mut reads = RowReads::default();
    reads.begin(version(9));
    reads.record_version(ConfigVersion(4));
    reads.end(version(9));
    assert_eq!(reads.next(), NextRead::Changes);
    reads.restart();
    reads.begin(version(9));
    reads.end(version(10));
    assert_eq!(reads.next(), NextRead::Rows);
}

/// Guards against a read of the change feed by a node that has the newest version from peers but
/// has not read it: the feed would bring every version since the last read.
#[test]
fn versions_from_peers_do_not_count_as_read() {
    let mut reads = RowReads::default();
    reads.end(None);
    reads.begin(version(6));
    reads.record_version(ConfigVersion(4));
    reads.end(version(6));
    assert_eq!(reads.next(), NextRead::Rows);
}
