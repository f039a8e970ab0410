//! Configuration changes while the platform is out or loses answers.

use crate::support::{run_under_load, sleep};
use serde_json::json;
use std::time::Duration;
use sycamore_bench::fleet::Fleet;
use sycamore_bench::load::Ended;
use sycamore_bench::stand_in::platform::Control;
use sycamore_bench::Result;

/// Returns the deployment's resources with another timeout on every route.
fn changed_resources(fleet: &Fleet) -> Vec<serde_json::Value> {
    let mut resources = fleet.options().deployment.resources();
    for route in resources.iter_mut().filter(|resource| resource["kind"] == "route") {
        route["timeout_ms"] = json!(4_500);
    }
    resources
}

async fn version_of(fleet: &Fleet, instance: &str) -> Option<u64> {
    fleet.query(instance, "config").await.ok()?["version"].as_u64()
}

async fn wait_for_version(fleet: &Fleet, version: u64) -> Result<()> {
    for name in fleet.running() {
        let at = || async { version_of(fleet, &name).await == Some(version) };
        fleet.wait_for(&format!("configuration {version} on {name}"), at).await?;
    }
    Ok(())
}

/// Guards against a command that is lost, and against calls that fail, because the platform is out
/// for 4 seconds when the command arrives.
#[test]
fn an_outage_during_a_change_neither_stops_calls_nor_loses_the_change() {
    let outcome = run_under_load(8, &[], async |fleet| {
        let before = version_of(fleet, "counter-1").await.unwrap_or(0);
        let outage = Control { outage_ms: Some(4_000), ..Control::default() };
        fleet.control_platform(&outage).await?;
        sleep(Duration::from_secs(1)).await;
        let version = fleet.apply_resources("test", changed_resources(fleet)).await?;
        assert!(version > before);
        wait_for_version(fleet, version).await
    });
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
    assert_eq!(outcome.tally.count(Ended::Unknown), 0, "{}", outcome.tally);
}

/// Guards against a change that is accepted twice, as two versions, because the node repeats a
/// write whose answer was lost.
#[test]
fn a_change_is_accepted_once_when_the_platform_loses_answers() {
    let outcome = run_under_load(9, &[], async |fleet| {
        let before = version_of(fleet, "counter-1").await.unwrap_or(0);
        let lost = Control { lost_answers: Some(2), ..Control::default() };
        fleet.control_platform(&lost).await?;
        let version = fleet.apply_resources("test", changed_resources(fleet)).await?;
        assert_eq!(version, before + 1);
        wait_for_version(fleet, version).await?;
        sleep(Duration::from_secs(2)).await;
        wait_for_version(fleet, version).await
    });
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
}
