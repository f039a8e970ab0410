//! The shares that calls are routed by.

use super::state::{Entry, State};
use std::collections::{BTreeMap, BTreeSet};
use sycamore_types::prelude::*;

/// Publishes the shares, where they changed.
pub(super) fn publish(state: &State) {
    let table = table(state);
    state.hub.shares.send_if_modified(|known| {
        let changed = **known != table;
        if changed {
            *known = std::sync::Arc::new(table);
        }
        changed
    });
}

fn table(state: &State) -> ShareTable {
    let wall = state.hub.clock.wall();
    let mut services: BTreeMap<ServiceName, Vec<VersionShare>> = BTreeMap::new();
    let moves = state.moves.borrow();
    let mut ruling: BTreeMap<&ServiceName, &Entry> = BTreeMap::new();
    for entry in moves.values() {
        let service = &entry.control.row().0.spec.service;
        let other = ruling.get(service);
        if other.is_none_or(|other| rank(entry, wall) > rank(other, wall)) {
            ruling.insert(service, entry);
        }
    }
    for (service, entry) in ruling {
        services.insert(service.clone(), split(entry, wall));
    }
    for (service, version) in settled_versions(state) {
        services
            .entry(service)
            .or_insert_with(|| vec![VersionShare { version, share: Share::ALL, by: None }]);
    }
    ShareTable { services }
}

/// Which of a service's moves says how it is split: the begun one that started last; before any has
/// begun, the one that starts first.
fn rank(entry: &Entry, wall: WallTime) -> (bool, u64) {
    let start = entry.control.row().0.spec.start;
    let begun = start <= wall;
    (begun, if begun { start.0 } else { u64::MAX - start.0 })
}

fn split(entry: &Entry, wall: WallTime) -> Vec<VersionShare> {
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

/// For each service with members of several versions, the one that serves it while no move says
/// otherwise: the one that most members run, and among equals the one that was first.
fn settled_versions(state: &State) -> BTreeMap<ServiceName, UpstreamVersion> {
    let view = state.hub.members.borrow().clone();
    let names: BTreeSet<&ServiceName> =
        view.members.values().map(|member| &member.service).collect();
    let mut settled = BTreeMap::new();
    for name in names {
        let mut versions: BTreeMap<&UpstreamVersion, (usize, std::cmp::Reverse<Incarnation>)> =
            BTreeMap::new();
        for member in view.serving(name) {
            let first = std::cmp::Reverse(member.incarnation);
            let entry = versions.entry(&member.version).or_insert((0, first));
            entry.0 += 1;
            entry.1 = entry.1.max(first);
        }
        if versions.len() > 1 {
            let most = versions.into_iter().max_by_key(|(_, rank)| *rank);
            settled.extend(most.map(|(version, _)| (name.clone(), version.clone())));
        }
    }
    settled
}
