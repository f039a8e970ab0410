//! Fleet of real processes on loopback (platform, nodes and upstreams) with fault injection.
//!
//! Every instance has its own loopback address and uses the ports listed in `net`, so that fleets which
//! run at the same time don't conflict. With [`Options::disturbed`] a proxy stands in front of every
//! process. The proxy can block the traffic between a node and all others, in one direction or both,
//! but not the traffic between two particular nodes.

pub mod deployment;
mod faults;
mod front;
pub mod guard;
mod inspect;
mod instance;
mod net;
mod options;
mod process;
mod query;
pub mod settings;
mod start;
mod usage;
mod wait;
mod watch;

pub use deployment::{Deployment, ServiceSpec};
pub use instance::{Front, Instance, InstanceSpec};
pub use net::{Addrs, Hop, Net};
pub use options::{Options, Upstreams};
pub use process::{Process, Program};
pub use query::{operator, Metrics};
pub use start::Fleet;
pub use usage::{descriptors, Usage};
pub use watch::ConfigWatch;

use std::time::Duration;

/// Time for which a fleet's nodes remember idempotency keys (`[calls] key_memory`). For this time
/// plus `[calls] view_lag` after the start of all nodes of a service, its nodes can't know about
/// earlier runs and answer calls with a key as unknown.
pub const KEY_MEMORY: Duration = Duration::from_secs(3);

/// Value of `[calls] view_lag` for fleets without paused nodes: shorter than the default, because
/// messages over loopback arrive fast.
pub const SHORT_VIEW_LAG: Duration = Duration::from_secs(1);

/// Returns [`SHORT_VIEW_LAG`] as an entry of [`Options::settings`].
pub fn short_view_lag() -> (String, String, String) {
    ("calls".into(), "view_lag".into(), format!("{}ms", SHORT_VIEW_LAG.as_millis()))
}

/// Token of the operators' interface of every node (`[operator] token`).
pub const TOKEN: &str = "bench-operator-token";
