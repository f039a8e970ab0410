//! Warm-up of the local upstream: the rate that its service states for cold upstreams is kept while it
//! announces that it is cold, and while this node has reason to think so.

use super::slot;
use super::state::State;
use crate::hub::AnnouncedUpstream;
use slog::info;
use std::cell::Cell;
use std::time::Duration;
use sycamore_call::admit::Input;
use sycamore_types::prelude::*;

/// Intervals between announcements without one after which the upstream may have restarted.
const SILENT_INTERVALS: u32 = 2;
/// Interval between announcements where the settings state none.
const DEFAULT_INTERVAL: Duration = Duration::from_secs(2);

/// Warm-up of the local upstream.
#[derive(Default)]
pub(super) struct WarmUp {
    /// Rate of calls to a cold upstream; `None` where the service states none.
    rate: Cell<Option<RateLimit>>,
    /// Whether the upstream may be cold, which its next announcement settles.
    suspected: Cell<bool>,
}

/// Sets the rate of calls to a cold upstream. The upstream may have announced itself before the node
/// had a configuration.
pub(super) fn set_rate(state: &State, rate: Option<RateLimit>) {
    if state.warm_up.rate.replace(rate) == rate {
        return;
    }
    match (rate, state.upstream()) {
        (Some(_), Some(upstream)) => follow(state, &upstream),
        (Some(_), None) => {}
        (None, _) => slot::step(state, Input::EndWarmUp),
    }
}

/// Paces calls while `upstream` is cold by its announcement, or suspected to be.
pub(super) fn follow(state: &State, upstream: &AnnouncedUpstream) {
    let Some(rate) = state.warm_up.rate.get() else { return };
    let now = state.now();
    let until = match state.warm_up.suspected.get() {
        true => upstream.warm_at.max(now + state.hub.settings.calls.announcement_timeout()),
        false => upstream.warm_at,
    };
    slot::step(state, Input::WarmUp { rate, until });
}

/// Paces calls until the next announcement, since the upstream may have turned cold.
pub(super) fn suspect(state: &State, why: &str) {
    if state.warm_up.rate.get().is_none() || state.warm_up.suspected.replace(true) {
        return;
    }
    info!(state.hub.log, "upstream may be cold"; "why" => why);
    state.metrics.count_cold_suspicion();
    if let Some(upstream) = state.upstream() {
        follow(state, &upstream);
    }
}

/// Ends the suspicion, as the upstream has announced whether it is cold.
pub(super) fn end_suspicion(state: &State) {
    if state.warm_up.suspected.replace(false) {
        if let Some(upstream) = state.upstream() {
            follow(state, &upstream);
        }
    }
}

/// Suspects the upstream to be cold once its announcements are overdue.
pub(super) fn check_silence(state: &State) {
    let interval = state.hub.settings.calls.announce_interval.unwrap_or(DEFAULT_INTERVAL);
    let is_silent =
        state.now().since(state.last_announced.get()) > interval.saturating_mul(SILENT_INTERVALS);
    if is_silent && state.upstream().is_some() {
        suspect(state, "announcements overdue");
    }
}
