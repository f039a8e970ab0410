//! Following what the other slices find out.

use super::announce;
use super::crash;
use super::introduce;
use super::slot;
use super::state::State;
use crate::tasks::TaskGroup;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::admit::Input;
use sycamore_call::key::Members;
use sycamore_call::Gate;
use sycamore_types::prelude::*;
use tokio::sync::watch::Receiver;

/// Time between two looks at what no message tells.
const TICK: Duration = Duration::from_millis(500);

/// Starts the tasks that follow the hub.
pub(super) fn start(state: &Rc<State>, tasks: &TaskGroup) {
    let hub = &state.hub;
    tasks.spawn_until_stop(follow(hub.members.subscribe(), state.clone(), members));
    tasks.spawn_until_stop(follow(hub.shares.subscribe(), state.clone(), gate));
    tasks.spawn_until_stop(follow(hub.facts.subscribe(), state.clone(), facts));
    tasks.spawn_until_stop(follow(hub.upstream.subscribe(), state.clone(), upstream));
    tasks.spawn_until_stop(follow(hub.snapshot.subscribe(), state.clone(), limits));
    tasks.spawn_until_stop(slot::expire(state.clone()));
    tasks.spawn_until_stop(crash::follow(state.clone()));
    tasks.spawn_until_stop(introduce::run(state.clone()));
    tasks.spawn_until_stop(tick(state.clone()));
}

/// Applies what is known now, and again at each change.
async fn follow<T: 'static>(
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
        monoio::time::sleep(TICK).await;
        state.ownership.borrow_mut().tick(state.now());
        state.unread.borrow_mut().tick(state.now());
        state.upstreams.sweep();
        state.relays.sweep();
        announce::check_silence(&state);
        announce::count_state(&state);
    }
}

fn members(state: &State) {
    let view = state.hub.members.borrow().clone();
    let now = state.now();
    state.router.borrow_mut().update(now, &view);
    let service = &state.hub.settings.node.service;
    let serving = in_service(&view, service, |state| {
        matches!(state, MemberState::Serving | MemberState::Suspect)
    });
    let leaving = in_service(&view, service, |state| state == MemberState::Draining);
    state.ownership.borrow_mut().update(now, serving, leaving);
    introduce::update(state);
    gate(state);
}

/// The members of `service` whose state `keep` takes.
pub(super) fn in_service(
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

fn gate(state: &State) {
    let shares = state.hub.shares.borrow().clone();
    let view = state.hub.members.borrow().clone();
    if let Some(gate) = state.gate.borrow_mut().as_mut() {
        gate.learn(&state.bans.borrow());
        gate.update(&shares, &view);
    }
}

fn facts(state: &State) {
    let known = state.hub.facts.known();
    let now = state.hub.clock.wall();
    for fact in known.values() {
        state.bans.borrow_mut().learn(fact);
        let condemned = state.crashes.borrow_mut().learn(now, fact);
        if let Some(fact) = condemned {
            state.hub.raise(fact);
        }
    }
    gate(state);
}

fn upstream(state: &State) {
    let announced = state.upstream();
    let capacity = announced.as_ref().map_or((0, 0), |up| (up.slots, up.connections));
    slot::step(state, Input::Announce { slots: capacity.0, connections: capacity.1 });
    let Some(announced) = announced else { return };
    let known = state.gate.borrow().as_ref().map(|gate| gate.version().clone());
    if known.as_ref() != Some(&announced.version) {
        let service = state.hub.settings.node.service.clone();
        *state.gate.borrow_mut() = Some(Gate::new(service, announced.version));
    }
    gate(state);
}

fn limits(state: &State) {
    let snapshot = state.hub.snapshot.borrow().clone();
    if let Some(service) = snapshot.services.get(&state.hub.settings.node.service) {
        state.admission.borrow_mut().configure(&service.limits);
    }
}
