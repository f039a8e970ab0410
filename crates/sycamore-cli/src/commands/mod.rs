//! Commands that check files, or change the configuration, plans and moves.

pub mod abort;
pub mod check;
pub mod config;
mod file;
pub mod sheet;

use rand::Rng;
use sycamore_types::id::OpId;

/// Creates a random operation id, by which nodes recognise a repeated command and run it only once.
fn new_op_id() -> OpId {
    OpId(rand::rng().random())
}
