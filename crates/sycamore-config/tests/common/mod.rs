//! Constructors of resources shared by the tests.

use std::time::Duration;
use sycamore_types::prelude::*;

/// Creates a service with default limits.
pub fn service(name: &str) -> Resource {
    let name = ServiceName::new(name).expect("constant identifier");
    Resource::Service(Service { name, limits: Limits::default(), retry: RetryPolicy::default() })
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
    })
}
