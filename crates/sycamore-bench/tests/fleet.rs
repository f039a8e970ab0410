//! Composition of a fleet: deployments, addresses, node settings and metrics, without processes.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use sycamore_bench::fleet::{settings, Deployment, InstanceSpec, Metrics, Net};
use sycamore_bench::stand_in::upstream;

/// Guards against figures that are measured on fleets of other sizes than the two current
/// deployments and the design size of 930 upstreams.
#[test]
fn deployments_have_their_documented_sizes() {
    let deployment = Deployment::zlatna_klupa();
    assert_eq!((deployment.upstreams(), deployment.centres().len(), deployment.slots), (12, 3, 12));
    let sutokatha = Deployment::sutokatha();
    assert_eq!((sutokatha.upstreams(), sutokatha.centres().len(), sutokatha.slots), (11, 3, 18));
    let design = Deployment::scaled(930);
    assert_eq!((design.upstreams(), design.services.len(), design.centres().len()), (930, 51, 6));
    assert_eq!(Deployment::scaled(20).upstreams(), 20);
}

/// Guards against two processes of the largest fleet that bind one address, and against listeners
/// that other machines can reach.
#[test]
fn listeners_of_a_fleet_have_distinct_loopback_addresses() {
    let net = Net::draw();
    let mut seen: BTreeSet<SocketAddr> = [net.platform(), net.witness()].into();
    for number in 0..930 {
        let at = net.instance(number);
        for addr in [at.caller, at.upstream, at.relay, at.peer, at.operator, at.service] {
            assert!(matches!(addr.ip(), IpAddr::V4(ip) if ip.is_loopback()), "{addr}");
            assert!(seen.insert(addr), "{addr} is assigned twice");
        }
    }
}

/// Guards against nodes that refuse to start because the generated settings are invalid.
#[test]
fn generated_node_settings_are_valid() {
    let spec = InstanceSpec {
        instance: "counter-1".into(),
        service: "counter".into(),
        data_centre: "hr-north-a".into(),
        region: "hr-north".into(),
        upstream: upstream::Options::default(),
    };
    let net = Net::draw();
    let extra = [("peers".to_owned(), "probe_interval".to_owned(), "2s".to_owned())];
    let text = settings::ini("zlatna-klupa", &spec, &net.instance(0), net.platform(), &extra);
    let read = sycamore_settings::from_text("counter-1.ini", &text).unwrap();
    assert_eq!(read.node.instance.as_str(), "counter-1");
    assert_eq!(read.listen.caller, net.instance(0).caller);
    assert_eq!(read.platform.table, net.platform());
}

/// Guards against a sum that includes a metric whose name only starts with the given one.
#[test]
fn a_metric_is_summed_over_all_its_labels() {
    let page = "# TYPE a counter\na{x=\"1\"} 2\na{x=\"2\"} 3\nab 7\n";
    let metrics = Metrics::parse(page);
    assert!((metrics.sum("a") - 5.0).abs() < f64::EPSILON);
    assert!((metrics.sum("ab") - 7.0).abs() < f64::EPSILON);
}
