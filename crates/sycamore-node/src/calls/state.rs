//! What the tasks of the slice share.

use super::introduce::KnownBy;
use super::journal::Journal;
use super::memory::BodyMemory;
use super::metrics::Metrics;
use super::pool::Pool;
use super::slot::Waiters;
use crate::edge::Edges;
use crate::hub::{AnnouncedUpstream, Hub};
use bytes::Bytes;
use error_stack::Report;
use http::response::Parts;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::announce::AnnouncementLog;
use sycamore_call::key::{OwnershipConfig, SuspensionTracker};
use sycamore_call::route::VersionBans;
use sycamore_call::{
    Admission, AdmissionConfig, CrashLog, CrashLogConfig, Gate, KeyTable, KeyTableConfig,
    LimitPolicy, Ownership, RetryBudget, RetryConfig, Router, RouterConfig,
};
use sycamore_types::prelude::*;
use tokio::sync::Notify;

/// Services with a retry budget of their own at most; the configuration bounds them as well.
const MAX_BUDGETS: usize = 1_024;
/// Routes whose callers' patience is known at most.
const MAX_ROUTES: usize = 4_096;
/// Idle connections kept to one upstream.
const UPSTREAM_IDLE: usize = 32;
/// Longest time that a connection to the upstream stays idle.
const UPSTREAM_IDLE_TIME: Duration = Duration::from_secs(2);
/// Idle connections kept to one node.
const RELAY_IDLE: usize = 16;
/// Longest time that a connection to a node stays idle; shorter than its listener's.
const RELAY_IDLE_TIME: Duration = Duration::from_secs(20);

/// A whole answer, kept for repeats of its call.
#[derive(Debug, Clone)]
pub(super) struct StoredAnswer {
    pub(super) head: Parts,
    pub(super) body: Bytes,
}

/// What the tasks of the slice share; everything is on one thread.
pub(super) struct State {
    pub(super) hub: Rc<Hub>,
    /// How callers and upstreams speak.
    pub(super) edges: Edges,
    /// Which announcements of the upstream count.
    pub(super) announcements: RefCell<AnnouncementLog>,
    pub(super) router: RefCell<Router>,
    pub(super) bans: RefCell<VersionBans>,
    pub(super) gate: RefCell<Option<Gate>>,
    pub(super) admission: RefCell<Admission>,
    pub(super) waiters: Waiters,
    /// Wakes the task that refuses calls whose wait has been too long.
    pub(super) queued: Notify,
    pub(super) crashes: RefCell<CrashLog>,
    /// Calls on the upstream right now.
    pub(super) running: RefCell<HashMap<u64, Fingerprint>>,
    /// Calls whose connection to the upstream broke lately.
    pub(super) broken: RefCell<Vec<(Time, Fingerprint)>>,
    /// When the upstream announced itself last.
    pub(super) heard: Cell<Time>,
    pub(super) crash_count: Cell<u64>,
    /// A crash is being looked into.
    pub(super) crash_check: Cell<bool>,
    /// Wakes the task that raises the facts of a crash.
    pub(super) crashed: Notify,
    pub(super) keys: RefCell<KeyTable<Rc<StoredAnswer>>>,
    pub(super) ownership: RefCell<Ownership>,
    /// How long requests may lie before they are read.
    pub(super) unread: RefCell<SuspensionTracker>,
    /// Members of the service that have this node in view.
    pub(super) known_by: RefCell<KnownBy>,
    pub(super) upstreams: Pool,
    pub(super) relays: Pool,
    pub(super) bodies: BodyMemory,
    pub(super) metrics: Metrics,
    pub(super) journal: Journal,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Longest time that callers of each route wait in all.
    patience: RefCell<HashMap<RouteName, Duration>>,
    rng: RefCell<SmallRng>,
    next_id: Cell<u64>,
}

impl State {
    pub(super) fn new(hub: &Rc<Hub>, edges: &Edges) -> Result<Rc<Self>, Report<std::io::Error>> {
        let mut rng = SmallRng::from_os_rng();
        let settings = &hub.settings.calls;
        let now = hub.clock.now();
        let memory = settings.key_memory;
        let crashes = CrashLogConfig { quarantine: settings.quarantine, ..Default::default() };
        let ownership = OwnershipConfig { memory, lag: settings.view_lag, ..Default::default() };
        let me = hub.settings.node.instance.clone();
        let metrics = Metrics::new(&hub.registry)?;
        Ok(Rc::new(Self {
            hub: hub.clone(),
            edges: edges.clone(),
            announcements: RefCell::default(),
            router: RefCell::new(Router::new(RouterConfig::default(), rng.random())),
            bans: RefCell::default(),
            gate: RefCell::default(),
            admission: RefCell::new(Admission::new(AdmissionConfig {
                min_retry_after: settings.min_retry_after,
                policy: limit_policy(settings.limit_policy),
                ..AdmissionConfig::default()
            })),
            waiters: Waiters::default(),
            queued: Notify::new(),
            crashes: RefCell::new(CrashLog::new(crashes)),
            running: RefCell::default(),
            broken: RefCell::default(),
            heard: Cell::new(now),
            crash_count: Cell::new(0),
            crash_check: Cell::new(false),
            crashed: Notify::new(),
            keys: RefCell::new(KeyTable::new(KeyTableConfig { memory, ..Default::default() })),
            known_by: RefCell::default(),
            ownership: RefCell::new(Ownership::new(me, ownership, now)),
            unread: RefCell::new(SuspensionTracker::new(now)),
            upstreams: Pool::new(UPSTREAM_IDLE, UPSTREAM_IDLE_TIME),
            relays: Pool::new(RELAY_IDLE, RELAY_IDLE_TIME),
            bodies: BodyMemory::new(settings.body_memory, metrics.body_bytes().clone()),
            metrics,
            journal: Journal::new(&hub.settings.log, now),
            budgets: RefCell::default(),
            patience: RefCell::default(),
            rng: RefCell::new(rng),
            next_id: Cell::new(0),
        }))
    }

    pub(super) fn now(&self) -> Time {
        self.hub.clock.now()
    }

    /// A number that this process has not used yet.
    pub(super) fn next_id(&self) -> u64 {
        self.next_id.set(self.next_id.get() + 1);
        self.next_id.get()
    }

    /// How long the caller of a call of `route` has waited already, where it waits for `left` more:
    /// a caller that comes again waits less than one that comes first.
    pub(super) fn waited(&self, route: &RouteName, left: Duration) -> Duration {
        let mut patience = self.patience.borrow_mut();
        if patience.len() >= MAX_ROUTES && !patience.contains_key(route) {
            patience.clear();
        }
        let longest = patience.entry(route.clone()).or_default();
        *longest = left.max(*longest);
        longest.saturating_sub(left)
    }

    /// An even draw from 0.0 to 1.0.
    pub(super) fn draw(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    pub(super) fn new_call(&self) -> CallId {
        CallId(self.rng.borrow_mut().random())
    }

    pub(super) fn upstream(&self) -> Option<AnnouncedUpstream> {
        self.hub.upstream.borrow().clone()
    }

    /// Uses the retry budget of `service`.
    pub(super) fn budget<T>(
        &self,
        service: &ServiceName,
        policy: &RetryPolicy,
        use_it: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if budgets.len() >= MAX_BUDGETS && !budgets.contains_key(service) {
            budgets.clear();
        }
        let free_reroutes = self.hub.settings.calls.free_reroutes;
        let mut config = RetryConfig { free_reroutes, ..RetryConfig::from(policy) };
        if let Some(fleet) = self.hub.settings.calls.fleet_retries_saved {
            config = config.shared_by(fleet, self.hub.members.borrow().members.len());
        }
        let seed = self.rng.borrow_mut().random();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(config.clone(), seed));
        budget.configure(config);
        use_it(budget)
    }
}

fn limit_policy(policy: sycamore_settings::calls::LimitPolicy) -> LimitPolicy {
    use sycamore_settings::calls::LimitPolicy as Setting;
    match policy {
        Setting::Fixed => LimitPolicy::Fixed,
        Setting::Aimd => LimitPolicy::Aimd,
        Setting::Gradient => LimitPolicy::Gradient,
    }
}
