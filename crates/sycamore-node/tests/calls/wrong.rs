//! Upstreams that answer wrongly: never a short whole, never another call's answer.

use super::world::{field, get, post, run, Options, World};
use http::StatusCode;
use sycamore_http::ClientError;
use sycamore_types::headers;

#[test]
fn a_cut_answer_is_a_visible_error() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        for path in ["/counter/cut", "/counter/cut-chunks"] {
            let answer = world.try_call(0, post(path), "x").await;
            assert_eq!(answer.err(), Some(ClientError::Broken), "{path}");
        }
        assert_eq!(world.runs("cut"), 1);
        world.stop().await;
    });
}

#[test]
fn answers_with_doubtful_framing_are_not_passed_on() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        for path in ["/counter/both", "/counter/close"] {
            let resp = world.call(post(path), "x").await;
            assert_eq!(resp.status(), StatusCode::BAD_GATEWAY, "{path}");
            assert_eq!(field(&resp, headers::OUTCOME), "unknown");
        }
        assert_eq!(world.runs("close"), 1, "a non-idempotent call is not sent again");
        world.stop().await;
    });
}

#[test]
fn an_answer_without_a_length_is_whole_where_its_connection_ends_in_order() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let resp = world.call(post("/counter/unframed"), "x").await;
        assert_eq!(resp.status(), StatusCode::OK);
        assert_eq!(world.runs("unframed"), 1);
        world.stop().await;
    });
}

#[test]
fn what_follows_an_answer_never_reaches_another_call() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        for i in 0..5 {
            let resp = world.call(get("/counter/extra"), "").await;
            assert_eq!(&resp.body()[..], b"ok");
            let body = format!("own {i}");
            let resp = world.call(post("/counter/echo"), &body).await;
            assert_eq!(resp.body(), body.as_bytes());
        }
        world.stop().await;
    });
}

#[test]
fn an_idempotent_call_is_tried_again_within_the_budget() {
    run(async {
        let world = World::start(&Options::default()).await;
        let resp = world.call(get("/counter/close"), "").await;
        assert_eq!(resp.status(), StatusCode::BAD_GATEWAY);
        assert_eq!(world.runs("close"), 2, "one retry was saved up");
        let resp = world.call(get("/counter/close"), "").await;
        assert_eq!(resp.status(), StatusCode::BAD_GATEWAY);
        assert_eq!(world.runs("close"), 3, "and no more");
        world.stop().await;
    });
}

#[test]
fn only_a_refusal_of_the_upstream_itself_counts_as_not_run() {
    run(async {
        let world = World::start(&Options { nodes: 1, ..Options::default() }).await;
        let resp = world.call(post("/counter/shed"), "x").await;
        assert_eq!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(field(&resp, "retry-after"), "1");
        let resp = world.call(post("/counter/liar"), "x").await;
        assert_eq!(resp.status(), StatusCode::OK);
        assert_eq!(field(&resp, headers::OUTCOME), "");
        world.stop().await;
    });
}

#[test]
fn a_call_that_ran_and_failed_is_never_said_not_to_have_run() {
    run(async {
        let world = World::start(&Options::default()).await;
        let resp = world.call(get("/counter/fail"), "").await;
        assert!(resp.status().is_server_error());
        assert_ne!(resp.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_ne!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(world.runs("fail"), 2, "an error is tried elsewhere once");
        let resp = world.call(post("/counter/fail"), "x").await;
        assert_eq!(resp.status(), StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(world.runs("fail"), 3, "a non-idempotent call is not");
        world.stop().await;
    });
}
