//! Checks the configurations that a fleet's nodes use.

use super::Fleet;
use crate::measure::Violations;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time between two queries of all nodes.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Versions and violations seen so far.
#[derive(Debug, Default)]
struct Seen {
    /// Highest version seen on each instance.
    versions: BTreeMap<String, u64>,
    /// Manifest first seen with each version.
    manifests: BTreeMap<u64, String>,
    violations: Violations,
}

/// Checker that queries the configuration of every running node periodically and counts violations.
#[derive(Debug, Default)]
pub struct ConfigWatch {
    seen: RefCell<Seen>,
}

impl ConfigWatch {
    /// Queries all nodes of `fleet` periodically until the future is dropped.
    pub async fn run(&self, fleet: &Fleet) {
        loop {
            self.check_once(fleet).await;
            monoio::time::sleep(QUERY_INTERVAL).await;
        }
    }

    /// Queries all running nodes once; skips nodes that don't answer or have no configuration yet.
    pub async fn check_once(&self, fleet: &Fleet) {
        let names = fleet.running();
        let queries = names.iter().map(|name| fleet.query(name, "config"));
        let answers = futures::future::join_all(queries).await;
        for (name, answer) in names.iter().zip(answers) {
            if let Ok(config) = answer {
                self.seen.borrow_mut().check(name, &config);
            }
        }
    }

    /// Returns whether every running node of `fleet` has been seen with `version` or a higher one.
    pub fn all_at(&self, fleet: &Fleet, version: u64) -> bool {
        let seen = self.seen.borrow();
        fleet.running().iter().all(|name| seen.versions.get(name).is_some_and(|v| *v >= version))
    }

    /// Returns the number of violations of each kind seen so far.
    pub fn violations(&self) -> Violations {
        self.seen.borrow().violations
    }
}

impl Seen {
    /// Compares a configuration of `instance` with those seen before and counts its violations.
    fn check(&mut self, instance: &str, config: &Value) {
        let version = config["version"].as_u64().unwrap_or(0);
        if version == 0 {
            return;
        }
        let highest = self.versions.entry(instance.to_owned()).or_default();
        if version < *highest {
            self.violations.config_went_back += 1;
        }
        *highest = version.max(*highest);
        let manifest = config["manifest"].as_str().unwrap_or_default().to_owned();
        let first = self.manifests.entry(version).or_insert_with(|| manifest.clone());
        self.violations.partial_apply += usize::from(*first != manifest);
        self.violations.dangling_route += count_dangling_routes(config);
    }
}

/// Counts the routes of a configuration whose service is not among its resources.
fn count_dangling_routes(config: &Value) -> usize {
    let none = Vec::new();
    let resources = config["resources"].as_array().unwrap_or(&none);
    let of_kind = |kind: &'static str| resources.iter().filter(move |r| r["kind"] == kind);
    let services: BTreeSet<&str> =
        of_kind("service").filter_map(|service| service["name"].as_str()).collect();
    of_kind("route").filter(|r| !services.contains(r["service"].as_str().unwrap_or(""))).count()
}
