//! What ran where: upstreams report each run to a witness, which outlives them when they are
//! killed.
//!
//! Reports are lines of JSON over one TCP connection from each upstream, written before the run
//! starts. The witness never writes, so that what a killed process has written still arrives.

mod ledger;
mod listen;
mod report;

pub use ledger::{Ledger, Run};
pub use listen::Witness;
pub use report::{now_us, Reporter, Sighting, SightingKind};
