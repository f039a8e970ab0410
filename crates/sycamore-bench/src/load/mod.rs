//! Open-loop load generator: calls arrive as a Poisson process, whether earlier calls were answered or
//! not, and every answer is checked.

mod answer;
mod call;
mod generate;
mod kind;
mod tally;

pub use answer::{Ended, Record};
pub use call::{Call, Caller};
pub use generate::{run, run_until, run_watched, Options, Pick, Target};
pub use kind::{photos, CallKind, KeyUse};
pub use tally::{Latencies, Tally};
