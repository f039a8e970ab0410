//! When each node put a version into force, from the nodes' time lines.

use crate::fleet::Fleet;
use crate::measure::Violations;
use futures::future::join_all;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longest wait for a version, in seconds: the bound on convergence and a margin.
const LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(500);

/// Civil time, in milliseconds, at which each node put a version into force.
pub(super) type InForce = BTreeMap<String, u64>;

/// Waits until `version`, or a higher one, is in force on all of `nodes`, or the limit has passed.
pub(super) async fn wait(fleet: &Fleet, nodes: &[String], version: u64) -> InForce {
    let end = Instant::now() + LIMIT;
    let mut found = InForce::new();
    loop {
        let missing: Vec<&String> = nodes.iter().filter(|n| !found.contains_key(*n)).collect();
        let looks = join_all(missing.iter().map(|node| applied_at(fleet, node, version))).await;
        let seen = missing.iter().zip(looks);
        found.extend(seen.filter_map(|(node, at)| Some(((*node).clone(), at?))));
        if found.len() == nodes.len() || Instant::now() >= end {
            return found;
        }
        monoio::time::sleep(LOOK).await;
    }
}

async fn applied_at(fleet: &Fleet, node: &str, version: u64) -> Option<u64> {
    let events = applied(fleet, node).await?;
    events.into_iter().find(|(applied, _)| *applied >= version).map(|(_, at)| at)
}

/// Versions in the order in which `node` put them into force, each with its civil time.
async fn applied(fleet: &Fleet, node: &str) -> Option<Vec<(u64, u64)>> {
    let answer = fleet.query(node, "timeline?kind=config-applied").await.ok()?;
    let events = answer["events"].as_array()?;
    Some(events.iter().filter_map(event).collect())
}

fn event(event: &Value) -> Option<(u64, u64)> {
    Some((event["config"].as_u64()?, event["at"]["wall"].as_u64()?))
}

/// Steps back that the time lines of all running nodes show.
pub(super) async fn steps_back(fleet: &Fleet) -> Violations {
    let names = fleet.running();
    let lines = join_all(names.iter().map(|name| applied(fleet, name))).await;
    let back =
        |line: Vec<(u64, u64)>| line.windows(2).filter(|pair| pair[1].0 <= pair[0].0).count();
    let config_went_back = lines.into_iter().flatten().map(back).sum();
    Violations { config_went_back, ..Violations::default() }
}
