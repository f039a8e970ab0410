//! Configuration that is being fetched.

use super::object::{find_objects, Object, ObjectMap};
use super::{ApplySettings, RejectReason, Source};
use crate::bundle::validated_snapshot;
use crate::manifest::{decode_resource, Manifest};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;
use sycamore_types::prelude::*;

/// Decoded and validated configuration.
pub(super) struct Assembled {
    pub(super) snapshot: Snapshot,
    pub(super) manifest: Manifest,
    /// Objects of the configuration that are not among those in force, resources decoded.
    pub(super) new_objects: ObjectMap,
}

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
    /// Number of [`super::FetchAnswer::TimedOut`] answers so far.
    timeouts: u32,
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
            timeouts: 0,
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

    /// Counts a fetch that timed out, for the limits of the next ones.
    pub(super) fn record_timeout(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }

    /// Returns the limits of the next fetch from a peer.
    pub(super) fn fetch_limit(&self, settings: &ApplySettings) -> FetchLimit {
        let doublings = self.timeouts.saturating_sub(1);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let max = settings.max_fetch_timeout.max(settings.fetch_timeout);
        let silence = settings.fetch_timeout.saturating_mul(factor).min(max);
        FetchLimit { silence, whole: settings.max_fetch_time.max(silence) }
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
            Some(manifest) => find_objects(&manifest.resources, [&self.objects, in_force])
                .filter(|(_, object)| object.is_none())
                .map(|(hash, _)| hash)
                .collect(),
        }
    }

    /// Returns whether neither the manifest nor any other object is missing.
    pub(super) fn is_complete(&self, in_force: &ObjectMap) -> bool {
        self.manifest.as_ref().is_some_and(|manifest| {
            find_objects(&manifest.resources, [&self.objects, in_force])
                .all(|(_, object)| object.is_some())
        })
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
        let received: BTreeMap<ContentHash, &Bytes> =
            bodies.iter().map(|body| (ContentHash::of(body), body)).collect();
        let mut any_added = self.add_manifest(&received)?;
        for hash in self.missing(in_force) {
            if let Some(body) = received.get(&hash) {
                self.objects.insert(hash, Object::copy_of(body));
                any_added = true;
            }
        }
        let bytes: usize = self.objects.values().map(|object| object.body.len()).sum();
        match bytes > settings.max_bytes {
            true => Err(RejectReason::TooLarge(settings.max_bytes)),
            false => Ok(any_added),
        }
    }

    /// Decodes and stores the manifest if it is missing and among `received`; returns whether it
    /// was.
    fn add_manifest(
        &mut self,
        received: &BTreeMap<ContentHash, &Bytes>,
    ) -> Result<bool, RejectReason> {
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
        self.objects.insert(self.head.manifest, Object::copy_of(body));
        self.manifest = Some(manifest);
        Ok(true)
    }

    /// Decodes and validates the configuration, or returns the reason why it is invalid; `None`
    /// while objects are missing.
    ///
    /// Resources in force are not decoded again, so that the cost follows the size of the change.
    pub(super) fn assemble(&self, in_force: &ObjectMap) -> Option<Result<Assembled, RejectReason>> {
        let manifest = self.manifest.as_ref().filter(|_| self.is_complete(in_force))?;
        Some(self.decode(manifest, in_force))
    }

    fn decode(&self, manifest: &Manifest, in_force: &ObjectMap) -> Result<Assembled, RejectReason> {
        let mut resources = Vec::with_capacity(manifest.resources.len());
        let mut new_objects = ObjectMap::new();
        for (hash, object) in find_objects(&manifest.resources, [in_force, &self.objects]) {
            let object = object.ok_or(RejectReason::BadResource(hash))?;
            let resource = match &object.resource {
                Some(resource) => resource.clone(),
                None => decode_resource(&object.body)
                    .map(Arc::new)
                    .ok_or(RejectReason::BadResource(hash))?,
            };
            if object.resource.is_none() {
                new_objects.insert(hash, object.with_resource(resource.clone()));
            }
            resources.push(resource);
        }
        let resources: Vec<&Resource> = resources.iter().map(AsRef::as_ref).collect();
        let snapshot =
            validated_snapshot(&resources, manifest.version).map_err(RejectReason::Faulty)?;
        let body = self.objects.get(&self.head.manifest);
        new_objects.extend(body.map(|body| (self.head.manifest, body.clone())));
        Ok(Assembled { snapshot, manifest: manifest.clone(), new_objects })
    }
}
