//! Graceful shutdown under load.

use crate::support::{fleet_permit, run_under_load, sleep, small_fleet};
use nix::sys::signal::Signal;
use std::time::Duration;
use sycamore_bench::fleet::{Fleet, Options};
use sycamore_bench::http;
use sycamore_bench::load::{Call, CallKind, Caller, Ended, Tally};

/// Longest time after the start of an upstream's drain in which requests may reach it, in
/// microseconds.
const DRAIN_ALLOWED_US: u64 = 3_000_000;

/// Reason of the answer to a call whose key has just changed its owner: the call was not admitted
/// anywhere, and what an earlier owner did with the key is not known.
const KEY_UNKNOWN: &str = "key-unknown";

/// Asserts that every call got an answer from which the caller knows whether the call ran, or the
/// answer [`KEY_UNKNOWN`]. A refusal for lack of capacity is such an answer: the call did not run.
fn assert_nothing_cut(tally: &Tally) {
    let cut = [Ended::Cut, Ended::NoAnswer, Ended::Unknown, Ended::TimedOut, Ended::Failed];
    let cut = tally.records().iter().filter(|r| cut.contains(&r.ended));
    let bad: Vec<_> = cut.filter(|r| r.reason.as_deref() != Some(KEY_UNKNOWN)).collect();
    assert!(bad.is_empty(), "{bad:?}");
}

/// Guards against calls that are cut off when a node is stopped by SIGTERM, and against a node that
/// never ends.
#[test]
fn a_node_stopped_by_sigterm_cuts_no_call() {
    let outcome = run_under_load(6, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        sleep(Duration::from_secs(1)).await;
        fleet.signal_node("counter-1", Signal::SIGTERM)?;
        let ended = || async { fleet.node_ended("counter-1") == Some(true) };
        fleet.wait_for("the node ends by itself", ended).await?;
        sleep(Duration::from_secs(1)).await;
        Ok(())
    });
    assert_nothing_cut(&outcome.tally);
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
}

/// Guards against requests that reach an upstream after its drain, and against calls that are cut
/// off by the drain.
#[test]
fn a_draining_upstream_gets_no_new_requests_and_cuts_no_call() {
    let outcome = run_under_load(7, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        sleep(Duration::from_secs(1)).await;
        fleet.signal_upstream("counter-1", Signal::SIGTERM)?;
        sleep(Duration::from_secs(6)).await;
        Ok(())
    });
    assert_nothing_cut(&outcome.tally);
    assert_eq!(outcome.ledger.runs_after_drain(DRAIN_ALLOWED_US), 0);
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
}

/// Guards against a stopping node that refuses calls within its drain notice, runs calls that
/// arrive after it, or cuts off a call in progress.
#[test]
fn a_stopping_node_admits_calls_until_its_notice_ends_and_finishes_them() {
    let _permit = fleet_permit();
    let _limit = sycamore_bench::fleet::guard::limit_run(Duration::from_secs(120));
    http::run(async {
        let fleet =
            Fleet::start(Options { seed: 10, ..small_fleet() }).await.expect("the fleet starts");
        let notice = sycamore_settings::calls::Calls::default().drain_notice;
        let work = |ms: u64| CallKind { work_us: Some(ms * 1_000), ..CallKind::booking("intake") };
        let send = async |kind: &CallKind, token: &str, after: Duration| {
            sleep(after).await;
            let call = Call {
                kind,
                index: 0,
                token: token.into(),
                caller: "caller-1".into(),
                limit: Duration::from_secs(10),
                addrs: vec![fleet.addrs("counter-1").expect("an instance").caller],
            };
            // Opens a connection of its own: the earlier one stays busy until its answer.
            Caller::default().send(&call).await.ended
        };
        let stop = async {
            sleep(Duration::from_millis(200)).await;
            fleet.signal_node("counter-1", Signal::SIGTERM).expect("the node runs");
        };
        let (long, quick) = (work(2_500), work(10));
        let during = Duration::from_millis(200) + notice / 2;
        let after = Duration::from_millis(200) + notice + Duration::from_millis(700);
        let (first, during, after, ()) = futures::join!(
            send(&long, "under-way", Duration::ZERO),
            send(&quick, "in-notice", during),
            send(&quick, "after-notice", after),
            stop
        );
        assert_eq!((first, during), (Ended::Ok, Ended::Ok));
        let rejections = [Ended::NotConnected, Ended::NoAnswer, Ended::Refused];
        assert!(rejections.contains(&after), "{after:?}");
        let ledger = fleet.witness().ledger().await;
        assert!(
            !ledger.runs().contains_key("after-notice"),
            "a call ran that arrived after the notice"
        );
        let ended = || async { fleet.node_ended("counter-1") == Some(true) };
        fleet.wait_for("the node ends by itself", ended).await.expect("it ends");
        fleet.stop().await;
    });
}
