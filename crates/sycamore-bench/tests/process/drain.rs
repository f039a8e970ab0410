//! Graceful shutdown under load.

use crate::support::{pass, play, small, turn};
use nix::sys::signal::Signal;
use std::time::Duration;
use sycamore_bench::fleet::{Fleet, Options};
use sycamore_bench::http;
use sycamore_bench::load::{Call, CallKind, Caller, Ended, Tally};

/// Time that work may still reach an upstream that leaves, in microseconds.
const ALLOWED_US: u64 = 3_000_000;

/// The answer to a key whose owner just changed: the call was not admitted anywhere, and what an
/// earlier owner did with the key is not known.
const KEY_UNKNOWN: &str = "key-unknown";

/// Every call was answered; one that was refused for want of capacity did not run.
fn assert_nothing_cut(tally: &Tally) {
    let cut = [Ended::Cut, Ended::NoAnswer, Ended::Unknown, Ended::TimedOut, Ended::Failed];
    let cut = tally.records().iter().filter(|r| cut.contains(&r.ended));
    let bad: Vec<_> = cut.filter(|r| r.reason.as_deref() != Some(KEY_UNKNOWN)).collect();
    assert!(bad.is_empty(), "{bad:?}");
}

#[test]
fn a_node_told_to_stop_cuts_nothing() {
    let outcome = play(6, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        pass(Duration::from_secs(1)).await;
        fleet.signal_node("counter-1", Signal::SIGTERM)?;
        let ended = || async { fleet.node_ended("counter-1") == Some(true) };
        fleet.wait_for("the node ends by itself", ended).await?;
        pass(Duration::from_secs(1)).await;
        Ok(())
    });
    assert_nothing_cut(&outcome.tally);
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
}

#[test]
fn a_leaving_upstream_gets_nothing_new_and_nothing_is_cut() {
    let outcome = play(7, &["intake-1", "intake-2", "counter-2"], async |fleet| {
        pass(Duration::from_secs(1)).await;
        fleet.signal_upstream("counter-1", Signal::SIGTERM)?;
        pass(Duration::from_secs(6)).await;
        Ok(())
    });
    assert_nothing_cut(&outcome.tally);
    assert_eq!(outcome.ledger.runs_after_drain(ALLOWED_US), 0);
    assert_eq!(outcome.violations.total(), 0, "{:?}", outcome.violations);
}

#[test]
fn a_node_that_stops_takes_nothing_new_after_its_notice_and_answers_what_it_has() {
    let _turn = turn();
    let _limit = sycamore_bench::fleet::guard::limit_run(Duration::from_secs(120));
    http::run(async {
        let fleet = Fleet::start(Options { seed: 10, ..small() }).await.expect("the fleet starts");
        let notice = sycamore_settings::calls::Calls::default().drain_notice;
        let work = |ms: u64| CallKind { work_us: Some(ms * 1_000), ..CallKind::booking("intake") };
        let send = async |kind: &CallKind, token: &str, after: Duration| {
            pass(after).await;
            let call = Call {
                kind,
                index: 0,
                token: token.into(),
                caller: "caller-1".into(),
                limit: Duration::from_secs(10),
                addrs: vec![fleet.addrs("counter-1").expect("an instance").caller],
            };
            // A connection of its own: the one that was open goes on to its answer.
            Caller::default().send(&call).await.ended
        };
        let stop = async {
            pass(Duration::from_millis(200)).await;
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
        let turned_away = [Ended::NotConnected, Ended::NoAnswer, Ended::Refused];
        assert!(turned_away.contains(&after), "{after:?}");
        let ledger = fleet.witness().ledger().await;
        assert!(!ledger.runs().contains_key("after-notice"), "it ran");
        let ended = || async { fleet.node_ended("counter-1") == Some(true) };
        fleet.wait_for("the node ends by itself", ended).await.expect("it ends");
        fleet.stop().await;
    });
}
