//! Manifests, which list the content hashes of a configuration's resources, and packs, which hold
//! a manifest with all its resources.
//!
//! A manifest is a protobuf message with 34 bytes per resource. On a configuration change a node
//! fetches the manifest and only the resources that it lacks. The object store holds one pack per
//! configuration, keyed by the manifest's hash, so that accepting a configuration takes one put and
//! starting a node one get.

use crate::bundle::MAX_RESOURCES;
use bytes::Bytes;
use prost::Message;
use sycamore_types::prelude::*;

/// Size of a resource's hash in an encoded manifest, in bytes: tag, length and hash.
const ENTRY_BYTES: usize = 34;
/// Size of the version in an encoded manifest, in bytes, at most.
const VERSION_BYTES: usize = 11;
/// Upper bound on the size of an encoded manifest, in bytes.
pub const MAX_MANIFEST_BYTES: usize = VERSION_BYTES + MAX_RESOURCES * ENTRY_BYTES;
/// Upper bound on the size of an encoded resource, in bytes.
pub const MAX_RESOURCE_BYTES: usize = 16 << 10;
/// Upper bound on the size of a pack, in bytes.
pub const MAX_PACK_BYTES: usize = 16 << 20;

/// Version of a configuration and the content hashes of its resources.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Manifest {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Content hashes of the encoded resources, ascending.
    pub resources: Vec<ContentHash>,
}

/// Protobuf encoding of a [`Manifest`].
#[derive(Clone, PartialEq, Message)]
struct WireManifest {
    #[prost(uint64, tag = "1")]
    version: u64,
    /// Slices of one buffer: an allocation for each hash costs more than the rest of the decoding.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    resources: Vec<Bytes>,
}

/// Protobuf encoding of a pack.
#[derive(Clone, PartialEq, Message)]
struct WirePack {
    #[prost(bytes = "bytes", tag = "1")]
    manifest: Bytes,
    #[prost(bytes = "bytes", repeated, tag = "2")]
    resources: Vec<Bytes>,
}

impl Manifest {
    /// Decodes a manifest; `None` if the bytes are malformed, the hashes are not sorted, or a size
    /// bound is exceeded.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_MANIFEST_BYTES {
            return None;
        }
        let wire = WireManifest::decode(Bytes::copy_from_slice(bytes)).ok()?;
        if wire.resources.len() > MAX_RESOURCES {
            return None;
        }
        let hash = |bytes: &Bytes| bytes.as_ref().try_into().ok().map(ContentHash);
        let resources = wire.resources.iter().map(hash).collect::<Option<Vec<_>>>()?;
        resources.is_sorted().then_some(Self { version: ConfigVersion(wire.version), resources })
    }

    pub(crate) fn encode(&self) -> Bytes {
        let mut hashes: Bytes = self.resources.iter().flat_map(|hash| hash.0).collect();
        let resources = self.resources.iter().map(|hash| hashes.split_to(hash.0.len())).collect();
        WireManifest { version: self.version.0, resources }.encode_to_vec().into()
    }
}

/// Encoded configuration: the manifest and all resources.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Encoded {
    /// Version and manifest hash of the configuration.
    pub head: ConfigHead,
    /// Encoded manifest.
    pub manifest: Bytes,
    /// Encoded resources, in ascending order of their content hashes.
    pub resources: Vec<Bytes>,
}

impl Encoded {
    /// Encodes `resources` as configuration `version`.
    ///
    /// The result doesn't depend on the order of `resources`.
    pub fn new(resources: &[Resource], version: ConfigVersion) -> Self {
        let mut resources: Vec<(ContentHash, Bytes)> =
            resources.iter().map(encode_resource).collect();
        resources.sort();
        let hashes = resources.iter().map(|(hash, _)| *hash).collect();
        let manifest = Manifest { version, resources: hashes }.encode();
        let head = ConfigHead { version, manifest: ContentHash::of(&manifest) };
        Self { head, manifest, resources: resources.into_iter().map(|(_, body)| body).collect() }
    }

    /// Encodes the pack that is stored as the configuration's object.
    pub fn pack(&self) -> Bytes {
        let (manifest, resources) = (self.manifest.clone(), self.resources.clone());
        WirePack { manifest, resources }.encode_to_vec().into()
    }
}

/// Decodes a pack into the manifest and the resources, without checking their hashes.
///
/// The result is empty if the bytes are malformed or exceed [`MAX_PACK_BYTES`].
pub fn unpack(pack: Bytes) -> Vec<Bytes> {
    if pack.len() > MAX_PACK_BYTES {
        return Vec::new();
    }
    match WirePack::decode(pack) {
        Ok(wire) => std::iter::once(wire.manifest).chain(wire.resources).collect(),
        Err(_) => Vec::new(),
    }
}

/// Returns the object store key of the configuration with the given manifest hash.
pub fn object_key(manifest: ContentHash) -> String {
    format!("config/{manifest}")
}

/// Encodes a resource as JSON and hashes it.
fn encode_resource(resource: &Resource) -> (ContentHash, Bytes) {
    let body = serde_json::to_vec(resource).expect("resources serialise");
    (ContentHash::of(&body), body.into())
}

/// Decodes a resource; `None` if the bytes are malformed or of an unknown format.
pub(crate) fn decode_resource(body: &[u8]) -> Option<Resource> {
    serde_json::from_slice(body).ok()
}
