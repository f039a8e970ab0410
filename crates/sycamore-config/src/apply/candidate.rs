//! A head on its way into force.

use super::{ApplySettings, RejectReason, Source};
use crate::bundle::Bundle;
use crate::manifest::{decode_resource, Manifest};
use bytes::Bytes;
use std::collections::BTreeMap;
use sycamore_types::prelude::*;

/// Verified bytes by their hash.
pub(super) type ObjectMap = BTreeMap<ContentHash, Bytes>;

/// A checked configuration with its objects, or why it is none.
pub(super) type Whole = Result<(Snapshot, ObjectMap), RejectReason>;

/// A head with what was fetched of it so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Candidate {
    pub(super) head: ConfigHead,
    pub(super) manifest: Option<Manifest>,
    pub(super) objects: ObjectMap,
    pub(super) fetching: bool,
    pub(super) due: Time,
    failures: u32,
    absent: u32,
}

impl Candidate {
    /// A head whose first fetch goes to `first`, at `due`.
    pub(super) fn new(
        head: ConfigHead,
        first: Source,
        settings: &ApplySettings,
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
            due,
            failures,
            absent: 0,
        }
    }

    /// Where the next fetch goes: each time to a few peers first.
    pub(super) fn source(&self, settings: &ApplySettings) -> Source {
        let cycle = settings.peer_attempts + 1;
        match self.failures % cycle == settings.peer_attempts {
            true => Source::Store,
            false => Source::Peer,
        }
    }

    /// Counts a fetch that brought nothing and delays the next one.
    pub(super) fn fail(&mut self, settings: &ApplySettings, now: Time) {
        self.failures += 1;
        if self.failures > settings.max_failures {
            self.failures -= settings.peer_attempts + 1;
        }
        let seed = settings.seed ^ self.head.version.0;
        self.due = now + settings.backoff.delay(self.failures, seed);
    }

    /// Counts an answer that the store has no such object; tells whether that was one too many.
    pub(super) fn count_absent(&mut self, settings: &ApplySettings) -> bool {
        self.absent += 1;
        self.absent >= settings.max_absent
    }

    /// Hashes that are still missing, given what is in force.
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

    /// Keeps those of `bodies` that are wanted and match their hash; tells whether any did.
    pub(super) fn take(
        &mut self,
        bodies: &[Bytes],
        in_force: &ObjectMap,
        settings: &ApplySettings,
    ) -> Result<bool, RejectReason> {
        let found: ObjectMap =
            bodies.iter().map(|body| (ContentHash::of(body), body)).map(copy).collect();
        let mut any = self.take_manifest(&found)?;
        for hash in self.missing(in_force) {
            if let Some(body) = found.get(&hash) {
                self.objects.insert(hash, body.clone());
                any = true;
            }
        }
        let bytes: usize = self.objects.values().map(Bytes::len).sum();
        match bytes > settings.max_bytes {
            true => Err(RejectReason::TooLarge(settings.max_bytes)),
            false => Ok(any),
        }
    }

    fn take_manifest(&mut self, found: &ObjectMap) -> Result<bool, RejectReason> {
        if self.manifest.is_some() {
            return Ok(false);
        }
        let Some(body) = found.get(&self.head.manifest) else {
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

    /// The whole configuration once nothing is missing.
    pub(super) fn whole(&self, in_force: &ObjectMap) -> Option<Whole> {
        let manifest = self.manifest.as_ref()?;
        if !self.missing(in_force).is_empty() {
            return None;
        }
        let mut objects = ObjectMap::new();
        for hash in manifest.resources.iter().chain([&self.head.manifest]) {
            let body = self.objects.get(hash).or_else(|| in_force.get(hash))?;
            objects.insert(*hash, body.clone());
        }
        Some(snapshot(manifest, &objects).map(|snapshot| (snapshot, objects)))
    }
}

/// Copies `body`, so that it does not keep a larger buffer alive.
fn copy((hash, body): (ContentHash, &Bytes)) -> (ContentHash, Bytes) {
    (hash, Bytes::copy_from_slice(body))
}

fn snapshot(manifest: &Manifest, objects: &ObjectMap) -> Result<Snapshot, RejectReason> {
    let mut resources = Vec::with_capacity(manifest.resources.len());
    for hash in &manifest.resources {
        let resource = objects.get(hash).and_then(|body| decode_resource(body));
        resources.push(resource.ok_or(RejectReason::BadResource(*hash))?);
    }
    let bundle = Bundle::new(resources).map_err(RejectReason::Faulty)?;
    Ok(bundle.to_snapshot(manifest.version))
}
