//! Times at which nodes applied a configuration version, read from the nodes' timelines.

use crate::fleet::Fleet;
use crate::measure::Violations;
use futures::future::join_all;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longest wait until every node has applied a version: the bound on convergence plus a margin.
const LIMIT: Duration = Duration::from_secs(20);
/// Time between two queries of a node's timeline.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Wall-clock time, in milliseconds since the Unix epoch, at which each node applied a version, by
/// instance.
pub(super) type AppliedAt = BTreeMap<String, u64>;

/// Waits until every node of `nodes` has applied `version` or a higher one, or [`LIMIT`] has
/// passed. Nodes that have not are absent from the result.
pub(super) async fn wait_until_applied(fleet: &Fleet, nodes: &[String], version: u64) -> AppliedAt {
    let end = Instant::now() + LIMIT;
    let mut found = AppliedAt::new();
    loop {
        let missing: Vec<&String> = nodes.iter().filter(|n| !found.contains_key(*n)).collect();
        let times = join_all(missing.iter().map(|node| applied_at(fleet, node, version))).await;
        let seen = missing.iter().zip(times);
        found.extend(seen.filter_map(|(node, at)| Some(((*node).clone(), at?))));
        if found.len() == nodes.len() || Instant::now() >= end {
            return found;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn applied_at(fleet: &Fleet, node: &str, version: u64) -> Option<u64> {
    let events = applied(fleet, node).await?;
    events.into_iter().find(|(applied, _)| *applied >= version).map(|(_, at)| at)
}

/// Returns the versions that `node` applied, in order, each with its wall-clock time in
/// milliseconds; `None` for a node that doesn't answer.
async fn applied(fleet: &Fleet, node: &str) -> Option<Vec<(u64, u64)>> {
    let answer = fleet.query(node, "timeline?kind=config-applied").await.ok()?;
    let events = answer["events"].as_array()?;
    Some(events.iter().filter_map(version_and_time).collect())
}

fn version_and_time(event: &Value) -> Option<(u64, u64)> {
    Some((event["config"].as_u64()?, event["at"]["wall"].as_u64()?))
}

/// Counts the times that a node's timeline shows a version applied that is not higher than the one
/// before, over all running nodes.
pub(super) async fn count_regressions(fleet: &Fleet) -> Violations {
    let names = fleet.running();
    let lines = join_all(names.iter().map(|name| applied(fleet, name))).await;
    let regressions =
        |line: Vec<(u64, u64)>| line.windows(2).filter(|pair| pair[1].0 <= pair[0].0).count();
    let config_went_back = lines.into_iter().flatten().map(regressions).sum();
    Violations { config_went_back, ..Violations::default() }
}
