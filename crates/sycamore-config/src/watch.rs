//! Choice of the nodes that watch the operators' rows, and of those that follow the watchers.
//!
//! A few nodes of each data centre watch, so that the platform's load doesn't grow with the fleet.
//! The others keep a request for the next configuration at a watcher, whose answers tell how
//! current that watcher is. A node whose knowledge gets too old, because it is cut off from its
//! peers or the watchers are cut off from the platform, reads the rows itself.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Part of [`WatchSettings::max_age`] after which a follower repeats its request.
const REQUEST_SHARE: f64 = 0.5;
/// Time without an answer after which a follower asks again, and other peers too. It doubles with
/// each unanswered request, up to the usual interval.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Settings of [`Watch`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WatchSettings {
    /// Number of nodes of each data centre that watch the operators' rows.
    pub per_data_centre: usize,
    /// Age of a node's knowledge of the rows above which it reads them itself.
    pub max_age: Duration,
    /// Time after its start for which a node without a configuration waits for its peers.
    pub start_wait: Duration,
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            per_data_centre: 2,
            max_age: Duration::from_secs(5),
            start_wait: Duration::from_millis(450),
        }
    }
}

/// Part of a node in reading the operators' rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Gets configurations from peers.
    Follower,
    /// Watches the rows as one of its data centre's chosen nodes.
    Watcher,
    /// Reads the rows because its knowledge of them is too old.
    Stale,
    /// Reads the rows because no peer has given it a configuration since its start.
    Unconfigured,
}

impl Role {
    /// Returns the name of the role as logged.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Follower => "follower",
            Self::Watcher => "watcher",
            Self::Stale => "stale",
            Self::Unconfigured => "unconfigured",
        }
    }
}

/// Peers to ask for the next configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ask {
    /// Asks the node's watcher.
    Watcher,
    /// Asks the node's watcher and others, as that one did not answer or is not current.
    Others,
}

/// State machine of a node's part in following the operators' rows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Watch {
    settings: WatchSettings,
    started: Time,
    /// Latest time at which the rows held nothing that this node, or the peer that told it, lacked.
    current_at: Option<Time>,
    next_request: Time,
    /// Number of requests since the last answer of a current peer.
    unanswered: u32,
}

impl Watch {
    /// Creates the machine of a node that starts at `now`.
    pub fn new(settings: WatchSettings, now: Time) -> Self {
        Self { settings, started: now, current_at: None, next_request: now, unanswered: 0 }
    }

    /// Records that the node read the rows, or heard from a peer whose knowledge is `age` old.
    pub fn record_current(&mut self, now: Time, age: Duration) {
        let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = Time(now.0.saturating_sub(age_us));
        self.current_at = self.current_at.max(Some(at));
    }

    /// Records the answer of a peer whose knowledge is `age` old. The next request is then a full
    /// interval away, unless the peer isn't current itself.
    pub fn record_answer(&mut self, now: Time, age: Duration) {
        self.record_current(now, age);
        if age <= self.request_interval() {
            self.unanswered = 0;
            self.next_request = now + self.request_interval();
        }
    }

    /// Records that a peer sent a configuration. The next request is due at once, as a peer keeps
    /// a request only until it has answered it.
    pub fn record_configuration(&mut self, now: Time) {
        self.unanswered = 0;
        self.next_request = now;
    }

    /// Returns the time since which the node can't tell whether its configuration is the newest;
    /// `None` before its first news of the rows.
    ///
    /// `behind_since` is the time since which it knows of a newer one, `None` if it knows of none: a
    /// node that can't get that one has old knowledge, however recent its news are.
    pub fn age(&self, now: Time, behind_since: Option<Time>) -> Option<Duration> {
        let behind = behind_since.map_or(Duration::ZERO, |since| now.since(since));
        self.current_at.map(|at| now.since(at).max(behind))
    }

    /// Returns whether the node's peers keep it current; `behind_since` as in [`Watch::age`].
    pub fn is_followed(&self, now: Time, behind_since: Option<Time>) -> bool {
        self.age(now, behind_since).is_some_and(|age| age <= self.settings.max_age)
    }

    /// Returns whether the time in which the node waits for its peers is over.
    pub fn is_started(&self, now: Time) -> bool {
        now.since(self.started) >= self.settings.start_wait
    }

    /// Returns the time at which the next request is due.
    pub fn next_request(&self) -> Time {
        self.next_request
    }

    /// Returns the node's role. `is_chosen` tells whether it is among its data centre's watchers,
    /// `None` while it doesn't know its peers yet; `behind_since` is as in [`Watch::age`].
    pub fn role(
        &self,
        now: Time,
        is_chosen: Option<bool>,
        is_configured: bool,
        behind_since: Option<Time>,
    ) -> Role {
        match (is_chosen, is_configured) {
            (Some(true), _) => Role::Watcher,
            _ if self.is_followed(now, behind_since) => Role::Follower,
            (_, true) => Role::Stale,
            (_, false) if self.is_started(now) => Role::Unconfigured,
            (_, false) => Role::Follower,
        }
    }

    /// Returns whom to ask for the next configuration if a request is due, and schedules the next
    /// one.
    pub fn take_request(&mut self, now: Time) -> Option<Ask> {
        if now < self.next_request {
            return None;
        }
        let factor = 1_u32.checked_shl(self.unanswered).unwrap_or(u32::MAX);
        let pause = ANSWER_TIMEOUT.saturating_mul(factor).min(self.request_interval());
        self.next_request = now + pause;
        self.unanswered = self.unanswered.saturating_add(1);
        Some(if self.unanswered > 1 { Ask::Others } else { Ask::Watcher })
    }

    /// Returns the time between two requests while they are answered.
    fn request_interval(&self) -> Duration {
        self.settings.max_age.mul_f64(REQUEST_SHARE)
    }
}

/// Returns the nodes of `data_centre` that watch the operators' rows: of those that stay, the ones
/// with the lowest hashes of their instance names, in that order.
pub fn watchers<'a>(
    view: &'a MemberView,
    data_centre: &DataCentre,
    settings: &WatchSettings,
) -> Vec<&'a Member> {
    let stays = |state| matches!(state, MemberState::Joining | MemberState::Serving);
    let mut ranked: Vec<(ContentHash, &Member)> = view
        .members
        .values()
        .filter(|member| member.data_centre == *data_centre && stays(member.state))
        .map(|member| (ContentHash::of(member.instance.as_str().as_bytes()), member))
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().take(settings.per_data_centre).map(|(_, member)| member).collect()
}
