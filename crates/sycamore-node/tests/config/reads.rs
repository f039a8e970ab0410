//! Reads of operators' rows that are larger than one answer of the platform.

use super::store::Store;
use super::{run, run_on, ConfigSettings, Node, CONFIG_KEY};
use serde_json::json;
use std::time::{Duration, Instant};
use sycamore_config::bundle::MAX_RESOURCES;
use sycamore_config::OutOfDate;
use sycamore_types::prelude::*;

impl Node {
    /// Writes a configuration whose row has at least `bytes`.
    fn write_large_row(&self, version: u64, bytes: usize) {
        let row = json!({"version": version, "entries": 3, "padding": "x".repeat(bytes)});
        self.store.write(CONFIG_KEY, row);
    }

    /// Returns the number of bytes that the platform sent to the node.
    fn bytes_read(&self) -> u64 {
        let families = self.hub.registry.gather();
        let family = families.iter().find(|f| f.name() == "sycamoreshift_platform_bytes_total");
        let metrics = family.unwrap().get_metric();
        let read = metrics.iter().find(|metric| metric.get_label()[0].value() == "in").unwrap();
        read.get_counter().get_value() as u64
    }

    /// Waits until the orders with these `keys`, without their prefix, are those that the node
    /// knows.
    async fn wait_for_orders(&self, keys: &[&str]) {
        loop {
            let known: Vec<String> = self.hub.orders.borrow().keys().cloned().collect();
            if known.iter().map(|key| key.rsplit('/').next().unwrap()).eq(keys.iter().copied()) {
                return;
            }
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Guards against release orders that are lost behind a large configuration: it fills the first
/// page of a listing, and the orders are on the next.
#[test]
fn orders_behind_the_first_page_of_a_listing_are_read() {
    let store = Store::default();
    store.write(CONFIG_KEY, json!({"version": 2, "entries": 3}));
    store.write("counter", json!({}));
    store.write("intake", json!({}));
    store.set_page_rows(1);
    run_on(store, ConfigSettings::default(), async |node| {
        node.wait_for("config_version", 2).await;
        node.wait_for_orders(&["counter", "intake"]).await;
    });
}

/// Writes versions during an outage that are together larger than an answer may be, and waits until
/// the newest is in force.
async fn skip_large_changes(node: &Node) {
    node.write_row(2, 3);
    node.wait_for("config_version", 2).await;
    node.store.set_out(true);
    for version in 3..=10 {
        node.write_large_row(version, 3 << 20);
    }
    node.store.set_out(false);
    node.wait_for("config_version", 10).await;
}

/// Guards against a watcher that asks for the same changes for ever.
#[test]
fn changes_too_large_for_one_answer_are_skipped_by_a_listing() {
    run(skip_large_changes);
}

/// Guards against a node without news from its peers that asks for the same changes for ever: it
/// continues at the revision up to which it knows the rows, unless it has to list them.
#[test]
fn changes_too_large_for_a_stale_node_are_skipped_by_a_listing() {
    let nobody_watches = ConfigSettings {
        watchers_per_data_centre: 0,
        apply_within: Duration::from_millis(500),
        ..ConfigSettings::default()
    };
    run_on(Store::default(), nobody_watches, skip_large_changes);
}

/// Guards against a head that is spread though nobody can read its pack: the nodes would fetch it
/// for ever, and none would say why.
#[test]
fn a_configuration_whose_pack_is_too_large_is_rejected() {
    run(async |node| {
        node.write_row(2, 3);
        node.wait_for("config_version", 2).await;
        let row = json!({"version": 3, "entries": MAX_RESOURCES, "parts": 16});
        node.store.write(CONFIG_KEY, row);
        node.wait_for("config_rejected_total", 1).await;
        assert_eq!(node.versions(), [2, 3, 3]);
        let head = node.hub.facts.known().get(&FactKey::Head).cloned();
        assert!(matches!(head, Some(Fact::Head(head)) if head.version == ConfigVersion(2)));
    });
}

/// Guards against 404, which callers take as final, from a node that can't read the newest
/// configuration, and against its downloading that again and again.
#[test]
fn a_row_that_no_answer_has_room_for_counts_as_rejected() {
    run(async |node| {
        node.write_row(2, 3);
        node.wait_for("config_version", 2).await;
        assert_eq!(node.hub.out_of_date(), None);
        node.write_large_row(3, 24 << 20);
        while node.hub.out_of_date() != Some(OutOfDate::Rejected) {
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
        assert!(node.bytes_read() < 4 << 20, "{} bytes were read", node.bytes_read());
        node.write_row(4, 4);
        node.wait_for("config_version", 4).await;
        assert_eq!(node.hub.out_of_date(), None);
    });
}

/// Guards against a pause after changes that are too large: only a listing that is too large is worth
/// one. A node without watchers then has the newest version late.
#[test]
fn a_stale_node_lists_at_once_after_changes_that_are_too_large() {
    const APPLY_WITHIN: Duration = Duration::from_secs(2);
    let nobody_watches = ConfigSettings {
        watchers_per_data_centre: 0,
        apply_within: APPLY_WITHIN,
        ..ConfigSettings::default()
    };
    run_on(Store::default(), nobody_watches, async |node| {
        node.write_row(2, 3);
        node.wait_for("config_version", 2).await;
        for last in [6, 10, 14] {
            (last - 3..=last).for_each(|version| node.write_large_row(version, 3 << 20));
            let written = Instant::now();
            node.wait_for("config_version", last as i64).await;
            assert!(written.elapsed() < APPLY_WITHIN, "in force after {:?}", written.elapsed());
        }
    });
}
