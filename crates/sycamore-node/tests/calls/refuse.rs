//! Refusals: status, reason, `retry-after`, and that a refused call has not run.

use super::world::{field, get, post, run, service, settle, version, wait_until, Cluster, Options};
use http::StatusCode;
use monoio::io::{AsyncWriteRentExt, Splitable};
use std::time::Duration;
use sycamore_http::conn::Reader;
use sycamore_http::HeadLimits;
use sycamore_node::hub::Phase;
use sycamore_settings::calls::Calls as CallSettings;
use sycamore_types::headers;
use sycamore_types::prelude::*;

#[track_caller]
fn assert_refused(resp: &http::Response<bytes::Bytes>, status: u16, reason: &str) {
    assert_eq!(resp.status().as_u16(), status, "{resp:?}");
    assert_eq!(field(resp, headers::OUTCOME), "not-run");
    assert_eq!(field(resp, headers::REASON), reason);
}

/// A path without a route must get 404 and not be sent to any service.
#[test]
fn an_unknown_path_is_refused() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        let resp = cluster.call(get("/nowhere"), "").await;
        assert_refused(&resp, 404, "no-route");
        cluster.stop().await;
    });
}

/// A route that can't be applied must refuse its calls at once as not run, and leave them to no other
/// route.
#[test]
fn calls_of_a_faulty_route_are_refused() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        let hub = &cluster.nodes[0].hub;
        let mut snapshot = (**hub.snapshot.borrow()).clone();
        let sound = snapshot.routes[0].clone();
        let faulty = Route {
            name: RouteName::new("faulty").unwrap(),
            prefix: "/counter/echo/deep/".to_owned(),
            fault: Some("no service".to_owned()),
            ..sound.clone()
        };
        snapshot.routes = vec![faulty, sound].into();
        hub.publish_snapshot(snapshot);
        let resp = cluster.call(get("/counter/echo/deep/7"), "").await;
        assert_refused(&resp, 503, "faulty-entry");
        assert_eq!(field(&resp, "retry-after"), "1");
        assert_eq!(cluster.runs("echo"), 0);
        assert_eq!(cluster.call(get("/counter/echo"), "").await.status(), StatusCode::OK);
        cluster.stop().await;
    });
}

/// A node that has rejected a newer configuration doesn't know its routes: 404, which callers take
/// as final, would be given for a route that exists. It must end with the configuration that
/// replaces the rejected one, and not touch calls on routes in force.
#[test]
fn an_unknown_path_may_be_retried_while_a_newer_configuration_is_rejected() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        let hub = &cluster.nodes[0].hub;
        let in_force = hub.snapshot.borrow().clone();
        hub.newer_versions.borrow_mut().record_rejected(in_force.version);
        let resp = cluster.call(get("/nowhere"), "").await;
        assert_refused(&resp, 404, "no-route");
        let newer = in_force.version.next();
        hub.newer_versions.borrow_mut().record_rejected(newer);
        let resp = cluster.call(get("/nowhere"), "").await;
        assert_refused(&resp, 503, "configuration-rejected");
        assert_eq!(field(&resp, "retry-after"), "1");
        let resp = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(resp.status(), StatusCode::OK);
        hub.publish_snapshot(Snapshot { version: newer, ..(*in_force).clone() });
        let resp = cluster.call(get("/nowhere"), "").await;
        assert_refused(&resp, 404, "no-route");
        cluster.stop().await;
    });
}

/// A node that knows of a newer configuration which it has not applied yet must not answer 404
/// either, from the first moment on: the version may be acknowledged long since.
#[test]
fn an_unknown_path_may_be_retried_while_the_node_is_behind() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        let hub = &cluster.nodes[0].hub;
        hub.newer_versions.borrow_mut().record_behind(true);
        let resp = cluster.call(get("/nowhere"), "").await;
        assert_refused(&resp, 503, "configuration-behind");
        assert_eq!(field(&resp, "retry-after"), "1");
        let resp = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(resp.status(), StatusCode::OK);
        hub.newer_versions.borrow_mut().record_behind(false);
        let resp = cluster.call(get("/nowhere"), "").await;
        assert_refused(&resp, 404, "no-route");
        cluster.stop().await;
    });
}

/// A service that the configuration lacks is refused as before, out of date or not.
#[test]
fn a_route_to_an_unknown_service_is_refused_as_not_ready() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let hub = &cluster.nodes[0].hub;
        let mut without_services = (**hub.snapshot.borrow()).clone();
        without_services.services.clear();
        let newer = without_services.version.next();
        hub.publish_snapshot(without_services);
        for rejects_newer in [false, true] {
            if rejects_newer {
                hub.newer_versions.borrow_mut().record_rejected(newer);
            }
            let resp = cluster.call(get("/counter/echo"), "").await;
            assert_refused(&resp, 503, "not-ready");
        }
        cluster.stop().await;
    });
}

/// With all slots taken and no queue, a call must be refused at once with `retry-after`, instead of
/// waiting for its deadline.
#[test]
fn a_full_upstream_refuses_at_once_with_retry_after() {
    run(async {
        let limits = Limits { queue: 0, ..Limits::default() };
        let cluster =
            Cluster::start(&Options { nodes: 1, slots: 1, limits, ..Options::default() }).await;
        settle().await;
        let first = cluster.call(get("/counter/wait"), "");
        let second = async {
            wait_until(|| cluster.runs("wait") == 1).await;
            let resp = cluster.try_call(0, get("/counter/echo"), "").await.unwrap();
            assert_refused(&resp, 503, "overloaded");
            assert_eq!(field(&resp, "retry-after"), "1");
            assert_eq!(cluster.runs("echo"), 0);
            cluster.nodes[0].upstream.release();
        };
        let (resp, ()) = futures::join!(first, second);
        assert_eq!(resp.status(), StatusCode::OK);
        cluster.stop().await;
    });
}

/// A queued call must be refused after the queue's maximum wait, also if no slot comes free.
#[test]
fn a_queued_call_is_refused_after_the_maximum_wait() {
    run(async {
        let limits = Limits { queue_time: Duration::from_millis(30), ..Limits::default() };
        let cluster =
            Cluster::start(&Options { nodes: 1, slots: 1, limits, ..Options::default() }).await;
        settle().await;
        let first = cluster.call(get("/counter/wait"), "");
        let second = async {
            wait_until(|| cluster.runs("wait") == 1).await;
            let resp = cluster.try_call(0, post("/counter/echo"), "x").await.unwrap();
            assert_refused(&resp, 503, "overloaded");
            cluster.nodes[0].upstream.release();
        };
        futures::join!(first, second);
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}

/// Calls sent to a draining upstream must be rerouted, also if they are not idempotent, and be
/// refused as `not-run` once every upstream is draining.
#[test]
fn calls_are_rerouted_from_a_draining_upstream() {
    run(async {
        let cluster = Cluster::start(&Options::default()).await;
        settle().await;
        cluster.nodes[0].hub.upstream.send_modify(|up| up.as_mut().unwrap().draining = true);
        for _ in 0..10 {
            let resp = cluster.call(post("/counter/echo"), "x").await;
            assert_eq!(resp.status(), StatusCode::OK);
        }
        assert_eq!(cluster.nodes[0].upstream.runs("echo"), 0);
        cluster.nodes[1].hub.upstream.send_modify(|up| up.as_mut().unwrap().draining = true);
        let resp = cluster.call(post("/counter/echo"), "x").await;
        assert_eq!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(cluster.runs("echo"), 10);
        cluster.stop().await;
    });
}

/// An upstream whose version was found bad must get no call once its node knows the fact.
#[test]
fn an_upstream_of_a_bad_version_gets_no_calls() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        settle().await;
        cluster.nodes[0].hub.raise(Fact::BadVersion {
            service: service(),
            version: version("1.0.0"),
            by: MoveId::new("m-1").unwrap(),
            reason: "fails".into(),
            at: Stamp::default(),
        });
        settle().await;
        let resp = cluster.call(get("/counter/echo"), "").await;
        assert_eq!(field(&resp, headers::OUTCOME), "not-run");
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}

/// A version in a move with a share of zero must get no call, also if it is the only one running.
#[test]
fn an_unproven_version_without_a_share_gets_no_calls() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let by = Some(MoveId::new("m-1").unwrap());
        cluster.publish_shares(&[
            VersionShare { version: version("0.9.0"), share: Share::ALL, by: None },
            VersionShare { version: version("1.0.0"), share: Share::NONE, by },
        ]);
        settle().await;
        let resp = cluster.call(get("/counter/echo"), "").await;
        assert_refused(&resp, 503, "no-upstream");
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}

/// An upstream that can't be connected to got no byte of the call: the outcome must be `not-run`,
/// and not `unknown`.
#[test]
fn an_unreachable_upstream_is_refused_as_not_run() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        settle().await;
        let free = sycamore_testing::unused_addr();
        cluster.nodes[0].hub.upstream.send_modify(|up| up.as_mut().unwrap().address = free);
        let resp = cluster.call(post("/counter/echo"), "x").await;
        assert_refused(&resp, 503, "no-upstream");
        cluster.stop().await;
    });
}

/// A body declared as longer than the limit must get 413 before it takes up memory or a slot.
#[test]
fn bodies_over_the_limit_are_refused_before_they_are_read() {
    run(async {
        let limits = Limits { body_bytes: 100, ..Limits::default() };
        let cluster = Cluster::start(&Options { nodes: 1, limits, ..Options::default() }).await;
        let resp = cluster.call(post("/counter/echo"), &"x".repeat(101)).await;
        assert_refused(&resp, 413, "body-too-large");
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}

/// Services that call each other in a cycle would do so for ever without the hop limit.
#[test]
fn call_cycles_end_at_the_hop_limit() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let node = &cluster.nodes[0];
        let limit = node.hub.settings.calls.hop_limit;
        let config = sycamore_http::ClientConfig::default();
        let onward = sycamore_http::Client::new(node.hub.settings.listen.upstream, config);
        for (level, status) in [(limit - 1, 200), (limit, 503)] {
            let req = get("/counter/echo").header(headers::HOPS, level.to_string());
            let resp = onward.send(req.body("".into()).unwrap()).await.unwrap();
            assert_eq!(resp.status().as_u16(), status);
        }
        assert_eq!(cluster.runs("echo"), 1);
        cluster.stop().await;
    });
}

/// A node that reuses an address of another deployment must not run that deployment's calls.
#[test]
fn calls_of_another_deployment_are_refused() {
    run(async {
        let cluster = Cluster::start(&Options { nodes: 1, ..Options::default() }).await;
        let config = sycamore_http::ClientConfig::default();
        let relay = sycamore_http::Client::new(cluster.nodes[0].hub.settings.listen.relay, config);
        let req = get("/counter/echo").header(headers::DEPLOYMENT, "other");
        let resp = relay.send(req.body("".into()).unwrap()).await.unwrap();
        assert_eq!(resp.status(), StatusCode::FORBIDDEN);
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}

/// One caller's address must not be able to use up the node's connections, and closed connections
/// must count no more.
#[test]
fn connections_of_one_address_are_bounded_by_the_setting() {
    run(async {
        let calls = CallSettings { connections_per_address: 3, ..CallSettings::default() };
        let cluster = Cluster::start(&Options { nodes: 1, calls, ..Options::default() }).await;
        let caller = cluster.nodes[0].hub.settings.listen.caller;
        let open = || async {
            let stream = monoio::net::TcpStream::connect(caller).await.unwrap();
            let (read, mut write) = stream.into_split();
            let request = "GET /counter/echo HTTP/1.1\r\nhost: a\r\n\r\n";
            let (sent, _) = write.write_all(request.as_bytes().to_vec()).await;
            let mut reader = Reader::new(read);
            let answered = sent.is_ok() && reader.response_head(&HeadLimits::DEFAULT).await.is_ok();
            (answered, reader, write)
        };
        let mut kept = Vec::new();
        for _ in 0..3 {
            kept.push(open().await);
        }
        assert!(kept.iter().all(|(answered, ..)| *answered), "three connections are allowed");
        assert!(!open().await.0, "a fourth connection is not");
        drop(kept.pop());
        let again = || async { open().await.0 };
        let begun = std::time::Instant::now();
        while !again().await {
            assert!(begun.elapsed() < Duration::from_secs(5), "a closed connection still counts");
        }
        cluster.stop().await;
    });
}

/// A node that is told to stop before it has its first configuration must refuse calls as not run,
/// and not answer 404: it doesn't know the routes.
#[test]
fn a_node_stopped_before_its_first_configuration_refuses_calls() {
    run(async {
        let options = Options { nodes: 1, is_configured: false, ..Options::default() };
        let cluster = Cluster::start(&options).await;
        for phase in [Phase::Starting, Phase::Draining] {
            cluster.nodes[0].hub.set_phase(phase);
            let resp = cluster.call(post("/counter/echo"), "x").await;
            assert_refused(&resp, 503, "not-ready");
        }
        assert_eq!(cluster.runs("echo"), 0);
        cluster.stop().await;
    });
}
