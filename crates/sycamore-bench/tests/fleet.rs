//! What a fleet is made of, without starting one.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use sycamore_bench::fleet::{settings, Deployment, InstanceSpec, Metrics, Net};
use sycamore_bench::stand_in::upstream;

#[test]
fn deployments_have_their_sizes() {
    let klupa = Deployment::zlatna_klupa();
    assert_eq!((klupa.upstreams(), klupa.centres().len(), klupa.slots), (12, 3, 12));
    let sutokatha = Deployment::sutokatha();
    assert_eq!((sutokatha.upstreams(), sutokatha.centres().len(), sutokatha.slots), (11, 3, 18));
    let design = Deployment::scaled(930);
    assert_eq!((design.upstreams(), design.services.len(), design.centres().len()), (930, 51, 6));
    assert_eq!(Deployment::scaled(20).upstreams(), 20);
}

#[test]
fn every_listener_of_a_fleet_has_an_address_of_its_own_on_loopback() {
    let net = Net::draw();
    let mut seen: BTreeSet<SocketAddr> = [net.platform(), net.witness()].into();
    for number in 0..930 {
        let at = net.instance(number);
        for addr in [at.caller, at.upstream, at.relay, at.peer, at.operator, at.service] {
            assert!(matches!(addr.ip(), IpAddr::V4(ip) if ip.is_loopback()), "{addr}");
            assert!(seen.insert(addr), "{addr} comes twice");
        }
    }
}

#[test]
fn the_settings_of_a_node_are_accepted() {
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

#[test]
fn metrics_are_summed_over_labels_of_one_name() {
    let page = "# TYPE a counter\na{x=\"1\"} 2\na{x=\"2\"} 3\nab 7\n";
    let metrics = Metrics::parse(page);
    assert!((metrics.sum("a") - 5.0).abs() < f64::EPSILON);
    assert!((metrics.sum("ab") - 7.0).abs() < f64::EPSILON);
}
