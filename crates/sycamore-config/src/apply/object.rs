//! Verified objects of configurations.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use sycamore_types::prelude::*;

/// Verified objects by content hash.
pub(super) type ObjectMap = BTreeMap<ContentHash, Object>;

/// Verified bytes of a manifest or a resource.
#[derive(Debug, Clone)]
pub(super) struct Object {
    pub(super) body: Bytes,
    /// Resource that `body` encodes; `None` for a manifest, and before the resource's configuration
    /// is complete.
    pub(super) resource: Option<Arc<Resource>>,
}

impl Object {
    /// Copies `body`, so that it doesn't keep the larger receive buffer alive.
    pub(super) fn copy_of(body: &Bytes) -> Self {
        Self { body: Bytes::copy_from_slice(body), resource: None }
    }

    /// Returns the object with the resource that its body encodes.
    pub(super) fn with_resource(&self, resource: Arc<Resource>) -> Self {
        Self { body: self.body.clone(), resource: Some(resource) }
    }
}

/// The decoded resource is left out, as the body determines it.
impl PartialEq for Object {
    fn eq(&self, other: &Self) -> bool {
        self.body == other.body
    }
}

impl Eq for Object {}

impl Hash for Object {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.body.hash(state);
    }
}

/// Returns each of the ascending `hashes` with its object in the first of `maps` that has one.
///
/// Maps are walked along with the hashes, since a search for each of thousands of hashes costs
/// several times as much.
pub(super) fn find_objects<'a>(
    hashes: &'a [ContentHash],
    maps: [&'a ObjectMap; 2],
) -> impl Iterator<Item = (ContentHash, Option<&'a Object>)> {
    let mut maps = maps.map(|map| map.iter().peekable());
    hashes.iter().map(move |hash| {
        let object = maps.iter_mut().find_map(|objects| {
            while objects.next_if(|(key, _)| *key < hash).is_some() {}
            objects.peek().filter(|(key, _)| *key == hash).map(|(_, object)| *object)
        });
        (*hash, object)
    })
}
