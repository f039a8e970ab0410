//! Calls with an idempotency key run at most once, also when the owner of the key changes.

use super::world::{field, post, run, settle, wait_until, Cluster, Options};
use http::StatusCode;
use std::time::Duration;
use sycamore_settings::calls::Calls as CallSettings;
use sycamore_types::headers;

fn keyed_post(path: &str, key: &str) -> http::request::Builder {
    post(path).header(headers::IDEMPOTENCY_KEY, key)
}

/// Time for which nodes remember runs. A test whose calls take longer, as on a busy machine, finds
/// its first keys forgotten.
const KEY_MEMORY: Duration = Duration::from_secs(3);

/// Returns options with short key memory and view lag, so that nodes soon know all earlier runs of
/// a key.
pub fn options() -> Options {
    let calls = CallSettings {
        key_memory: KEY_MEMORY,
        view_lag: Duration::from_millis(50),
        ..CallSettings::default()
    };
    Options { nodes: 3, calls, ..Options::default() }
}

/// Waits for longer than the key memory, after which a started node accepts keyed calls.
pub async fn wait_for_key_memory() {
    monoio::time::sleep(KEY_MEMORY + Duration::from_millis(100)).await;
}

/// A repeat of a keyed call through another node would run again if that node didn't relay it to
/// the key's owner, which recorded the answer.
#[test]
fn a_repeat_gets_the_recorded_answer_from_any_node() {
    run(async {
        let cluster = Cluster::start(&options()).await;
        wait_for_key_memory().await;
        for node in [0, 1, 2, 0] {
            let resp = cluster.try_call(node, keyed_post("/counter/echo", "k-1"), "ring 7").await;
            assert_eq!(&resp.unwrap().body()[..], b"ring 7");
        }
        assert_eq!(cluster.runs("echo"), 1);
        let resp = cluster.call(keyed_post("/counter/echo", "k-2"), "ring 8").await;
        assert_eq!(&resp.body()[..], b"ring 8");
        assert_eq!(cluster.runs("echo"), 2);
        cluster.stop().await;
    });
}

/// A repeat that arrives while the first call still runs must be refused as `in-progress`, and not
/// run at the same time.
#[test]
fn a_repeat_during_the_run_is_refused_as_in_progress() {
    run(async {
        let cluster = Cluster::start(&options()).await;
        wait_for_key_memory().await;
        let first = cluster.call(keyed_post("/counter/wait", "k-1"), "x");
        let second = async {
            wait_until(|| cluster.runs("wait") == 1).await;
            let resp = cluster.try_call(1, keyed_post("/counter/wait", "k-1"), "x").await.unwrap();
            assert_eq!(resp.status(), StatusCode::CONFLICT);
            assert_eq!(field(&resp, headers::REASON), "in-progress");
            cluster.nodes.iter().for_each(|node| node.upstream.release());
        };
        futures::join!(first, second);
        assert_eq!(cluster.runs("wait"), 1);
        cluster.stop().await;
    });
}

/// A key reused with another body must not return the first request's answer, nor run.
#[test]
fn a_key_reused_for_another_request_is_refused() {
    run(async {
        let cluster = Cluster::start(&options()).await;
        wait_for_key_memory().await;
        cluster.call(keyed_post("/counter/echo", "k-1"), "ring 7").await;
        let resp = cluster.call(keyed_post("/counter/echo", "k-1"), "ring 8").await;
        assert_eq!(resp.status(), StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(cluster.runs("echo"), 1);
        cluster.stop().await;
    });
}

/// A keyed call whose upstream closes the connection without an answer may have run: repeats must
/// get `unknown` and not run it again.
#[test]
fn a_run_without_an_answer_stays_unknown_and_is_not_repeated() {
    run(async {
        let cluster = Cluster::start(&options()).await;
        wait_for_key_memory().await;
        for _ in 0..3 {
            let resp = cluster.call(keyed_post("/counter/close", "k-1"), "x").await;
            assert_eq!(resp.status(), StatusCode::BAD_GATEWAY);
            assert_eq!(field(&resp, headers::OUTCOME), "unknown");
        }
        assert_eq!(cluster.runs("close"), 1);
        cluster.stop().await;
    });
}

/// After an owner is lost without handing its keys over, the next owner has no record of their
/// runs: it must answer `unknown` instead of running the calls a second time.
#[test]
fn a_new_owner_does_not_run_what_the_lost_one_may_have_run() {
    run(async {
        let cluster = Cluster::start(&options()).await;
        wait_for_key_memory().await;
        for i in 0..12 {
            cluster.call(keyed_post("/counter/echo", &format!("k-{i}")), "x").await;
        }
        assert_eq!(cluster.runs("echo"), 12);
        cluster.publish_members(|member| member.instance.as_str() != "counter-2");
        settle().await;
        let mut unknown = 0;
        for i in 0..12 {
            let resp = cluster.call(keyed_post("/counter/echo", &format!("k-{i}")), "x").await;
            unknown += usize::from(field(&resp, headers::OUTCOME) == "unknown");
        }
        assert!(unknown > 0, "some keys were the lost node's");
        assert_eq!(cluster.runs("echo"), 12);
        cluster.stop().await;
    });
}

/// A joining instance becomes the owner of some keys: without asking the earlier owners it would
/// run their calls again, or answer `unknown` although the record is there.
#[test]
fn an_instance_that_joins_takes_keys_over_without_a_second_run() {
    run(async {
        let cluster = Cluster::start(&options()).await;
        cluster.publish_members(|member| member.instance.as_str() != "counter-2");
        wait_for_key_memory().await;
        for i in 0..12 {
            cluster.call(keyed_post("/counter/echo", &format!("k-{i}")), "x").await;
        }
        assert_eq!(cluster.runs("echo"), 12);
        cluster.publish_members(|_| true);
        settle().await;
        for i in 0..12 {
            let resp = cluster.call(keyed_post("/counter/echo", &format!("k-{i}")), "x").await;
            assert_eq!(resp.status(), StatusCode::OK, "k-{i} {resp:?}");
        }
        assert_eq!(cluster.runs("echo"), 12);
        for i in 20..32 {
            let resp = cluster.call(keyed_post("/counter/echo", &format!("k-{i}")), "x").await;
            assert_eq!(resp.status(), StatusCode::OK, "a fresh key runs: k-{i}");
        }
        assert_eq!(cluster.runs("echo"), 24);
        cluster.stop().await;
    });
}

/// A node that restarts has lost its records: within the key memory it must answer `unknown`, as a
/// keyed call may have run before the restart.
#[test]
fn a_node_runs_no_keyed_call_within_the_key_memory_after_its_start() {
    run(async {
        let calls = CallSettings { key_memory: Duration::from_secs(60), ..CallSettings::default() };
        let cluster = Cluster::start(&Options { calls, ..options() }).await;
        settle().await;
        let resp = cluster.call(keyed_post("/counter/echo", "k-1"), "x").await;
        assert_eq!(field(&resp, headers::OUTCOME), "unknown");
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}

/// Members without the newest node in their view treat themselves as owners of its keys: a call
/// sent to one of them and then to the new node must not run twice.
#[test]
fn members_with_an_old_view_and_the_new_owner_do_not_both_run_a_call() {
    run(async {
        let cluster = Cluster::start(&options()).await;
        // Nodes 0 and 1 keep the old view for longer than node 2 waits for views to converge.
        let newcomer = cluster.nodes[2].member.instance.clone();
        for node in &cluster.nodes[..2] {
            node.hub.members.send_modify(|view| {
                std::sync::Arc::make_mut(view).members.remove(&newcomer);
            });
        }
        wait_for_key_memory().await;
        for key in 0..30 {
            let key = format!("k-{key}");
            let _ = cluster.try_call(0, keyed_post("/counter/echo", &key), "ring").await;
            let before = cluster.runs("echo");
            let _ = cluster.try_call(2, keyed_post("/counter/echo", &key), "ring").await;
            assert_eq!(cluster.runs("echo"), before, "{key} ran at node 2 as well");
        }
        cluster.stop().await;
    });
}
