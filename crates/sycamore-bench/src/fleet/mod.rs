//! A fleet of real processes on loopback: platform, nodes and upstreams, with faults on command.
//!
//! Every node has a loopback address of its own and the ports of [`net`], so that fleets beside
//! each other never meet. Where a fleet is disturbed, a proxy stands before every process: it cuts
//! a node off from all others one way or both, not two nodes from each other.

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

/// Time for which a fleet's nodes remember idempotency keys. For as long after the start of a whole
/// service, and for `[calls] view_lag` more, its nodes can't know of earlier runs and answer keyed
/// calls as perhaps run.
pub const KEY_MEMORY: Duration = Duration::from_secs(3);

/// `[calls] view_lag` of fleets that have no frozen node and meet on loopback.
pub const SHORT_VIEW_LAG: Duration = Duration::from_secs(1);

/// The setting of [`SHORT_VIEW_LAG`], for [`Options::settings`].
pub fn short_view_lag() -> (String, String, String) {
    ("calls".into(), "view_lag".into(), format!("{}ms", SHORT_VIEW_LAG.as_millis()))
}

/// The operators' token of every node.
pub const TOKEN: &str = "bench-operator-token";
