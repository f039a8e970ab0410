//! Calls with an idempotency key run once.

use super::world::{field, post, run, settle, until, Options, World};
use http::StatusCode;
use std::time::Duration;
use sycamore_settings::calls::Calls as CallSettings;
use sycamore_types::headers;

fn booking(path: &str, key: &str) -> http::request::Builder {
    post(path).header(headers::IDEMPOTENCY_KEY, key)
}

/// Options by which nodes come out of doubt soon after their start.
fn options() -> Options {
    let calls = CallSettings {
        key_memory: Duration::from_millis(300),
        view_lag: Duration::from_millis(50),
        ..CallSettings::default()
    };
    Options { nodes: 3, calls, ..Options::default() }
}

async fn past_doubt() {
    monoio::time::sleep(Duration::from_millis(400)).await;
}

#[test]
fn a_repeat_gets_the_recorded_answer_from_any_node() {
    run(async {
        let world = World::start(&options()).await;
        past_doubt().await;
        for node in [0, 1, 2, 0] {
            let resp = world.try_call(node, booking("/counter/echo", "k-1"), "ring 7").await;
            assert_eq!(&resp.unwrap().body()[..], b"ring 7");
        }
        assert_eq!(world.runs("echo"), 1);
        let resp = world.call(booking("/counter/echo", "k-2"), "ring 8").await;
        assert_eq!(&resp.body()[..], b"ring 8");
        assert_eq!(world.runs("echo"), 2);
        world.stop().await;
    });
}

#[test]
fn a_repeat_during_the_run_is_told_so() {
    run(async {
        let world = World::start(&options()).await;
        past_doubt().await;
        let first = world.call(booking("/counter/wait", "k-1"), "x");
        let second = async {
            until(|| world.runs("wait") == 1).await;
            let resp = world.try_call(1, booking("/counter/wait", "k-1"), "x").await.unwrap();
            assert_eq!(resp.status(), StatusCode::CONFLICT);
            assert_eq!(field(&resp, headers::REASON), "in-progress");
            world.nodes.iter().for_each(|node| node.upstream.release());
        };
        futures::join!(first, second);
        assert_eq!(world.runs("wait"), 1);
        world.stop().await;
    });
}

#[test]
fn a_key_reused_for_another_request_is_refused() {
    run(async {
        let world = World::start(&options()).await;
        past_doubt().await;
        world.call(booking("/counter/echo", "k-1"), "ring 7").await;
        let resp = world.call(booking("/counter/echo", "k-1"), "ring 8").await;
        assert_eq!(resp.status(), StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(world.runs("echo"), 1);
        world.stop().await;
    });
}

#[test]
fn a_broken_run_is_unknown_and_never_run_again() {
    run(async {
        let world = World::start(&options()).await;
        past_doubt().await;
        for _ in 0..3 {
            let resp = world.call(booking("/counter/close", "k-1"), "x").await;
            assert_eq!(resp.status(), StatusCode::BAD_GATEWAY);
            assert_eq!(field(&resp, headers::OUTCOME), "unknown");
        }
        assert_eq!(world.runs("close"), 1);
        world.stop().await;
    });
}

#[test]
fn a_new_owner_does_not_run_what_the_lost_one_may_have_run() {
    run(async {
        let world = World::start(&options()).await;
        past_doubt().await;
        for i in 0..12 {
            world.call(booking("/counter/echo", &format!("k-{i}")), "x").await;
        }
        assert_eq!(world.runs("echo"), 12);
        world.publish_members(|member| member.instance.as_str() != "counter-2");
        settle().await;
        let mut unknown = 0;
        for i in 0..12 {
            let resp = world.call(booking("/counter/echo", &format!("k-{i}")), "x").await;
            unknown += usize::from(field(&resp, headers::OUTCOME) == "unknown");
        }
        assert!(unknown > 0, "some keys were the lost node's");
        assert_eq!(world.runs("echo"), 12);
        world.stop().await;
    });
}

#[test]
fn an_instance_that_joins_takes_keys_over_without_a_second_run() {
    run(async {
        let world = World::start(&options()).await;
        world.publish_members(|member| member.instance.as_str() != "counter-2");
        past_doubt().await;
        for i in 0..12 {
            world.call(booking("/counter/echo", &format!("k-{i}")), "x").await;
        }
        assert_eq!(world.runs("echo"), 12);
        world.publish_members(|_| true);
        settle().await;
        for i in 0..12 {
            let resp = world.call(booking("/counter/echo", &format!("k-{i}")), "x").await;
            assert_eq!(resp.status(), StatusCode::OK, "k-{i} {resp:?}");
        }
        assert_eq!(world.runs("echo"), 12);
        for i in 20..32 {
            let resp = world.call(booking("/counter/echo", &format!("k-{i}")), "x").await;
            assert_eq!(resp.status(), StatusCode::OK, "a fresh key runs: k-{i}");
        }
        assert_eq!(world.runs("echo"), 24);
        world.stop().await;
    });
}

#[test]
fn a_node_that_has_just_started_runs_no_keyed_call_that_it_may_not_remember() {
    run(async {
        let calls = CallSettings { key_memory: Duration::from_secs(60), ..CallSettings::default() };
        let world = World::start(&Options { calls, ..options() }).await;
        settle().await;
        let resp = world.call(booking("/counter/echo", "k-1"), "x").await;
        assert_eq!(field(&resp, headers::OUTCOME), "unknown");
        assert_eq!(world.runs("echo"), 0);
        world.stop().await;
    });
}

#[test]
fn members_that_have_not_heard_of_an_owner_run_nothing_beside_it() {
    run(async {
        let world = World::start(&options()).await;
        // The view of nodes 0 and 1 lags behind for longer than any doubt of node 2 lasts.
        let newcomer = world.nodes[2].member.instance.clone();
        for node in &world.nodes[..2] {
            node.hub.members.send_modify(|view| {
                std::sync::Arc::make_mut(view).members.remove(&newcomer);
            });
        }
        past_doubt().await;
        for key in 0..30 {
            let key = format!("k-{key}");
            let _ = world.try_call(0, booking("/counter/echo", &key), "ring").await;
            let before = world.runs("echo");
            let _ = world.try_call(2, booking("/counter/echo", &key), "ring").await;
            assert_eq!(world.runs("echo"), before, "{key} ran at node 2 as well");
        }
        world.stop().await;
    });
}
