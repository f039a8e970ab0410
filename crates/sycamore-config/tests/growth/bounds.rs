//! Bounds on the way of a configuration, one by one, so that the one that fails is named.

use super::{entries, rewritten, GROWTH, INCIDENT, LARGE};
use std::collections::BTreeSet;
use sycamore_config::bundle::MAX_RESOURCES;
use sycamore_config::delta::{MAX_FETCHED_DELTA, NO_CONFIGURATION};
use sycamore_config::manifest::{unpack, MAX_PACK_BYTES};
use sycamore_config::{
    Action, Apply, ApplySettings, Bundle, Delta, Diff, Encoded, Input, Manifest,
};
use sycamore_peer::limits::MAX_FETCH_BYTES;
use sycamore_platform::HttpSettings;
use sycamore_types::prelude::*;

fn encoded(count: usize, version: u64) -> Encoded {
    Encoded::new(&entries(count), ConfigVersion(version))
}

/// Returns the delta between two versions as [`Apply`] makes it from its history.
fn delta_between(old: &Encoded, new: &Encoded) -> Delta {
    let manifest = |of: &Encoded| Manifest {
        version: of.head.version,
        resources: of.resources.iter().map(|body| ContentHash::of(body)).collect(),
    };
    let Diff { added, removed, .. } = Diff::between(&manifest(old), &manifest(new));
    let added: BTreeSet<ContentHash> = added.into_iter().collect();
    let bodies = new.resources.iter().filter(|body| added.contains(&ContentHash::of(body)));
    let added = bodies.cloned().collect();
    Delta { base: old.head.manifest, head: new.head, removed, added }
}

/// Requires that a peer can send `delta` as the answer to a fetch, and the receiver decode it.
fn require_fetchable(delta: &Delta) {
    let size = delta.encode(usize::MAX >> 1).map_or(0, |encoded| encoded.len());
    let received = delta.encode(MAX_FETCHED_DELTA).and_then(|encoded| Delta::decode(&encoded));
    let fits = received.as_ref() == Some(delta);
    assert!(
        fits,
        "a delta of {size} bytes is not fetchable, MAX_FETCHED_DELTA {MAX_FETCHED_DELTA}"
    );
}

fn require_valid_bundle(count: usize) {
    let faults = Bundle::new(entries(count)).err().unwrap_or_default();
    assert!(faults.is_empty(), "{count} entries: {}", faults[0]);
}

fn require_decodable_manifest(count: usize) {
    let manifest = encoded(count, 2).manifest;
    let decoded = Manifest::decode(&manifest).map(|manifest| manifest.resources.len());
    assert_eq!(decoded, Some(count), "a manifest of {} bytes is not decoded", manifest.len());
}

fn require_unpackable_pack(count: usize) {
    let pack = encoded(count, 2).pack();
    let (bytes, objects) = (pack.len(), unpack(pack).len());
    assert_eq!(objects, count + 1, "a pack of {bytes} bytes is not unpacked");
}

/// Requires that a manifest fits into the answer to a fetch without a delta.
fn require_fetchable_manifest(count: usize) {
    let bytes = encoded(count, 2).manifest.len();
    assert!(bytes <= MAX_FETCH_BYTES, "a manifest of {bytes} bytes, bound {MAX_FETCH_BYTES}");
}

fn require_delta_from_nothing(count: usize) {
    let new = encoded(count, 2);
    let (head, added) = (new.head, new.resources);
    require_fetchable(&Delta { base: NO_CONFIGURATION, head, removed: Vec::new(), added });
}

fn require_growth_delta(count: usize) {
    require_fetchable(&delta_between(&encoded(count - GROWTH, 1), &encoded(count, 2)));
}

fn require_rewrite_delta(count: usize) {
    let new = Encoded::new(&rewritten(count), ConfigVersion(2));
    require_fetchable(&delta_between(&encoded(count, 1), &new));
}

/// Requires that a node which applies `versions` in turn has a delta from the first to the last.
fn require_history(versions: &[Encoded]) {
    let mut apply = Apply::new(ApplySettings::default());
    let mut actions = apply.step(Time::default(), Input::Floor(versions[0].head.version));
    for version in versions {
        let (head, pack) = (version.head, version.pack());
        actions.extend(apply.step(Time::default(), Input::PackReceived { head, pack }));
    }
    let rejected: Vec<String> = actions.iter().filter_map(rejection).collect();
    let (first, last) = (versions[0].head, versions[versions.len() - 1].head);
    let delta = apply.delta_from(&first.manifest).filter(|delta| delta.head == last);
    assert!(delta.is_some(), "no delta from version {}; rejected: {rejected:?}", first.version.0);
}

fn require_history_of_two_growths(count: usize) {
    let at = |growths, version| encoded(count - growths * GROWTH, version);
    require_history(&[at(2, 1), at(1, 2), at(0, 3)]);
}

fn require_history_of_rewrite(count: usize) {
    let new = Encoded::new(&rewritten(count), ConfigVersion(2));
    require_history(&[encoded(count, 1), new]);
}

/// Returns the reason for a rejection as text.
fn rejection(action: &Action) -> Option<String> {
    match action {
        Action::Reject { head, reason } => Some(format!("version {}: {reason}", head.version.0)),
        _ => None,
    }
}

/// Guards against a reader of the operators' rows that rejects what the platform accepted.
#[test]
fn bundle_of_the_incident_is_valid() {
    require_valid_bundle(INCIDENT);
}

/// Guards against a reader of the operators' rows that rejects a row near the platform's limit.
#[test]
fn bundle_near_the_row_limit_is_valid() {
    require_valid_bundle(LARGE);
}

/// Guards against a manifest that a node sends and no other node decodes.
#[test]
fn manifest_of_the_incident_is_decoded() {
    require_decodable_manifest(INCIDENT);
}

/// Guards against a manifest near the platform's limit that no node decodes.
#[test]
fn manifest_near_the_row_limit_is_decoded() {
    require_decodable_manifest(LARGE);
}

/// Guards against a pack that a reader of the rows can't feed to its own state machine.
#[test]
fn pack_of_the_incident_is_unpacked() {
    require_unpackable_pack(INCIDENT);
}

/// Guards against a pack near the platform's limit that is taken for malformed.
#[test]
fn pack_near_the_row_limit_is_unpacked() {
    require_unpackable_pack(LARGE);
}

/// Guards against a node without a usable base that gets an empty answer for the manifest.
#[test]
fn manifest_of_the_incident_fits_into_a_fetch() {
    require_fetchable_manifest(INCIDENT);
}

/// Guards against a manifest near the platform's limit that no peer can send.
#[test]
fn manifest_near_the_row_limit_fits_into_a_fetch() {
    require_fetchable_manifest(LARGE);
}

/// Guards against a starting node that gets no configuration from its peers.
#[test]
fn delta_from_nothing_of_the_incident_is_fetched() {
    require_delta_from_nothing(INCIDENT);
}

/// Guards against a starting node that gets no configuration near the platform's limit.
#[test]
fn delta_from_nothing_near_the_row_limit_is_fetched() {
    require_delta_from_nothing(LARGE);
}

/// Guards against followers that can't fetch the difference that a growth makes.
#[test]
fn delta_of_a_growth_of_the_incident_is_fetched() {
    require_growth_delta(INCIDENT);
}

/// Guards against followers that can't fetch a growth near the platform's limit.
#[test]
fn delta_of_a_growth_near_the_row_limit_is_fetched() {
    require_growth_delta(LARGE);
}

/// Guards against followers that can't fetch a change of every route.
#[test]
fn delta_of_a_rewrite_of_the_incident_is_fetched() {
    require_rewrite_delta(INCIDENT);
}

/// Guards against followers that can't fetch a change of every route near the platform's limit,
/// whose hashes don't compress.
#[test]
fn delta_of_a_rewrite_near_the_row_limit_is_fetched() {
    require_rewrite_delta(LARGE);
}

/// Guards against a follower two growths behind for which no peer remembers the changes.
#[test]
fn two_growths_before_the_incident_are_remembered() {
    require_history_of_two_growths(INCIDENT);
}

/// Guards against a follower two growths behind near the platform's limit that gets no delta.
#[test]
fn two_growths_near_the_row_limit_are_remembered() {
    require_history_of_two_growths(LARGE);
}

/// Guards against a change of every route that empties the history, so that all followers fetch
/// the objects 64 at a time.
#[test]
fn a_rewrite_of_the_incident_is_remembered() {
    require_history_of_rewrite(INCIDENT);
}

/// Guards against a change of every route near the platform's limit that empties the history.
#[test]
fn a_rewrite_near_the_row_limit_is_remembered() {
    require_history_of_rewrite(LARGE);
}

/// Guards against bounds that don't follow from the one on entries: a configuration of the largest
/// size must pass each of them.
#[test]
fn the_largest_configuration_fits_every_bound() {
    require_valid_bundle(MAX_RESOURCES);
    require_decodable_manifest(MAX_RESOURCES);
    require_fetchable_manifest(MAX_RESOURCES);
    require_unpackable_pack(MAX_RESOURCES);
    require_delta_from_nothing(MAX_RESOURCES);
    require_rewrite_delta(MAX_RESOURCES);
    require_history_of_rewrite(MAX_RESOURCES);
}

/// The platform sends a row's value in base64: an answer bound of the value's own size refuses it.
#[test]
fn an_answer_has_room_for_the_largest_pack_in_base64() {
    let settings = HttpSettings::new(([127, 0, 0, 1], 1).into());
    let encoded = MAX_PACK_BYTES.div_ceil(3) * 4;
    assert!(encoded < settings.body_bytes, "{encoded} of {} bytes", settings.body_bytes);
}
