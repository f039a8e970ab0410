//! The operator query `config`: the configuration in force on this node.

use super::driver::{Driver, Rejected};
use crate::operator::OperatorError;
use serde::Serialize;
use serde_json::Value;
use sycamore_types::prelude::*;

/// Answer to the query `config`.
#[derive(Serialize)]
struct Answer {
    version: ConfigVersion,
    manifest: Option<ContentHash>,
    floor: Option<ConfigVersion>,
    resources: Vec<Resource>,
    rejected: Vec<RejectedAnswer>,
}

/// Rejected configuration head in the answer to the query `config`.
#[derive(Serialize)]
struct RejectedAnswer {
    version: ConfigVersion,
    manifest: ContentHash,
    reason: String,
}

impl From<&Rejected> for RejectedAnswer {
    fn from(rejected: &Rejected) -> Self {
        Self {
            version: rejected.head.version,
            manifest: rejected.head.manifest,
            reason: rejected.reason.clone(),
        }
    }
}

/// Answers the query `config`: the configuration in force and the latest rejected heads.
///
/// # Errors
/// [`OperatorError::NotFound`] if this node has no configuration yet.
pub(super) fn config(driver: &Driver) -> Result<Value, OperatorError> {
    if driver.with_state(|apply| apply.in_force()).is_none() {
        return Err(OperatorError::NotFound("configuration".to_owned()));
    }
    let snapshot = driver.hub.snapshot.borrow().clone();
    let answer = Answer {
        version: snapshot.version,
        manifest: driver.with_state(|apply| apply.head()).map(|head| head.manifest),
        floor: driver.floor(),
        resources: resources(&snapshot),
        rejected: driver.rejected.borrow().iter().map(RejectedAnswer::from).collect(),
    };
    Ok(serde_json::to_value(answer).unwrap_or_default())
}

fn resources(snapshot: &Snapshot) -> Vec<Resource> {
    let services = snapshot.services.values().cloned().map(Resource::Service);
    let routes = snapshot.routes.iter().cloned().map(Resource::Route);
    let limits = (snapshot.callers != CallerLimits::default())
        .then(|| Resource::Callers(snapshot.callers.clone()));
    // Whoever reads the configuration must not learn which keys open it.
    let accounts = snapshot.accounts.iter().cloned();
    let accounts = accounts.map(|account| ClientAccount { keys: Vec::new(), ..account });
    services.chain(routes).chain(limits).chain(accounts.map(Resource::Account)).collect()
}
