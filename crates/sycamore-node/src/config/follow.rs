//! Watches the rows that operators write into the platform's table: configurations and release
//! orders.
//!
//! Only some nodes of each data centre watch; the others get a configuration from them by deltas and
//! fetches. A node whose peers don't keep it current reads the rows itself.

use super::driver::{millis, Driver};
use super::encode::{encode_config, EncodedConfig};
use super::out_of_use;
use crate::edge::{OperatorConfig, OperatorEdge, OperatorRow, ReleaseOrder};
use crate::hub::Dependency;
use crate::tasks::TaskGroup;
use slog::{info, warn};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_config::follow::{NextRead, RowReads};
use sycamore_config::{Fault, Role};
use sycamore_platform::backoff::{Backoff, BackoffSettings};
use sycamore_platform::{Error, PageQuery, RemovedRow, Result, Revision, Row, Table};
use sycamore_types::prelude::*;

/// Upper bound on the faults of single entries in one log line.
const MAX_LISTED_FAULTS: usize = 8;
/// Time between two checks of this node's role.
const ROLE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest pause after a failed watch: a platform that is back must be used within 1 s.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Failed reads in a row after which a node whose peers keep it current tries less often: the
/// platform probably refuses this node alone.
const FAILURES_BEFORE_REST: u32 = 4;
/// Pause after such a read, and shortest pause after a listing that is too large.
const REST_PAUSE: Duration = Duration::from_secs(2);
/// Pause after a listing that is too large, as a multiple of the time that it took: the link is needed
/// for calls.
const LARGE_READ_PAUSES: u32 = 4;

/// Spawns the task that watches operators' rows.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup, edge: Rc<dyn OperatorEdge>) {
    tasks.spawn_until_stop(run(driver.clone(), edge));
}

async fn run(driver: Rc<Driver>, edge: Rc<dyn OperatorEdge>) {
    let settings = BackoffSettings { cap: MAX_RETRY_PAUSE, ..BackoffSettings::default() };
    let mut backoff = Backoff::new(settings.clone(), rand::random());
    let mut watch = Watch::new(&driver, &*edge);
    let mut failures = 0;
    loop {
        watch.role = driver.update_role();
        if watch.role == Role::Follower {
            watch.reads.restart();
            driver.watches_rows.set(false);
            driver.hub.newer_versions.borrow_mut().record_row_too_large(false);
            monoio::time::sleep(ROLE_INTERVAL).await;
            continue;
        }
        let started = driver.hub.clock.now();
        match watch.step().await {
            Ok(()) => {
                watch.record_success();
                backoff = Backoff::new(settings.clone(), rand::random());
                failures = 0;
            }
            Err(report) => {
                let took = driver.hub.clock.now().since(started);
                let read = watch.reads.next();
                watch.record_failure(report.current_context(), took);
                watch.skip_large_changes(report.current_context());
                failures += 1;
                let pause = backoff.record_failure();
                let may_rest = failures >= FAILURES_BEFORE_REST && driver.is_followed();
                let pause = match report.current_context() {
                    // The next listing is as large unless an operator writes another row.
                    Error::AnswerTooLarge { .. } if read == NextRead::Rows => {
                        REST_PAUSE.max(took * LARGE_READ_PAUSES)
                    }
                    _ if may_rest => REST_PAUSE,
                    _ => pause,
                };
                monoio::time::sleep(pause).await;
            }
        }
        driver.metrics.copy_platform_traffic(driver.platform.http().traffic());
    }
}

/// Watch on the rows under the operators' prefix.
struct Watch<'a> {
    driver: &'a Driver,
    edge: &'a dyn OperatorEdge,
    role: Role,
    reads: RowReads,
    /// Revision up to which changes were handled.
    at: Revision,
    /// Whether the next read has to be a listing, as the changes are too large for one answer.
    must_list: bool,
}

impl<'a> Watch<'a> {
    fn new(driver: &'a Driver, edge: &'a dyn OperatorEdge) -> Self {
        Self {
            driver,
            edge,
            role: Role::Follower,
            reads: RowReads::default(),
            at: Revision::ABSENT,
            must_list: false,
        }
    }

    /// Lists all rows, or waits for the changes after the last read, and handles what it brings. A
    /// read that finds the history lost leads to a listing.
    async fn step(&mut self) -> Result<()> {
        let started = self.driver.hub.clock.now();
        let proven_at = self.driver.hub.clock.boot();
        self.resume();
        self.reads.begin(self.highest_spread_version());
        let Some((rows, removed, at)) = self.read().await? else {
            self.driver.complete_at.set(None);
            self.reads.restart();
            return Ok(());
        };
        if self.reads.next() == NextRead::Rows || !rows.is_empty() {
            self.log_read(started, rows.len(), at);
        }
        rows.iter().for_each(|row| self.handle_row(row));
        removed.iter().for_each(|row| self.handle_removed(row));
        self.at = at;
        self.must_list = false;
        self.driver.hub.newer_versions.borrow_mut().record_row_too_large(false);
        self.reads.end(self.highest_spread_version());
        self.driver.record_complete(self.reads.taken(), at);
        self.driver.hub.record_proof(self.reads.taken(), proven_at);
        Ok(())
    }

    /// Lets a node that is no watcher continue where its peers' knowledge ends: it needs no more
    /// than the configuration, which is then read only if it has changed.
    fn resume(&mut self) {
        if self.must_list {
            return;
        }
        let complete_at = self.driver.complete_at.get().filter(|_| self.role == Role::Stale);
        if let (NextRead::Rows, Some((version, at))) = (self.reads.next(), complete_at) {
            self.at = at;
            self.reads.resume(version);
        }
    }

    /// Returns the longest time that a read waits for a change.
    fn wait(&self) -> Duration {
        let settings = &self.driver.hub.settings;
        let config = &settings.config;
        let has_accounts = !self.driver.hub.snapshot.borrow().accounts.is_empty();
        let for_proof = settings.accounts.max_read_wait().filter(|_| has_accounts);
        match self.role {
            Role::Watcher => {
                for_proof.map_or(config.watch_time, |wait| wait.min(config.watch_time))
            }
            // The next check of the role has to come before the node's knowledge is too old again.
            Role::Stale | Role::Unconfigured | Role::Follower => config.max_age() / 2,
        }
    }

    /// Returns the rows of the next read, those that were removed, and the revision up to which they
    /// are complete; `None` if the platform no longer holds the changes.
    async fn read(&self) -> Result<Option<(Vec<Row>, Vec<RemovedRow>, Revision)>> {
        let platform = self.driver.platform.http();
        let prefix = self.edge.prefix();
        match self.reads.next() {
            NextRead::Rows => {
                let listed = self.list().await?;
                if let Some((rows, at)) = &listed {
                    self.remove_stale_orders(rows, *at);
                    out_of_use::end_unlisted(&self.driver.hub, self.edge, rows, *at);
                }
                Ok(listed.map(|(rows, at)| (rows, Vec::new(), at)))
            }
            NextRead::Changes => {
                let wait = self.wait();
                if self.driver.watches_rows.get() {
                    self.driver.begin_watch(wait);
                }
                let read = platform.changes(prefix, self.at, wait).await;
                self.driver.end_watch();
                match read {
                    Ok(changes) => Ok(Some((changes.rows, changes.removed, changes.at))),
                    Err(report) if *report.current_context() == Error::HistoryLost => Ok(None),
                    Err(report) => Err(report),
                }
            }
        }
    }

    /// Lists all rows, page by page, with the revision of the first page: what changes while the
    /// others are read is among the changes after it. Returns `None` if the platform came back from
    /// an older copy meanwhile, whose revisions are others.
    async fn list(&self) -> Result<Option<(Vec<Row>, Revision)>> {
        let (platform, prefix) = (self.driver.platform.http(), self.edge.prefix());
        let first = platform.list(PageQuery { prefix, ..PageQuery::default() }).await?;
        let (mut rows, mut more, at) = (first.rows, first.more, first.at);
        while let Some(last) = rows.last().filter(|_| more) {
            let query = PageQuery { prefix, after: &last.key, ..PageQuery::default() };
            let page = platform.list(query).await?;
            if page.at.epoch() != at.epoch() {
                return Ok(None);
            }
            more = page.more && page.rows.first().is_some_and(|next| next.key > last.key);
            rows.extend(page.rows);
        }
        Ok(Some((rows, at)))
    }

    /// Continues with a listing if the answer to a read of changes was too large: the changes hold
    /// each version in full, the rows only the newest, and the same read would fail again.
    ///
    /// If the listing is too large itself, the node can't know the newest configuration.
    fn skip_large_changes(&mut self, error: &Error) {
        if matches!(error, Error::AnswerTooLarge { .. }) {
            let is_listing = self.reads.next() == NextRead::Rows;
            self.driver.hub.newer_versions.borrow_mut().record_row_too_large(is_listing);
            self.reads.restart();
            self.must_list = true;
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
            "role" => self.role.as_str(),
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
            OperatorRow::Config(Ok(config)) => {
                self.reads.record_version(config.version);
                self.handle_config(config);
            }
            OperatorRow::Config(Err(malformed)) => {
                // Otherwise the configuration in force would count as complete up to this row.
                if let Some(version) = malformed.version {
                    self.reads.record_version(version);
                }
                self.reject_row(row, malformed.version, &malformed.why);
            }
            OperatorRow::Release(Ok(order)) => self.handle_order(row, order),
            OperatorRow::Release(Err(why)) => self.reject_row(row, None, &why),
            OperatorRow::OutOfUse(Ok(data_centre)) => {
                out_of_use::record(&self.driver.hub, data_centre, row.revision, true);
            }
            OperatorRow::OutOfUse(Err(why)) => self.reject_row(row, None, &why),
            OperatorRow::Other => {}
        }
    }

    fn handle_removed(&self, row: &RemovedRow) {
        if let Some(data_centre) = self.edge.data_centre_of(&row.key) {
            out_of_use::record(&self.driver.hub, data_centre, row.revision, false);
        }
    }

    fn handle_config(&self, config: OperatorConfig) {
        let version = config.version;
        let driver = self.driver;
        let in_force = driver.hub.snapshot.borrow().version;
        if version <= in_force {
            return driver.record_valid_row();
        }
        let count = config.resources.len();
        match encode_config(config) {
            Ok(EncodedConfig { head, pack, faults }) => {
                driver.record_valid_row();
                self.record_faulty_entries(version, &faults);
                info!(driver.hub.log, "operator configuration read"; "version" => version.0,
                    "bytes" => pack.len());
                driver.accept_pack(head, pack);
                driver.handle_stored_head(Some(head));
            }
            Err(faults) => {
                warn!(driver.hub.log, "operator configuration rejected"; "version" => version.0,
                    "in_force" => in_force.0, "resources" => count, "faults" => faults);
                driver.record_rejected_row(version);
            }
        }
    }

    /// Logs and counts the entries of a configuration that can't be applied, without the others.
    fn record_faulty_entries(&self, version: ConfigVersion, faults: &[Fault]) {
        self.driver.metrics.record_faulty_entries(faults.len());
        if !faults.is_empty() {
            let listed = faults.iter().take(MAX_LISTED_FAULTS).map(ToString::to_string);
            let listed = listed.collect::<Vec<_>>().join("; ");
            warn!(self.driver.hub.log, "operator configuration taken in part"; "version" => version.0,
                "count" => faults.len(), "faults" => listed);
        }
    }

    fn handle_order(&self, row: &Row, order: ReleaseOrder) {
        let orders = &self.driver.hub.orders;
        let known = orders.borrow().get(&row.key).cloned();
        if known.is_some_and(|(known, at)| {
            at >= row.revision.0 || is_written_again(&known, at, &order, row)
        }) {
            return;
        }
        info!(self.driver.hub.log, "release order read"; "service" => %order.service,
            "to" => %order.to, "within_ms" => order.duration.as_millis());
        orders.send_modify(|orders| {
            Arc::make_mut(orders).insert(row.key.clone(), (order, row.revision.0));
        });
    }

    /// Removes the release orders whose rows are not among `rows`, which were read at `at`. An order
    /// of an earlier epoch stays: operators write again what the platform has lost.
    fn remove_stale_orders(&self, rows: &[Row], at: Revision) {
        let keys: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        self.driver.hub.orders.send_if_modified(|orders| {
            let before = orders.len();
            Arc::make_mut(orders).retain(|key, (_, revision)| {
                keys.contains(key.as_str()) || Revision(*revision).epoch() < at.epoch()
            });
            orders.len() != before
        });
    }

    /// Counts and logs a row that can't be translated; `version` is that of a configuration which
    /// the row names.
    fn reject_row(&self, row: &Row, version: Option<ConfigVersion>, why: &str) {
        match version {
            Some(version) => self.driver.record_rejected_row(version),
            None => self.driver.metrics.count_rejected(),
        }
        warn!(self.driver.hub.log, "operator row rejected"; "key" => &row.key,
            "revision" => row.revision.0, "why" => why);
    }

    fn record_failure(&self, error: &Error, took: Duration) {
        self.driver.watches_rows.set(false);
        let hub = &self.driver.hub;
        warn!(hub.log, "operator rows not read"; "read" => self.read_name(), "why" => %error,
            "role" => self.role.as_str(),
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
        self.driver.watch.borrow_mut().record_current(hub.clock.now(), Duration::ZERO);
        hub.dependencies.record_reached(&hub.log, hub.clock.now(), Dependency::Platform);
        self.driver.metrics.record_rows_read(hub.clock.wall());
    }
}

/// Returns whether `row` holds the `known` order of revision `at` once more, written again after the
/// platform came back from an older copy. It is no new order, whose move would start anew.
fn is_written_again(known: &ReleaseOrder, at: u64, order: &ReleaseOrder, row: &Row) -> bool {
    let is_later_epoch = Revision(at).epoch() < row.revision.epoch();
    is_later_epoch && known.service == order.service && known.to == order.to
}
