//! The cause of a failed call is found from its identifier alone, in the logs of the nodes.

use crate::support::{pass, small, turn};
use futures::future::{join, join_all};
use std::time::Duration;
use sycamore_bench::fleet::{Fleet, Options};
use sycamore_bench::http;
use sycamore_bench::load::{Call, CallKind, Caller, Ended, Record};
use sycamore_bench::stand_in::upstream;

/// Time in which lines reach their files.
const WRITTEN: Duration = Duration::from_millis(500);

/// Plays `story` on a fleet whose upstreams run `slots` calls at once.
fn play(slots: u16, story: impl AsyncFnOnce(&Fleet)) {
    let _turn = turn();
    let _limit = sycamore_bench::fleet::guard::limit_run(Duration::from_secs(120));
    http::run(async {
        let mut options = Options { seed: 9, ..small() };
        options.deployment.slots = slots;
        options.upstream = upstream::Options { queue: 0, ..options.upstream };
        let fleet = Fleet::start(options).await.expect("the fleet starts");
        story(&fleet).await;
        fleet.stop().await;
    });
}

async fn send(fleet: &Fleet, at: &str, kind: &CallKind, id: &str) -> Record {
    let call = Call {
        kind,
        index: 0,
        token: id.into(),
        caller: "caller-1".into(),
        limit: Duration::from_secs(10),
        addrs: vec![fleet.addrs(at).expect("an instance").caller],
    };
    Caller::default().send(&call).await
}

/// The line about `id` that has every one of `words`.
async fn found(fleet: &Fleet, id: &str, words: &[&str]) -> String {
    pass(WRITTEN).await;
    let lines = fleet.trace(id).expect("the log names it");
    let line = lines.lines().find(|line| words.iter().all(|word| line.contains(word)));
    line.unwrap_or_else(|| panic!("{words:?} is not in:\n{lines}")).to_owned()
}

#[test]
fn a_call_refused_for_load_shows_the_full_upstream() {
    play(1, async |fleet| {
        let kind = CallKind { timeout_ms: Some(800), ..CallKind::lookup("counter") };
        let full = join_all((0..40).map(|i| async move {
            let slow = CallKind { timeout_ms: Some(4_000), ..CallKind::booking("counter") };
            let slow = CallKind { work_us: Some(1_500_000), ..slow };
            send(fleet, "intake-1", &slow, &format!("fill-{i}")).await
        }));
        let one = async {
            pass(Duration::from_millis(300)).await;
            send(fleet, "intake-2", &kind, "turned-away").await
        };
        let (_, record) = join(full, one).await;
        assert_eq!(record.ended, Ended::Refused, "{record:?}");
        found(fleet, "turned-away", &["call refused", "reason=overloaded"]).await;
        // The figures of the node that decided: running, limit and queued.
        found(fleet, "turned-away", &["instance=counter-", "beside=1/1/"]).await;
    });
}

#[test]
fn an_unknown_outcome_shows_the_upstream_that_died() {
    play(12, async |fleet| {
        let kind = CallKind { work_us: Some(3_000_000), ..CallKind::booking("counter") };
        let call = send(fleet, "intake-1", &kind, "lost");
        let killed = async {
            pass(Duration::from_secs(1)).await;
            let ledger = fleet.witness().so_far();
            let runs = ledger.runs();
            let at = runs["lost"][0].instance.clone();
            fleet.kill_upstream(&at).expect("an instance");
            at
        };
        let (record, at) = join(call, killed).await;
        assert_eq!(record.ended, Ended::Unknown, "{record:?}");
        found(fleet, "lost", &["run ended", &format!("instance={at}"), "end=broken"]).await;
        found(fleet, "lost", &["call failed", "instance=intake-1"]).await;
    });
}

#[test]
fn a_time_limit_shows_the_slow_dependency() {
    play(12, async |fleet| {
        // The upstreams of the second service are paused: what they are asked takes for ever.
        for name in fleet.of_service("intake") {
            let stop = nix::sys::signal::Signal::SIGSTOP;
            fleet.signal_upstream(&name, stop).expect("an upstream runs");
        }
        let kind = CallKind { timeout_ms: Some(900), ..CallKind::chained("counter", "intake") };
        let record = send(fleet, "counter-1", &kind, "waited").await;
        assert_ne!(record.ended, Ended::Ok, "{record:?}");
        // The call that it made is the one that nobody answered, beside an upstream of intake.
        let words = ["request=waited.1", "run ended", "instance=intake-"];
        let line = found(fleet, "waited", &words).await;
        let took = line.split("took_ms=").nth(1).and_then(|rest| rest.split(' ').next());
        let took_ms: u64 = took.and_then(|ms| ms.parse().ok()).expect("a time");
        assert!(took_ms > 800, "of the 900 ms that the caller gave: {line}");
        for name in fleet.of_service("intake") {
            let go = nix::sys::signal::Signal::SIGCONT;
            fleet.signal_upstream(&name, go).expect("an upstream runs");
        }
    });
}
