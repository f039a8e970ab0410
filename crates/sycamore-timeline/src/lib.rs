//! Timeline of a fleet's events: recording on each process, batches for the object store, merging.
//!
//! No module does input or output: time is passed in as a value, and batches are returned as
//! values.

pub mod batch;
pub mod merge;
pub mod ring;

pub use batch::{Batch, BatchOptions, Batcher};
pub use merge::{gaps, merge, Cursor, Filter, Gap};
pub use ring::{Page, Ring, Source};
