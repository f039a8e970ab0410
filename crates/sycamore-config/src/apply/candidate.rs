//! Configuration that is being fetched.

use super::{ApplySettings, RejectReason, Source};
use crate::bundle::Bundle;
use crate::manifest::{decode_resource, Manifest};
use bytes::Bytes;
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Verified objects by content hash.
pub(super) type ObjectMap = BTreeMap<ContentHash, Bytes>;

/// Decoded configuration with its objects, or the reason why it is invalid.
pub(super) type Assembled = Result<(Snapshot, ObjectMap), RejectReason>;

/// Configuration that is being fetched, with the objects received so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Candidate {
    pub(super) head: ConfigHead,
    pub(super) manifest: Option<Manifest>,
    pub(super) objects: ObjectMap,
    /// Whether a fetch for this candidate is pending.
    pub(super) fetching: bool,
    /// Time at which this node learned the head.
    pub(super) learned: Time,
    /// Earliest time of the candidate's next fetch.
    pub(super) due: Time,
    /// Position in the cycle of peer and store attempts, which also determines the backoff.
    failures: u32,
    /// Number of [`super::FetchAnswer::Absent`] answers so far.
    absent_answers: u32,
}

impl Candidate {
    /// Creates a candidate learned at `learned` whose first fetch goes to `first`, not before `due`.
    pub(super) fn new(
        head: ConfigHead,
        first: Source,
        settings: &ApplySettings,
        learned: Time,
        due: Time,
    ) -> Self {
        let failures = match first {
            Source::Peer => 0,
            Source::Store => settings.peer_attempts,
        };
        Self {
            head,
            manifest: None,
            objects: ObjectMap::new(),
            fetching: false,
            learned,
            due,
            failures,
            absent_answers: 0,
        }
    }

    /// Returns the origin of the next fetch: the store after every `peer_attempts` fetches from
    /// peers.
    pub(super) fn next_source(&self, settings: &ApplySettings) -> Source {
        let cycle = settings.peer_attempts + 1;
        match self.failures % cycle == settings.peer_attempts {
            true => Source::Store,
            false => Source::Peer,
        }
    }

    /// Counts a fetch without useful objects and delays the next one.
    pub(super) fn record_failure(&mut self, settings: &ApplySettings, now: Time) {
        self.failures += 1;
        if self.failures > settings.max_failures {
            // Going back by one whole cycle keeps the order in which peers and the store are tried.
            self.failures -= settings.peer_attempts + 1;
        }
        let seed = settings.seed ^ self.head.version.0;
        self.due = now + settings.backoff.delay(self.failures, seed);
    }

    /// Counts an answer that the store lacks the object; returns whether the limit is reached.
    pub(super) fn record_absent(&mut self, settings: &ApplySettings) -> bool {
        self.absent_answers += 1;
        self.absent_answers >= settings.max_absent
    }

    /// Lets the first fetch start at `due` if it would start later.
    pub(super) fn hasten(&mut self, due: Time) {
        if !self.fetching && self.failures == 0 {
            self.due = self.due.min(due);
        }
    }

    /// Returns the hashes of objects that are neither received nor among those in force; only the
    /// manifest's while the manifest is missing.
    pub(super) fn missing(&self, in_force: &ObjectMap) -> Vec<ContentHash> {
        match &self.manifest {
            None => vec![self.head.manifest],
            Some(manifest) => manifest
                .resources
                .iter()
                .filter(|hash| !self.objects.contains_key(hash) && !in_force.contains_key(hash))
                .copied()
                .collect(),
        }
    }

    /// Stores those of `bodies` whose hash is missing; returns whether there were any.
    ///
    /// # Errors
    /// Returns the reason for a rejection if the manifest is invalid or the objects exceed
    /// [`ApplySettings::max_bytes`].
    pub(super) fn add_objects(
        &mut self,
        bodies: &[Bytes],
        in_force: &ObjectMap,
        settings: &ApplySettings,
    ) -> Result<bool, RejectReason> {
        let received: ObjectMap =
            bodies.iter().map(|body| (ContentHash::of(body), body)).map(copy_body).collect();
        let mut any_added = self.add_manifest(&received)?;
        for hash in self.missing(in_force) {
            if let Some(body) = received.get(&hash) {
                self.objects.insert(hash, body.clone());
                any_added = true;
            }
        }
        let bytes: usize = self.objects.values().map(Bytes::len).sum();
        match bytes > settings.max_bytes {
            true => Err(RejectReason::TooLarge(settings.max_bytes)),
            false => Ok(any_added),
        }
    }

    /// Decodes and stores the manifest if it is missing and among `received`; returns whether it
    /// was.
    fn add_manifest(&mut self, received: &ObjectMap) -> Result<bool, RejectReason> {
        if self.manifest.is_some() {
            return Ok(false);
        }
        let Some(body) = received.get(&self.head.manifest) else {
            return Ok(false);
        };
        let manifest = Manifest::decode(body).ok_or(RejectReason::BadManifest)?;
        if manifest.version != self.head.version {
            return Err(RejectReason::OtherVersion(manifest.version));
        }
        self.objects.insert(self.head.manifest, body.clone());
        self.manifest = Some(manifest);
        Ok(true)
    }

    /// Decodes and validates the configuration; `None` while objects are missing.
    pub(super) fn assemble(&self, in_force: &ObjectMap) -> Option<Assembled> {
        let manifest = self.manifest.as_ref()?;
        if !self.missing(in_force).is_empty() {
            return None;
        }
        let mut objects = ObjectMap::new();
        for hash in manifest.resources.iter().chain([&self.head.manifest]) {
            let body = self.objects.get(hash).or_else(|| in_force.get(hash))?;
            objects.insert(*hash, body.clone());
        }
        Some(decode_snapshot(manifest, &objects).map(|snapshot| (snapshot, objects)))
    }
}

/// Copies `body`, so that it doesn't keep the larger receive buffer alive.
fn copy_body((hash, body): (ContentHash, &Bytes)) -> (ContentHash, Bytes) {
    (hash, Bytes::copy_from_slice(body))
}

/// Decodes and validates the resources of `manifest`.
fn decode_snapshot(manifest: &Manifest, objects: &ObjectMap) -> Result<Snapshot, RejectReason> {
    let mut resources = Vec::with_capacity(manifest.resources.len());
    for hash in &manifest.resources {
        let resource = objects.get(hash).and_then(|body| decode_resource(body));
        resources.push(resource.ok_or(RejectReason::BadResource(*hash))?);
    }
    let bundle = Bundle::new(resources).map_err(RejectReason::Faulty)?;
    Ok(bundle.to_snapshot(manifest.version))
}
