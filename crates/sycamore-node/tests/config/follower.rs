//! A node that gets configurations from another one, while that one rejects a row.

use super::store::Store;
use super::{block_on, Node};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use serde_json::json;
use std::time::{Duration, Instant};
use sycamore_config::bundle::MAX_RESOURCES;
use sycamore_node::calls;
use sycamore_node::edge::Edges;
use sycamore_settings::{config::Config as ConfigSettings, node, Settings};
use sycamore_testing::unused_addr;
use sycamore_types::prelude::*;

/// Time within which a version is in force everywhere, or else known to be missing.
const APPLY_WITHIN: Duration = Duration::from_secs(2);
/// Longest time between two of a follower's requests to the node that reads the rows.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// Answer to a request that matches no route.
const FINAL: (u16, &str) = (404, "no-route");
/// Answer to such a request while a newer version is known and rejected.
const REJECTED: (u16, &str) = (503, "configuration-rejected");

fn settings(instance: &str) -> Settings {
    let mut settings = Settings::default();
    settings.node.instance = InstanceId::new(instance).unwrap();
    settings.config = ConfigSettings {
        watchers_per_data_centre: 1,
        apply_within: APPLY_WITHIN,
        ..ConfigSettings::default()
    };
    settings.listen = node::Listen {
        caller: unused_addr(),
        upstream: unused_addr(),
        relay: unused_addr(),
        peer: unused_addr(),
        ..settings.listen
    };
    settings
}

fn member(settings: &Settings) -> Member {
    let node = &settings.node;
    Member {
        instance: node.instance.clone(),
        incarnation: Incarnation(1),
        state: MemberState::Joining,
        service: node.service.clone(),
        version: UpstreamVersion::new("v1").unwrap(),
        data_centre: node.data_centre.clone(),
        region: node.region.clone(),
        endpoints: settings.listen.endpoints(),
        slots: 0,
        left: None,
    }
}

impl Node {
    /// Writes a configuration that nodes reject as a whole: it has more entries than they hold.
    fn write_faulty_row(&self, version: u64) {
        let row = json!({"version": version, "entries": MAX_RESOURCES + 1});
        self.store.write("config", row);
    }
}

/// Node that follows another one and answers calls.
struct Follower(Node);

/// Node that reads the operators' rows, and one that follows it.
struct Pair {
    watcher: Node,
    follower: Follower,
}

impl Pair {
    /// Starts the nodes with version 14 in force on both. The watcher reads `rows`, the follower
    /// `of_follower`, which may be another copy of the same table.
    async fn start(rows: &Store, of_follower: &Store) -> Self {
        let mut names = ["counter-1", "counter-2"];
        // The node with the lower hash of its name reads the rows.
        names.sort_by_key(|name| ContentHash::of(name.as_bytes()));
        let [watcher, follower] = names.map(settings);
        [rows, of_follower].into_iter().for_each(|store| {
            store.add_member(&member(&watcher));
            store.add_member(&member(&follower));
        });
        let version_14 = json!({"version": 14, "entries": 3});
        rows.write("config", version_14.clone());
        of_follower.write("config", version_14);
        let watcher = Node::start_with(rows.clone(), watcher).await;
        watcher.wait_for("config_version", 14).await;
        let follower = Node::start_with(of_follower.clone(), follower).await;
        let _ = calls::start(&follower.hub, &follower.tasks, &Edges::default()).await.unwrap();
        follower.wait_for("config_version", 14).await;
        let follower = Follower(follower);
        follower.wait_for_answer(FINAL).await;
        Self { watcher, follower }
    }
}

impl Follower {
    /// Returns status and reason of the answer to a request that matches no route.
    async fn call(&self) -> (u16, String) {
        let mut stream = TcpStream::connect(self.0.hub.settings.listen.caller).await.unwrap();
        let request = "GET /added-later HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.0.unwrap();
        let (mut answer, mut buf) = (String::new(), vec![0; 4096]);
        loop {
            let (count, back) = stream.read(buf).await;
            buf = back;
            match count.unwrap() {
                0 => break,
                count => answer.push_str(std::str::from_utf8(&buf[..count]).unwrap()),
            }
        }
        let reason = answer.lines().find_map(|line| line.strip_prefix("shift-reason: "));
        (answer.split(' ').nth(1).unwrap().parse().unwrap(), reason.unwrap().to_owned())
    }

    /// Waits until the node answers `expected`; panics after [`APPLY_WITHIN`].
    async fn wait_for_answer(&self, expected: (u16, &str)) {
        let started = Instant::now();
        loop {
            let (status, reason) = self.call().await;
            if (status, reason.as_str()) == expected {
                return;
            }
            let waited = started.elapsed();
            assert!(waited < APPLY_WITHIN, "{status} {reason} instead of {expected:?}");
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Checks that the node answers `expected` for all of `time`.
    async fn check_answer_for(&self, time: Duration, expected: (u16, &str)) {
        let started = Instant::now();
        while started.elapsed() < time {
            let (status, reason) = self.call().await;
            let after = started.elapsed();
            assert_eq!((status, reason.as_str()), expected, "after {after:?}");
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Guards against 404, which callers take as final, from all nodes but those that read the row: a
/// rejected row has no head that could spread.
#[test]
fn a_missing_route_is_not_final_at_a_node_whose_peer_rejected_a_row() {
    block_on(async || {
        let pair = Pair::start(&Store::default(), &Store::default()).await;
        let Pair { watcher, follower } = &pair;
        let own_rejections = follower.0.metric("config_rejected_total");
        for (rejected, next) in [(16, 17), (21, 21)] {
            watcher.write_faulty_row(rejected);
            follower.wait_for_answer(REJECTED).await;
            follower.check_answer_for(APPLY_WITHIN * 3 / 2, REJECTED).await;
            assert_eq!(follower.0.versions()[1..], [rejected as i64; 2]);
            assert_eq!(follower.0.metric("config_rejected_total"), own_rejections);

            watcher.write_row(next, 4);
            follower.0.wait_for("config_version", next as i64).await;
            assert_eq!(follower.0.versions(), [next as i64, next as i64, 0]);
            follower.check_answer_for(2 * REQUEST_INTERVAL, FINAL).await;
        }
        assert_eq!(follower.0.role(), "follower");
        pair.watcher.stop().await;
        pair.follower.0.stop().await;
    });
}

/// Guards against knowledge of a rejected row that ends with the node that read it: the follower
/// takes its place and has to reject the row itself before what it was told expires.
#[test]
fn a_missing_route_stays_not_final_when_the_node_that_rejected_the_row_is_gone() {
    block_on(async || {
        let rows = Store::default();
        let Pair { watcher, follower } = Pair::start(&rows, &rows).await;
        watcher.write_faulty_row(16);
        follower.wait_for_answer(REJECTED).await;
        watcher.stop().await;
        follower.check_answer_for(APPLY_WITHIN * 5 / 2, REJECTED).await;
        assert_eq!(follower.0.versions(), [14, 16, 16]);
        follower.0.stop().await;
    });
}

/// Guards against a peer's word that outlives it: with that peer gone, a row that nobody can read
/// any more must not make the node refuse requests for good.
#[test]
fn a_missing_route_is_final_again_when_nobody_knows_of_a_rejected_row() {
    block_on(async || {
        let Pair { watcher, follower } = Pair::start(&Store::default(), &Store::default()).await;
        watcher.write_faulty_row(u64::MAX >> 1);
        follower.wait_for_answer(REJECTED).await;
        watcher.stop().await;
        monoio::time::sleep(APPLY_WITHIN).await;
        follower.wait_for_answer(FINAL).await;
        follower.0.wait_for("config_rejected_version", 0).await;
        assert_eq!(follower.0.versions(), [14, 14, 0]);
        follower.0.stop().await;
    });
}

/// Guards against a malformed row that counts as read where it was rejected: a node that reads on
/// from there, for lack of news, never gets it, and what its peer told expires.
#[test]
fn a_node_that_reads_on_after_its_peer_gets_the_malformed_row_itself() {
    block_on(async || {
        let (rows, of_follower) = (Store::default(), Store::default());
        let Pair { watcher, follower } = Pair::start(&rows, &of_follower).await;
        for store in [&rows, &of_follower] {
            store.write("config", json!({"version": 16}));
        }
        follower.wait_for_answer(REJECTED).await;
        // The watcher's answers then tell up to which row it has read.
        follower.check_answer_for(2 * REQUEST_INTERVAL, REJECTED).await;
        rows.set_out(true);
        while follower.0.role() != "stale" {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        watcher.stop().await;
        follower.check_answer_for(APPLY_WITHIN * 5 / 2, REJECTED).await;
        assert_eq!(follower.0.versions(), [14, 16, 16]);
        follower.0.stop().await;
    });
}

/// Guards against a version that is far too high, in a row that an operator has replaced since, for
/// which the fleet would refuse missing routes for good.
#[test]
fn a_missing_route_is_final_again_when_a_rejected_row_is_replaced_by_a_lower_version() {
    block_on(async || {
        let Pair { watcher, follower } = Pair::start(&Store::default(), &Store::default()).await;
        for (rejected, next) in [(u64::MAX >> 1, 17), (u64::MAX >> 2, 17)] {
            watcher.write_faulty_row(rejected);
            follower.wait_for_answer(REJECTED).await;
            watcher.write_row(next, 4);
            follower.0.wait_for("config_version", next as i64).await;
            follower.wait_for_answer(FINAL).await;
            assert_eq!(watcher.versions(), [17, 17, 0]);
        }
        watcher.stop().await;
        follower.0.stop().await;
    });
}
