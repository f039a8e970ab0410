//! Diagnosis of failed calls: the nodes' logs show the cause under the call's request identifier.

use crate::support::{fleet_permit, sleep, small_fleet};
use futures::future::{join, join_all};
use std::time::Duration;
use sycamore_bench::fleet::{Fleet, Options};
use sycamore_bench::http;
use sycamore_bench::load::{Call, CallKind, Caller, Ended, Record};
use sycamore_bench::stand_in::upstream;

/// Wait until log lines have reached their files.
const LOG_DELAY: Duration = Duration::from_millis(500);

/// Runs `scenario` on a fleet whose upstreams run `slots` calls at once and queue none.
fn run_on_fleet(slots: u16, scenario: impl AsyncFnOnce(&Fleet)) {
    let _permit = fleet_permit();
    let _limit = sycamore_bench::fleet::guard::limit_run(Duration::from_secs(120));
    http::run(async {
        let mut options = Options { seed: 9, ..small_fleet() };
        options.deployment.slots = slots;
        options.upstream = upstream::Options { queue: 0, ..options.upstream };
        let fleet = Fleet::start(options).await.expect("the fleet starts");
        scenario(&fleet).await;
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

/// Returns the log line about the request `id` that contains all of `words`; panics without one.
async fn find_log_line(fleet: &Fleet, id: &str, words: &[&str]) -> String {
    sleep(LOG_DELAY).await;
    let lines = fleet.trace(id).expect("the logs name the request");
    let line = lines.lines().find(|line| words.iter().all(|word| line.contains(word)));
    line.unwrap_or_else(|| panic!("{words:?} is not in:\n{lines}")).to_owned()
}

/// Guards against a refusal for load that the logs don't explain by the upstream's running calls
/// and limit.
#[test]
fn logs_of_a_call_refused_for_load_show_the_full_upstream() {
    run_on_fleet(1, async |fleet| {
        let kind = CallKind { timeout_ms: Some(800), ..CallKind::lookup("counter") };
        let full = join_all((0..40).map(|i| async move {
            let slow = CallKind { timeout_ms: Some(4_000), ..CallKind::booking("counter") };
            let slow = CallKind { work_us: Some(1_500_000), ..slow };
            send(fleet, "intake-1", &slow, &format!("fill-{i}")).await
        }));
        let one = async {
            sleep(Duration::from_millis(300)).await;
            send(fleet, "intake-2", &kind, "turned-away").await
        };
        let (_, record) = join(full, one).await;
        assert_eq!(record.ended, Ended::Refused, "{record:?}");
        find_log_line(fleet, "turned-away", &["call refused", "reason=overloaded"]).await;
        // The deciding node's running calls, limit and queued calls.
        find_log_line(fleet, "turned-away", &["instance=counter-", "beside=1/1/"]).await;
    });
}

/// Guards against an unknown outcome, here of a call on a killed upstream, that the logs don't
/// trace to that upstream.
#[test]
fn logs_of_an_unknown_outcome_name_the_killed_upstream() {
    run_on_fleet(12, async |fleet| {
        let kind = CallKind { work_us: Some(3_000_000), ..CallKind::booking("counter") };
        let call = send(fleet, "intake-1", &kind, "lost");
        let killed = async {
            sleep(Duration::from_secs(1)).await;
            let ledger = fleet.witness().so_far();
            let runs = ledger.runs();
            let at = runs["lost"][0].instance.clone();
            fleet.kill_upstream(&at).expect("an instance");
            at
        };
        let (record, at) = join(call, killed).await;
        assert_eq!(record.ended, Ended::Unknown, "{record:?}");
        find_log_line(fleet, "lost", &["run ended", &format!("instance={at}"), "end=broken"]).await;
        find_log_line(fleet, "lost", &["call failed", "instance=intake-1"]).await;
    });
}

/// Guards against a timeout, here of a nested call to a service whose upstreams are all paused,
/// that the logs don't trace to that service.
#[test]
fn logs_of_a_timeout_name_the_slow_dependency() {
    run_on_fleet(12, async |fleet| {
        // Pauses all upstreams of the second service, so that calls to them are never answered.
        for name in fleet.of_service("intake") {
            let pause = nix::sys::signal::Signal::SIGSTOP;
            fleet.signal_upstream(&name, pause).expect("an upstream runs");
        }
        let kind = CallKind { timeout_ms: Some(900), ..CallKind::nested("counter", "intake") };
        let record = send(fleet, "counter-1", &kind, "waited").await;
        assert_ne!(record.ended, Ended::Ok, "{record:?}");
        // The nested call is the one without an answer, logged by the node of an intake upstream.
        let words = ["request=waited.1", "run ended", "instance=intake-"];
        let line = find_log_line(fleet, "waited", &words).await;
        let took = line.split("took_ms=").nth(1).and_then(|rest| rest.split(' ').next());
        let took_ms: u64 = took.and_then(|ms| ms.parse().ok()).expect("took_ms is a number");
        assert!(took_ms > 800, "expected most of the caller's timeout of 900 ms: {line}");
        for name in fleet.of_service("intake") {
            let resume = nix::sys::signal::Signal::SIGCONT;
            fleet.signal_upstream(&name, resume).expect("an upstream runs");
        }
    });
}
