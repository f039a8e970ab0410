//! Open-loop load: Poisson arrivals that do not wait for answers, and a check of every answer.

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
