//! An upstream: slots, cold start, shedding, cancellation, deadlines, drain, and badness by kind.

mod announce;
mod badness;
pub mod headers;
mod onward;
mod options;
mod payload;
mod probes;
mod serve;
mod slots;

pub use badness::{Badness, Fate};
pub use options::{Options, Probe};
pub use payload::{checksum, fill};
pub use serve::run;
pub use slots::Slots;
