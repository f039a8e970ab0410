//! Tests over real processes. They need the workspace's programs, as `scripts/test` builds them.
//! Each waits for conditions with generous limits; a few run at a time.

mod accept;
mod change;
mod drain;
mod explain;
mod faults;
mod morning;
mod soak;
mod support;
mod whole_path;
