//! Constructors of resources shared by the tests.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Creates a service with default limits.
pub fn service(name: &str) -> Resource {
    let name = ServiceName::new(name).expect("constant identifier");
    Resource::Service(Service {
        name,
        limits: Limits::default(),
        retry: RetryPolicy::default(),
        warm_up: None,
    })
}

/// Creates a route from the path prefix `/{name}` to `service`.
pub fn route(name: &str, service: &str, timeout_ms: u64) -> Resource {
    Resource::Route(Route {
        name: RouteName::new(name).expect("constant identifier"),
        host: None,
        prefix: format!("/{name}"),
        service: ServiceName::new(service).expect("constant identifier"),
        split: Vec::new(),
        timeout: Duration::from_millis(timeout_ms),
        policy: RoutePolicy::default(),
        fault: None,
    })
}

/// Creates a serving member of a data centre.
#[allow(dead_code, reason = "not every test has members")]
pub fn member(instance: InstanceId, data_centre: &str) -> Member {
    let address = "127.0.0.1:7400".parse().expect("constant address");
    Member {
        instance,
        incarnation: Incarnation(1),
        state: MemberState::Serving,
        service: ServiceName::new("counter").expect("constant identifier"),
        version: UpstreamVersion::new("v1").expect("constant identifier"),
        data_centre: DataCentre::new(data_centre).expect("a valid name"),
        region: Region::new("region").expect("constant identifier"),
        endpoints: Endpoints { peer: address, relay: address },
        slots: 11,
        left: None,
    }
}
