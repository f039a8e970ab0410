//! Tests of the hub: lifecycle phases, calls in flight, facts, stamps and dependencies.

use std::time::Duration;
use sycamore_node::hub::{Dependency, Hub, Phase};
use sycamore_settings::Settings;
use sycamore_types::prelude::*;

fn head(version: u64) -> Fact {
    Fact::Head(ConfigHead { version: ConfigVersion(version), manifest: ContentHash::of(b"m") })
}

#[test]
fn an_earlier_phase_is_ignored() {
    let hub = Hub::new(Settings::default());
    hub.set_phase(Phase::Draining);
    hub.set_phase(Phase::Ready);
    assert_eq!(hub.phase(), Phase::Draining);
}

/// The first configuration makes a node ready. One that arrives while the node drains must not
/// return it to service.
#[test]
fn a_first_configuration_during_a_drain_does_not_make_the_node_ready() {
    let hub = Hub::new(Settings::default());
    hub.set_phase(Phase::Draining);
    hub.publish_snapshot(Snapshot { version: ConfigVersion(1), ..Default::default() });
    assert_eq!(hub.phase(), Phase::Draining);
}

#[test]
fn a_call_is_in_flight_until_its_guard_is_dropped() {
    let hub = Hub::new(Settings::default());
    let first = hub.call_in_flight();
    let second = hub.call_in_flight();
    assert_eq!(hub.in_flight(), 2);
    drop((first, second));
    assert_eq!(hub.in_flight(), 0);
}

/// Peers may spread an older head late; it must not replace a newer one.
#[test]
fn an_older_or_equal_head_does_not_replace_the_known_one() {
    let hub = Hub::new(Settings::default());
    assert!(hub.facts.learn(head(2)));
    assert!(!hub.facts.learn(head(1)));
    assert!(!hub.facts.learn(head(2)));
    assert_eq!(hub.facts.known()[&FactKey::Head], head(2));
}

/// Nodes fetch a configuration from the peer from which they learnt its head first. Later peers,
/// and heads raised on this node, must not replace that source.
#[test]
fn the_source_of_a_head_is_the_first_peer_it_was_learnt_from() {
    let hub = Hub::new(Settings::default());
    let [first, second] = [7403, 7404].map(|port| ([127, 0, 0, 1], port).into());
    let (Fact::Head(old), Fact::Head(new)) = (head(1), head(2)) else { unreachable!() };
    assert!(hub.facts.learn_from(head(2), first));
    assert!(!hub.facts.learn_from(head(2), second));
    assert!(!hub.facts.learn_from(head(1), second));
    assert_eq!(hub.facts.head_source(&new), Some(first));
    assert_eq!(hub.facts.head_source(&old), None);
    hub.raise(head(3));
    assert_eq!(hub.facts.head_source(&new), Some(first));
}

/// The membership state machine spreads the facts it learnt from peers by itself. Only facts raised
/// on this node must be handed to it, each once.
#[test]
fn only_new_facts_raised_on_this_node_are_queued_for_peers() {
    let hub = Hub::new(Settings::default());
    hub.facts.learn(head(1));
    hub.raise(head(2));
    hub.raise(head(2));
    assert_eq!(hub.facts.take_unsent(), [head(2)]);
    assert!(hub.facts.take_unsent().is_empty());
}

#[test]
fn facts_are_removed_at_their_expiry_and_verdicts_stay() {
    let hub = Hub::new(Settings::default());
    let verdict = Fact::BadVersion {
        service: ServiceName::new("counter").expect("valid"),
        version: UpstreamVersion::new("2").expect("valid"),
        by: MoveId::new("m").expect("valid"),
        reason: "errors".to_owned(),
        at: Stamp::default(),
    };
    let quarantine = Fact::Quarantined { fingerprint: Fingerprint(7), until: WallTime(100) };
    hub.facts.learn(verdict.clone());
    hub.facts.learn(quarantine.clone());
    hub.facts.expire(WallTime(99));
    assert_eq!(hub.facts.known().len(), 2);
    hub.facts.expire(WallTime(100));
    assert_eq!(hub.facts.known().values().collect::<Vec<_>>(), [&verdict]);
}

/// Nodes' clocks differ; without the sender's stamp an effect could be ordered before its cause.
#[test]
fn an_event_after_a_received_message_is_stamped_later_than_the_message() {
    let hub = Hub::new(Settings::default());
    // The sender's clock is 5 s ahead.
    let sent = Stamp { wall: WallTime(hub.clock.wall().0 + 5_000), logical: 2 };
    hub.observe(sent);
    hub.record(EventKind::Draining);
    let events = hub.timeline().borrow().after(0);
    assert!(events.iter().all(|event| event.at > sent), "{events:?}");
    assert!(hub.stamp() > events[0].at);
}

/// A node with a broken clock sends stamps far in the future, which must not push the stamps of all
/// other nodes there.
#[test]
fn a_stamp_far_in_the_future_advances_own_stamps_by_less_than_a_minute() {
    let hub = Hub::new(Settings::default());
    hub.observe(Stamp { wall: WallTime(u64::MAX), logical: u32::MAX });
    let ahead = hub.stamp().wall.since(hub.clock.wall());
    assert!(ahead < std::time::Duration::from_secs(60), "{ahead:?}");
}

/// The outage must be measured from the first failure: a retry that fails must not restart it.
#[test]
fn an_outage_lasts_from_the_first_loss_to_the_next_answer() {
    let hub = Hub::new(Settings::default());
    let (log, at) = (&hub.log, |s: u64| Time(s * 1_000_000));
    let up = |hub: &Hub| {
        let families = hub.registry.gather();
        let family = families.iter().find(|f| f.name() == "sycamoreshift_dependency_up");
        let metric = &family.unwrap().get_metric()[0];
        metric.get_gauge().get_value()
    };
    assert_eq!(up(&hub), 0.0);
    hub.dependencies.record_reached(log, at(1), Dependency::Platform);
    assert_eq!(up(&hub), 1.0);
    hub.dependencies.record_lost(log, at(2), Dependency::Platform, "no answer");
    hub.dependencies.record_lost(log, at(3), Dependency::Platform, "no answer");
    assert_eq!(up(&hub), 0.0);
    assert_eq!(
        hub.dependencies.lost_for(at(5), Dependency::Platform),
        Some(Duration::from_secs(3))
    );
    assert_eq!(hub.dependencies.lost_for(at(5), Dependency::Upstream), None);
    hub.dependencies.record_reached(log, at(6), Dependency::Platform);
    assert_eq!(hub.dependencies.lost_for(at(7), Dependency::Platform), None);
}
