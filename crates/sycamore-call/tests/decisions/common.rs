//! Constructors of test values.

use std::net::{Ipv4Addr, SocketAddr};
use sycamore_types::prelude::*;

pub fn instance(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

pub fn service() -> ServiceName {
    ServiceName::new("counter").unwrap()
}

pub fn version(text: &str) -> UpstreamVersion {
    UpstreamVersion::new(text).unwrap()
}

pub fn centre(name: &str) -> DataCentre {
    DataCentre::new(name).unwrap()
}

pub fn region() -> Region {
    Region::new("hr-north").unwrap()
}

pub fn ms(millis: u64) -> std::time::Duration {
    std::time::Duration::from_millis(millis)
}

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Creates a serving member of the service `counter` with 10 slots.
pub fn member(name: &str, of_version: &str, in_centre: &str) -> Member {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 7000));
    Member {
        instance: instance(name),
        incarnation: Incarnation(1),
        state: MemberState::Serving,
        service: service(),
        version: version(of_version),
        data_centre: centre(in_centre),
        region: region(),
        endpoints: Endpoints { peer: addr, relay: addr },
        slots: 10,
        left: None,
    }
}

pub fn view(members: impl IntoIterator<Item = Member>) -> MemberView {
    let members = members.into_iter().map(|member| (member.instance.clone(), member));
    MemberView { members: members.collect() }
}

/// Creates a share table with the stable version `1` and the unproven version `2`; shares are in
/// basis points.
pub fn shares(old: u16, new: u16) -> ShareTable {
    let mut table = ShareTable::default();
    let entry = |text: &str, points, by| VersionShare {
        version: version(text),
        share: Share::from_basis_points(points),
        by,
    };
    let by = Some(MoveId::new("m-1").unwrap());
    table.services.insert(service(), vec![entry("1", old, None), entry("2", new, by)]);
    table
}
