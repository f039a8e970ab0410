//! Operators who race, and a node that starts while the platform is out.

use crate::support::play;
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

#[test]
fn of_two_racing_operators_one_wins_and_the_other_is_told_who() {
    let outcome = play(11, &[], async |fleet| {
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
        let told = format!("{lost:?}");
        assert!(told.contains("409") && told.contains(winner), "{told}");
        Ok(())
    });
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
}

#[test]
fn a_node_that_starts_in_an_outage_serves_no_older_version() {
    let outcome = play(12, &["intake-1", "intake-2", "counter-2"], async |fleet| {
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
