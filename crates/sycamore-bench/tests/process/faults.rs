//! Nodes and upstreams that are killed or paused under load.

use crate::support::{fleet_permit, run_under_load, sleep, small_fleet, Outcome};
use nix::sys::signal::Signal;
use std::time::Duration;
use sycamore_bench::fleet::{Fleet, Options};
use sycamore_bench::http;
use sycamore_bench::load::{Call, CallKind, Caller, Ended};
use sycamore_bench::witness::now_us;

/// Asserts that no call ran twice, no refused call ran, no answer was another call's or truncated,
/// and the other upstreams kept serving.
fn assert_no_violations_and_service(outcome: &Outcome) {
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
    assert!(outcome.tally.count(Ended::Ok) > 0, "{}", outcome.tally);
}

/// Guards against calls that run twice because the node that forwarded them was killed, and against
/// a restarted node that gets no more calls.
#[test]
fn a_killed_node_causes_no_second_run_and_serves_after_its_restart() {
    let restarted_us = std::cell::Cell::new(0);
    let outcome = run_under_load(3, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        sleep(Duration::from_secs(1)).await;
        fleet.kill_node("counter-1")?;
        sleep(Duration::from_secs(2)).await;
        fleet.start_node("counter-1")?;
        fleet.wait_for("the node is ready again", || fleet.is_ready("counter-1")).await?;
        restarted_us.set(now_us());
        let served = || async {
            let ledger = fleet.witness().so_far();
            let count =
                ledger.runs_on("counter-1").filter(|run| run.at_us > restarted_us.get()).count();
            count > 0
        };
        fleet.wait_for("work reaches the upstream again", served).await
    });
    assert_no_violations_and_service(&outcome);
}

/// Guards against calls that run twice because their node was paused for 7 seconds, and against a
/// resumed node that gets no more calls.
#[test]
fn a_paused_node_causes_no_second_run_and_serves_after_it_resumes() {
    let resumed_us = std::cell::Cell::new(0);
    let outcome = run_under_load(4, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        sleep(Duration::from_secs(1)).await;
        fleet.signal_node("counter-1", Signal::SIGSTOP)?;
        sleep(Duration::from_secs(7)).await;
        fleet.signal_node("counter-1", Signal::SIGCONT)?;
        resumed_us.set(now_us());
        let served = || async {
            let ledger = fleet.witness().so_far();
            let count =
                ledger.runs_on("counter-1").filter(|run| run.at_us > resumed_us.get()).count();
            count > 5
        };
        fleet.wait_for("work reaches the upstream again", served).await
    });
    assert_no_violations_and_service(&outcome);
}

/// Guards against calls that run twice because their upstream was killed while they were in
/// progress.
#[test]
fn a_killed_upstream_causes_no_second_run() {
    let outcome = run_under_load(5, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        sleep(Duration::from_secs(1)).await;
        fleet.kill_upstream("counter-1")?;
        sleep(Duration::from_secs(2)).await;
        fleet.start_upstream("counter-1")?;
        sleep(Duration::from_secs(1)).await;
        Ok(())
    });
    assert_no_violations_and_service(&outcome);
}

/// Guards against a second run of a call with an idempotency key: the repeat waits unread in a
/// paused node until the other nodes have forgotten the key.
#[test]
fn a_repeat_that_waited_in_a_paused_node_beyond_key_memory_is_not_run() {
    let _permit = fleet_permit();
    let _limit = sycamore_bench::fleet::guard::limit_run(Duration::from_secs(120));
    http::run(async {
        let (memory, lag) = (Duration::from_secs(2), Duration::from_secs(1));
        let settings = [("key_memory", memory), ("view_lag", lag)]
            .map(|(key, time)| ("calls".into(), key.into(), format!("{}s", time.as_secs())));
        let options = Options { seed: 7302, settings: settings.into(), ..small_fleet() };
        let fleet = Fleet::start(options).await.expect("the fleet starts");
        sleep(memory + lag).await;
        let addr = |name| fleet.addrs(name).expect("an instance").caller;
        let kind = CallKind::repeated("intake");
        let call = Call {
            kind: &kind,
            index: 0,
            token: "lay-unread".into(),
            caller: "caller-1".into(),
            limit: Duration::from_secs(10),
            addrs: vec![addr("intake-1")],
        };
        let caller = Caller::default();
        assert_eq!(caller.send(&call).await.ended, Ended::Ok);
        fleet.signal_node("counter-1", Signal::SIGSTOP).expect("a node runs");
        let resume = async {
            sleep(memory + lag).await;
            fleet.signal_node("counter-1", Signal::SIGCONT).expect("a node runs");
        };
        let repeat = Call { addrs: vec![addr("counter-1")], ..call.clone() };
        let (record, ()) = futures::join!(caller.send(&repeat), resume);
        assert_eq!(record.ended, Ended::Unknown, "{record:?}");
        let ledger = fleet.witness().ledger().await;
        assert_eq!(ledger.runs().get("lay-unread").map_or(0, Vec::len), 1);
        fleet.stop().await;
    });
}
