//! Commands: what checks or changes something.

pub mod abort;
pub mod check;
pub mod config;
mod file;
pub mod sheet;

use rand::Rng;
use sycamore_types::id::OpId;

/// A fresh operation id: a command given twice with it takes effect once.
fn op_id() -> OpId {
    OpId(rand::rng().random())
}
