//! Configurations that the tests share.

use std::time::Duration;
use sycamore_types::prelude::*;

/// A service with default limits.
pub fn service(name: &str) -> Resource {
    let name = ServiceName::new(name).expect("constant identifier");
    Resource::Service(Service { name, limits: Limits::default(), retry: RetryPolicy::default() })
}

/// A route from `/NAME` to `service`.
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
