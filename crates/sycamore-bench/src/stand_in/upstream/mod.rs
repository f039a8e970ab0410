//! Emulated upstream with slots, cold start, load shedding, cancellation, deadlines, drain and
//! selectable defects.

mod announce;
mod badness;
pub mod headers;
mod onward;
mod options;
mod payload;
mod probes;
pub mod report;
mod serve;
mod slots;

pub use badness::{Badness, RequestResult};
pub use options::{Options, Probe};
pub use payload::{checksum, fill};
pub use serve::run;
pub use slots::Slots;
