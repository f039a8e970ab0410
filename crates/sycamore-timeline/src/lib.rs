//! The time line: typed events, a bounded ring, batches and their merge.
//!
//! Pure: civil time comes in as a value, and batches go out as values.

pub mod batch;
pub mod merge;
pub mod ring;

pub use batch::{Batch, BatchOptions, Batcher};
pub use merge::{gaps, merge, Cursor, Filter, Gap};
pub use ring::{Page, Ring, Source};
