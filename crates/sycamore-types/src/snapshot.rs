//! Immutable snapshot of a validated configuration.

use crate::account::AccountTable;
use crate::id::{ConfigVersion, ServiceName};
use crate::resource::{CallerLimits, Route, Service};
use crate::route_table::RouteTable;
use std::collections::BTreeMap;

/// Complete configuration; the service of every route is in `services`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// Number of the configuration.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes, longest prefix first; of equal prefixes, those with a host first.
    pub routes: RouteTable,
    /// Limits on what callers may send.
    pub callers: CallerLimits,
    /// Client accounts; calls need no key where there are none.
    pub accounts: AccountTable,
}

impl Snapshot {
    /// Finds the route of a call for `path` at `host`: of the routes for this host or every host,
    /// the one with the longest prefix that ends at a path segment. The port and the case of `host`
    /// are ignored (RFC 9110, section 4.2.3).
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.find(without_port(host), path)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
