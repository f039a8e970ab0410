//! Record of which request ran where: upstreams report each run to a witness in the harness'
//! process, which outlives them when they are killed.
//!
//! Each upstream sends its reports as lines of JSON over one TCP connection, the report of a run's
//! start before the run begins. The witness never writes to the connection, so that the bytes which
//! a process wrote before it was killed still arrive.

mod ledger;
mod listen;
mod report;

pub use ledger::{Ledger, Run};
pub use listen::Witness;
pub use report::{now_us, Reporter, UpstreamEvent, UpstreamEventKind};
