//! A fleet of real processes on loopback: platform, nodes and upstreams, with faults on command.
//!
//! Every node has a loopback address of its own and the ports of [`net`], so that fleets beside
//! each other never meet. There is no cut between two nodes here, since that takes a packet
//! filter; a frozen process stands for one that is cut off from all others.

pub mod deployment;
pub mod guard;
mod instance;
mod net;
mod options;
mod process;
mod query;
pub mod settings;
mod start;
mod usage;
mod watch;

pub use deployment::{Deployment, ServiceSpec};
pub use instance::{Instance, InstanceSpec};
pub use net::{Addrs, Net};
pub use options::{Options, Upstreams};
pub use process::{Process, Program};
pub use query::{operator, Metrics};
pub use start::Fleet;
pub use usage::{descriptors, Usage};
pub use watch::ConfigWatch;

use std::time::Duration;

/// Time for which a fleet's nodes remember idempotency keys. For as long after the start of a whole
/// service, its nodes can't know of earlier runs and answer keyed calls as perhaps run.
pub const KEY_MEMORY: Duration = Duration::from_secs(3);

/// The operators' token of every node.
pub const TOKEN: &str = "bench-operator-token";
