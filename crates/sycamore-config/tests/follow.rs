//! Following the platform's rows on a slow link.

use sycamore_config::follow::{next, Next};
use sycamore_types::prelude::*;

/// Versions that an operator writes in a storm, one each [`EVERY_MS`].
const VERSIONS: u64 = 20;
const EVERY_MS: u64 = 600;
/// Time that one configuration takes over the link: half a megabyte at 4 Mbit/s.
const TAKES_MS: u64 = 1_000;
/// Time from a version's acknowledgement to in force that the users allow.
const ALLOWED_MS: u64 = 2_500;

fn written(now: u64) -> u64 {
    (now / EVERY_MS).min(VERSIONS)
}

/// The longest that a node was behind a version, in milliseconds, with `choose` after each look.
fn longest_behind(choose: impl Fn(ConfigVersion, Option<ConfigVersion>) -> Next) -> u64 {
    let (mut now, mut taken, mut longest) = (0, 0, 0);
    while taken < VERSIONS {
        let newest = written(now);
        if newest == taken {
            now += EVERY_MS;
            continue;
        }
        let version = match choose(ConfigVersion(taken), Some(ConfigVersion(newest))) {
            Next::Changes => taken + 1,
            Next::Rows => newest,
        };
        now += TAKES_MS;
        taken = version;
        longest = longest.max(now - (taken - 1) * EVERY_MS - EVERY_MS);
    }
    longest
}

#[test]
fn a_storm_over_a_slow_link_is_followed_by_its_newest_version() {
    assert!(longest_behind(|_, _| Next::Changes) > ALLOWED_MS, "each change is read in turn");
    assert!(longest_behind(next) <= ALLOWED_MS, "{}", longest_behind(next));
}

#[test]
fn a_node_that_is_not_behind_waits_for_changes() {
    assert_eq!(next(ConfigVersion(4), Some(ConfigVersion(4))), Next::Changes);
    assert_eq!(next(ConfigVersion(5), Some(ConfigVersion(4))), Next::Changes);
    assert_eq!(next(ConfigVersion(4), None), Next::Changes);
    assert_eq!(next(ConfigVersion(4), Some(ConfigVersion(5))), Next::Rows);
}
