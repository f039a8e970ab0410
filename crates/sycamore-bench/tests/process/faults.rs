//! Nodes killed and frozen under load.

use crate::support::{pass, play, small, turn, Outcome};
use nix::sys::signal::Signal;
use std::time::Duration;
use sycamore_bench::fleet::{Fleet, Options};
use sycamore_bench::http;
use sycamore_bench::load::{Call, CallKind, Caller, Ended};
use sycamore_bench::witness::now_us;

/// Nothing ran twice, no refusal was false, no answer was another's or short, and the other
/// upstreams kept serving.
fn assert_kept(outcome: &Outcome) {
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
    assert!(outcome.tally.count(Ended::Ok) > 0, "{}", outcome.tally);
}

#[test]
fn a_killed_node_makes_nothing_run_twice_and_comes_back() {
    let back = std::cell::Cell::new(0);
    let outcome = play(3, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        pass(Duration::from_secs(1)).await;
        fleet.kill_node("counter-1")?;
        pass(Duration::from_secs(2)).await;
        fleet.start_node("counter-1")?;
        fleet.wait_for("the node is ready again", || fleet.is_ready("counter-1")).await?;
        back.set(now_us());
        let served = || async {
            let ledger = fleet.witness().so_far();
            let count = ledger.runs_on("counter-1").filter(|run| run.at_us > back.get()).count();
            count > 0
        };
        fleet.wait_for("work reaches the upstream again", served).await
    });
    assert_kept(&outcome);
}

#[test]
fn a_frozen_node_makes_nothing_run_twice_and_thaws() {
    let thawed = std::cell::Cell::new(0);
    let outcome = play(4, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        pass(Duration::from_secs(1)).await;
        fleet.signal_node("counter-1", Signal::SIGSTOP)?;
        pass(Duration::from_secs(7)).await;
        fleet.signal_node("counter-1", Signal::SIGCONT)?;
        thawed.set(now_us());
        let served = || async {
            let ledger = fleet.witness().so_far();
            let count = ledger.runs_on("counter-1").filter(|run| run.at_us > thawed.get()).count();
            count > 5
        };
        fleet.wait_for("work reaches the upstream again", served).await
    });
    assert_kept(&outcome);
}

#[test]
fn a_killed_upstream_makes_nothing_run_twice() {
    let outcome = play(5, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        pass(Duration::from_secs(1)).await;
        fleet.kill_upstream("counter-1")?;
        pass(Duration::from_secs(2)).await;
        fleet.start_upstream("counter-1")?;
        pass(Duration::from_secs(1)).await;
        Ok(())
    });
    assert_kept(&outcome);
}

#[test]
fn a_repeat_that_lay_in_a_frozen_node_for_longer_than_its_key_is_kept_is_not_run() {
    let _turn = turn();
    let _limit = sycamore_bench::fleet::guard::limit_run(Duration::from_secs(120));
    http::run(async {
        let (memory, lag) = (Duration::from_secs(2), Duration::from_secs(1));
        let settings = [("key_memory", memory), ("view_lag", lag)]
            .map(|(key, time)| ("calls".into(), key.into(), format!("{}s", time.as_secs())));
        let options = Options { seed: 7302, settings: settings.into(), ..small() };
        let fleet = Fleet::start(options).await.expect("the fleet starts");
        pass(memory + lag).await;
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
        let thaw = async {
            pass(memory + lag).await;
            fleet.signal_node("counter-1", Signal::SIGCONT).expect("a node runs");
        };
        let repeat = Call { addrs: vec![addr("counter-1")], ..call.clone() };
        let (record, ()) = futures::join!(caller.send(&repeat), thaw);
        assert_eq!(record.ended, Ended::Unknown, "{record:?}");
        let ledger = fleet.witness().ledger().await;
        assert_eq!(ledger.runs().get("lay-unread").map_or(0, Vec::len), 1);
        fleet.stop().await;
    });
}
