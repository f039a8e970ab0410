//! A configuration changed while the platform fails.

use crate::support::{pass, play};
use serde_json::json;
use std::time::Duration;
use sycamore_bench::fleet::Fleet;
use sycamore_bench::load::Ended;
use sycamore_bench::stand_in::platform::Control;
use sycamore_bench::Result;

fn changed(fleet: &Fleet) -> Vec<serde_json::Value> {
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

#[test]
fn an_outage_during_a_change_neither_stops_calls_nor_loses_the_change() {
    let outcome = play(8, &[], async |fleet| {
        let before = version_of(fleet, "counter-1").await.unwrap_or(0);
        let outage = Control { outage_ms: Some(4_000), ..Control::default() };
        fleet.control_platform(&outage).await?;
        pass(Duration::from_secs(1)).await;
        let version = fleet.apply_resources("test", changed(fleet)).await?;
        assert!(version > before);
        wait_for_version(fleet, version).await
    });
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
    assert_eq!(outcome.tally.count(Ended::Unknown), 0, "{}", outcome.tally);
}

#[test]
fn a_lost_answer_accepts_a_change_once() {
    let outcome = play(9, &[], async |fleet| {
        let before = version_of(fleet, "counter-1").await.unwrap_or(0);
        let lost = Control { lost_answers: Some(2), ..Control::default() };
        fleet.control_platform(&lost).await?;
        let version = fleet.apply_resources("test", changed(fleet)).await?;
        assert_eq!(version, before + 1);
        wait_for_version(fleet, version).await?;
        pass(Duration::from_secs(2)).await;
        wait_for_version(fleet, version).await
    });
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
}
