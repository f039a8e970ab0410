//! State shared by the tasks of the call path.

use super::credit::Credit;
use super::introduce::ViewConfirmations;
use super::journal::CallLog;
use super::memory::BodyMemory;
use super::metrics::Metrics;
use super::pool::Pool;
use super::report::Reports;
use super::slot::Waiters;
use super::warm_up::WarmUp;
use crate::edge::Edges;
use crate::hub::{AnnouncedUpstream, Hub};
use bytes::Bytes;
use error_stack::Report;
use http::response::Parts;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::announce::AnnouncementLog;
use sycamore_call::hedge::{Hedge, HedgeConfig};
use sycamore_call::key::{OwnershipConfig, SuspensionTracker};
use sycamore_call::route::VersionBans;
use sycamore_call::{
    Admission, AdmissionConfig, CrashLog, CrashLogConfig, Gate, KeyTable, KeyTableConfig,
    LimitPolicy, Ownership, RetryBudget, RetryBudgets, RetryConfig, Router, RouterConfig,
};
use sycamore_types::prelude::*;
use tokio::sync::Notify;

/// Maximum number of routes for which the longest timeout of callers is remembered.
const MAX_TRACKED_ROUTES: usize = 4_096;
/// Maximum number of idle connections kept to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 32;
/// Maximum idle time of a connection to the upstream.
const UPSTREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of idle connections kept to one node.
const MAX_IDLE_PER_RELAY: usize = 16;
/// Maximum idle time of a connection to another node, shorter than the idle timeout of the other
/// node's relay listener.
const RELAY_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Complete answer to a call with an idempotency key, returned to repeats of the call.
#[derive(Debug, Clone)]
pub(super) struct StoredAnswer {
    pub(super) head: Parts,
    pub(super) body: Bytes,
}

/// State shared by the tasks of the call path, all of which run on one thread.
pub(super) struct State {
    pub(super) hub: Rc<Hub>,
    /// Protocol adapters for callers, the upstream, operators and the platform's store.
    pub(super) edges: Edges,
    /// Order of the upstream's starts and announcements, used to drop outdated messages.
    pub(super) announcements: RefCell<AnnouncementLog>,
    /// State that the local upstream reported about itself in its answers.
    pub(super) reports: Reports,
    /// Credit of client accounts.
    pub(super) credit: Credit,
    /// Warm-up of the local upstream.
    pub(super) warm_up: WarmUp,
    pub(super) router: RefCell<Router>,
    /// Versions found bad or aborted, which get no calls.
    pub(super) bans: RefCell<VersionBans>,
    /// Data centres that operators have taken out of use.
    pub(super) out_of_use: RefCell<BTreeSet<DataCentre>>,
    /// Check of version and share for calls to the local upstream; `None` before the upstream's
    /// first announcement.
    pub(super) gate: RefCell<Option<Gate>>,
    pub(super) admission: RefCell<Admission>,
    pub(super) waiters: Waiters,
    /// Wakes the task that refuses queued calls after their maximum wait.
    pub(super) queue_changed: Notify,
    pub(super) crashes: RefCell<CrashLog>,
    /// Fingerprints of the calls running on the local upstream, by slot identifier.
    pub(super) running: RefCell<HashMap<u64, Fingerprint>>,
    /// Recent calls whose connection to the upstream broke, with the time of the break.
    pub(super) broken_calls: RefCell<Vec<(Time, Fingerprint)>>,
    /// Time of the upstream's last announcement; the node's start before the first.
    pub(super) last_announced: Cell<Time>,
    /// Number of upstream crashes seen by this process.
    pub(super) crash_count: Cell<u64>,
    /// Whether a detected crash is still being handled, so that it is reported once.
    pub(super) crash_pending: Cell<bool>,
    /// Wakes the task that raises the facts of a crash.
    pub(super) crash_detected: Notify,
    pub(super) keys: RefCell<KeyTable<Rc<StoredAnswer>>>,
    pub(super) ownership: RefCell<Ownership>,
    /// Bound on how long a received request may wait in a socket buffer before it is read.
    pub(super) unread: RefCell<SuspensionTracker>,
    /// Members of the service that confirmed that this node is in their view.
    pub(super) confirmed_by: RefCell<ViewConfirmations>,
    pub(super) upstreams: Pool,
    pub(super) relays: Pool,
    pub(super) bodies: BodyMemory,
    pub(super) metrics: Metrics,
    pub(super) call_log: CallLog,
    pub(super) retry_budgets: RefCell<RetryBudgets>,
    /// Second attempts for the slowest calls.
    pub(super) hedge: RefCell<Hedge>,
    /// Longest timeout that callers of each route have sent.
    longest_timeouts: RefCell<HashMap<RouteName, Duration>>,
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
            reports: Reports::default(),
            credit: Credit::default(),
            warm_up: WarmUp::default(),
            router: RefCell::new(Router::new(RouterConfig::default(), rng.random())),
            bans: RefCell::default(),
            out_of_use: RefCell::default(),
            gate: RefCell::default(),
            admission: RefCell::new(Admission::new(AdmissionConfig {
                min_retry_after: settings.min_retry_after,
                policy: limit_policy(settings.limit_policy),
                ..AdmissionConfig::default()
            })),
            waiters: Waiters::default(),
            queue_changed: Notify::new(),
            crashes: RefCell::new(CrashLog::new(crashes)),
            running: RefCell::default(),
            broken_calls: RefCell::default(),
            last_announced: Cell::new(now),
            crash_count: Cell::new(0),
            crash_pending: Cell::new(false),
            crash_detected: Notify::new(),
            keys: RefCell::new(KeyTable::new(KeyTableConfig { memory, ..Default::default() })),
            confirmed_by: RefCell::default(),
            ownership: RefCell::new(Ownership::new(me, ownership, now)),
            unread: RefCell::new(SuspensionTracker::new(now)),
            upstreams: Pool::new(MAX_IDLE_PER_UPSTREAM, UPSTREAM_IDLE_TIMEOUT),
            relays: Pool::new(MAX_IDLE_PER_RELAY, RELAY_IDLE_TIMEOUT),
            bodies: BodyMemory::new(settings.body_memory, metrics.body_bytes().clone()),
            metrics,
            call_log: CallLog::new(&hub.settings.log, now),
            retry_budgets: RefCell::default(),
            hedge: RefCell::new(Hedge::new(hedge_config(&hub.settings.hedge))),
            longest_timeouts: RefCell::default(),
            rng: RefCell::new(rng),
            next_id: Cell::new(0),
        }))
    }

    pub(super) fn now(&self) -> Time {
        self.hub.clock.now()
    }

    /// Returns an identifier that is unique within this process.
    pub(super) fn next_id(&self) -> u64 {
        self.next_id.set(self.next_id.get() + 1);
        self.next_id.get()
    }

    /// Estimates how long a caller of `route` with `left` of its timeout has waited already: the
    /// difference to the longest timeout seen, since a caller that retries sends a shorter one.
    pub(super) fn estimate_waited(&self, route: &RouteName, left: Duration) -> Duration {
        let mut timeouts = self.longest_timeouts.borrow_mut();
        if timeouts.len() >= MAX_TRACKED_ROUTES && !timeouts.contains_key(route) {
            timeouts.clear();
        }
        let longest = timeouts.entry(route.clone()).or_default();
        *longest = left.max(*longest);
        longest.saturating_sub(left)
    }

    /// Returns a uniformly distributed random number in `0.0..1.0`.
    pub(super) fn random_unit(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    pub(super) fn new_call_id(&self) -> CallId {
        CallId(self.rng.borrow_mut().random())
    }

    /// Returns whether this node's data centre is out of use, so that its upstream gets no calls.
    pub(super) fn is_out_of_use(&self) -> bool {
        self.out_of_use.borrow().contains(&self.hub.settings.node.data_centre)
    }

    pub(super) fn upstream(&self) -> Option<AnnouncedUpstream> {
        self.hub.upstream.borrow().clone()
    }

    /// Runs `use_budget` on the retry budget of `service`, after configuring it by `policy`.
    pub(super) fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        policy: &RetryPolicy,
        use_budget: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let free_reroutes = self.hub.settings.calls.free_reroutes;
        let mut config = RetryConfig { free_reroutes, ..RetryConfig::from(policy) };
        if let Some(fleet) = self.hub.settings.calls.fleet_retries_saved {
            config = config.shared_by(fleet, self.hub.members.borrow().members.len());
        }
        let seed = self.rng.borrow_mut().random();
        use_budget(self.retry_budgets.borrow_mut().of(service, config, seed))
    }
}

fn hedge_config(settings: &sycamore_settings::hedge::Hedge) -> HedgeConfig {
    let fraction = |share: Share| f64::from(share.basis_points()) / 10_000.0;
    let services = settings.services.iter();
    HedgeConfig {
        extra: fraction(settings.extra),
        services: services.map(|(name, extra)| (name.clone(), fraction(*extra))).collect(),
        quantile: fraction(settings.quantile),
        floor: settings.floor,
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
