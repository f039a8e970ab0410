//! Acceptance of configurations: racing operators, and a node that starts in a platform outage.

use crate::support::run_under_load;
use futures::future::join;
use serde_json::{json, Value};
use sycamore_bench::fleet::Fleet;
use sycamore_bench::stand_in::platform::Control;

fn command(fleet: &Fleet, operator: &str, op: u128, expect: u64) -> Value {
    json!({
        "operator": operator, "op": format!("{op:032x}"), "expect": expect,
        "resources": fleet.options().deployment.resources(),
    })
}

async fn version_of(fleet: &Fleet, instance: &str) -> Option<u64> {
    fleet.query(instance, "config").await.ok()?["version"].as_u64()
}

/// Guards against two operators who both replace the same version, each from another node, so that
/// one configuration is lost without notice.
#[test]
fn of_two_racing_operators_one_is_accepted_and_the_other_learns_the_winner() {
    let outcome = run_under_load(11, &[], async |fleet| {
        let before = version_of(fleet, "counter-1").await.unwrap_or(0);
        let (first, second) =
            (command(fleet, "ana", 1, before), command(fleet, "rahim", 2, before));
        let (one, two) = join(
            fleet.command("counter-1", "config-apply", &first),
            fleet.command("intake-1", "config-apply", &second),
        )
        .await;
        let (won, lost, winner) = match (one, two) {
            (Ok(won), Err(lost)) => (won, lost, "ana"),
            (Err(lost), Ok(won)) => (won, lost, "rahim"),
            other => panic!("not exactly one was accepted: {other:?}"),
        };
        assert_eq!(won["version"].as_u64(), Some(before + 1));
        let refusal = format!("{lost:?}");
        assert!(refusal.contains("409") && refusal.contains(winner), "{refusal}");
        Ok(())
    });
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
}

/// Guards against a node that was down during a change, restarts in a platform outage and serves
/// the version before the change.
#[test]
fn a_node_that_starts_in_an_outage_serves_the_latest_version() {
    let outcome = run_under_load(12, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        let before = version_of(fleet, "counter-1").await.unwrap_or(0);
        fleet.kill_node("counter-1")?;
        let version = fleet.apply_resources("test", fleet.options().deployment.resources()).await?;
        assert_eq!(version, before + 1);
        let outage = Control { outage_ms: Some(60_000), ..Control::default() };
        fleet.control_platform(&outage).await?;
        fleet.start_node("counter-1")?;
        fleet.wait_for("the node is ready", || fleet.is_ready("counter-1")).await?;
        assert_eq!(version_of(fleet, "counter-1").await, Some(version));
        let over = Control { outage_ms: Some(0), ..Control::default() };
        fleet.control_platform(&over).await.map(|_| ())
    });
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
}
