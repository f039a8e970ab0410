//! Upstreams with malformed or failing answers: no caller may get a truncated answer as a whole
//! one, or another call's answer.

use super::world::{field, get, post, run, Cluster, Options};
use http::StatusCode;
use sycamore_http::ClientError;
use sycamore_types::headers;

/// An answer that ends before its declared length or last chunk must break the caller's connection,
/// and not look complete.
#[test]
fn a_truncated_answer_is_an_error_at_the_caller() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        for path in ["/counter/cut", "/counter/cut-chunks"] {
            let answer = cluster.try_call(0, post(path), "x").await;
            assert_eq!(answer.err(), Some(ClientError::Broken), "{path}");
        }
        assert_eq!(cluster.runs("cut"), 1);
        cluster.stop().await;
    });
}

/// An answer with both a length and chunked framing, or no answer at all, must become a 502 with
/// the outcome `unknown`.
#[test]
fn answers_with_ambiguous_framing_are_not_relayed() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        for path in ["/counter/both", "/counter/close"] {
            let resp = cluster.call(post(path), "x").await;
            assert_eq!(resp.status(), StatusCode::BAD_GATEWAY, "{path}");
            assert_eq!(field(&resp, headers::OUTCOME), "unknown");
        }
        assert_eq!(cluster.runs("close"), 1, "a non-idempotent call is not sent again");
        cluster.stop().await;
    });
}

/// Guards against an answer whose status is none, such as 000, that reaches the caller as an answer.
#[test]
fn an_answer_with_an_invalid_status_is_not_relayed() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        for status in ["000", "001", "099", "600", "999", "1000", "20", "2x0", "+20", "-00", ""] {
            let path = format!("/counter/status-{status}");
            let resp = cluster.call(post(&path), "x").await;
            assert_eq!(resp.status(), StatusCode::BAD_GATEWAY, "{status:?}");
            assert_eq!(field(&resp, headers::OUTCOME), "unknown", "{status:?}");
            assert_eq!(cluster.runs(&format!("status-{status}")), 1, "{status:?}");
        }
        for status in ["299", "418", "599"] {
            let resp = cluster.call(post(&format!("/counter/status-{status}")), "x").await;
            assert_eq!(resp.status().as_str(), status);
        }
        cluster.stop().await;
    });
}

/// An answer without length and chunks ends with its connection, and must be relayed if the
/// upstream closes the connection in order.
#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let resp = cluster.call(post("/counter/unframed"), "x").await;
        assert_eq!(resp.status(), StatusCode::OK);
        assert_eq!(cluster.runs("unframed"), 1);
        cluster.stop().await;
    });
}

/// An upstream that sends two answers to one request: the second must not be read as the answer to
/// the next request on the connection.
#[test]
fn a_second_answer_never_reaches_another_call() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        for i in 0..5 {
            let resp = cluster.call(get("/counter/extra"), "").await;
            assert_eq!(&resp.body()[..], b"ok");
            let body = format!("own {i}");
            let resp = cluster.call(post("/counter/echo"), &body).await;
            assert_eq!(resp.body(), body.as_bytes());
        }
        cluster.stop().await;
    });
}

/// Without a retry budget, each call to a service that answers nothing would be sent to every
/// instance; the budget at the start allows one retry only.
#[test]
fn an_idempotent_call_is_retried_within_the_budget() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        let resp = cluster.call(get("/counter/close"), "").await;
        assert_eq!(resp.status(), StatusCode::BAD_GATEWAY);
        assert_eq!(cluster.runs("close"), 2, "the budget allows one retry");
        let resp = cluster.call(get("/counter/close"), "").await;
        assert_eq!(resp.status(), StatusCode::BAD_GATEWAY);
        assert_eq!(cluster.runs("close"), 3, "the budget is used up");
        cluster.stop().await;
    });
}

/// A 503 with `shift-outcome: not-run` is a refusal; the same field on a 200 must be removed, or
/// the caller would repeat a call that has run.
#[test]
fn not_run_is_relayed_only_with_a_refusal() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let resp = cluster.call(post("/counter/shed"), "x").await;
        assert_eq!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(field(&resp, "retry-after"), "1");
        let resp = cluster.call(post("/counter/liar"), "x").await;
        assert_eq!(resp.status(), StatusCode::OK);
        assert_eq!(field(&resp, headers::OUTCOME), "");
        cluster.stop().await;
    });
}

/// Guards against a call that ran and whose caller is told that it has not, as the upstream wrote the
/// refusal of an earlier call once more on the kept connection: before the answer, and alone.
#[test]
fn a_refusal_written_once_more_is_not_the_answer_to_a_later_call() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        for _ in 0..3 {
            for _ in 0..4 {
                cluster.call(post("/counter/shed"), "x").await;
            }
            let before = cluster.runs("repeats");
            let resp = cluster.call(post("/counter/repeats"), "x").await;
            let runs = cluster.runs("repeats") - before;
            let is_refused = field(&resp, headers::OUTCOME) == "not-run";
            assert!(runs == 1 && !is_refused, "{runs} runs, answered {resp:?}");
        }
        cluster.stop().await;
    });
}

/// A call that an upstream ran and answered with 500 must not be reported as `not-run`, also after
/// a retry; a call that is not idempotent must not be retried.
#[test]
fn a_call_that_ran_and_failed_is_not_reported_as_not_run() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        let resp = cluster.call(get("/counter/fail"), "").await;
        assert!(resp.status().is_server_error());
        assert_ne!(resp.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_ne!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(cluster.runs("fail"), 2, "an idempotent call is retried once");
        let resp = cluster.call(post("/counter/fail"), "x").await;
        assert_eq!(resp.status(), StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(cluster.runs("fail"), 3, "a non-idempotent call is not retried");
        cluster.stop().await;
    });
}
