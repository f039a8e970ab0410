//! Watches the rows that operators write into the platform's table: configurations and release
//! orders.
//!
//! Only some nodes watch; a configuration that one of them reads spreads to the others like any
//! other head.

use super::driver::{millis, Driver};
use crate::edge::{OperatorEdge, OperatorRow};
use crate::hub::Dependency;
use crate::tasks::TaskGroup;
use slog::{info, warn};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_config::follow::{NextRead, RowReads};
use sycamore_config::{Bundle, Encoded};
use sycamore_platform::backoff::{Backoff, BackoffSettings};
use sycamore_platform::{Error, PageQuery, Result, Revision, Row, Table};
use sycamore_types::prelude::*;

/// Time between two checks of whether this node has become a watcher.
const ROLE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest pause after a failed watch: a platform that is back must be used within 1 s.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Spawns the task that watches operators' rows.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup, edge: Rc<dyn OperatorEdge>) {
    tasks.spawn_until_stop(run(driver.clone(), edge));
}

async fn run(driver: Rc<Driver>, edge: Rc<dyn OperatorEdge>) {
    let settings = BackoffSettings { cap: MAX_RETRY_PAUSE, ..BackoffSettings::default() };
    let mut backoff = Backoff::new(settings.clone(), rand::random());
    let mut watch = Watch::new(&driver, &*edge);
    loop {
        if !is_watcher(&driver) {
            watch.reads.restart();
            driver.watches_rows.set(false);
            monoio::time::sleep(ROLE_INTERVAL).await;
            continue;
        }
        let started = driver.hub.clock.now();
        match watch.step().await {
            Ok(()) => {
                watch.record_success();
                backoff = Backoff::new(settings.clone(), rand::random());
            }
            Err(report) => {
                let took = driver.hub.clock.now().since(started);
                watch.record_failure(report.current_context(), took);
                monoio::time::sleep(backoff.record_failure()).await;
            }
        }
        driver.metrics.copy_platform_traffic(driver.platform.http().traffic());
    }
}

/// Returns whether this node watches operators' rows. In a small fleet every node does, in a larger
/// one those with the lowest hashes of their instance names; a node without a version floor always
/// does.
fn is_watcher(driver: &Driver) -> bool {
    let watchers = driver.hub.settings.config.watchers as usize;
    let view = driver.hub.members.borrow().clone();
    if view.members.len() <= watchers || driver.floor().is_none() {
        return true;
    }
    let rank = |instance: &InstanceId| ContentHash::of(instance.as_str().as_bytes());
    let own = rank(&driver.hub.settings.node.instance);
    view.members.keys().filter(|instance| rank(instance) < own).count() < watchers
}

/// Watch on the rows under the operators' prefix.
struct Watch<'a> {
    driver: &'a Driver,
    edge: &'a dyn OperatorEdge,
    reads: RowReads,
    /// Revision up to which changes were handled.
    at: Revision,
}

impl<'a> Watch<'a> {
    fn new(driver: &'a Driver, edge: &'a dyn OperatorEdge) -> Self {
        Self { driver, edge, reads: RowReads::default(), at: Revision::ABSENT }
    }

    /// Lists all rows, or waits for the changes after the last read, and handles what it brings.
    async fn step(&mut self) -> Result<()> {
        let started = self.driver.hub.clock.now();
        self.reads.begin(self.highest_spread_version());
        let Some((rows, at)) = self.read().await? else {
            self.reads.restart();
            return Ok(());
        };
        if self.reads.next() == NextRead::Rows || !rows.is_empty() {
            self.log_read(started, rows.len(), at);
        }
        rows.iter().for_each(|row| self.handle_row(row));
        self.at = at;
        self.reads.end(self.highest_spread_version());
        Ok(())
    }

    /// Returns the rows of the next read with the revision up to which they are complete; `None` if
    /// the platform no longer holds the changes.
    async fn read(&self) -> Result<Option<(Vec<Row>, Revision)>> {
        let platform = self.driver.platform.http();
        let prefix = self.edge.prefix();
        match self.reads.next() {
            NextRead::Rows => {
                let page = platform.list(PageQuery { prefix, ..PageQuery::default() }).await?;
                self.remove_stale_orders(&page.rows);
                Ok(Some((page.rows, page.at)))
            }
            NextRead::Changes => {
                let wait = self.driver.hub.settings.config.watch_time;
                match platform.changes(prefix, self.at, wait).await {
                    Ok(changes) => Ok(Some((changes.rows, changes.at))),
                    Err(report) if *report.current_context() == Error::HistoryLost => Ok(None),
                    Err(report) => Err(report),
                }
            }
        }
    }

    /// Returns the kind of the next read as logged.
    fn read_name(&self) -> &'static str {
        match self.reads.next() {
            NextRead::Rows => "listing",
            NextRead::Changes => "changes",
        }
    }

    fn log_read(&self, started: Time, rows: usize, at: Revision) {
        let hub = &self.driver.hub;
        info!(hub.log, "operator rows read"; "read" => self.read_name(), "rows" => rows, "revision" => at.0,
            "took_ms" => millis(hub.clock.now().since(started)));
    }

    /// Returns the highest configuration version that this node has raised or learnt from peers.
    fn highest_spread_version(&self) -> Option<ConfigVersion> {
        match self.driver.hub.facts.known().get(&FactKey::Head) {
            Some(Fact::Head(head)) => Some(head.version),
            _ => None,
        }
    }

    fn handle_row(&mut self, row: &Row) {
        match self.edge.read(&row.key, &row.value) {
            OperatorRow::Config(Ok((version, resources))) => {
                self.reads.record_version(version);
                self.handle_config(version, resources);
            }
            OperatorRow::Config(Err(why)) => self.reject_row(row, &why),
            OperatorRow::Release(Ok(order)) => self.handle_order(row, order),
            OperatorRow::Release(Err(why)) => self.reject_row(row, &why),
            OperatorRow::Other => {}
        }
    }

    fn handle_config(&self, version: ConfigVersion, resources: Vec<Resource>) {
        let driver = self.driver;
        if version <= driver.hub.snapshot.borrow().version {
            return;
        }
        match Bundle::new(resources) {
            Ok(bundle) => {
                let encoded = Encoded::new(bundle.resources(), version);
                info!(driver.hub.log, "operator configuration read"; "version" => version.0,
                    "bytes" => encoded.pack().len());
                driver.accept_pack(encoded.head, encoded.pack());
                driver.handle_stored_head(Some(encoded.head));
            }
            Err(faults) => {
                let why: Vec<String> = faults.iter().map(ToString::to_string).collect();
                warn!(driver.hub.log, "operator configuration rejected"; "version" => version.0,
                    "faults" => why.join("; "));
                driver.metrics.count_rejected();
            }
        }
    }

    fn handle_order(&self, row: &Row, order: crate::edge::ReleaseOrder) {
        let orders = &self.driver.hub.orders;
        let known = orders.borrow().get(&row.key).map(|(_, revision)| *revision);
        if known.is_some_and(|known| known >= row.revision.0) {
            return;
        }
        info!(self.driver.hub.log, "release order read"; "service" => %order.service,
            "to" => %order.to, "within_ms" => order.duration.as_millis());
        orders.send_modify(|orders| {
            Arc::make_mut(orders).insert(row.key.clone(), (order, row.revision.0));
        });
    }

    /// Removes the release orders whose rows are not among `rows`.
    fn remove_stale_orders(&self, rows: &[Row]) {
        let keys: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        self.driver.hub.orders.send_if_modified(|orders| {
            let before = orders.len();
            Arc::make_mut(orders).retain(|key, _| keys.contains(key.as_str()));
            orders.len() != before
        });
    }

    fn reject_row(&self, row: &Row, why: &str) {
        self.driver.metrics.count_rejected();
        warn!(self.driver.hub.log, "operator row rejected"; "key" => &row.key,
            "revision" => row.revision.0, "why" => why);
    }

    fn record_failure(&self, error: &Error, took: Duration) {
        self.driver.watches_rows.set(false);
        let hub = &self.driver.hub;
        warn!(hub.log, "operator rows not read"; "read" => self.read_name(), "why" => %error,
            "took_ms" => millis(took));
        hub.dependencies.record_lost(
            &hub.log,
            hub.clock.now(),
            Dependency::Platform,
            &error.to_string(),
        );
    }

    fn record_success(&self) {
        self.driver.watches_rows.set(true);
        let hub = &self.driver.hub;
        hub.dependencies.record_reached(&hub.log, hub.clock.now(), Dependency::Platform);
        self.driver.metrics.record_rows_read(hub.clock.wall());
    }
}
