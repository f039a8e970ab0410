//! Differences between two configurations, compressed, which fit into a datagram when few resources
//! change.
//!
//! A node that is some versions behind asks peers for the difference from the configuration that it
//! has in force. The answer takes one datagram each way and no connection, so it arrives also over
//! a link that is too full for a manifest or an operator's row.

use crate::bundle::MAX_RESOURCES;
use crate::diff::Diff;
use crate::manifest::{Manifest, MAX_PACK_BYTES};
use bytes::Bytes;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use flate2::Compression;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Read;
use std::rc::Rc;
use sycamore_types::prelude::*;

/// Base of the delta for a node without a configuration, which then holds all resources.
pub const NO_CONFIGURATION: ContentHash = ContentHash([0; 32]);
/// Upper bound on an encoded delta in a datagram, in bytes. With the packet's header it fits into the
/// largest datagram between nodes.
pub const MAX_DATAGRAM_DELTA: usize = 5 << 10;
/// Upper bound on an encoded delta that answers a fetch, in bytes.
pub const MAX_FETCHED_DELTA: usize = 4 << 20;
/// Upper bound on held requests. The oldest is dropped first; its sender asks again.
const MAX_HELD: usize = 512;
/// Upper bound on the steps that a [`History`] keeps.
const MAX_STEPS: usize = 32;
/// Upper bound on the hashes of all steps, which limits the memory of a [`History`] to 2 MiB. A step
/// that replaces every resource fits.
const MAX_HISTORY_HASHES: usize = 2 * MAX_RESOURCES;

/// Difference from one configuration to a later one.
///
/// `removed` and `added` may also name resources that the base lacks or has, so that one delta
/// leads from each of several bases to the same configuration. The manifest's hash in `head`
/// verifies the result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Hash of the manifest that the delta starts from.
    pub base: ContentHash,
    /// Head of the configuration that the delta leads to.
    pub head: ConfigHead,
    /// Hashes of resources that the new configuration doesn't have.
    pub removed: Vec<ContentHash>,
    /// Encoded resources that the base may lack.
    pub added: Vec<Bytes>,
}

/// Protobuf encoding of a [`Delta`].
#[derive(Clone, PartialEq, Message)]
struct WireDelta {
    #[prost(bytes = "vec", tag = "1")]
    base: Vec<u8>,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(bytes = "vec", tag = "3")]
    manifest: Vec<u8>,
    #[prost(bytes = "vec", repeated, tag = "4")]
    removed: Vec<Vec<u8>>,
    #[prost(bytes = "bytes", repeated, tag = "5")]
    added: Vec<Bytes>,
}

impl Delta {
    /// Encodes and compresses the delta; `None` if the result exceeds `max_bytes`.
    pub fn encode(&self, max_bytes: usize) -> Option<Vec<u8>> {
        let wire = WireDelta {
            base: self.base.0.to_vec(),
            version: self.head.version.0,
            manifest: self.head.manifest.0.to_vec(),
            removed: self.removed.iter().map(|hash| hash.0.to_vec()).collect(),
            added: self.added.clone(),
        }
        .encode_to_vec();
        let mut encoded = Vec::new();
        let compressed = DeflateEncoder::new(wire.as_slice(), Compression::fast());
        let limit = u64::try_from(max_bytes).ok()?.checked_add(1)?;
        compressed.take(limit).read_to_end(&mut encoded).ok()?;
        (encoded.len() <= max_bytes).then_some(encoded)
    }

    /// Decompresses and decodes a delta; `None` if the bytes are malformed or hold more than
    /// [`MAX_PACK_BYTES`].
    pub fn decode(encoded: &[u8]) -> Option<Self> {
        let mut wire = Vec::new();
        let limit = u64::try_from(MAX_PACK_BYTES).ok()?;
        DeflateDecoder::new(encoded).take(limit + 1).read_to_end(&mut wire).ok()?;
        if wire.len() > MAX_PACK_BYTES {
            return None;
        }
        let wire = WireDelta::decode(wire.as_slice()).ok()?;
        let hash = |bytes: Vec<u8>| bytes.try_into().ok().map(ContentHash);
        Some(Self {
            base: hash(wire.base)?,
            head: ConfigHead {
                version: ConfigVersion(wire.version),
                manifest: hash(wire.manifest)?,
            },
            removed: wire.removed.into_iter().map(hash).collect::<Option<_>>()?,
            added: wire.added,
        })
    }

    /// Returns the encoded manifest of the configuration that the delta leads to from `base`;
    /// `None` if its hash isn't the one that the delta names.
    pub(crate) fn manifest(&self, base: &Manifest) -> Option<Bytes> {
        let removed: BTreeSet<&ContentHash> = self.removed.iter().collect();
        let kept = base.resources.iter().filter(|hash| !removed.contains(hash)).copied();
        let added = self.added.iter().map(|body| ContentHash::of(body));
        let mut resources: Vec<ContentHash> = kept.chain(added).collect();
        resources.sort();
        resources.dedup();
        let manifest = Manifest { version: self.head.version, resources }.encode();
        (ContentHash::of(&manifest) == self.head.manifest).then_some(manifest)
    }
}

/// Requests for a delta that came before this node had a newer configuration itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldRequests {
    /// Requests with the time until which they are held, oldest first.
    requests: VecDeque<(Time, InstanceId, ContentHash)>,
}

impl HeldRequests {
    /// Holds the request of `from` for a delta from `base` until the time `until`, in place of an
    /// earlier one of the same instance.
    pub fn hold(&mut self, now: Time, until: Time, from: InstanceId, base: ContentHash) {
        self.requests.retain(|(end, held, _)| *end > now && *held != from);
        if self.requests.len() == MAX_HELD {
            self.requests.pop_front();
        }
        self.requests.push_back((until, from, base));
    }

    /// Removes and returns the requests for which `delta_from` has a delta, with that delta.
    ///
    /// Most requests are from the same base, so each base's delta is computed once.
    pub fn take_answerable(
        &mut self,
        now: Time,
        delta_from: impl Fn(&ContentHash) -> Option<Delta>,
    ) -> Vec<(InstanceId, Rc<Delta>)> {
        let mut answers = Vec::new();
        let mut deltas: BTreeMap<ContentHash, Option<Rc<Delta>>> = BTreeMap::new();
        self.requests.retain(|(until, from, base)| {
            if *until <= now {
                return false;
            }
            let delta = deltas.entry(*base).or_insert_with(|| delta_from(base).map(Rc::new));
            answers.extend(delta.clone().map(|delta| (from.clone(), delta)));
            delta.is_none()
        });
        answers
    }
}

/// Change from one configuration in force to the next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Step {
    /// Manifest hash of the configuration before the change.
    base: ContentHash,
    removed: Vec<ContentHash>,
    added: Vec<ContentHash>,
}

/// Hashes by which later configurations differ from an earlier one.
pub(crate) struct Changes {
    pub(crate) removed: BTreeSet<ContentHash>,
    pub(crate) added: BTreeSet<ContentHash>,
}

/// Latest changes of the configuration in force, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    steps: VecDeque<Step>,
}

impl History {
    /// Records the change of the configuration whose manifest hash is `base`, and drops the oldest
    /// steps beyond the bounds.
    pub(crate) fn record(&mut self, base: ContentHash, change: Diff) {
        let Diff { removed, added, .. } = change;
        self.steps.push_back(Step { base, removed, added });
        while self.steps.len() > MAX_STEPS || self.hashes() > MAX_HISTORY_HASHES {
            self.steps.pop_front();
        }
    }

    fn hashes(&self) -> usize {
        self.steps.iter().map(|step| step.removed.len() + step.added.len()).sum()
    }

    /// Returns the changes since the configuration with manifest hash `base`; `None` if that is not
    /// among the latest.
    pub(crate) fn since(&self, base: &ContentHash) -> Option<Changes> {
        let at = self.steps.iter().position(|step| step.base == *base)?;
        let steps = || self.steps.iter().skip(at);
        Some(Changes {
            removed: steps().flat_map(|step| &step.removed).copied().collect(),
            added: steps().flat_map(|step| &step.added).copied().collect(),
        })
    }
}
