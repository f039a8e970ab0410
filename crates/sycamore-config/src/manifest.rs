//! Manifests: the content hashes of one configuration's resources.
//!
//! A manifest is a protobuf message, 34 bytes a resource, so that a change costs a node the
//! manifest and the resources it lacks. The object store holds, under the manifest's hash, one
//! object with the manifest and all resources: a change is one put, a fresh node's start one get.

use crate::bundle::MAX_RESOURCES;
use bytes::Bytes;
use prost::Message;
use sycamore_types::prelude::*;

/// Largest manifest, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 160 << 10;
/// Largest encoded resource, in bytes.
pub const MAX_RESOURCE_BYTES: usize = 16 << 10;
/// Largest object that holds a whole configuration, in bytes.
pub const MAX_PACK_BYTES: usize = 4 << 20;

/// The content hashes of one configuration's resources.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Manifest {
    /// The configuration's number.
    pub version: ConfigVersion,
    /// Hashes of the encoded resources, ascending.
    pub resources: Vec<ContentHash>,
}

#[derive(Clone, PartialEq, Message)]
struct WireManifest {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(bytes = "vec", repeated, tag = "2")]
    resources: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
struct WirePack {
    #[prost(bytes = "bytes", tag = "1")]
    manifest: Bytes,
    #[prost(bytes = "bytes", repeated, tag = "2")]
    resources: Vec<Bytes>,
}

impl Manifest {
    /// Reads a manifest; `None` where the bytes are none or break a bound.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_MANIFEST_BYTES {
            return None;
        }
        let wire = WireManifest::decode(bytes).ok()?;
        if wire.resources.len() > MAX_RESOURCES {
            return None;
        }
        let hash = |bytes: Vec<u8>| bytes.try_into().ok().map(ContentHash);
        let resources = wire.resources.into_iter().map(hash).collect::<Option<Vec<_>>>()?;
        resources.is_sorted().then_some(Self { version: ConfigVersion(wire.version), resources })
    }

    fn encode(&self) -> Bytes {
        let resources = self.resources.iter().map(|hash| hash.0.to_vec()).collect();
        WireManifest { version: self.version.0, resources }.encode_to_vec().into()
    }
}

/// A configuration with all of its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Encoded {
    /// Names the configuration.
    pub head: ConfigHead,
    /// The encoded manifest.
    pub manifest: Bytes,
    /// The encoded resources, in the order of their hashes.
    pub resources: Vec<Bytes>,
}

impl Encoded {
    /// Encodes `resources` as configuration `version`; the order in which they are given does not
    /// change a byte.
    pub fn new(resources: &[Resource], version: ConfigVersion) -> Self {
        let mut resources: Vec<(ContentHash, Bytes)> =
            resources.iter().map(encode_resource).collect();
        resources.sort();
        let hashes = resources.iter().map(|(hash, _)| *hash).collect();
        let manifest = Manifest { version, resources: hashes }.encode();
        let head = ConfigHead { version, manifest: ContentHash::of(&manifest) };
        Self { head, manifest, resources: resources.into_iter().map(|(_, body)| body).collect() }
    }

    /// The object that holds it all.
    pub fn pack(&self) -> Bytes {
        let (manifest, resources) = (self.manifest.clone(), self.resources.clone());
        WirePack { manifest, resources }.encode_to_vec().into()
    }
}

/// The manifest and resources in a pack, unverified; empty where the bytes are no pack.
pub fn unpack(pack: Bytes) -> Vec<Bytes> {
    if pack.len() > MAX_PACK_BYTES {
        return Vec::new();
    }
    match WirePack::decode(pack) {
        Ok(wire) => std::iter::once(wire.manifest).chain(wire.resources).collect(),
        Err(_) => Vec::new(),
    }
}

/// The key of the object that holds the configuration with this manifest hash.
pub fn object_key(manifest: ContentHash) -> String {
    format!("config/{manifest}")
}

fn encode_resource(resource: &Resource) -> (ContentHash, Bytes) {
    let body = serde_json::to_vec(resource).expect("resources serialise");
    (ContentHash::of(&body), body.into())
}

/// Reads an encoded resource.
pub(crate) fn decode_resource(body: &[u8]) -> Option<Resource> {
    serde_json::from_slice(body).ok()
}
