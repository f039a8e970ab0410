//! Rows that take data centres out of use, and their removal.

use super::store::Store;
use super::{run_on, ConfigSettings, Node};
use serde_json::json;
use std::time::Duration;

impl Node {
    /// Waits until the data centres with these `names` are those out of use.
    async fn wait_for_out_of_use(&self, names: &[&str]) {
        let is_same = || {
            let known = self.hub.facts.data_centres_out_of_use();
            known.iter().map(|name| name.as_str()).eq(names.iter().copied())
        };
        while !is_same() {
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Guards against rows that are read at the start alone, and removals that nobody reads: two data
/// centres are taken out of use and back while the node follows the changes.
#[test]
fn data_centres_are_taken_out_of_use_and_back_by_rows() {
    let store = Store::default();
    store.write("config", json!({"version": 2, "entries": 3}));
    store.write("out-umea", json!({}));
    run_on(store, ConfigSettings::default(), async |node| {
        node.wait_for_out_of_use(&["umea"]).await;
        node.store.write("out-lulea", json!({}));
        node.wait_for_out_of_use(&["lulea", "umea"]).await;
        node.store.remove("out-umea");
        node.wait_for_out_of_use(&["lulea"]).await;
        node.store.write("out-umea", json!({}));
        node.wait_for_out_of_use(&["lulea", "umea"]).await;
        node.store.remove("out-umea");
        node.store.remove("out-lulea");
        node.wait_for_out_of_use(&[]).await;
    });
}

/// Guards against a data centre that stays out of use for good: its row was removed while the node
/// could not follow the changes, so that only a listing without it tells.
#[test]
fn a_row_that_a_listing_lacks_takes_the_data_centre_back_into_use() {
    let store = Store::default();
    store.write("config", json!({"version": 2, "entries": 3}));
    store.write("out-umea", json!({}));
    run_on(store, ConfigSettings::default(), async |node| {
        node.wait_for_out_of_use(&["umea"]).await;
        node.store.set_out(true);
        node.store.remove("out-umea");
        // Together larger than an answer to a read of changes may be, so that the rows are listed.
        for version in 3..7 {
            let row = json!({"version": version, "entries": 3, "padding": "x".repeat(2 << 20)});
            node.store.write("config", row);
        }
        node.store.set_out(false);
        node.wait_for_out_of_use(&[]).await;
    });
}
