//! Role of this node in reading the operators' rows.

use super::driver::{millis, Driver};
use crate::hub::Hub;
use slog::info;
use std::collections::BTreeSet;
use std::time::Duration;
use sycamore_config::watch::watchers;
use sycamore_config::{Apply, Role, WatchSettings};
use sycamore_types::prelude::*;

/// Time over its wait after which a watch without an answer no longer counts as current.
const WATCH_SPARE: Duration = Duration::from_millis(500);

/// Returns the settings of the choice of watchers.
pub(super) fn watch_settings(hub: &Hub) -> WatchSettings {
    let config = &hub.settings.config;
    WatchSettings {
        per_data_centre: config.watchers_per_data_centre as usize,
        max_age: config.max_age(),
        ..WatchSettings::default()
    }
}

/// Returns the instances of all data centres that watch the operators' rows, and so know orders.
pub(crate) fn all_watchers(hub: &Hub) -> BTreeSet<InstanceId> {
    let view = hub.members.borrow().clone();
    let settings = watch_settings(hub);
    let data_centres: BTreeSet<&DataCentre> =
        view.members.values().map(|member| &member.data_centre).collect();
    let chosen = data_centres.into_iter().flat_map(|dc| watchers(&view, dc, &settings));
    chosen.map(|member| member.instance.clone()).collect()
}

/// Returns the watchers of this node's data centre, the node itself included if it is one.
pub(super) fn local_watchers(hub: &Hub) -> Vec<Member> {
    let view = hub.members.borrow().clone();
    let chosen = watchers(&view, &hub.settings.node.data_centre, &watch_settings(hub));
    chosen.into_iter().cloned().collect()
}

impl Driver {
    /// Returns this node's role at present, and logs it if it has changed.
    pub(super) fn update_role(&self) -> Role {
        let now = self.hub.clock.now();
        let own = &self.hub.settings.node.instance;
        let is_known = self.peers.is_synced() || self.watch.borrow().is_started(now);
        let is_chosen = is_known
            .then(|| local_watchers(&self.hub).iter().any(|member| member.instance == *own));
        let is_configured = self.with_state(|apply| apply.in_force().is_some());
        let behind = self.with_state(Apply::behind_since);
        let role = self.watch.borrow().role(now, is_chosen, is_configured, behind);
        if self.role.replace(Some(role)) != Some(role) {
            let age = self.knowledge_age();
            info!(self.hub.log, "row reader role changed"; "role" => role.as_str(),
                "age_ms" => age.map_or("unknown".to_owned(), |age| millis(age).to_string()));
            self.metrics.record_role(role);
        }
        role
    }

    /// Records that a watch with `wait` begins after a successful read: while the platform may
    /// still answer, it holds nothing new.
    pub(super) fn begin_watch(&self, wait: Duration) {
        self.watching_until.set(Some(self.hub.clock.now() + wait + WATCH_SPARE));
    }

    /// Records that no watch is waiting any more.
    pub(super) fn end_watch(&self) {
        self.watching_until.set(None);
    }

    /// Returns the time since which this node can't tell whether its configuration is the newest;
    /// `None` before its first news of the operators' rows.
    pub(super) fn knowledge_age(&self) -> Option<Duration> {
        let now = self.hub.clock.now();
        let behind_since = self.with_state(Apply::behind_since);
        match self.watching_until.get() {
            Some(until) if now < until => {
                Some(behind_since.map_or(Duration::ZERO, |since| now.since(since)))
            }
            _ => self.watch.borrow().age(now, behind_since),
        }
    }
}
