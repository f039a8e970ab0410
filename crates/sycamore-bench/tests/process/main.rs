//! Tests on fleets of real processes. The workspace's binaries must have been built, as
//! `scripts/test` does. Each test waits for conditions with generous limits, and a few run at a
//! time.

mod accept;
mod change;
mod drain;
mod explain;
mod faults;
mod limit;
mod morning;
mod soak;
mod support;
mod whole_path;
