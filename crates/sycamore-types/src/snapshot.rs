//! A configuration in force: whole, checked and immutable.

use crate::id::{ConfigVersion, ServiceName};
use crate::resource::{Route, Service};
use std::collections::BTreeMap;

/// A whole configuration. Every route's service is in `services`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// Its number.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes, longest prefix first.
    pub routes: Vec<Route>,
}

impl Snapshot {
    /// The route that `path` takes: the one with the longest prefix that ends at a path segment.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| matches_prefix(path, &route.prefix))
    }
}

fn matches_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        None => false,
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?']),
    }
}
