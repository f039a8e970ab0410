//! Tasks that apply changes of the hub's state to the call path: members, shares, facts, the
//! upstream and the configuration.

use super::announce;
use super::crash;
use super::credit;
use super::introduce;
use super::report;
use super::slot;
use super::state::State;
use super::warm_up;
use crate::tasks::TaskGroup;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::admit::Input;
use sycamore_call::key::Members;
use sycamore_call::Gate;
use sycamore_types::prelude::*;
use tokio::sync::watch::Receiver;

/// Interval of checks that depend on time alone: timeouts, idle connections and pauses of the
/// process.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the tasks that watch the hub, and the periodic tasks of the call path.
pub(super) fn start(state: &Rc<State>, tasks: &TaskGroup) {
    let hub = &state.hub;
    tasks.spawn_until_stop(watch(hub.members.subscribe(), state.clone(), apply_members));
    tasks.spawn_until_stop(watch(hub.shares.subscribe(), state.clone(), update_gate));
    tasks.spawn_until_stop(watch(hub.facts.subscribe(), state.clone(), apply_facts));
    tasks.spawn_until_stop(watch(hub.upstream.subscribe(), state.clone(), apply_upstream));
    tasks.spawn_until_stop(watch(hub.snapshot.subscribe(), state.clone(), apply_services));
    tasks.spawn_until_stop(slot::run_queue(state.clone()));
    tasks.spawn_until_stop(crash::raise_facts_on_crash(state.clone()));
    tasks.spawn_until_stop(introduce::run(state.clone()));
    tasks.spawn_until_stop(credit::repeat_requests(state.clone()));
    tasks.spawn_until_stop(tick(state.clone()));
}

/// Calls `apply` at once and after each change of the watched value.
async fn watch<T: 'static>(
    mut rx: Receiver<T>,
    state: Rc<State>,
    apply: impl Fn(&State) + 'static,
) {
    loop {
        drop(rx.borrow_and_update());
        apply(&state);
        if rx.changed().await.is_err() {
            return;
        }
    }
}

async fn tick(state: Rc<State>) {
    loop {
        monoio::time::sleep(TICK_INTERVAL).await;
        state.ownership.borrow_mut().tick(state.now());
        state.unread.borrow_mut().tick(state.now());
        state.upstreams.close_expired();
        state.relays.close_expired();
        announce::check_announcement_timeout(&state);
        announce::update_state_metric(&state);
        warm_up::check_silence(&state);
        report::log_summary(&state);
    }
}

fn apply_members(state: &State) {
    let view = state.hub.members.borrow().clone();
    let now = state.now();
    state.router.borrow_mut().update(now, &view);
    let service = &state.hub.settings.node.service;
    let serving = members_of(&view, service, |state| {
        matches!(state, MemberState::Serving | MemberState::Suspect)
    });
    let leaving = members_of(&view, service, |state| state == MemberState::Draining);
    state.ownership.borrow_mut().update(now, serving, leaving);
    introduce::update_ownership(state);
    credit::update_homes(state);
    update_gate(state);
}

/// Returns the members of `service` whose state satisfies `keep`, with their incarnations.
pub(super) fn members_of(
    view: &MemberView,
    service: &ServiceName,
    keep: impl Fn(MemberState) -> bool,
) -> Members {
    view.members
        .values()
        .filter(|member| member.service == *service && keep(member.state))
        .map(|member| (member.instance.clone(), member.incarnation))
        .collect()
}

fn update_gate(state: &State) {
    let shares = state.hub.shares.borrow().clone();
    let view = state.hub.members.borrow().clone();
    if let Some(gate) = state.gate.borrow_mut().as_mut() {
        gate.learn(&state.bans.borrow());
        gate.update(&shares, &view);
    }
}

fn apply_facts(state: &State) {
    let known = state.hub.facts.known();
    let now = state.hub.clock.wall();
    apply_data_centres(state);
    for fact in known.values() {
        state.bans.borrow_mut().learn(fact);
        let quarantined = state.crashes.borrow_mut().learn(now, fact);
        if let Some(fact) = quarantined {
            state.hub.raise(fact);
        }
    }
    update_gate(state);
}

/// Applies which data centres are out of use. The upstream of one that comes back may have turned
/// cold meanwhile.
fn apply_data_centres(state: &State) {
    let was_out_of_use = state.is_out_of_use();
    *state.out_of_use.borrow_mut() = state.hub.facts.data_centres_out_of_use();
    state.metrics.set_data_centres_out_of_use(state.out_of_use.borrow().len());
    if was_out_of_use == state.is_out_of_use() {
        return;
    }
    if was_out_of_use {
        warm_up::suspect(state, "data centre back in use");
    }
    apply_upstream(state);
}

fn apply_upstream(state: &State) {
    let announced = state.upstream();
    let capacity = announced.as_ref().map_or((0, 0), |up| (up.slots, up.connections));
    slot::step(state, Input::Announce { slots: capacity.0, connections: capacity.1 });
    let Some(announced) = announced else { return };
    report::begin(state, &announced);
    report::adopt_leave(state, &announced);
    warm_up::follow(state, &announced);
    let is_draining = state.admission.borrow().is_draining();
    match (announced.draining || state.is_out_of_use(), is_draining) {
        (true, false) => slot::step(state, Input::Drain),
        (false, true) => slot::step(state, Input::Resume),
        (true, true) | (false, false) => {}
    }
    let known = state.gate.borrow().as_ref().map(|gate| gate.version().clone());
    if known.as_ref() != Some(&announced.version) {
        let service = state.hub.settings.node.service.clone();
        *state.gate.borrow_mut() = Some(Gate::new(service, announced.version));
    }
    update_gate(state);
}

fn apply_services(state: &State) {
    let snapshot = state.hub.snapshot.borrow().clone();
    if let Some(service) = snapshot.services.get(&state.hub.settings.node.service) {
        state.admission.borrow_mut().configure(&service.limits);
        warm_up::set_rate(state, service.warm_up);
    }
    credit::update_homes(state);
    let is_configured = |service: &ServiceName| snapshot.services.contains_key(service);
    state.retry_budgets.borrow_mut().remove_unconfigured(is_configured);
}
