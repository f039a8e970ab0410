//! Upstreams that name rate limits or leave in their answers, over real processes.

use crate::support::{fleet_permit, sleep, small_fleet};
use std::time::Duration;
use sycamore_bench::fleet::{Fleet, Options};
use sycamore_bench::http;
use sycamore_bench::load::{self, CallKind, Ended, Target};
use sycamore_bench::stand_in::upstream::report::SelfReport;

/// Guards against a node that forgets the limit of its upstream, or that this is leaving, when it is
/// killed and starts again beside it: counted by the upstream, over calls of all nodes.
#[test]
fn limits_and_leaves_hold_while_the_nodes_beside_the_upstreams_are_killed() {
    let _permit = fleet_permit();
    let _limit = sycamore_bench::fleet::guard::limit_run(Duration::from_secs(120));
    http::run(async {
        let fleet =
            Fleet::start(Options { seed: 12, ..small_fleet() }).await.expect("the fleet starts");
        let addrs = fleet.names().into_iter().map(|name| fleet.addrs(&name).expect("known").caller);
        let load = load::Options {
            seed: 12,
            rate: 40.0,
            time: Duration::from_secs(9),
            targets: vec![Target { prefix: "/".into(), addrs: addrs.collect() }],
            kinds: vec![CallKind { timeout_ms: Some(2_000), ..CallKind::lookup("counter") }],
            ..Default::default()
        };
        let events = async {
            let report = async |name, rate_limit, leaving| {
                let report = SelfReport { rate_limit, leaving };
                fleet.report(name, Some(report)).await.expect("the upstream runs")
            };
            sleep(Duration::from_millis(500)).await;
            report("counter-1", Some(5.0), false).await;
            report("counter-2", None, true).await;
            for _ in 0..2 {
                sleep(Duration::from_millis(2_500)).await;
                for name in ["counter-1", "counter-2"] {
                    fleet.kill_node(name).expect("a known instance");
                    fleet.start_node(name).expect("the node starts");
                }
            }
        };
        let (tally, ()) = futures::join!(load::run(&load), events);
        let limited = fleet.report("counter-1", None).await.expect("the upstream runs");
        assert!(limited.got > 0 && limited.worst_ratio <= 1.0, "{limited:?}");
        let leaving = fleet.report("counter-2", None).await.expect("the upstream runs");
        assert_eq!(leaving.after_leave, 0, "{leaving:?}");
        assert!(tally.count(Ended::Ok) > 0, "{tally}");
        fleet.stop().await;
    });
}
