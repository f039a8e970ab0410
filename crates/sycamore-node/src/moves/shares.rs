//! Computes the traffic shares of versions by which calls are routed.

use super::state::{Entry, State};
use std::collections::{BTreeMap, BTreeSet};
use sycamore_types::prelude::*;

/// Publishes the table of shares if it has changed.
pub(super) fn publish(state: &State) {
    let table = compute_table(state);
    state.hub.shares.send_if_modified(|known| {
        let changed = **known != table;
        if changed {
            *known = std::sync::Arc::new(table);
        }
        changed
    });
}

fn compute_table(state: &State) -> ShareTable {
    let wall = state.hub.clock.wall();
    let mut services: BTreeMap<ServiceName, Vec<VersionShare>> = BTreeMap::new();
    let moves = state.moves.borrow();
    let mut effective: BTreeMap<&ServiceName, &Entry> = BTreeMap::new();
    for entry in moves.values() {
        let service = &entry.control.row().0.spec.service;
        let other = effective.get(service);
        if other.is_none_or(|other| precedence(entry, wall) > precedence(other, wall)) {
            effective.insert(service, entry);
        }
    }
    for (service, entry) in effective {
        services.insert(service.clone(), shares_of(entry, wall));
    }
    for (service, version) in default_versions(state) {
        services
            .entry(service)
            .or_insert_with(|| vec![VersionShare { version, share: Share::ALL, by: None }]);
    }
    ShareTable { services }
}

/// Returns the precedence of a move among the moves of one service; the highest determines the
/// shares. A move that has begun precedes one that has not; among begun moves the latest start
/// wins, among others the earliest.
fn precedence(entry: &Entry, wall: WallTime) -> (bool, u64) {
    let start = entry.control.row().0.spec.start;
    let begun = start <= wall;
    (begun, if begun { start.0 } else { u64::MAX - start.0 })
}

/// Returns the shares of a move's old and new version at `wall`.
fn shares_of(entry: &Entry, wall: WallTime) -> Vec<VersionShare> {
    let (row, _) = entry.control.row();
    let spec = &row.spec;
    let to = entry.control.split(wall).to;
    let rest = Share::from_basis_points(Share::ALL.basis_points() - to.basis_points());
    let by = (!row.is_ended()).then(|| spec.mv.clone());
    vec![
        VersionShare { version: spec.from.clone(), share: rest, by: None },
        VersionShare { version: spec.to.clone(), share: to, by },
    ]
}

/// Returns the version that receives all calls of a service without a move, for services whose
/// members run several versions: the one that most members run, among equals the one with the
/// oldest member.
fn default_versions(state: &State) -> BTreeMap<ServiceName, UpstreamVersion> {
    let view = state.hub.members.borrow().clone();
    let names: BTreeSet<&ServiceName> =
        view.members.values().map(|member| &member.service).collect();
    let mut defaults = BTreeMap::new();
    for name in names {
        let mut versions: BTreeMap<&UpstreamVersion, (usize, std::cmp::Reverse<Incarnation>)> =
            BTreeMap::new();
        for member in view.serving(name) {
            let age = std::cmp::Reverse(member.incarnation);
            let entry = versions.entry(&member.version).or_insert((0, age));
            entry.0 += 1;
            entry.1 = entry.1.max(age);
        }
        if versions.len() > 1 {
            let chosen = versions.into_iter().max_by_key(|(_, rank)| *rank);
            defaults.extend(chosen.map(|(version, _)| (name.clone(), version.clone())));
        }
    }
    defaults
}
